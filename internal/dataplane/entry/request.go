package entry

import (
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/transport/wire"
)

const (
	fullPause    = 15 * time.Millisecond // between looks for a server with room
	patiencePart = 5                     // a request without a server is given up after this part of its aim
	minPatience  = 30 * time.Millisecond
	heeded       = 3     // a client heeds a Retry-After up to this part of the time that it has left
	maxTurned    = 12    // servers asked that turned one request away
	looks        = 2     // servers asked for a slot at once before one is asked to let it wait, while there is work to spare
	repeatFrom   = 0.999 // chance of a request's like to be admitted, below which it is not repeated

	hedgeX       = 2                     // usual times after which one that may run again is sent to a second server ...
	hedgeLeastX  = 1.4                   // ... or sooner, where it would be late then, but not before this
	hedgeLeast   = 50 * time.Millisecond // never sooner
	hedgeReserve = 3                     // repeats that are left for requests that have failed
	hedgeShare   = 0.02                  // of a service's requests, at most: where all are slow, no server is better
	hedgeSaved   = 2                     // that may be asked for at once
)

// Entrant is a request as it comes to the node.
type Entrant struct {
	Route   *meshconfig.Route
	Service string // as Choose drew it
	Arrived time.Duration
	Until   time.Duration // it must have its answer by then
	Inner   bool          // a call of a graph that was admitted
	Again   bool          // a call that the run of a repeat makes
}

// Final is an answer that the node gives of its own.
type Final struct {
	Status int
	Why    string
	After  time.Duration // positive: it has not run and never will; come back after this
}

// Request is one request on its way.
type Request struct {
	Entrant
	Rank uint32 // its place in the queues of servers; 0 is the highest

	table     *Table
	service   *service
	since     time.Duration // of the wait for a server
	open      []string      // servers that are asked at this moment
	reached   []string      // servers that it has arrived at
	ran       bool          // it may have run
	tried     []string      // servers not to be asked again
	room      [3][2]string  // for the three lists: most requests need no more
	turned    int
	unhealthy bool // a server has turned it away for failing too many
	crowded   bool // it has looked for a free slot in vain
}

// Choose draws the service for a request among those that share its route.
func (t *Table) Choose(route *meshconfig.Route) string { return route.Service(t.rng.Float64()) }

// Enter gives the verdict on a request. A nil Final admits it: Next says what to
// do, until Leave.
func (t *Table) Enter(now time.Duration, e Entrant) (*Request, *Final) {
	s := t.service(now, e.Service)
	if s == nil {
		return nil, &Final{503, "no such service", 500 * time.Millisecond}
	}
	s.budget.Request(now)
	s.hedges = min(hedgeSaved, s.hedges+hedgeShare)
	if e.Again { // calls of a repeat are repeats at the service that is called
		s.budget.Charge(now, 1)
	}
	if !e.Inner && !s.gate.Admit(now, e.Route.Priority, t.behind(now, e.Route)...) {
		return nil, &Final{503, "overload", t.comeBack(now, s, &e)}
	}
	s.gate.Begin(now)
	r := &Request{Entrant: e, Rank: uint32(e.Route.Priority), table: t, service: s, since: e.Arrived}
	r.open, r.reached, r.tried = r.room[0][:0], r.room[1][:0], r.room[2][:0]
	return r, nil
}

// Leave books the end of an admitted request.
func (r *Request) Leave(now time.Duration) {
	aim := r.Route.TargetLatency()
	if r.Inner { // its time is part of its graph's
		aim = 0
	}
	if len(r.reached) == 0 && !r.ran { // no server had a part in its time
		aim = 0
	}
	r.service.gate.Done(now, now-r.Arrived, aim)
}

// Step is what to do next with a request: give its Final answer, send it to a
// Server and say with Done what came of it, or Wait and ask again.
type Step struct {
	Final  *Final
	Server string
	Insist bool          // it may be unhealthy: there is no better one
	Repeat bool          // another server may run it, or may have
	Queue  bool          // it may wait there for a slot
	Usual  time.Duration // see Request.Usual
	Wait   time.Duration
}

// Once reports whether it may run once only.
func (r *Request) Once() bool { return r.Route.Kind != meshconfig.Idempotent }

// Usual is the usual time of its route's runs; 0: not known.
func (r *Request) Usual() time.Duration { return r.table.usual[r.Route.Name] }

// end tells the picker of a try's end.
func (r *Request) end(now time.Duration, id string, out *wire.ForwardResponse, result decide.Result) {
	word := decide.ServerReport{RelativeLatency: float64(out.RelativeLatency), Utilization: float64(out.Utilization), Queued: out.Queued}
	r.service.picker.End(now, id, result, word)
}

// Late takes what came of a try after the final answer.
func (r *Request) Late(now time.Duration, id string, out *wire.ForwardResponse, result decide.Result) {
	r.end(now, id, out, result)
	if out.Result == wire.ForwardResponse_ANSWERED {
		r.table.learn(now, r.Route.Name, out)
	}
}

// Tries is the number of servers that it has arrived at.
func (r *Request) Tries() int { return len(r.reached) }

// Next returns the next step.
func (r *Request) Next(now time.Duration) Step {
	if now >= r.Until {
		return Step{Final: r.giveUp(now, "no server in time")}
	}
	step, ok := r.pick(now)
	if !ok && r.unhealthy { // a unhealthy server is better than none
		r.unhealthy = false
		r.again()
		step, ok = r.pick(now)
	}
	if ok {
		return step
	}
	// Nobody has room at this moment. Longer waits belong to the client.
	r.waits(now)
	if now-r.since > r.patience() {
		return Step{Final: r.giveUp(now, "no server has room")}
	}
	r.again()
	return Step{Wait: min(fullPause, r.Until-now)}
}

// waits tells the gate, once, that the request has found no server with a free slot where it looked. To count only
// those that found no queue either would say so when all queues are full, which is late: each of them is a wait.
func (r *Request) waits(now time.Duration) {
	if !r.crowded {
		r.crowded = true
		r.service.gate.RecordCapacity(now, false)
	}
}

// again lets those be asked again that turned it away: they may have room by now.
func (r *Request) again() { r.tried = append(append(r.tried[:0], r.reached...), r.open...) }

// pick begins a try, where there is a server for it.
func (r *Request) pick(now time.Duration) (Step, bool) {
	id, unhealthy, ok := r.service.picker.Pick(now, r.tried)
	if !ok {
		return Step{}, false
	}
	r.service.picker.Begin(id)
	step := Step{Server: id, Insist: unhealthy, Repeat: r.ran || len(r.open) > 0, Queue: r.turned >= looks || !r.service.gate.Calm(now), Usual: r.Usual()}
	if r.turned >= looks {
		r.waits(now)
	}
	r.open = append(r.open, id)
	r.tried = append(r.tried, id)
	return step, true
}

// HedgeAfter is how long a try may take before Hedge is worth asking; 0: it never is. A run that takes far longer
// than its like has met a slow server, or its answer is lost; a second one is likely to be through before it.
func (r *Request) HedgeAfter() time.Duration {
	usual := r.Usual()
	if r.Once() || usual == 0 {
		return 0
	}
	after := hedgeX * usual
	if aim := r.Route.TargetLatency(); after+usual > aim {
		after = max(time.Duration(hedgeLeastX*float64(usual)), aim-usual)
	}
	return max(hedgeLeast, after)
}

// Hedge asks for a second server while the first is still at work. Whichever has an answer first gives the final
// one. The budget pays for it as for any repeat.
func (r *Request) Hedge(now time.Duration) (Step, bool) {
	s := r.service
	if r.Once() || len(r.open) != 1 || s.hedges < 1 || !s.gate.Idle(now) || s.budget.Left(now) < hedgeReserve || !r.mayRepeat(now) {
		return Step{}, false
	}
	s.hedges--
	return r.pick(now)
}

// patience is how long a request waits for a server. A call of a graph has no more
// of it: its graph is lost with it, but while it waits it holds a slot of its caller.
func (r *Request) patience() time.Duration {
	return max(minPatience, r.Route.TargetLatency()/patiencePart)
}

// Done takes what came of a try. It returns the final answer, or none; pass: the server's own answer is the final
// one. Where there is none, the tries that are still under way go on, and without any Next does.
func (r *Request) Done(now time.Duration, id string, out *wire.ForwardResponse, result decide.Result) (final *Final, pass bool) {
	r.end(now, id, out, result)
	r.open = slices.DeleteFunc(r.open, func(o string) bool { return o == id })
	if len(r.reached) == 0 && !r.crowded && out.Result != wire.ForwardResponse_NOT_SENT {
		r.service.gate.RecordCapacity(now, true)
	}
	if out.Result == wire.ForwardResponse_NOT_SENT {
		r.turned++
		r.unhealthy = r.unhealthy || out.Unhealthy
		if len(r.open) > 0 {
			return nil, false
		}
		if now-r.since > r.patience() && r.turned >= maxTurned {
			return r.giveUp(now, "no server has room"), false
		}
		return nil, false
	}
	r.reached = append(r.reached, id) // it gets no second try there
	r.since = now
	if len(r.open) > 0 && (out.Result != wire.ForwardResponse_ANSWERED || out.Status >= 500) {
		r.ran = r.ran || out.Result != wire.ForwardResponse_NOT_RUN
		return nil, false // the other may do better
	}
	switch out.Result {
	case wire.ForwardResponse_ANSWERED:
		r.table.learn(now, r.Route.Name, out)
		return r.answered(now, int(out.Status))
	case wire.ForwardResponse_NOT_RUN:
		if !r.mayRepeat(now) {
			return r.giveUp(now, "the servers have no room"), false
		}
	default: // BROKEN, LATE, and what a later version may say
		r.ran = true
		if now >= r.Until {
			return &Final{Status: 504, Why: "no answer in time"}, false
		}
		if r.Once() || !r.mayRepeat(now) {
			if out.Result == wire.ForwardResponse_DEADLINE_EXCEEDED {
				return &Final{Status: 504, Why: "no answer in time"}, false
			}
			return &Final{Status: 502, Why: "the server gave no proper answer"}, false
		}
	}
	return nil, false
}

// answered makes the client's answer of a server's, unless another try is better.
func (r *Request) answered(now time.Duration, status int) (final *Final, pass bool) {
	if status >= 500 && status != 504 && !r.Once() {
		r.ran = true
		if r.mayRepeat(now) {
			return nil, false
		}
	}
	switch status {
	case 408, 421, 429, 503: // as the client reads them, these promise that it has not run
		return &Final{Status: 502, Why: "the server failed"}, false
	}
	return nil, true
}

// giveUp is the answer to a request for which there is no further try.
func (r *Request) giveUp(now time.Duration, why string) *Final {
	if r.ran {
		return &Final{Status: 502, Why: why}
	}
	return &Final{503, why, r.table.comeBack(now, r.service, &r.Entrant)}
}

// comeBack is when the client of a request that has not run should try again. One that is told to wait for longer
// than a third of its time would not heed it.
func (t *Table) comeBack(now time.Duration, s *service, e *Entrant) time.Duration {
	odds := s.gate.GraphProbability(now, e.Route.Priority, t.behind(now, e.Route)...)
	return s.gate.RetryAfter(e.Route.TargetLatency(), (e.Until-now)/heeded, odds)
}

// mayRepeat reports whether the request may reach one more server, and pays for it.
// Where a gate has begun to refuse its like, its service's or that of one behind,
// repeats would only add to the load.
func (r *Request) mayRepeat(now time.Duration) bool {
	if len(r.reached)+len(r.open) >= max(1, r.Route.MaxAttempts) || r.service.gate.Probability(now, r.Route.Priority) < repeatFrom {
		return false
	}
	for _, g := range r.table.behind(now, r.Route) {
		if g.DownstreamProbability(now, r.Route.Priority) < repeatFrom {
			return false
		}
	}
	return r.service.budget.Spend(now)
}

// Result is what the outcome of a try says of the server.
func Result(out *wire.ForwardResponse) decide.Result {
	switch out.Result {
	case wire.ForwardResponse_ANSWERED:
		if out.Status >= 500 {
			return decide.Errored
		}
		return decide.Served
	case wire.ForwardResponse_NOT_SENT:
		switch {
		case out.Terminated:
			return decide.NotSent
		case out.Unhealthy:
			return decide.Unhealthy
		}
		return decide.Full
	case wire.ForwardResponse_NOT_RUN:
		return decide.Full
	case wire.ForwardResponse_DEADLINE_EXCEEDED:
		return decide.TimedOut
	}
	return decide.Broken
}

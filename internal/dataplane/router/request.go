package router

import (
	"time"

	"ivydeck/internal/config/meshconfig"
)

const (
	queueRetryPause   = 15 * time.Millisecond // between two rounds of attempts while no server has a free slot
	maxWaitDivisor    = 5                     // a request without a server is given up after this share of its latency target ...
	minWait           = 30 * time.Millisecond // ... but not sooner
	maxRejections     = 12                    // by servers without a free slot, of one request
	immediateAttempts = 2                     // rejections before a request may queue at a server, while the service is calm
)

// Arrival is a request as it comes to the node.
type Arrival struct {
	Route    *meshconfig.Route
	Service  string // as ChooseService drew it
	At       time.Duration
	Deadline time.Duration // for its answer
	Inner    bool          // a call within a call graph that was admitted
	OfRetry  bool          // a call that a retried request makes
}

// Response is an answer of the node itself.
type Response struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // positive: the request has not run and never will, and may be retried after this
}

// Request is a request in progress: a state machine that says which attempt comes next.
type Request struct {
	Arrival
	Priority uint32 // in the queues of servers; 0 is the highest

	table              *Table
	service            *service
	waitingSince       time.Duration // for a server
	inFlight           []string      // servers with an attempt in flight
	reached            []string      // servers that have received it
	mayHaveRun         bool          // an attempt may have run
	excluded           []string      // servers that are not to be picked
	serverSpace        [3][2]string  // of the three lists: most requests need no more
	rejections         int
	unhealthy          bool // a server has rejected it as unhealthy
	saturationRecorded bool // the gate knows that it has found no free slot
}

// ChooseService draws the service for a request by the weights of its route.
func (t *Table) ChooseService(route *meshconfig.Route) string { return route.Service(t.rng.Float64()) }

// Admit decides on a request. Without a Response it is admitted: Next says what to do, until End.
func (t *Table) Admit(now time.Duration, e Arrival) (*Request, *Response) {
	s := t.service(now, e.Service)
	if s == nil {
		return nil, &Response{503, "no such service", 500 * time.Millisecond}
	}
	s.budget.Request(now)
	s.hedgeTokens = min(maxHedgeTokens, s.hedgeTokens+hedgeShare)
	if e.OfRetry { // the calls of a retry are retries at the called service
		s.budget.Charge(now, 1)
	}
	if !e.Inner && !s.gate.Admit(now, e.Route.Priority, t.downstreamGates(now, e.Route)...) {
		return nil, &Response{503, "overload", t.retryAfter(now, s, &e)}
	}
	s.gate.Begin(now)
	r := &Request{Arrival: e, Priority: uint32(e.Route.Priority), table: t, service: s, waitingSince: e.At}
	r.inFlight, r.reached, r.excluded = r.serverSpace[0][:0], r.serverSpace[1][:0], r.serverSpace[2][:0]
	return r, nil
}

// End records the end of an admitted request.
func (r *Request) End(now time.Duration) {
	target := r.Route.TargetLatency()
	if r.Inner { // its time is part of that of its call graph
		target = 0
	}
	if len(r.reached) == 0 && !r.mayHaveRun { // no server has a share in its time
		target = 0
	}
	r.service.gate.Done(now, now-r.At, target)
}

// Action is what to do next with a request: answer it with Response; send it to Server and call HandleOutcome with the
// outcome; or wait and call Next again.
type Action struct {
	Response       *Response
	Server         string
	IgnoreEjection bool          // the server may be unhealthy: there is no better one
	Retry          bool          // another server may run it, or may have run it
	MayQueue       bool          // it may wait there for a slot
	TypicalLatency time.Duration // see Request.TypicalLatency
	Wait           time.Duration
}

// NonIdempotent reports whether the request must not run twice.
func (r *Request) NonIdempotent() bool { return r.Route.Kind != meshconfig.Idempotent }

// TypicalLatency is the mean time of its route's runs; 0: not known.
func (r *Request) TypicalLatency() time.Duration { return r.table.typicalLatency[r.Route.Name] }

// Attempts is the number of servers that have received the request.
func (r *Request) Attempts() int { return len(r.reached) }

// Next returns the next action.
func (r *Request) Next(now time.Duration) Action {
	if now >= r.Deadline {
		return Action{Response: r.giveUp(now, "no server in time")}
	}
	action, ok := r.pick(now)
	if !ok && r.unhealthy { // an unhealthy server is better than none
		r.unhealthy = false
		r.readmitRejecting()
		action, ok = r.pick(now)
	}
	if ok {
		return action
	}
	// No server has a free slot at this moment. Longer waits are the client's.
	r.recordSaturation(now)
	if now-r.waitingSince > r.maxWait() {
		return Action{Response: r.giveUp(now, "no server has room")}
	}
	r.readmitRejecting()
	return Action{Wait: min(queueRetryPause, r.Deadline-now)}
}

// recordSaturation tells the gate, once, that the request has found no server with a free slot. To count only those that
// found no queue either would be late, as that is when all queues are full.
func (r *Request) recordSaturation(now time.Duration) {
	if !r.saturationRecorded {
		r.saturationRecorded = true
		r.service.gate.RecordCapacity(now, false)
	}
}

// readmitRejecting makes the servers that have rejected the request candidates again: they may have a free slot by now.
func (r *Request) readmitRejecting() {
	r.excluded = append(append(r.excluded[:0], r.reached...), r.inFlight...)
}

// pick begins an attempt, if there is a server for it.
func (r *Request) pick(now time.Duration) (Action, bool) {
	id, unhealthy, ok := r.service.picker.Pick(now, r.excluded)
	if !ok {
		return Action{}, false
	}
	r.service.picker.Begin(id)
	action := Action{Server: id, IgnoreEjection: unhealthy, Retry: r.mayHaveRun || len(r.inFlight) > 0, MayQueue: r.rejections >= immediateAttempts || !r.service.gate.Calm(now), TypicalLatency: r.TypicalLatency()}
	if r.rejections >= immediateAttempts {
		r.recordSaturation(now)
	}
	r.inFlight = append(r.inFlight, id)
	r.excluded = append(r.excluded, id)
	return action, true
}

// maxWait is how long a request waits for a server. A call within a graph waits no longer: the graph fails with it, but while
// it waits it holds a slot of its caller.
func (r *Request) maxWait() time.Duration {
	return max(minWait, r.Route.TargetLatency()/maxWaitDivisor)
}

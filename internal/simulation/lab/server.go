package lab

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/transport/wire"
)

// server is the model of an application server beside a node.
type server struct {
	s            *sim
	kind         *Service
	node         *node
	id           string // of its incarnation
	up           bool
	draining     bool
	drainAcked   bool
	drainAckedAt time.Duration
	speed        float64       // factor on its work, ...
	slowdown     float64       // ... and another while a fault is in force
	warmUntil    time.Duration // end of its slow start
	grey         Fault         // zero: none
	stalledUntil time.Duration
	seq          uint64 // of heartbeats
	runs         []*run // that may be going on
}

// run is a request that a server works on.
type run struct {
	over bool
	end  func(status int32, result wire.ForwardResponse_Result)
}

// finish ends a run, unless it has ended.
func (r *run) finish(status int32, result wire.ForwardResponse_Result) {
	if !r.over {
		r.over = true
		r.end(status, result)
	}
}

func (v *server) start() {
	v.s.incarnations++
	v.id = fmt.Sprintf("i-%d", v.s.incarnations)
	v.up, v.draining, v.drainAcked, v.slowdown, v.stalledUntil, v.seq = true, false, false, max(1, v.slowdown), 0, 0
	v.warmUntil = v.s.now + sec(v.kind.SlowStartS)
	id := v.id
	v.s.after(time.Duration(v.s.rng.Int64N(int64(100*time.Millisecond))), func() { v.heartbeatLoop(id) })
}

// stop ends the process: what it works on has no answer.
func (v *server) stop() {
	v.up = false
	v.breakRuns()
}

func (v *server) breakRuns() {
	runs := v.runs
	v.runs = nil
	for _, r := range runs {
		v.s.after(time.Millisecond, func() { r.finish(0, wire.ForwardResponse_BROKEN) })
	}
}

func (v *server) heartbeatLoop(id string) {
	if !v.up || v.id != id {
		return
	}
	v.sendHeartbeat()
	v.s.after(ms(v.s.scenario.HeartbeatMs), func() { v.heartbeatLoop(id) })
}

// sendHeartbeat is one beat. The node answers it at once, where it runs.
func (v *server) sendHeartbeat() {
	if !v.node.up || v.stalledUntil > v.s.now {
		return
	}
	v.seq++
	h := v.node.admission.Heartbeat(v.s.now, localserver.Heartbeat{
		ID: v.id, Service: v.kind.Name, Address: v.node.name, Zone: v.node.zone, Slots: v.kind.Slots, Draining: v.draining, Seq: v.seq,
		WarmupLeft: max(0, v.warmUntil-v.s.now),
	})
	v.node.deliver(h.Verdicts)
	if h.OK && v.draining && !v.drainAcked {
		v.drainAcked, v.drainAckedAt = true, v.s.now
	}
	if (h.New || h.Drains) && !v.node.registering {
		v.node.register()
	}
}

// drain announces the end of the server, ends it once no node may send to it any more,
// and starts a new incarnation at a time.
func (v *server) drain(restartAt time.Duration) {
	v.draining = true
	v.sendHeartbeat()
	id := v.id
	v.s.after(2*ms(v.s.scenario.DrainMs), func() {
		if v.id == id && v.up {
			v.stop()
			v.node.admission.Deregister(id)
			v.s.at(restartAt, func() { v.s.startServer(v) })
		}
	})
}

const (
	rejectDelay      = time.Millisecond     // until a rejection is sent
	greyFailureDelay = 5 * time.Millisecond // a grey server fails fast, so that it looks idle
	greySlowdown     = 5                    // factor on the work of a slow grey server
	maxWorkFactor    = 8                    // bound on the exponential distribution of work, in means
)

// failsFor reports whether a grey server fails a run for a caller in a zone.
func (v *server) failsFor(zone string) bool {
	return v.grey.Kind != "" && (v.grey.From == "" || v.grey.From == zone) && v.s.rng.Float64() < v.grey.Factor
}

// handle takes a request, and calls end with its result. retries is the number of
// attempts before it.
func (v *server) handle(t *attempt, request localserver.Request, deadline time.Duration, retries int, end func(int32, wire.ForwardResponse_Result)) {
	s := v.s
	begun := s.now
	r := &run{end: func(status int32, result wire.ForwardResponse_Result) {
		s.measurements.slotHeld(s.now, v.kind.Name, s.now-begun)
		end(status, result)
	}}
	if v.drainAcked && s.now > v.drainAckedAt+ms(s.scenario.DrainMs) {
		s.violation("%s was sent a request %v after the acknowledgement of its draining status", v.id, s.now-v.drainAckedAt)
	}
	if retries > 0 {
		s.measurements.requestRetried(s.now, v.kind.Name)
	}
	if s.rng.Float64() < v.kind.Rejects {
		s.after(rejectDelay, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	if v.grey.Mode == GreyReject && v.failsFor(request.Call.Zone) {
		s.after(greyFailureDelay, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	t.executed()
	v.addRun(r)
	s.at(deadline, func() { r.finish(0, wire.ForwardResponse_DEADLINE_EXCEEDED) })
	v.execute(t, r, request.Call.Zone, deadline)
}

// addRun adds a run, and forgets those that have ended.
func (v *server) addRun(r *run) {
	v.runs = append(slices.DeleteFunc(v.runs, func(old *run) bool { return old.over }), r)
}

// execute draws the work of a run and how it ends.
func (v *server) execute(t *attempt, r *run, zone string, deadline time.Duration) {
	s := v.s
	work := v.randomWork()
	if v.kind.Errors > 0 && s.rng.Float64() < v.kind.Errors {
		s.after(work, func() { r.finish(500, wire.ForwardResponse_ANSWERED) })
		return
	}
	if v.failsFor(zone) {
		switch v.grey.Mode {
		case GreyError:
			s.after(greyFailureDelay, func() { r.finish(500, wire.ForwardResponse_ANSWERED) })
			return
		case GreyReset:
			s.after(greyFailureDelay, func() { r.finish(0, wire.ForwardResponse_BROKEN) })
			return
		case GreyHang: // until its deadline
			return
		case GreySlow:
			work *= greySlowdown
		}
	}
	var calls []string
	for _, c := range t.request.route.Calls {
		for range s.randomCount(c.Times) {
			calls = append(calls, c.Route)
		}
	}
	w := &workPlan{server: v, attempt: t, run: r, calls: calls, deadline: deadline}
	w.part = work / time.Duration(len(calls)+1)
	w.answerLost = s.rng.Float64() < v.kind.LostAnswers
	s.after(w.part, w.next)
}

// randomWork draws how long the work of a run takes.
func (v *server) randomWork() time.Duration {
	s := v.s
	work := ms(v.kind.WorkMs * v.speed * v.slowdown * min(maxWorkFactor, -math.Log(1-s.rng.Float64())))
	if v.kind.Tail > 0 && s.rng.Float64() < v.kind.Tail {
		work = time.Duration(float64(work) * v.kind.TailFactor)
	}
	if s.now < v.warmUntil {
		work = time.Duration(float64(work) * max(1, v.kind.SlowStartFactor))
	}
	return work + max(0, v.stalledUntil-s.now)
}

// workPlan is the rest of a run: its calls of other services, one after another, with a
// part of the work before, between and after them.
type workPlan struct {
	server     *server
	attempt    *attempt
	run        *run
	calls      []string // names of routes
	made       int      // calls that were made
	part       time.Duration
	deadline   time.Duration
	answerLost bool
}

// next makes the next call, or ends the run after the last one.
func (w *workPlan) next() {
	if w.run.over {
		return
	}
	if w.made == len(w.calls) {
		if w.answerLost {
			w.run.finish(0, wire.ForwardResponse_BROKEN)
			return
		}
		w.run.finish(200, wire.ForwardResponse_ANSWERED)
		return
	}
	s := w.server.s
	route := s.route(w.calls[w.made])
	inner := &attempt{id: fmt.Sprintf("%s.%d", w.attempt.id, w.made), deadline: w.deadline, request: &request{s: s, route: route}}
	w.made++
	w.server.node.handle(inner, func(response router.Response) {
		inner.answered(response)
		s.after(w.part, func() {
			if response.Status != 200 {
				w.run.finish(500, wire.ForwardResponse_ANSWERED)
				return
			}
			w.next()
		})
	})
}

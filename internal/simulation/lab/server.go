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

// server models the application server of a node.
type server struct {
	sim            *sim
	service        *Service
	node           *node
	id             string // ID of the current process
	up             bool
	draining       bool
	deregistered   bool
	drainAcked     bool
	drainAckedAt   time.Duration
	speed          float64 // factor on the work
	slowdown       float64 // further factor on the work during a fault
	slowStartUntil time.Duration
	grey           Fault // Kind is empty if there is none
	stalledUntil   time.Duration
	heartbeatSeq   uint64 // sequence number of the last heartbeat
	runs           []*run // runs in progress; ended runs are removed when a run starts
}

// run is the execution of a request by a server.
type run struct {
	ended bool
	done  func(status int32, result wire.ForwardResponse_Result)
}

// finish ends the run unless it has ended.
func (r *run) finish(status int32, result wire.ForwardResponse_Result) {
	if !r.ended {
		r.ended = true
		r.done(status, result)
	}
}

func (v *server) start() {
	v.sim.incarnations++
	v.id = fmt.Sprintf("i-%d", v.sim.incarnations)
	v.up, v.draining, v.deregistered, v.drainAcked, v.slowdown, v.stalledUntil, v.heartbeatSeq = true, false, false, false, max(1, v.slowdown), 0, 0
	v.slowStartUntil = v.sim.now + sec(v.service.SlowStartS)
	id := v.id
	v.sim.after(time.Duration(v.sim.rng.Int64N(int64(100*time.Millisecond))), func() { v.heartbeatLoop(id) })
}

// stop stops the process and breaks its runs.
func (v *server) stop() {
	v.up = false
	v.breakRuns()
}

// breakRuns ends all runs without a response, as when the connection breaks.
func (v *server) breakRuns() {
	runs := v.runs
	v.runs = nil
	for _, r := range runs {
		v.sim.after(time.Millisecond, func() { r.finish(0, wire.ForwardResponse_BROKEN) })
	}
}

func (v *server) heartbeatLoop(id string) {
	if !v.up || v.id != id || v.deregistered {
		return
	}
	v.sendHeartbeat()
	v.sim.after(ms(v.sim.scenario.HeartbeatMs), func() { v.heartbeatLoop(id) })
}

// sendHeartbeat sends a heartbeat unless the node is down or the server is stalled. The node
// receives it at once.
func (v *server) sendHeartbeat() {
	if !v.node.up || v.stalledUntil > v.sim.now {
		return
	}
	v.heartbeatSeq++
	v.node.heartbeat(v.heartbeat())
}

// heartbeat returns the server's state.
func (v *server) heartbeat() localserver.Heartbeat {
	return localserver.Heartbeat{
		ID: v.id, Service: v.service.Name, Address: v.node.name, Zone: v.node.zone, Slots: v.service.Slots, Draining: v.draining, Seq: v.heartbeatSeq,
		WarmupLeft: max(0, v.slowStartUntil-v.sim.now),
	}
}

// drain sets the server's status to draining, and lets it leave.
func (v *server) drain(restartAt time.Duration) {
	late := v.heartbeat()
	v.draining = true
	v.sendHeartbeat()
	v.leave(late, restartAt)
}

// deregister deregisters the server as its first notice, and lets it leave.
func (v *server) deregister(restartAt time.Duration) {
	late := v.heartbeat()
	v.deregistered = true
	v.node.deregister(v.id)
	v.leave(late, restartAt)
}

// leave stops the server once no node may send to it, and starts a new process at restartAt. A heartbeat from before reaches
// the node late.
func (v *server) leave(late localserver.Heartbeat, restartAt time.Duration) {
	id, drainTime := v.id, ms(v.sim.scenario.DrainMs)
	v.sim.after(time.Duration(v.sim.rng.Int64N(int64(2*drainTime))), func() {
		if v.id == id && v.up && v.node.up {
			v.node.heartbeat(late)
		}
	})
	v.sim.after(2*drainTime, func() {
		if v.id == id && v.up {
			v.stop()
			v.node.deregister(id)
			v.sim.at(restartAt, func() { v.sim.startServer(v) })
		}
	})
}

const (
	rejectDelay      = time.Millisecond     // time until a rejection is sent
	greyFailureDelay = 5 * time.Millisecond // short, so that the load of a grey server looks low
	greySlowdown     = 5                    // factor on the work of a slow grey server
	maxWorkFactor    = 8                    // bound on the exponential distribution of the work, as a multiple of its mean
)

// failsFor draws whether a grey server fails a run for a caller in a zone.
func (v *server) failsFor(zone string) bool {
	return v.grey.Kind != "" && (v.grey.From == "" || v.grey.From == zone) && v.sim.rng.Float64() < v.grey.Factor
}

// handle executes a request, and calls end with its result. retries is the number of earlier
// attempts.
func (v *server) handle(t *attempt, request localserver.Request, deadline time.Duration, retries int, end func(int32, wire.ForwardResponse_Result)) {
	s := v.sim
	startedAt := s.now
	r := &run{done: func(status int32, result wire.ForwardResponse_Result) {
		s.measurements.slotHeld(s.now, v.service.Name, s.now-startedAt)
		end(status, result)
	}}
	if v.drainAcked && s.now > v.drainAckedAt+ms(s.scenario.DrainMs) {
		s.recordViolation("%s received a request %v after the acknowledgement of its draining status", v.id, s.now-v.drainAckedAt)
	}
	if retries > 0 {
		s.measurements.requestRetried(s.now, v.service.Name)
	}
	if s.rng.Float64() < v.service.Rejects {
		s.after(rejectDelay, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	if v.grey.Mode == GreyReject && v.failsFor(request.Call.Zone) {
		s.after(greyFailureDelay, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	t.recordRun()
	v.addRun(r)
	s.at(deadline, func() { r.finish(0, wire.ForwardResponse_DEADLINE_EXCEEDED) })
	v.execute(t, r, request.Call.Zone, deadline)
}

// addRun adds a run, and removes the runs that have ended.
func (v *server) addRun(r *run) {
	v.runs = append(slices.DeleteFunc(v.runs, func(old *run) bool { return old.ended }), r)
}

// execute draws the duration and the outcome of a run.
func (v *server) execute(t *attempt, r *run, zone string, deadline time.Duration) {
	s := v.sim
	work := v.randomWork()
	if v.service.Errors > 0 && s.rng.Float64() < v.service.Errors {
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
		case GreyHang: // the run ends at its deadline
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
	plan := &workPlan{server: v, attempt: t, run: r, calls: calls, deadline: deadline}
	plan.workPart = work / time.Duration(len(calls)+1)
	plan.answerLost = s.rng.Float64() < v.service.LostAnswers
	s.after(plan.workPart, plan.next)
}

// randomWork draws the duration of a run's work, including the rest of a stall.
func (v *server) randomWork() time.Duration {
	s := v.sim
	work := ms(v.service.WorkMs * v.speed * v.slowdown * min(maxWorkFactor, -math.Log(1-s.rng.Float64())))
	if v.service.Tail > 0 && s.rng.Float64() < v.service.Tail {
		work = time.Duration(float64(work) * v.service.TailFactor)
	}
	if s.now < v.slowStartUntil {
		work = time.Duration(float64(work) * max(1, v.service.SlowStartFactor))
	}
	return work + max(0, v.stalledUntil-s.now)
}

// workPlan executes a run: its calls of other services, one after another, and an equal
// part of the work before, between and after them.
type workPlan struct {
	server     *server
	attempt    *attempt
	run        *run
	calls      []string // routes to call
	callsMade  int      // number of calls made so far
	workPart   time.Duration
	deadline   time.Duration
	answerLost bool
}

// next makes the next call, or finishes the run after the last one.
func (w *workPlan) next() {
	if w.run.ended {
		return
	}
	if w.callsMade == len(w.calls) {
		if w.answerLost {
			w.run.finish(0, wire.ForwardResponse_BROKEN)
			return
		}
		w.run.finish(200, wire.ForwardResponse_ANSWERED)
		return
	}
	s := w.server.sim
	route := s.route(w.calls[w.callsMade])
	inner := &attempt{id: fmt.Sprintf("%s.%d", w.attempt.id, w.callsMade), deadline: w.deadline, request: &request{sim: s, route: route}}
	w.callsMade++
	w.server.node.handle(inner, func(response router.Response) {
		inner.recordResponse(response)
		s.after(w.workPart, func() {
			if response.Status != 200 {
				w.run.finish(500, wire.ForwardResponse_ANSWERED)
				return
			}
			w.next()
		})
	})
}

package router

import (
	"time"

	"ivydeck/internal/config/meshconfig"
)

const (
	queueRetryPause   = 15 * time.Millisecond // pause between rounds of attempts while no server has a free slot
	maxWaitDivisor    = 5                     // a request waits for a server for up to its latency target divided by this
	minWait           = 30 * time.Millisecond // lower bound of that wait
	maxRejections     = 12                    // rejections after which a request that has waited for maxWait is given up
	immediateAttempts = 2                     // rejections before a request may queue at a server while the pressure is low
)

// Arrival is a request as received by the node.
type Arrival struct {
	Route    *meshconfig.Route
	Service  string        // returned by ChooseService
	At       time.Duration // time of arrival
	Deadline time.Duration // when the response is due
	Inner    bool          // a call within an admitted call graph
	OfRetry  bool          // a call made by the run of a retried request
}

// Response is a response made by the node itself.
type Response struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // if positive, the request has not run, never will, and may be retried after this time
}

// Request is the state of an admitted request. It decides which attempt comes next.
type Request struct {
	Arrival
	Priority uint32 // in the queues of servers; 0 is the highest

	table              *Table
	service            *service
	waitingSince       time.Duration // start of the wait for a server
	inFlight           []string      // servers with an attempt in flight
	reached            []string      // servers that have received the request
	mayHaveRun         bool          // an attempt may have run
	excluded           []string      // servers that must not be picked
	serverSpace        [3][2]string  // initial backing arrays of the three lists
	rejections         int           // number of attempts rejected before the server received the request
	unhealthyRejection bool          // an ejected server rejected the request
	saturationRecorded bool          // recordSaturation has reported this request
}

// ChooseService picks the service for a request at random, by the weights of its route.
func (t *Table) ChooseService(route *meshconfig.Route) string { return route.Service(t.rng.Float64()) }

// Admit decides whether a request is admitted. If so, the Response is nil; the caller proceeds with Next, and calls End when
// the request is done.
func (t *Table) Admit(now time.Duration, arrival Arrival) (*Request, *Response) {
	s := t.service(now, arrival.Service)
	if s == nil {
		return nil, &Response{503, "no such service", 500 * time.Millisecond}
	}
	s.budget.CountRequest(now)
	s.hedgeTokens = min(maxHedgeTokens, s.hedgeTokens+hedgeShare)
	if arrival.OfRetry { // calls of a retried run count as retries at the called service
		s.budget.Charge(now, 1)
	}
	if !arrival.Inner && !s.gate.Admit(now, arrival.Route.Priority, t.downstreamGates(now, arrival.Route)...) {
		return nil, &Response{503, "overload", t.retryAfter(now, s, &arrival)}
	}
	s.gate.Begin(now)
	r := &Request{Arrival: arrival, Priority: uint32(arrival.Route.Priority), table: t, service: s, waitingSince: arrival.At}
	r.inFlight, r.reached, r.excluded = r.serverSpace[0][:0], r.serverSpace[1][:0], r.serverSpace[2][:0]
	return r, nil
}

// End records the end of an admitted request at its gate.
func (r *Request) End(now time.Duration) {
	target := r.Route.TargetLatency()
	if r.Inner { // the latency of its call graph includes it
		target = 0
	}
	if len(r.reached) == 0 && !r.mayHaveRun { // no server has received it, so its duration is not a latency
		target = 0
	}
	r.service.gate.Done(now, now-r.At, target)
}

// Action is the next step of a request. If Response is set, the caller returns it to the client. Otherwise, if Server is set,
// the caller sends the request to it and calls HandleOutcome. Otherwise the caller waits for Wait and calls Next again.
type Action struct {
	Response       *Response
	Server         string
	IgnoreEjection bool          // the server may be used although it is unhealthy, as there is no better one
	Retry          bool          // another server may have run the request, or may be running it
	MayQueue       bool          // it may queue for a slot at the server
	TypicalLatency time.Duration // see Request.TypicalLatency
	Wait           time.Duration
}

// NonIdempotent reports whether the request must not run twice.
func (r *Request) NonIdempotent() bool { return r.Route.Kind != meshconfig.Idempotent }

// TypicalLatency returns the mean latency of the route's runs, or 0 if it is unknown.
func (r *Request) TypicalLatency() time.Duration { return r.table.typicalLatency[r.Route.Name] }

// Attempts returns the number of servers that have received the request.
func (r *Request) Attempts() int { return len(r.reached) }

// Next returns the next action: an attempt at a server, a wait, or a response by the node itself.
func (r *Request) Next(now time.Duration) Action {
	if now >= r.Deadline {
		return Action{Response: r.giveUp(now, "no server in time")}
	}
	action, ok := r.pick(now)
	if !ok && r.unhealthyRejection { // an unhealthy server is better than no server
		r.unhealthyRejection = false
		r.readmitRejecting()
		action, ok = r.pick(now)
	}
	if ok {
		return action
	}
	// No server has a free slot. After maxWait, the request is refused, and its client may retry.
	r.recordSaturation(now)
	if now-r.waitingSince > r.maxWait() {
		return Action{Response: r.giveUp(now, "no server has room")}
	}
	r.readmitRejecting()
	return Action{Wait: min(queueRetryPause, r.Deadline-now)}
}

// recordSaturation reports to the gate, once per request, that no server has a free slot. If it reported only requests that
// cannot be queued either, the gate would detect an overload too late, when all queues are full.
func (r *Request) recordSaturation(now time.Duration) {
	if !r.saturationRecorded {
		r.saturationRecorded = true
		r.service.gate.RecordCapacity(now, false)
	}
}

// readmitRejecting makes servers that rejected the request candidates again, as they may have a free slot by now.
func (r *Request) readmitRejecting() {
	r.excluded = append(append(r.excluded[:0], r.reached...), r.inFlight...)
}

// pick picks a server and records an attempt in flight. It returns false if there is no server.
func (r *Request) pick(now time.Duration) (Action, bool) {
	id, unhealthy, ok := r.service.picker.Pick(now, r.excluded)
	if !ok {
		return Action{}, false
	}
	r.service.picker.Begin(id)
	action := Action{Server: id, IgnoreEjection: unhealthy, Retry: r.mayHaveRun || len(r.inFlight) > 0, MayQueue: r.rejections >= immediateAttempts || !r.service.gate.LowPressure(now), TypicalLatency: r.TypicalLatency()}
	if r.rejections >= immediateAttempts {
		r.recordSaturation(now)
	}
	r.inFlight = append(r.inFlight, id)
	r.excluded = append(r.excluded, id)
	return action, true
}

// maxWait returns how long the request may wait for a server. Inner calls do not wait longer, although their failure fails
// the whole graph: a waiting call occupies a slot of its caller.
func (r *Request) maxWait() time.Duration {
	return max(minWait, r.Route.TargetLatency()/maxWaitDivisor)
}

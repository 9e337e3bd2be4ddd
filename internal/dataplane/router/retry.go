package router

import (
	"time"
)

const (
	retryMinProbability = 0.999 // admission probability of a priority below which its requests are not retried
	retryAfterDivisor   = 3     // clients honor a Retry-After of up to their remaining time divided by this
)

// mayRetry reports whether the request may be sent to another server. If so, it charges the retry budget. Requests are not
// retried while the gate of the service or of a downstream service refuses requests of their priority, because retries would
// add to the overload.
func (r *Request) mayRetry(now time.Duration) bool {
	if len(r.reached)+len(r.inFlight) >= max(1, r.Route.MaxAttempts) || r.service.gate.Probability(now, r.Route.Priority) < retryMinProbability {
		return false
	}
	for _, g := range r.table.downstreamGates(now, r.Route) {
		if g.DownstreamProbability(now, r.Route.Priority) < retryMinProbability {
			return false
		}
	}
	return r.service.budget.Spend(now)
}

// giveUp returns the response to a request that gets no further attempt: 502 if it may have run, 503 with a Retry-After
// otherwise.
func (r *Request) giveUp(now time.Duration, reason string) *Response {
	if r.mayHaveRun {
		return &Response{Status: 502, Reason: reason}
	}
	return &Response{503, reason, r.table.retryAfter(now, r.service, &r.Arrival)}
}

// retryAfter returns the Retry-After for a request that has not run. It is limited because clients ignore a Retry-After that
// takes too much of their remaining time.
func (t *Table) retryAfter(now time.Duration, s *service, arrival *Arrival) time.Duration {
	probability := s.gate.GraphProbability(now, arrival.Route.Priority, t.downstreamGates(now, arrival.Route)...)
	return s.gate.RetryAfter(arrival.Route.TargetLatency(), (arrival.Deadline-now)/retryAfterDivisor, probability)
}

package router

import (
	"time"
)

const (
	retryMinProbability = 0.999 // probability of admission of such requests, below which none is retried
	retryAfterDivisor   = 3     // clients heed a Retry-After of up to this part of the time that they have left
)

// mayRetry reports whether the request may be sent to one more server, and withdraws from the retry budget. Where a gate has
// begun to refuse such requests, the service's own or a downstream one's, retries would only add to the load.
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

// giveUp is the response to a request without a further attempt.
func (r *Request) giveUp(now time.Duration, reason string) *Response {
	if r.mayHaveRun {
		return &Response{Status: 502, Reason: reason}
	}
	return &Response{503, reason, r.table.retryAfter(now, r.service, &r.Arrival)}
}

// retryAfter is the Retry-After for a request that has not run. Clients do not heed one that is longer than a part of the
// time that they have left.
func (t *Table) retryAfter(now time.Duration, s *service, e *Arrival) time.Duration {
	probability := s.gate.GraphProbability(now, e.Route.Priority, t.downstreamGates(now, e.Route)...)
	return s.gate.RetryAfter(e.Route.TargetLatency(), (e.Deadline-now)/retryAfterDivisor, probability)
}

package router

import (
	"time"
)

const (
	hedgeLatencyFactor    = 2                     // multiple of the typical latency after which an idempotent request is hedged
	minHedgeLatencyFactor = 1.4                   // lower bound of that multiple for requests that would miss their latency target
	minHedgeDelay         = 50 * time.Millisecond // lower bound of the hedge delay
	hedgeBudgetReserve    = 3                     // retries that hedging leaves for failed requests
	hedgeShare            = 0.02                  // maximum share of a service's requests that is hedged; if all are slow, hedging does not help
	maxHedgeTokens        = 2                     // maximum number of hedged attempts in a burst
)

// HedgeDelay returns the duration of an attempt after which Hedge may be called, or 0 if the request must not be hedged. If
// an attempt takes much longer than is typical for its route, the server is slow or the response is lost, and a second
// attempt is likely to end first.
func (r *Request) HedgeDelay() time.Duration {
	typical := r.TypicalLatency()
	if r.NonIdempotent() || typical == 0 {
		return 0
	}
	delay := hedgeLatencyFactor * typical
	if target := r.Route.TargetLatency(); delay+typical > target {
		delay = max(time.Duration(minHedgeLatencyFactor*float64(typical)), target-typical)
	}
	return max(minHedgeDelay, delay)
}

// Hedge returns a second attempt while the first is in flight, if the service is idle and the retry budget allows it. The
// first successful response is forwarded.
func (r *Request) Hedge(now time.Duration) (Action, bool) {
	s := r.service
	if r.NonIdempotent() || len(r.inFlight) != 1 || s.hedgeTokens < 1 || !s.gate.Idle(now) || s.budget.Available(now) < hedgeBudgetReserve || !r.mayRetry(now) {
		return Action{}, false
	}
	s.hedgeTokens--
	return r.pick(now)
}

package router

import (
	"time"
)

const (
	hedgeLatencyFactor    = 2                     // typical latencies after which an idempotent request is hedged ...
	minHedgeLatencyFactor = 1.4                   // ... or sooner, if it would miss its target then, but not before this
	minHedgeDelay         = 50 * time.Millisecond // never sooner
	hedgeBudgetReserve    = 3                     // retries that are left for requests that have failed
	hedgeShare            = 0.02                  // of a service's requests: where all are slow, no server is better
	maxHedgeTokens        = 2                     // hedged requests that may be saved up
)

// HedgeDelay is how long an attempt may take before Hedge may be called; 0: it may not. A run that takes far longer than its
// like has met a slow server, or its answer is lost; a second one is likely to end before it.
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
// first answer of the two is the final one.
func (r *Request) Hedge(now time.Duration) (Action, bool) {
	s := r.service
	if r.NonIdempotent() || len(r.inFlight) != 1 || s.hedgeTokens < 1 || !s.gate.Idle(now) || s.budget.Available(now) < hedgeBudgetReserve || !r.mayRetry(now) {
		return Action{}, false
	}
	s.hedgeTokens--
	return r.pick(now)
}

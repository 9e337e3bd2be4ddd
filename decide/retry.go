package decide

import "time"

// Attempts, retries and hedged requests of a call.
const (
	pickRetryInterval = 10 * time.Millisecond // wait before another pick if no server is usable
	retryBudgetRatio  = 0.2                   // tokens that each new call adds to the retry budget
	retryBudgetBurst  = 10                    // capacity of the retry budget
	// multiple of the mean latency after which an attempt is late
	lateLatencyFactor = 4
	minMeanLatency    = 0.1 // lower bound of that mean, in multiples of the latency target
	noIdleBucket      = -1  // bucket of a connection that is new or was idle for less than minIdleTime

	// A keyed request may be repeated for this share of KeyTTL.
	keyTTLNumerator, keyTTLDenominator = 9, 10
)

// retryBudget is a token bucket for retries and hedged requests. Each new call adds tokens.
type retryBudget struct{ tokens float64 }

func (r *retryBudget) deposit() { r.tokens = min(r.tokens+retryBudgetRatio, retryBudgetBurst) }

func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) withdraw() { r.tokens-- }

// attempt is one send of a request.
type attempt struct {
	server     *server
	sent       time.Duration
	lateAt     time.Duration
	idleBucket int // bucket of the idle time of its connection, or noIdleBucket
	late       bool
	done       bool
	result     Result // valid if done is set
}

// send makes the next attempt of a call. If no server is usable, it sets a timer for another pick.
func (b *Balancer) send(c *call) {
	remaining := c.deadline - b.now
	if remaining <= 0 || b.keyExpired(c) {
		b.refuseOrFail(c)
		return
	}
	s := b.pick(c)
	if s == nil {
		if c.pendingAttempts == 0 { // a hedged request does not wait
			b.emit(Action{Kind: After, Token: c.ID, Wait: min(pickRetryInterval, remaining)})
		}
		return
	}
	if b.slowStartShare(s) < 1 {
		s.slowStartTokens--
	}
	s.inflight++
	s.zone.inflight++
	late := b.lateLatency(c)
	bucket := b.takeConnection(s)
	c.attempts = append(c.attempts, attempt{server: s, sent: b.now, lateAt: b.now + late, idleBucket: bucket})
	c.pendingAttempts++
	b.emit(Action{Kind: Send, Request: c.ID, Server: s.ID, Wait: remaining})
	if bucket != noIdleBucket && late < remaining {
		b.emit(Action{Kind: After, Token: c.ID, Wait: late})
	}
}

// keyExpired reports whether servers may no longer recognize a repeat of a keyed call that may have run.
func (b *Balancer) keyExpired(c *call) bool {
	class := &b.settings.Classes[c.Class]
	return c.mayHaveRun && class.Effect == Keyed && b.now-c.mayHaveRunAt > repeatWindow(class)
}

// repeatWindow returns the time for which a request of a keyed class may be repeated.
func repeatWindow(class *Class) time.Duration {
	return class.KeyTTL * keyTTLNumerator / keyTTLDenominator
}

// lateLatency returns the time after which an attempt is late; few answers take longer.
func (b *Balancer) lateLatency(c *call) time.Duration {
	mean := max(b.meanLatency, minMeanLatency)
	return time.Duration(lateLatencyFactor * mean * float64(b.latencyTarget(&c.Request)))
}

// checkLateAttempts marks attempts without an answer after lateLatency as late. If the connection of a late
// attempt is considered dead, the request has probably not reached the server: a hedged request is sent if
// that is safe and within the retry budget. Hedging a request that is only slow costs more than it saves, as
// the first attempt continues.
func (b *Balancer) checkLateAttempts(c *call) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.done || a.late || b.now < a.lateAt {
			continue
		}
		a.late = true
		b.recordIdleOutcome(a, true)
		if a.idleBucket >= b.deadIdleBucket && b.mayHedge(c, a) {
			b.retryBudget.withdraw()
			b.recordMayHaveRun(c, a)
			b.send(c)
			return
		}
	}
}

// mayHedge reports whether a hedged request may be sent in addition to an attempt.
func (b *Balancer) mayHedge(c *call, a *attempt) bool {
	class := &b.settings.Classes[c.Class]
	firstSent := a.sent
	if c.mayHaveRun {
		firstSent = c.mayHaveRunAt
	}
	switch {
	case !b.settings.MayHedge, class.Effect == NonIdempotent:
		return false
	case c.pendingAttempts != 1, len(c.attempts) >= b.settings.MaxAttempts, c.deadline <= b.now:
		return false
	case !b.retryBudget.available():
		return false
	}
	return class.Effect != Keyed || b.now-firstSent < repeatWindow(class)
}

// recordMayHaveRun records the first attempt of a call that may have run.
func (b *Balancer) recordMayHaveRun(c *call, a *attempt) {
	if !c.mayHaveRun {
		c.mayHaveRun, c.mayHaveRunAt, c.mayHaveRunOn = true, a.sent, a.server
	}
}

// retryOrEnd retries a call or ends it. A retry needs a token of the budget even if the request has not run:
// otherwise the retries of attempts that a full tier rejects would multiply from tier to tier and keep it
// full. A retry after a failure to connect needs no token, as the attempt has reached no server's queue.
func (b *Balancer) retryOrEnd(c *call) {
	class := &b.settings.Classes[c.Class]
	exempt := c.attempts[len(c.attempts)-1].result == Unconnected
	stop := len(c.attempts) >= b.settings.MaxAttempts || b.now >= c.deadline ||
		!exempt && !b.retryBudget.available() || c.mayHaveRun && class.Effect == NonIdempotent
	if stop {
		b.refuseOrFail(c)
		return
	}
	if !exempt {
		b.retryBudget.withdraw()
	}
	b.send(c)
}

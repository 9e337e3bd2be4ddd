package decide

import "time"

// Attempts, retries and hedged requests of a call.
const (
	pickRetryInterval = 10 * time.Millisecond // wait before another pick if no server is usable
	retryBudgetRatio  = 0.2                   // retries earned by each first attempt
	retryBudgetBurst  = 10                    // retries that may be saved up
	// mean latencies after which an attempt is late: few answers take longer
	lateLatencyFactor = 4
	minMeanLatency    = 0.1 // of that mean, in multiples of the latency target
	noIdleBucket      = -1  // of an attempt on a connection that was not idle for long

	// A keyed request may be repeated for this share of the time during which repeats are dropped.
	keyTTLNumerator, keyTTLDenominator = 9, 10
)

// retryBudget is a token bucket for retries and hedged requests: first attempts earn tokens.
type retryBudget struct{ tokens float64 }

func (r *retryBudget) deposit() { r.tokens = min(r.tokens+retryBudgetRatio, retryBudgetBurst) }

func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) withdraw() { r.tokens-- }

// attempt is one send of a request.
type attempt struct {
	server     *server
	sent       time.Duration
	lateAt     time.Duration
	idleBucket int // of the idle time of its connection; noIdleBucket: it was not idle for long
	late       bool
	done       bool
	result     Result // if done
}

// send makes the next attempt of a call, or waits until a server is usable.
func (b *Balancer) send(c *call) {
	left := c.deadline - b.now
	if left <= 0 || b.keyExpired(c) {
		b.refuseOrFail(c)
		return
	}
	s := b.pick(c)
	if s == nil {
		if c.pendingAttempts == 0 { // a hedged request does not wait
			b.emit(Action{Kind: After, Token: c.ID, Wait: min(pickRetryInterval, left)})
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
	b.emit(Action{Kind: Send, Request: c.ID, Server: s.ID, Wait: left})
	if bucket != noIdleBucket && late < left {
		b.emit(Action{Kind: After, Token: c.ID, Wait: late})
	}
}

// keyExpired reports whether servers may no longer recognise a repeat of a keyed call that may have run.
func (b *Balancer) keyExpired(c *call) bool {
	class := &b.settings.Classes[c.Class]
	return c.mayHaveRun && class.Effect == Keyed && b.now-c.mayHaveRunAt > repeatable(class)
}

// repeatable is the time for which a request of a keyed class may be repeated.
func repeatable(class *Class) time.Duration {
	return class.KeyTTL * keyTTLNumerator / keyTTLDenominator
}

// lateLatency is the time that all but few answers take.
func (b *Balancer) lateLatency(c *call) time.Duration {
	mean := max(b.meanLatency, minMeanLatency)
	return time.Duration(lateLatencyFactor * mean * float64(b.latencyTarget(&c.Request)))
}

// checkLateAttempts finds attempts without an answer after lateLatency. One on a connection that proves dead
// hardly reached its server: a hedged request is sent if that is harmless and within the retry budget.
// Hedging what is merely slow costs more than it saves, as the first attempt goes on.
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
			b.noteMayHaveRun(c, a)
			b.send(c)
			return
		}
	}
}

// mayHedge reports whether a hedged request may be sent beside an attempt.
func (b *Balancer) mayHedge(c *call, a *attempt) bool {
	class := &b.settings.Classes[c.Class]
	since := a.sent
	if c.mayHaveRun {
		since = c.mayHaveRunAt
	}
	switch {
	case !b.settings.MayHedge, class.Effect == NonIdempotent:
		return false
	case c.pendingAttempts != 1, len(c.attempts) >= b.settings.MaxAttempts, c.deadline <= b.now:
		return false
	case !b.retryBudget.available():
		return false
	}
	return class.Effect != Keyed || b.now-since < repeatable(class)
}

// noteMayHaveRun notes that an attempt may have run.
func (b *Balancer) noteMayHaveRun(c *call, a *attempt) {
	if !c.mayHaveRun {
		c.mayHaveRun, c.mayHaveRunAt, c.mayHaveRunOn = true, a.sent, a.server
	}
}

// retryOrEnd decides between a retry and the final answer. Retries draw on the budget also where nothing has
// run: attempts that a full tier rejects would else multiply from tier to tier into the storm that keeps it
// full. Attempts without a connection have reached no server's queue, and their retries are free.
func (b *Balancer) retryOrEnd(c *call) {
	class := &b.settings.Classes[c.Class]
	free := c.attempts[len(c.attempts)-1].result == Unconnected
	stop := len(c.attempts) >= b.settings.MaxAttempts || b.now >= c.deadline ||
		!free && !b.retryBudget.available() || c.mayHaveRun && class.Effect == NonIdempotent
	if stop {
		b.refuseOrFail(c)
		return
	}
	if !free {
		b.retryBudget.withdraw()
	}
	b.send(c)
}

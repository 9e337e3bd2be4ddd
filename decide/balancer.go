package decide

import (
	"math/rand/v2"
	"time"
)

// PCG streams: Balancer, Gate and Picker draw different random numbers from the same seed.
const (
	balancerStream = 0x9e3779b97f4a7c15
	gateStream     = 0x6a7e
	pickerStream   = 0x91c4
)

// listTimerToken is the token of the timer for requests of the server list. Other tokens are request IDs.
const listTimerToken = 1 << 62

// call is a request without a final answer.
type call struct {
	Request
	arrived         time.Duration
	deadline        time.Duration // time after which an answer has no value
	attempts        []attempt
	pendingAttempts int           // attempts without an outcome
	mayHaveRun      bool          // whether an attempt that ended or was hedged may have run
	mayHaveRunAt    time.Duration // time at which the first such attempt was sent
	mayHaveRunOn    *server       // server to which it was sent
}

// Balancer is the load-balancing policy of one node. It must not be used concurrently. Its handlers append
// the resulting actions to out and return the extended slice. The embedded structs hold the state of its
// parts.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the current event
	actions  []Action      // actions of the current event
	calls    map[uint64]*call

	admission       // admission.go: admission at the front proxy
	endpoints       // subset.go: the servers, and the subset of this node
	latencies       // p2c.go: response times of servers
	retryBudget     // retry.go
	idleConnections // idle_connections.go
	listWatch       // subset.go: the watch on the list of servers
}

// New returns the policy of a node that starts at now.
func New(settings Settings, seed uint64, now time.Duration) *Balancer {
	return &Balancer{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(seed, balancerStream)),
		now:             now,
		calls:           map[uint64]*call{},
		admission:       newAdmission(&settings, now),
		endpoints:       endpoints{servers: map[string]*server{}, zones: map[string]*zone{}},
		latencies:       latencies{serviceRateAt: now},
		retryBudget:     retryBudget{tokens: retryBudgetBurst},
		idleConnections: idleConnections{deadIdleBucket: idleTimeBuckets},
	}
}

// beginEvent sets the time and the action buffer of an event, and ends the latency period if it is over.
// Every handler calls it first.
func (b *Balancer) beginEvent(now time.Duration, out []Action) {
	b.latencySum += b.pendingLatencyRate * float64(now-b.now)
	b.now, b.actions = now, out
	if now < b.periodEnd {
		return
	}
	b.endLatencyPeriod()
	b.growCapacity()
	b.decayIdleOutcomes()
	b.periodEnd = now + latencyPeriod
}

// emit adds an action to those of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// Request handles a new call: a front proxy admits or refuses it, and an admitted call is sent to a server. A
// call of an unknown class fails, a repeated ID is ignored, and an unknown tenant is treated as no tenant.
func (b *Balancer) Request(now time.Duration, r Request, out []Action) []Action {
	b.beginEvent(now, out)
	if b.calls[r.ID] != nil {
		return b.actions
	}
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		b.emit(Action{Kind: Fail, Request: r.ID})
		return b.actions
	}
	c := &call{Request: r, arrived: now, deadline: now + r.TTL}
	value := b.valueOf(&r)
	targetLeft := b.latencyTargetLeft(&r)
	if b.settings.Tier == 0 && b.settings.Classes[r.Class].LateValueShare == 0 {
		// An answer after the latency target has no value: end the call before it to save the servers' work.
		if targetLeft <= b.settings.AnswerGrace {
			value = 0
		} else {
			c.deadline = min(c.deadline, now+targetLeft-b.settings.AnswerGrace)
		}
	}
	b.recordArrival(value)
	if b.settings.Tier == 0 && len(b.calls) > 0 && b.rng.Float64() >= b.admissionProbability(value) {
		b.concurrencyLimited = b.concurrencyLimited || b.concurrencyRatio() > 1
		b.emit(Action{Kind: Refuse, Request: r.ID, Wait: b.retryAfter(targetLeft)})
		return b.actions
	}
	b.calls[r.ID] = c
	b.pendingLatencyRate += 1 / float64(max(1, b.latencyTarget(&r)))
	b.retryBudget.deposit()
	b.send(c)
	return b.actions
}

// Outcome handles the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome, out []Action) []Action {
	b.beginEvent(now, out)
	c := b.calls[o.Request]
	if c != nil && (o.Attempt < 0 || o.Attempt >= len(c.attempts) || c.attempts[o.Attempt].done) {
		return b.actions // no attempt of this call, or a repeated outcome
	}
	b.recordServerOutcome(&o)
	if c == nil {
		return b.actions
	}
	b.recordAttemptOutcome(c, &o)
	if o.Final {
		b.finish(c, 0)
		return b.actions
	}
	if o.Result != Full && o.Result != Unconnected && o.Result != NotSent {
		b.recordMayHaveRun(c, &c.attempts[o.Attempt])
	}
	if c.pendingAttempts == 0 {
		b.retryOrEnd(c)
	}
	return b.actions
}

// recordServerOutcome updates the state of the server of an attempt that ended.
func (b *Balancer) recordServerOutcome(o *Outcome) {
	s := b.servers[o.Server]
	if s == nil {
		return
	}
	s.inflight = max(0, s.inflight-1)
	s.zone.inflight = max(0, s.zone.inflight-1)
	b.recordResult(s, o.Result)
	if s.Health == Removed && s.inflight == 0 {
		delete(b.servers, o.Server)
	}
}

// recordAttemptOutcome marks an attempt as done, and records the result of its connection and its latency.
func (b *Balancer) recordAttemptOutcome(c *call, o *Outcome) {
	a := &c.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	b.recordConnection(a)
	c.pendingAttempts--
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	latency, target := o.Elapsed, b.latencyTarget(&c.Request)
	if o.Result != Served { // otherwise a server that fails fast would look fast and attract all calls
		latency = max(latency, target)
	}
	b.recordLatency(a.server, float64(latency)/float64(max(1, target)))
}

// refuseOrFail ends a call without an answer from a server. A refusal tells the client that a retry is safe,
// so it is sent only if that is true.
func (b *Balancer) refuseOrFail(c *call) {
	class := &b.settings.Classes[c.Class]
	retrySafe := !c.mayHaveRun || class.Effect == Idempotent ||
		class.Effect == Keyed && class.Group == GroupAll
	if retrySafe && b.now < c.deadline {
		wait := b.retryAfter(b.latencyTarget(&c.Request) - (b.now - c.arrived))
		b.emit(Action{Kind: Refuse, Request: c.ID, Wait: wait})
	} else {
		b.emit(Action{Kind: Fail, Request: c.ID})
	}
	b.finish(c, b.latencyTarget(&c.Request))
}

// finish removes a finished call and records its response time, in multiples of its latency target, but at
// least minLatency. For a refused or failed call, refuseOrFail passes the latency target: otherwise fast
// failures would look like a fast service, and more calls would be admitted.
func (b *Balancer) finish(c *call, minLatency time.Duration) {
	delete(b.calls, c.ID)
	target := float64(max(1, b.latencyTarget(&c.Request)))
	b.pendingLatencyRate = max(0, b.pendingLatencyRate-1/target)
	b.latencySum += float64(max(0, minLatency-(b.now-c.arrived))) / target
	b.periodOutcomes++
}

// Probed handles the result of a probe. This policy sends no probes.
func (b *Balancer) Probed(now time.Duration, _ Probed, out []Action) []Action {
	b.beginEvent(now, out)
	return b.actions
}

// Timer handles the expiry of a timer.
func (b *Balancer) Timer(now time.Duration, t Timer, out []Action) []Action {
	b.beginEvent(now, out)
	if t.Token == listTimerToken {
		b.requestList()
		return b.actions
	}
	if c := b.calls[t.Token]; c != nil && c.pendingAttempts == 0 {
		b.send(c)
	} else if c != nil {
		b.checkLateAttempts(c)
	}
	return b.actions
}

// ClientGone handles the disconnection of a client: it ends the call and cancels its pending attempts.
func (b *Balancer) ClientGone(now time.Duration, g ClientGone, out []Action) []Action {
	b.beginEvent(now, out)
	c := b.calls[g.Request]
	if c == nil {
		return b.actions
	}
	b.finish(c, 0)
	for i := range c.attempts {
		if b.settings.MayCancel && !c.attempts[i].done {
			b.emit(Action{Kind: Cancel, Request: c.ID, Attempt: i})
		}
	}
	return b.actions
}

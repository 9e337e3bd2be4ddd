package decide

import (
	"math/rand/v2"
	"time"
)

// The streams of random numbers of one seed: each kind of decider has its own.
const (
	balancerStream = 0x9e3779b97f4a7c15
	gateStream     = 0x6a7e
	pickerStream   = 0x91c4
)

// listTimerToken is the token of the timer that asks for the list of servers; other tokens are requests' ids.
const listTimerToken = 1 << 62

// call is a request that still needs its final answer.
type call struct {
	Request
	arrived         time.Duration
	deadline        time.Duration // an answer is of use until then
	attempts        []attempt
	pendingAttempts int           // attempts without an outcome
	mayHaveRun      bool          // an attempt may have run ...
	mayHaveRunAt    time.Duration // ... that was sent first at this time ...
	mayHaveRunOn    *server       // ... to this server
}

// Balancer decides for one node. It belongs to one goroutine. Its parts, each with a file of its own, share
// the present time and the list of actions.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // of the present event
	actions  []Action      // of the present event
	calls    map[uint64]*call

	admission       // admission.go: which calls are admitted at the front
	endpoints       // subset.go: the servers, and the subset of this node
	latencies       // p2c.go: response times of servers
	retryBudget     // retry.go
	idleConnections // idle_connections.go
	listWatch       // subset.go: the watch on the list of servers
}

// New returns the decisions of a node that starts now.
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

// beginEvent takes an event's time and buffer; every handler calls it first.
func (b *Balancer) beginEvent(now time.Duration, out []Action) {
	b.latencySum += b.pendingLatencyRate * float64(now-b.now)
	b.now, b.actions = now, out
	if now < b.periodEnd {
		return
	}
	b.endLatencyPeriod()
	b.growCapacity()
	b.fadeIdleOutcomes()
	b.periodEnd = now + latencyPeriod
}

// emit adds an action to those of the present event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// Request takes a new call: it is admitted or refused at the front, then sent to a server. A call of an
// unknown class fails, a repeated id is ignored, an unknown tenant counts as none.
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
		// An answer past the latency target has no value: stop before it, and spare the servers.
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

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome, out []Action) []Action {
	b.beginEvent(now, out)
	c := b.calls[o.Request]
	if c != nil && (o.Attempt < 0 || o.Attempt >= len(c.attempts) || c.attempts[o.Attempt].done) {
		return b.actions // not an attempt of this node, or a repeated outcome
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
		b.noteMayHaveRun(c, &c.attempts[o.Attempt])
	}
	if c.pendingAttempts == 0 {
		b.retryOrEnd(c)
	}
	return b.actions
}

// recordServerOutcome takes what an outcome says of its server.
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

// recordAttemptOutcome takes what an outcome says of its attempt: of the connection and of the latency.
func (b *Balancer) recordAttemptOutcome(c *call, o *Outcome) {
	a := &c.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	b.recordConnection(a)
	c.pendingAttempts--
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	took, target := o.Elapsed, b.latencyTarget(&c.Request)
	if o.Result != Served { // else a server that fails fast would seem fast, and attract all calls
		took = max(took, target)
	}
	b.recordLatency(a.server, float64(took)/float64(max(1, target)))
}

// refuseOrFail gives the final answer. A refusal promises that a retry is harmless, so it is given only if
// that is true.
func (b *Balancer) refuseOrFail(c *call) {
	class := &b.settings.Classes[c.Class]
	harmless := !c.mayHaveRun || class.Effect == Idempotent ||
		class.Effect == Keyed && class.Group == GroupAll
	if harmless && b.now < c.deadline {
		wait := b.retryAfter(b.latencyTarget(&c.Request) - (b.now - c.arrived))
		b.emit(Action{Kind: Refuse, Request: c.ID, Wait: wait})
	} else {
		b.emit(Action{Kind: Fail, Request: c.ID})
	}
	b.finish(c, b.latencyTarget(&c.Request))
}

// finish forgets a finished call and records its response time, in multiples of its latency target. One that
// was not served counts with its target at least: else quick failures would seem a fast service and admit
// more.
func (b *Balancer) finish(c *call, minLatency time.Duration) {
	delete(b.calls, c.ID)
	target := float64(max(1, b.latencyTarget(&c.Request)))
	b.pendingLatencyRate = max(0, b.pendingLatencyRate-1/target)
	b.latencySum += float64(max(0, minLatency-(b.now-c.arrived))) / target
	b.periodOutcomes++
}

// Probed takes the result of a probe. This policy sends none.
func (b *Balancer) Probed(now time.Duration, _ Probed, out []Action) []Action {
	b.beginEvent(now, out)
	return b.actions
}

// Timer takes a due After.
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

// ClientGone takes the news that a client has left.
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

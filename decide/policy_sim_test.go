package decide

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// policySim sends a Balancer random valid events and checks every action against the rules of the protocol:
// each request gets one answer in time, runs no more often than its effect allows, is sent to no draining or
// removed server, and does not overload a starting server.
type policySim struct {
	t               *testing.T
	settings        Settings
	rng             *rand.Rand
	balancer        *Balancer
	now             time.Duration
	buf             []Action
	servers         map[string]*simServer
	ids             []string
	openRequests    map[uint64]*openRequest
	pendingOutcomes []pendingOutcome
	timers          []timer
	nextID          uint64
	slowStartSends  map[string][]time.Duration // times of the sends to each server in slow start
	expectViolation bool                       // fail panics with a violation instead of failing the test
}

type simServer struct {
	Server
	unavailable bool // draining or removed
}

type openRequest struct {
	Request
	deadline time.Duration
	attempts []simAttempt
}

type simAttempt struct {
	server     *simServer
	sentAt     time.Duration
	pending    bool
	mayHaveRun bool
}

type pendingOutcome struct {
	at      time.Duration
	request uint64
	attempt int
	server  string
	result  Result
	elapsed time.Duration
}

type timer struct {
	at    time.Duration
	token uint64
}

// violation is the panic value of fail in tests that break a rule on purpose.
type violation string

func (sim *policySim) fail(format string, args ...any) {
	sim.t.Helper()
	if sim.expectViolation {
		panic(violation(fmt.Sprintf(format, args...)))
	}
	sim.t.Fatalf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
}

func newPolicySim(t *testing.T, seed uint64) *policySim {
	rng := rand.New(rand.NewPCG(seed, 1))
	zones := []string{"x", "y", "z"}[:1+rng.IntN(3)]
	settings := Settings{
		Node: rng.IntN(3), Nodes: 3, Tier: rng.IntN(3), Zone: zones[0], ListOnRequest: rng.IntN(2) == 0,
		ListRequestInterval: 4 * time.Second, SlowStartMinShare: 0.3, SlowStartDuration: 5 * time.Second, OverloadFactor: 3, OverloadDuration: 2 * time.Second,
		AnswerGrace: 8 * ms, MaxAttempts: 1 + rng.IntN(6), MaxRetryAfter: time.Duration(rng.IntN(2)) * time.Second,
		MayHedge: rng.IntN(2) == 0, MayCancel: rng.IntN(2) == 0, MaySetRetryAfter: rng.IntN(2) == 0,
		OverQuotaValue: 0.2,
	}
	for effect := Idempotent; effect <= NonIdempotent; effect++ {
		for group := GroupAll; group <= GroupCell; group++ {
			settings.Classes = append(settings.Classes, Class{
				LatencyTarget: 300 * ms, Deadline: 900 * ms, Value: float64(1 + rng.IntN(3)), LateValueShare: float64(rng.IntN(2)) / 2,
				Effect: effect, Group: group, KeyTTL: 400 * ms,
			})
		}
	}
	if rng.IntN(2) == 0 {
		settings.Tenants = []Tenant{{Quota: 30}, {}}
	}
	sim := &policySim{
		t: t, settings: settings, rng: rng, now: time.Second, servers: map[string]*simServer{}, openRequests: map[uint64]*openRequest{},
		slowStartSends: map[string][]time.Duration{}, balancer: New(settings, seed, time.Second),
	}
	first := make([]Server, rng.IntN(9))
	for i := range first {
		first[i] = sim.newServer(zones)
	}
	sim.members(Members{ListStored, first})
	return sim
}

func (sim *policySim) newServer(zones []string) Server {
	id := fmt.Sprintf("s%d", len(sim.ids))
	sim.ids = append(sim.ids, id)
	s := Server{ID: id, Zone: zones[sim.rng.IntN(len(zones))], Cell: sim.rng.IntN(3), Weight: float64(sim.rng.IntN(3))}
	if sim.rng.IntN(3) == 0 {
		s.Started = sim.now - time.Duration(sim.rng.IntN(900))*ms
	}
	return s
}

func (sim *policySim) members(m Members) {
	if m.Change == ListFull || m.Change == ListStored {
		for _, s := range sim.servers {
			s.unavailable = true
		}
	}
	for _, e := range m.Servers {
		sim.servers[e.ID] = &simServer{Server: e, unavailable: e.Health != Healthy}
	}
	sim.apply(sim.balancer.Members(sim.now, m, sim.buf[:0]))
}

// step advances the time by at least one millisecond and delivers the events that are due. After until, it
// creates no new events.
func (sim *policySim) step(zones []string, until time.Duration) {
	sim.now += ms
	if sim.rng.IntN(700) == 0 { // the node is paused, and then receives all events of that time
		sim.now += time.Duration(sim.rng.IntN(400)) * ms
	}
	for _, outcome := range sim.due() {
		request := sim.openRequests[outcome.request]
		if request != nil {
			request.attempts[outcome.attempt].pending = false
			request.attempts[outcome.attempt].mayHaveRun = outcome.result != Full && outcome.result != Unconnected && outcome.result != NotSent
		}
		final := outcome.result == Served && request != nil && sim.now <= request.deadline
		sim.handle(func(out []Action) []Action {
			return sim.balancer.Outcome(sim.now, Outcome{outcome.request, outcome.attempt, outcome.server, outcome.result, outcome.elapsed, final}, out)
		}, func() {
			if final {
				delete(sim.openRequests, outcome.request)
			}
		})
	}
	for i := 0; i < len(sim.timers); i++ {
		if tm := sim.timers[i]; tm.at <= sim.now {
			sim.timers = append(sim.timers[:i], sim.timers[i+1:]...)
			i--
			sim.apply(sim.balancer.Timer(sim.now, Timer{tm.token}, sim.buf[:0]))
		}
	}
	if sim.now < until {
		sim.randomEvent(zones)
	}
	for id, request := range sim.openRequests {
		if sim.now > request.deadline+sim.settings.AnswerGrace {
			sim.fail("request %d got no final answer", id)
		}
	}
}

// handle calls before, passes an event to the Balancer and applies the resulting actions.
func (sim *policySim) handle(event func([]Action) []Action, before func()) {
	before()
	sim.apply(event(sim.buf[:0]))
}

func (sim *policySim) due() []pendingOutcome {
	var due, rest []pendingOutcome
	for _, outcome := range sim.pendingOutcomes {
		if outcome.at <= sim.now {
			due = append(due, outcome)
		} else {
			rest = append(rest, outcome)
		}
	}
	sim.pendingOutcomes = rest
	return due
}

func (sim *policySim) randomEvent(zones []string) {
	switch p := sim.rng.IntN(1000); {
	case p < 200:
		sim.nextID++
		tenant := -1
		if n := len(sim.settings.Tenants); n > 0 {
			tenant = sim.rng.IntN(n+1) - 1
		}
		r := Request{
			ID: sim.nextID, Class: sim.rng.IntN(len(sim.settings.Classes)), Tenant: tenant,
			TTL: time.Duration(sim.rng.IntN(800)) * ms, Work: time.Duration(sim.rng.IntN(2)) * 20 * ms,
		}
		sim.openRequests[r.ID] = &openRequest{Request: r, deadline: sim.now + r.TTL}
		sim.apply(sim.balancer.Request(sim.now, r, sim.buf[:0]))
	case p < 203:
		sim.members(Members{ListDelta, []Server{sim.newServer(zones)}})
	case p < 208 && len(sim.ids) > 0:
		if s := sim.servers[sim.ids[sim.rng.IntN(len(sim.ids))]]; s != nil {
			e := s.Server
			e.Health = Health(sim.rng.IntN(3))
			if e.Health == Healthy {
				e.Started = sim.now
			}
			sim.members(Members{ListDelta, []Server{e}})
		}
	case p < 209:
		var full []Server
		for _, id := range sim.ids {
			if s := sim.servers[id]; s != nil && !s.unavailable && sim.rng.IntN(5) > 0 {
				full = append(full, s.Server)
			}
		}
		sim.members(Members{ListFull, full})
	case p < 210 && sim.settings.ListOnRequest:
		sim.members(Members{ListFailed, nil})
	case p < 215:
		if ids := slices.Sorted(maps.Keys(sim.openRequests)); len(ids) > 0 && ids[0]%7 == 0 {
			delete(sim.openRequests, ids[0])
			sim.apply(sim.balancer.ClientGone(sim.now, ClientGone{ids[0]}, sim.buf[:0]))
		}
	case p < 217: // events for unknown requests, timers and servers
		sim.apply(sim.balancer.ClientGone(sim.now, ClientGone{1 << 40}, sim.buf[:0]))
		sim.apply(sim.balancer.Timer(sim.now, Timer{1 << 41}, sim.buf[:0]))
		sim.apply(sim.balancer.Outcome(sim.now, Outcome{Request: 1 << 40, Server: "unknown"}, sim.buf[:0]))
		sim.apply(sim.balancer.Probed(sim.now, Probed{Server: "unknown"}, sim.buf[:0]))
	}
}

// apply checks and executes the actions of an event.
func (sim *policySim) apply(actions []Action) {
	for _, a := range actions {
		request := sim.openRequests[a.Request]
		switch a.Kind {
		case Send:
			sim.send(request, a)
		case Refuse, Fail:
			if request == nil {
				sim.fail("second answer to request %d", a.Request)
			}
			if a.Kind == Refuse {
				sim.checkRefusal(request)
				if a.Wait < 0 || a.Wait > sim.settings.MaxRetryAfter || a.Wait > 0 && !sim.settings.MaySetRetryAfter {
					sim.fail("invalid retry-after of %v", a.Wait)
				}
			}
			delete(sim.openRequests, a.Request)
		case After:
			if a.Wait < 0 {
				sim.fail("timer in the past")
			}
			sim.timers = append(sim.timers, timer{sim.now + a.Wait, a.Token})
		case Cancel:
			if !sim.settings.MayCancel {
				sim.fail("cancel, which the settings do not permit")
			}
		case Watch, Fetch:
			if !sim.settings.ListOnRequest {
				sim.fail("request for the server list, which is sent without requests")
			}
		case Probe:
			if !sim.settings.MayProbe {
				sim.fail("probe, which the settings do not permit")
			}
		}
	}
	sim.buf = actions
}

func (sim *policySim) send(request *openRequest, a Action) {
	s := sim.servers[a.Server]
	switch {
	case request == nil:
		sim.fail("send for request %d, which is not open", a.Request)
	case s == nil || s.unavailable:
		sim.fail("send to %s, which is draining or removed", a.Server)
	case len(request.attempts) >= sim.settings.MaxAttempts:
		sim.fail("more than %d attempts", sim.settings.MaxAttempts)
	case a.Wait <= 0 || sim.now+a.Wait > request.deadline:
		sim.fail("attempt with a timeout of %v, %v before the deadline", a.Wait, request.deadline-sim.now)
	}
	class := sim.settings.Classes[request.Class]
	pending := 0
	for _, attempt := range request.attempts {
		if attempt.pending {
			pending++
		}
		if !attempt.pending && !attempt.mayHaveRun {
			continue
		}
		switch {
		case class.Effect == NonIdempotent:
			sim.fail("non-idempotent request could run twice")
		case class.Effect == Keyed && sim.now-attempt.sentAt > class.KeyTTL:
			sim.fail("repeat after the key has expired")
		case class.Effect == Keyed && class.Group == GroupZone && s.Zone != attempt.server.Zone,
			class.Effect == Keyed && class.Group == GroupCell && s.Cell != attempt.server.Cell:
			sim.fail("repeat outside the group that drops it")
		}
	}
	if pending > 1 || pending == 1 && !sim.settings.MayHedge {
		sim.fail("%d concurrent attempts", pending+1)
	}
	request.attempts = append(request.attempts, simAttempt{server: s, sentAt: sim.now, pending: true})
	if s.Started > 0 && sim.now-s.Started < sim.settings.SlowStartDuration {
		// The budget of one of three nodes, for a server with a capacity of 100 requests per second.
		sim.slowStartSends[s.ID] = append(sim.slowStartSends[s.ID], sim.now)
		n := 0
		for _, at := range sim.slowStartSends[s.ID] {
			if sim.now-at < sim.settings.OverloadDuration {
				n++
			}
		}
		if limit := sim.settings.OverloadFactor * sim.settings.SlowStartMinShare * 100 * sim.settings.OverloadDuration.Seconds() / 3; float64(n) > limit+0.5 {
			sim.fail("%d sends to starting server %s within %v, limit %.0f", n, s.ID, sim.settings.OverloadDuration, limit)
		}
	}
	elapsed := time.Duration(1+sim.rng.IntN(300)) * ms
	result := []Result{Served, Served, Served, Errored, Full, Unconnected, Broken, Served}[sim.rng.IntN(8)]
	if elapsed >= a.Wait || sim.rng.IntN(20) == 0 { // slow, or no answer
		elapsed, result = a.Wait, TimedOut
	}
	sim.pendingOutcomes = append(sim.pendingOutcomes, pendingOutcome{sim.now + elapsed, request.ID, len(request.attempts) - 1, s.ID, result, elapsed})
}

func (sim *policySim) checkRefusal(request *openRequest) {
	class := sim.settings.Classes[request.Class]
	for _, attempt := range request.attempts {
		if !attempt.pending && !attempt.mayHaveRun {
			continue
		}
		if class.Effect == NonIdempotent || class.Effect == Keyed && class.Group != GroupAll {
			sim.fail("refusal of a request that may have run")
		}
	}
}

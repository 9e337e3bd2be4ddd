package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newPolicySim(t, seed)
			zones := []string{"x", "y", "z"}
			for end := sim.now + 8*time.Second; sim.now < end; {
				sim.step(zones, end-time.Second)
			}
			if n := len(sim.balancer.calls); n != 0 || len(sim.openRequests) != 0 {
				t.Errorf("%d calls in the balancer and %d open requests at the end, want none", n, len(sim.openRequests))
			}
			for id, s := range sim.balancer.servers {
				if s.inflight != 0 {
					t.Errorf("server %s has %d calls in flight at the end, want 0", id, s.inflight)
				}
			}
		})
	}
}

// policySim must detect a violation of each rule.
func TestRuleViolationsAreDetected(t *testing.T) {
	wait := 50 * ms
	for _, c := range []struct {
		name, want string
		act        func(sim *policySim)
	}{
		{"two answers", "second answer", func(sim *policySim) {
			sim.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Refuse, Request: 1}})
		}},
		{"send after the final answer", "not open", func(sim *policySim) {
			sim.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"no answer", "no final answer", func(sim *policySim) {
			for range 2000 {
				sim.step(nil, 0)
			}
		}},
		{"non-idempotent request runs twice", "non-idempotent request could run twice", func(sim *policySim) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			sim.openRequests[1].attempts[0].pending, sim.openRequests[1].attempts[0].mayHaveRun = false, true
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"refusal after an attempt that may have run", "may have run", func(sim *policySim) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}, {Kind: Refuse, Request: 1}})
		}},
		{"repeat outside the group", "outside the group", func(sim *policySim) {
			sim.openRequests[1].Class = 5 // Keyed, GroupCell
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			sim.openRequests[1].attempts[0].pending, sim.openRequests[1].attempts[0].mayHaveRun = false, true
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "slow-start", Wait: wait}})
		}},
		{"send to a draining server", "draining or removed", func(sim *policySim) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "draining", Wait: wait}})
		}},
		{"overload of a starting server", "sends to starting server slow-start", func(sim *policySim) {
			for id := uint64(2); id < 200; id++ {
				sim.openRequests[id] = &openRequest{Request: Request{ID: id}, deadline: sim.now + time.Second}
				sim.apply([]Action{{Kind: Send, Request: id, Server: "slow-start", Wait: wait}})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newPolicySim(t, 3)
			sim.expectViolation, sim.settings.MaxAttempts = true, 9
			sim.servers = map[string]*simServer{
				"a": {Server: Server{ID: "a"}}, "draining": {Server: Server{ID: "draining"}, unavailable: true},
				"slow-start": {Server: Server{ID: "slow-start", Cell: 1, Started: sim.now}},
			}
			sim.openRequests = map[uint64]*openRequest{1: {Request: Request{ID: 1, Class: 8}, deadline: sim.now + time.Second}}
			defer func() {
				if v, _ := recover().(violation); !strings.Contains(string(v), c.want) {
					t.Errorf("violation %q, want %q", v, c.want)
				}
			}()
			c.act(sim)
		})
	}
}

// simulateNodes runs several nodes with the same servers, each of which answers after latency. It returns the
// times at which the nodes send requests to server s0. restart reports whether s0 restarts in a step of 10 ms,
// and its new start time.
func simulateNodes(nodes, servers int, set Settings, latency, length time.Duration, restart func(step int) (time.Duration, bool)) []time.Duration {
	type answer struct {
		at      time.Duration
		node    int
		outcome Outcome
	}
	var balancers []*Balancer
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	set.Nodes = nodes
	for i := range nodes {
		set.Node = i
		b := New(set, uint64(i), 0)
		b.Members(0, Members{Change: ListStored, Servers: list}, nil)
		balancers = append(balancers, b)
	}
	var sends []time.Duration
	var pending []answer
	id := uint64(0)
	for now := time.Duration(0); now < length; now += 10 * ms {
		if started, ok := restart(int(now / (10 * ms))); ok {
			for _, b := range balancers {
				b.Members(now, Members{Change: ListDelta, Servers: []Server{{ID: "s0", Started: started}}}, nil)
			}
		}
		for len(pending) > 0 && pending[0].at <= now {
			balancers[pending[0].node].Outcome(now, pending[0].outcome, nil)
			pending = pending[1:]
		}
		for i, b := range balancers {
			id++
			for _, a := range b.Request(now, Request{ID: id, Tenant: -1, TTL: 9 * time.Second}, nil) {
				if a.Kind != Send {
					continue
				}
				if a.Server == "s0" {
					sends = append(sends, now)
				}
				pending = append(pending, answer{now + latency, i, Outcome{Request: id, Server: a.Server, Elapsed: latency, Final: true}})
			}
		}
	}
	return sends
}

// All nodes together must not overload a starting server, although each node observes only its own sends. They
// must still send it some requests.
func TestSlowStartBudgetOverManyNodes(t *testing.T) {
	const restartAt = 5 * time.Second
	for _, nodes := range []int{4, 24} {
		set := Settings{
			SlowStartMinShare: 0.1, SlowStartDuration: 20 * time.Second, OverloadFactor: 2.5, OverloadDuration: time.Second, MaxAttempts: 2,
			Tier: 1, AnswerGrace: 10 * ms, Classes: []Class{{LatencyTarget: 9 * time.Second, Deadline: 9 * time.Second, Value: 1}},
		}
		// Each node receives 100 requests per second, which is just the capacity of its two servers. With a
		// latency of 900 ms, each server holds so many calls that a starting one has the lowest load.
		sends := simulateNodes(nodes, 2*nodes, set, 900*ms, 15*time.Second, func(step int) (time.Duration, bool) {
			return restartAt, step == int(restartAt/(10*ms))
		})
		const capacity = 50.0
		startingSends := 0
		for i, at := range sends {
			if at < restartAt {
				continue
			}
			startingSends++
			n := 0
			for _, other := range sends[:i+1] {
				if other > at-set.OverloadDuration && other >= restartAt {
					n++
				}
			}
			age := (at - restartAt).Seconds() / set.SlowStartDuration.Seconds()
			if limit := set.OverloadFactor * (set.SlowStartMinShare + (1-set.SlowStartMinShare)*age) * capacity; float64(n) > limit {
				t.Fatalf("%d nodes: %d sends to the starting server within %v, %v after its restart, limit %.1f", nodes, n, set.OverloadDuration, at-restartAt, limit)
			}
		}
		if startingSends < 5 {
			t.Errorf("%d nodes: %d sends to the starting server in 10 s, want at least 5", nodes, startingSends)
		}
	}
}

// A node that starts with a stale stored list must request and apply updates: it must send nothing to a draining
// or removed server, and with an empty list it must still answer every call.
func TestStaleStoredList(t *testing.T) {
	set := Settings{
		Nodes: 1, ListOnRequest: true, ListRequestInterval: 4 * time.Second, MaxAttempts: 3, AnswerGrace: 10 * ms,
		Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second, Value: 1}},
	}
	b := New(set, 1, 0)
	listActions := 0
	countListActions := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Watch || a.Kind == After && a.Token == listTimerToken {
				listActions++
			}
		}
	}
	countListActions(b.Members(0, Members{Change: ListStored, Servers: []Server{{ID: "old"}, {ID: "kept"}}}, nil))
	countListActions(b.Timer(ms, Timer{listTimerToken}, nil))
	countListActions(b.Members(2*ms, Members{Change: ListFailed}, nil))
	if listActions < 3 {
		t.Errorf("%d requests and timers for the server list after a stored list and a failure, want at least 3", listActions)
	}
	b.Members(3*ms, Members{Change: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.Members(3*ms, Members{Change: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.Members(3*ms, Members{Change: ListDelta, Servers: []Server{{ID: "draining", Health: Draining}, {ID: "removed", Health: Removed}}}, nil)
	for id := range uint64(20) {
		for _, a := range b.Request(4*ms, Request{ID: id, Tenant: -1, TTL: time.Second}, nil) {
			if a.Kind == Send && a.Server != "kept" {
				t.Errorf("sent to %s, which is draining or removed", a.Server)
			}
		}
	}
	b.Members(5*ms, Members{Change: ListFull}, nil)
	b.calls = map[uint64]*call{}
	actions := b.Request(6*ms, Request{ID: 99, Tenant: -1, TTL: 20 * ms}, nil)
	if len(actions) != 1 || actions[0].Kind != After {
		t.Fatalf("request without servers: actions %v, want a timer", actions)
	}
	if end := b.Timer(26*ms, Timer{99}, nil); len(end) != 1 || end[0].Kind != Fail && end[0].Kind != Refuse {
		t.Errorf("after the deadline: actions %v, want a final answer", end)
	}
}

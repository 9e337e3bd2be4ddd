package decide

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

// serverCapacity is the number of calls in flight that a server handles without overload if there is one tier.
const serverCapacity = 1 + 2*callsPerTier

// newFrontProxy returns the only front proxy of n servers, with class 0 of value 1 and class 1 of value 9.
func newFrontProxy(n int) *Balancer {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms,
		Classes: []Class{
			{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1},
			{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 9},
		},
	}, 1, time.Second)
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	b.Members(time.Second, Members{Change: ListFull, Servers: list}, nil)
	return b
}

// offer passes n requests of a class to a node and returns how many of them it sends to a server.
func offer(b *Balancer, now time.Duration, class, n int) int {
	sent := 0
	for range n {
		nextID++
		r := Request{ID: nextID, Class: class, Tenant: -1, TTL: 2 * time.Second}
		for _, a := range b.Request(now, r, nil) {
			if a.Kind == Send {
				sent++
			}
		}
	}
	return sent
}

var nextID uint64

// newTwoZoneProxy returns one of four front proxies, in zone x, with two servers in each of the zones x and y.
func newTwoZoneProxy(price float64) *Balancer {
	b := New(Settings{
		Nodes: 4, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x", Prices: Prices{CrossZone: price},
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}},
	}, 1, time.Second)
	b.Members(time.Second, Members{Change: ListFull, Servers: []Server{
		{ID: "x1", Zone: "x"}, {ID: "x2", Zone: "x"}, {ID: "y1", Zone: "y"}, {ID: "y2", Zone: "y"},
	}}, nil)
	return b
}

// A call must go to a less loaded server in another zone only if the saved time is worth the price.
func TestCrossZonePriceIsWeighed(t *testing.T) {
	for _, c := range []struct {
		price, meanLatency, want float64
	}{{0, 0.4, 1}, {0.2, 0.4, 2}, {0.2, 0.25, 5}, {0.2, 0.1, 1000}, {0.2, 0, 1000}} {
		b := newTwoZoneProxy(c.price)
		b.meanLatency = c.meanLatency
		if got := b.remoteLoadFactor(); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("price %v, mean latency %v: load factor of remote servers is %v, want %v", c.price, c.meanLatency, got, c.want)
		}
	}
}

// timeOut ends the latest attempt of each call with a timeout if it was sent to the server.
func timeOut(b *Balancer, now time.Duration, server string) {
	for _, id := range slices.Sorted(maps.Keys(b.calls)) {
		c := b.calls[id]
		if n := len(c.attempts) - 1; n >= 0 && c.pendingAttempts > 0 && c.attempts[n].server.ID == server {
			b.Outcome(now, Outcome{Request: id, Attempt: n, Server: server, Result: TimedOut, Elapsed: time.Second}, nil)
		}
	}
}

// Retries after a rejection must use the retry budget, as they would otherwise multiply from tier to tier.
// Retries after a failure to connect must not, so that a request can find a server that accepts connections.
func TestRetryBudget(t *testing.T) {
	for result, maxSends := range map[Result]int{Full: 8 + retryBudgetBurst, TimedOut: 8 + retryBudgetBurst, Unconnected: 8 * 3} {
		if sends := countSends(result); sends > maxSends || result == Unconnected && sends < maxSends {
			t.Errorf("%d sends of 8 requests whose attempts all end with result %d, limit %d", sends, result, maxSends)
		}
	}
}

// countSends returns the number of sends of 8 requests whose attempts all end with result.
func countSends(result Result) int {
	b := newFrontProxy(4)
	sends := offer(b, time.Second, 1, 8)
	for range 50 {
		for _, id := range slices.Sorted(maps.Keys(b.calls)) {
			c := b.calls[id]
			n := len(c.attempts) - 1
			outcome := Outcome{Request: id, Attempt: n, Server: c.attempts[n].server.ID, Result: result}
			for _, a := range b.Outcome(time.Second, outcome, nil) {
				if a.Kind == Send {
					sends++
				}
			}
		}
	}
	return sends
}

// If a middlebox drops idle connections, they must be closed before a send, and requests lost on them must be
// hedged. A single hung server must not cause either.
func TestDeadIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(server string) bool
		want bool
	}{
		{"all lost", func(string) bool { return true }, true},
		{"one server hangs", func(id string) bool { return id == "s0" }, false},
	} {
		b := newFrontProxy(6)
		b.settings.MayHedge = true
		now, closed, hedges := time.Second, false, 0
		for range 12 {
			for range 4 { // fewer requests than servers, so that some connections stay idle
				nextID++
				b.calls = map[uint64]*call{}
				for _, a := range b.Request(now, Request{ID: nextID, Class: 1, Tenant: -1, TTL: 2 * time.Second}, nil) {
					closed = closed || a.Kind == CloseIdle
					if a.Kind != Send {
						continue
					}
					if bucket := b.calls[nextID].attempts[0].idleBucket; bucket < 0 || !c.lost(a.Server) {
						b.Outcome(now, Outcome{Request: nextID, Server: a.Server, Elapsed: ms, Final: true}, nil)
						continue
					}
					for _, action := range b.Timer(now+900*ms, Timer{nextID}, nil) {
						if action.Kind == Send {
							hedges++
						}
					}
				}
			}
			now += 2 * time.Second
		}
		if closed != c.want || (hedges > 0) != c.want {
			t.Errorf("%s: idle connections closed: %v, hedged requests: %d, want detection: %v", c.name, closed, hedges, c.want)
		}
	}
}

// If many connection attempts fail, servers with an idle connection must be preferred: further attempts cost the
// servers work and the calls time.
func TestIdleConnectionsArePreferredIfConnectsFail(t *testing.T) {
	b := newFrontProxy(6)
	b.servers["s3"].idle = []time.Duration{time.Second}
	others := 0
	for range 40 {
		if b.pick(&call{}).ID != "s3" {
			others++
		}
	}
	b.connectFailureRate = 2 * maxConnectFailureRate
	for range 40 {
		if s := b.pick(&call{}); s.ID != "s3" {
			t.Fatalf("picked %s, which has no idle connection", s.ID)
		}
	}
	if others == 0 {
		t.Error("only s3 is picked although connections can be established")
	}
}

// Pending attempts must be cancelled when the client disconnects, if the settings permit it.
func TestCancelAfterClientDisconnect(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		b := newFrontProxy(4)
		b.settings.MayCancel = mayCancel
		offer(b, time.Second, 0, 1)
		out := b.ClientGone(time.Second, ClientGone{nextID}, nil)
		if got := len(out) == 1 && out[0] == (Action{Kind: Cancel, Request: nextID}); got != mayCancel {
			t.Errorf("MayCancel %v: actions %v", mayCancel, out)
		}
	}
}

// A repeated outcome, or one of an unknown attempt, must not change the state.
func TestInvalidOutcomesAreIgnored(t *testing.T) {
	b := newFrontProxy(1)
	offer(b, time.Second, 0, 2)
	id := nextID
	outcome := Outcome{Request: id, Server: "s0", Result: Broken, Elapsed: ms}
	for _, attempt := range []int{-1, 1, 7} {
		outcome.Attempt = attempt
		b.Outcome(time.Second, outcome, nil)
	}
	if got := b.servers["s0"].inflight; got != 2 {
		t.Errorf("%d calls in flight after invalid outcomes, want 2", got)
	}
	outcome.Attempt = 0
	b.Outcome(time.Second, outcome, nil) // the call is retried
	b.Outcome(time.Second, outcome, nil)
	if c := b.calls[id]; c == nil || c.pendingAttempts != 1 || len(c.attempts) != 2 {
		t.Errorf("call after a repeated outcome: %+v, want one retry", c)
	}
}

// Invalid settings and events must not cause a panic, and every request must get one answer.
func TestInvalidInputIsAnswered(t *testing.T) {
	for i, set := range []Settings{
		{},
		{Node: -7, Nodes: -2, MaxAttempts: -1, Classes: []Class{{LatencyTarget: -time.Second, Deadline: -1, Value: -3}}},
		{Tier: 9, Tiers: 2, MaySetRetryAfter: true, MaxRetryAfter: -time.Second, Classes: []Class{{Value: 1}}, ListOnRequest: true},
		{Tenants: []Tenant{{Quota: -5}}, Classes: []Class{{Effect: 77, Group: 99, KeyTTL: -1}}, SlowStartDuration: -1, OverloadDuration: -1},
	} {
		b := New(set, 1, time.Second)
		b.Members(time.Second, Members{Change: ListFull, Servers: []Server{{}, {ID: "s", Weight: -1, Started: 5}}}, nil)
		answers, sends := map[uint64]int{}, map[uint64]string{}
		record := func(out []Action) {
			for _, a := range out {
				if a.Kind == Refuse || a.Kind == Fail {
					answers[a.Request]++
				}
				if a.Kind == Send {
					sends[a.Request] = a.Server
				}
				if a.Wait < 0 {
					t.Errorf("settings %d: action with a negative wait of %v", i, a.Wait)
				}
			}
		}
		for id := range uint64(6) {
			r := Request{ID: id, Class: int(id) - 2, Tenant: int(id) - 1, TTL: time.Duration(int(id)-1) * time.Second, Work: -1}
			record(b.Request(time.Second, r, nil))
			if id == 3 && sends[id] != "" { // a repeated request
				record(b.Request(time.Second, r, nil))
			}
			record(b.Outcome(time.Second, Outcome{Request: id, Attempt: 5, Server: "unknown", Result: 99, Elapsed: -1}, nil))
			record(b.Probed(time.Second, Probed{Server: "unknown"}, nil))
		}
		now := 20 * time.Second
		for range 3 {
			for _, id := range slices.Sorted(maps.Keys(b.calls)) {
				record(b.Timer(now, Timer{id}, nil))
				if c := b.calls[id]; c != nil && c.pendingAttempts > 0 {
					n := len(c.attempts) - 1
					record(b.Outcome(now, Outcome{Request: id, Attempt: n, Server: sends[id], Result: TimedOut}, nil))
				}
			}
		}
		for id := range uint64(6) {
			if answers[id] != 1 {
				t.Errorf("settings %d: %d answers to request %d, want 1", i, answers[id], id)
			}
		}
	}
}

// BenchmarkCall measures a request and its outcome at a node with 300 servers.
func BenchmarkCall(b *testing.B) {
	balancer := newFrontProxy(300)
	var out []Action
	now := time.Second
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now += ms
		out = balancer.Request(now, Request{ID: id, Class: 1, Tenant: -1, TTL: time.Second}, out[:0])
		if out[0].Kind == Send {
			balancer.Outcome(now+ms/2, Outcome{Request: id, Server: out[0].Server, Elapsed: ms / 2, Final: true}, out[:0])
		}
	}
}

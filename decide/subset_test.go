package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A server that hangs must receive one call at a time after its ejection ends. While it is ejected, it must not
// count as capacity, so that its calls do not overload the others.
func TestHungServerAfterEjection(t *testing.T) {
	b := newFrontProxy(4)
	now := time.Second
	offer(b, now, 1, 20)
	now += time.Second
	timeOut(b, now, "s0")
	hung := b.servers["s0"]
	if hung.ejectedUntil <= now {
		t.Fatal("server is not ejected although all its calls timed out")
	}
	if got, want := b.concurrencyRatio(), b.meanConcurrency/(3*serverCapacity+math.Sqrt(3*serverCapacity)/2); math.Abs(got-want) > 1e-9 {
		t.Errorf("concurrency ratio %v with an ejected server, want %v", got, want)
	}
	now = hung.ejectedUntil + ms
	for range 50 {
		b.normalizedLatency = 0
		offer(b, now, 1, 1)
		if hung.inflight > 1 {
			t.Fatalf("%d calls in flight at a server after its ejection, want at most 1", hung.inflight)
		}
	}
	if hung.inflight == 0 {
		t.Error("server receives no call after its ejection")
	}
}

// A zone that is partitioned from this node must be ejected as a whole: ejecting its servers one by one costs many
// calls, each of which loses time on a failure to connect.
func TestZoneEjection(t *testing.T) {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x",
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1}},
	}, 1, time.Second)
	var list []Server
	for i := range 5 {
		list = append(list, Server{ID: fmt.Sprint("x", i), Zone: "x"}, Server{ID: fmt.Sprint("y", i), Zone: "y"})
	}
	now := time.Second
	b.Members(now, Members{Change: ListFull, Servers: list}, nil)
	for _, id := range []string{"y0", "y0", "y0", "y0", "y1", "y2", "y3"} {
		b.recordResult(b.servers[id], Unconnected)
	}
	if b.zones["y"].shouldAvoid(now) {
		t.Error("zone is ejected before all of its servers failed")
	}
	b.recordResult(b.servers["y4"], Unconnected)
	if !b.zones["y"].shouldAvoid(now) {
		t.Fatal("zone is not ejected after all of its servers failed in a row")
	}
	for id, s := range b.servers {
		s.recordSuccess() // leave only the failures of the zone
		if s.local == (id[0] == 'y') {
			t.Errorf("server %s: local is %v", id, s.local)
		}
	}
	c := &call{}
	for range 50 {
		if s := b.pick(c); s.Zone == "y" {
			t.Fatalf("picked %s, which is in an ejected zone", s.ID)
		}
	}
	b.recordResult(b.servers["y0"], Served)
	if b.zones["y"].shouldAvoid(now) {
		t.Error("zone is still ejected after an answer")
	}
}

// A restarted process must not inherit the failures and latencies of the previous one.
func TestRestartClearsServerState(t *testing.T) {
	b := newFrontProxy(4)
	s := b.servers["s1"]
	for range 3 {
		b.recordResult(s, Broken)
		b.recordLatency(s, 5)
	}
	now := 2 * time.Second
	b.settings.SlowStartMinShare, b.settings.SlowStartDuration, b.settings.OverloadDuration, b.settings.OverloadFactor = 1, time.Second, time.Second, 2
	b.Members(now, Members{Change: ListDelta, Servers: []Server{{ID: "s1", Started: now}}}, nil)
	if s.shouldAvoid(now) {
		t.Error("restarted server is ejected for failures before the restart")
	}
	if got := b.relativeLatency(s); got != 1 {
		t.Errorf("relative latency of a restarted server is %v, want 1", got)
	}
}

// Each server must be in about the same number of subsets: a server in twice as many as another is overloaded
// while others are idle, which no node can detect.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 76, 91
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprintf("10.0.%d.%d:80", i%7, i)})
	}
	subsets := map[string]int{}     // number of subsets with the server
	halfSubsets := map[string]int{} // the same for the first half of the nodes, like those of one zone
	for i := range nodes {
		b := New(Settings{Node: i, Nodes: nodes, Classes: []Class{{Value: 1}}}, uint64(i), 0)
		b.Members(0, Members{Change: ListFull, Servers: list}, nil)
		for k := range len(b.localSubset) + len(b.remoteSubset) {
			subsets[b.subset(k).ID]++
			if i < nodes/2 {
				halfSubsets[b.subset(k).ID]++
			}
		}
	}
	mean := float64(frontSubsetSize*servers/nodes*nodes) / servers
	for _, s := range list {
		if n := float64(subsets[s.ID]); math.Abs(n-mean) > 3 {
			t.Errorf("%s is in the subsets of %v nodes, the mean is %.1f", s.ID, n, mean)
		}
		if n := float64(halfSubsets[s.ID]); math.Abs(n-mean/2) > 3 {
			t.Errorf("%s is in the subsets of %v of the first half of the nodes, the mean is %.1f", s.ID, n, mean/2)
		}
	}
}

// The excess latency of a server must decay: otherwise a server would receive few calls for long after one slow
// response, and the other servers would be overloaded.
func TestExcessLatencyDecays(t *testing.T) {
	b := newFrontProxy(4)
	s := b.servers["s0"]
	for range 20 {
		b.recordLatency(b.servers["s1"], 0.2)
	}
	b.recordLatency(s, 2)
	initial := b.relativeLatency(s) - 1
	b.now += 5 * time.Second
	if remaining := (b.relativeLatency(s) - 1) / initial; initial <= 0 || remaining > 0.1 {
		t.Errorf("%.0f%% of an excess latency of %.1f remain after 5 s, want at most 10%%", 100*remaining, initial)
	}
}

// A keyed call whose cell has a single server must return to it instead of waiting until its deadline.
func TestKeyedCallReturnsToItsOnlyServer(t *testing.T) {
	b := newFrontProxy(3) // s0 is the only server of cell 1
	b.settings.Classes[0].Effect, b.settings.Classes[0].Group, b.settings.Classes[0].KeyTTL = Keyed, GroupCell, time.Second
	b.servers["s0"].Cell = 1
	c := &call{Request: Request{ID: 1, TTL: time.Second}, mayHaveRun: true, mayHaveRunOn: b.servers["s0"]}
	c.attempts = []attempt{{server: b.servers["s0"], done: true}}
	if s := b.pick(c); s == nil || s.ID != "s0" {
		t.Errorf("picked %v, want s0, the only server of the cell", s)
	}
}

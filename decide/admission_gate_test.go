package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// convergeLatency brings the normalized latency of a gate to r, leaves one request in flight, and returns the
// time at the end.
func convergeLatency(g *Gate, r float64) time.Duration {
	now := time.Duration(0)
	g.Begin(now)
	for range 40 {
		for range 20 {
			g.Begin(now)
			g.Done(now, time.Duration(r*float64(time.Second)), time.Second)
		}
		now += gateLatencyPeriod
	}
	g.Admit(now, 0)
	return now
}

func TestCurvesAreStacked(t *testing.T) {
	width := (gateLatencyMax - gateLatencyMin) / 3
	for _, c := range []struct{ r, high, middle, low float64 }{
		{gateLatencyMin - 0.1, 1, 1, 1},
		{gateLatencyMin + width/4, 1, 1, 0.75},
		{gateLatencyMin + width, 1, 1, 0},
		{gateLatencyMin + 1.5*width, 1, 0.5, 0},
		{gateLatencyMin + 2.75*width, 0.25, 0, 0},
		{gateLatencyMax + 1, 0, 0, 0},
	} {
		g := NewGate(1, 0)
		g.SetPriorities([]int{0, 2, 1, 2})
		now := convergeLatency(g, c.r)
		for p, want := range []float64{c.high, c.middle, c.low} {
			if got := g.Probability(0, p); math.Abs(got-want) > 0.01 {
				t.Errorf("r %.2f: probability of priority %d is %.3f, want %.3f", g.NormalizedLatency(), p, got, want)
			}
			admitted := 0
			for range 2000 {
				if g.Admit(now, p) {
					admitted++
				}
			}
			if math.Abs(float64(admitted)/2000-want) > 0.05 {
				t.Errorf("r %.2f: %d of 2000 requests of priority %d admitted, want a share of %.2f", g.NormalizedLatency(), admitted, p, want)
			}
		}
	}
}

func TestGateWithNothingInFlight(t *testing.T) {
	g := NewGate(1, 0)
	g.SetPriorities([]int{0})
	now := convergeLatency(g, 5)
	if g.Admit(now, 0) {
		t.Error("request admitted at r = 5 with another in flight")
	}
	r := g.NormalizedLatency()
	if g.Admit(now+10*gateLatencyPeriod, 0); g.NormalizedLatency() != r {
		t.Error("periods without outcomes changed r")
	}
	g.Done(now, time.Second, 0)
	if !g.Admit(now, 0) {
		t.Error("request refused with none in flight")
	}
}

// A saturated downstream service must refuse graphs of the lowest priority at their entry, while graphs of higher
// priorities are admitted.
func TestSaturatedDownstreamRefusesGraphs(t *testing.T) {
	g, downstream := NewGate(1, 0), NewGate(2, 0)
	for _, gate := range []*Gate{g, downstream} {
		gate.SetPriorities([]int{0, 1, 2})
		gate.Begin(0)
	}
	for i := range 200 {
		downstream.RecordCapacity(0, i%5 > 2)
	}
	admitted := [3]int{}
	for range 1000 {
		for p := range admitted {
			if g.Admit(0, p, downstream) {
				admitted[p]++
			}
		}
	}
	if admitted[0] != 1000 || admitted[1] < 900 || admitted[2] > 200 {
		t.Errorf("admitted of 1000, by priority: %v, want all, at least 900, at most 200", admitted)
	}
}

// A tenth of the requests may find no free server without any request being refused.
func TestToleratedSaturation(t *testing.T) {
	for _, c := range []struct {
		saturatedEvery int // one in this many requests finds no free server
		lowPressure    bool
	}{{20, true}, {11, true}, {4, false}, {1, false}} {
		g := NewGate(1, 0)
		g.SetPriorities([]int{0, 1, 2})
		for i := range 400 {
			g.RecordCapacity(0, i%c.saturatedEvery > 0)
		}
		if g.LowPressure(0) != c.lowPressure || g.Idle(0) && !c.lowPressure || (g.Probability(0, 2) > 0.99) != c.lowPressure {
			t.Errorf("one in %d requests finds no free server: pressure %.2f, low pressure %v", c.saturatedEvery, g.Pressure(0), g.LowPressure(0))
		}
	}
}

func TestPicks(t *testing.T) {
	p := NewPicker(1)
	var list []Target
	for i := range 4 {
		list = append(list, Target{ID: fmt.Sprint("near", i), Local: true}, Target{ID: fmt.Sprint("far", i)})
	}
	p.SetTargets(0, list, 0)
	counts := map[string]int{}
	for range 40 { // no call ends: the load must spread, first over this zone
		id, _, ok := p.Pick(0, nil)
		if !ok {
			t.Fatal("no server picked")
		}
		counts[id]++
		p.Begin(id)
	}
	near := counts["near0"] + counts["near1"] + counts["near2"] + counts["near3"]
	if near <= 20 || near == 40 || counts["near0"] > near/2 {
		t.Errorf("picks by server: %v, want most but not all in the local zone, spread over its servers", counts)
	}
	// A local server that has recently reported free capacity is preferred to a remote one, whatever the number of
	// this node's calls in flight.
	for report, farWhenRecent := range map[ServerReport]bool{{RelativeLatency: 1, Utilization: 0.5}: false, {RelativeLatency: 1, Utilization: 0.9}: true, {}: true} {
		picker := NewPicker(1)
		picker.SetTargets(0, []Target{{ID: "near", Local: true}, {ID: "far"}}, 0)
		for range 2 * localPreference {
			picker.Begin("near")
		}
		picker.Begin("near")
		picker.End(time.Second, "near", Served, report)
		for age, wantFar := range map[time.Duration]bool{0: farWhenRecent, 2 * utilizationWindow: true} {
			if id, _, _ := picker.Pick(time.Second+age, nil); (id == "far") != wantFar {
				t.Errorf("%v after the report %+v: server %s was picked", age, report, id)
			}
		}
	}
	// An ejected server is avoided, one with queued requests is the last choice, an attempted one is excluded.
	for range maxConsecutiveFailures {
		p.End(0, "near0", Broken, ServerReport{})
	}
	for _, id := range []string{"near1", "near2", "near3"} {
		p.End(0, id, Served, ServerReport{Queued: true})
	}
	for range 50 {
		if id, _, _ := p.Pick(0, []string{"far0"}); id == "far0" || id[0] == 'n' {
			t.Errorf("picked %s, which is attempted, ejected or has queued requests", id)
		}
	}
	p.SetTargets(0, list[:1], 0)
	if id, _, ok := p.Pick(0, nil); !ok || id != "near0" {
		t.Errorf("picked %q, %v, want the ejected server near0, as it is the only one", id, ok)
	}
	if _, _, ok := p.Pick(0, []string{"near0"}); ok {
		t.Error("attempted server was picked again")
	}
}

// Unhealthy servers must be avoided, unless too many servers are unhealthy or no other server is left.
func TestUnhealthyServersAreAvoided(t *testing.T) {
	for _, c := range []struct {
		servers, unhealthy int
		avoided            bool
	}{{8, 1, true}, {8, 3, true}, {8, 4, false}, {8, 8, false}, {2, 1, true}, {2, 2, false}, {1, 1, false}, {3, 2, false}} {
		p := NewPicker(1)
		var list []Target
		for i := range c.servers {
			list = append(list, Target{ID: fmt.Sprint(i), Local: true})
		}
		p.SetTargets(0, list, 0)
		for i := range c.unhealthy {
			p.End(0, fmt.Sprint(i), Unhealthy, ServerReport{})
		}
		unhealthyPicks := 0
		for range 400 {
			if id, unhealthy, ok := p.Pick(0, nil); !ok || unhealthy != (id < fmt.Sprint(c.unhealthy)) {
				t.Fatalf("%+v: picked %q, unhealthy %v", c, id, unhealthy)
			} else if unhealthy {
				unhealthyPicks++
			}
		}
		if (unhealthyPicks == 0) != c.avoided {
			t.Errorf("%+v: %d of 400 picks are unhealthy servers", c, unhealthyPicks)
		}
		if id, _, _ := p.Pick(unhealthyServerPause, nil); id == "" {
			t.Errorf("%+v: no server picked after the pause", c)
		}
	}
	p := NewPicker(1)
	p.SetTargets(0, []Target{{ID: "a", Local: true}, {ID: "b", Local: true}, {ID: "c", Local: true}}, 0)
	p.End(0, "c", Unhealthy, ServerReport{})
	if id, unhealthy, ok := p.Pick(0, []string{"a", "b"}); !ok || id != "c" || !unhealthy {
		t.Errorf("picked %q, unhealthy %v, ok %v, want the unhealthy server c, as no other is left", id, unhealthy, ok)
	}
}

// Without calls in flight, a node must pick servers by their recent reports.
func TestReportsBreakTies(t *testing.T) {
	const n = 4000
	for _, c := range []struct {
		name               string
		slow, fast         ServerReport
		age                time.Duration
		minShare, maxShare float64 // share of the calls that the slow server receives
	}{
		{"slow server", ServerReport{RelativeLatency: 1.4}, ServerReport{RelativeLatency: 0.7}, time.Second, 0, 0},
		{"server that was slow long ago", ServerReport{RelativeLatency: 1.4}, ServerReport{RelativeLatency: 0.7}, time.Hour, 0.45, 0.55},
		{"server without a report, added long ago", ServerReport{}, ServerReport{RelativeLatency: 1}, time.Hour, 0.45, 0.55},
		{"server at full utilization", ServerReport{RelativeLatency: 1, Utilization: 1}, ServerReport{RelativeLatency: 1}, 0, 0, 0},
		{"server at full utilization long ago", ServerReport{RelativeLatency: 1, Utilization: 1}, ServerReport{RelativeLatency: 1}, time.Minute, 0.45, 0.55},
		{"server without a report", ServerReport{}, ServerReport{RelativeLatency: 1}, 0, 0, 0},
	} {
		p := NewPicker(1)
		p.SetTargets(0, []Target{{ID: "fast", Local: true}, {ID: "slow", Local: true}}, 0)
		p.End(0, "slow", Served, c.slow)
		p.End(0, "fast", Served, c.fast)
		slow := 0
		for range n {
			if id, _, _ := p.Pick(c.age, nil); id == "slow" {
				slow++
			}
		}
		if share := float64(slow) / n; share < c.minShare || share > c.maxShare {
			t.Errorf("%s: receives %.2f of the calls", c.name, share)
		}
	}
	p := NewPicker(1)
	p.SetTargets(0, []Target{{ID: "fast", Local: true}, {ID: "slow", Local: true}}, 0)
	p.End(0, "slow", Served, ServerReport{RelativeLatency: 1.4})
	p.End(0, "fast", Served, ServerReport{RelativeLatency: 0.7})
	for range 2 {
		p.Begin("fast")
	}
	if id, _, _ := p.Pick(0, nil); id != "slow" {
		t.Error("calls in flight do not count toward the load")
	}
}

// Each server must be in about the same number of subsets, whatever the names of nodes and servers.
func TestSubsetsCoverAllServers(t *testing.T) {
	const zones = 4
	for _, c := range []struct{ nodes, servers int }{{80, 59}, {81, 22}, {17, 16}, {320, 224}} {
		names, zone := make([][]string, zones), func(i int) int { return i % zones }
		for n := range c.nodes {
			names[zone(n)] = append(names[zone(n)], fmt.Sprint("node", n))
		}
		used := map[string]int{}
		for n := range c.nodes {
			var list []Target
			for i := range c.servers {
				list = append(list, Target{ID: fmt.Sprint("i-", i), Local: zone(i) == zone(n)})
			}
			p := NewPicker(1)
			p.SetTargets(0, list, SubsetPosition(fmt.Sprint("node", n), names[zone(n)]))
			if size := len(p.local) + len(p.remote); size != pickerSubsetSize {
				t.Fatalf("%d servers in a subset", size)
			}
			for _, s := range slices.Concat(p.local, p.remote) {
				used[s.ID]++
			}
		}
		mean := float64(c.nodes*pickerSubsetSize) / float64(c.servers)
		for i := range c.servers {
			if n := float64(used[fmt.Sprint("i-", i)]); n < mean/2-1 || n > 1.6*mean+1 {
				t.Errorf("%d nodes, %d servers: server %d is in %g subsets, the mean is %.1f", c.nodes, c.servers, i, n, mean)
			}
		}
	}
	if SubsetPosition("b", []string{"a", "b"}) == SubsetPosition("a", []string{"a", "b"}) || SubsetPosition("x", nil) != 0 {
		t.Error("nodes a and b have the same subset position, or a node without others is not at 0")
	}
}

// The retry-after must be longer the lower the probability of admission, within the bound, and jittered.
func TestRetryAfter(t *testing.T) {
	g := NewGate(1, 0)
	const target, maxWait = time.Second, 1300 * time.Millisecond
	mean := func(probability float64, limit time.Duration) (average time.Duration) {
		shortest, longest := time.Hour, time.Duration(0)
		for range 200 {
			retryAfter := g.RetryAfter(target, limit, probability)
			if retryAfter <= 0 || retryAfter > max(limit, time.Millisecond) {
				t.Fatalf("retry-after of %v, want at most %v", retryAfter, limit)
			}
			shortest, longest, average = min(shortest, retryAfter), max(longest, retryAfter), average+retryAfter/200
		}
		if limit > 0 && longest-shortest < limit/4 {
			t.Errorf("retry-after between %v and %v, want more jitter", shortest, longest)
		}
		return average
	}
	atOne, atZero := mean(1, maxWait), mean(0, maxWait)
	if atHalf := mean(0.5, maxWait); atOne > 600*time.Millisecond || atZero < 900*time.Millisecond || atHalf < atOne || atHalf > atZero {
		t.Errorf("mean retry-after of %v at probability 1, %v at 0.5, %v at 0", atOne, atHalf, atZero)
	}
	mean(0, 0)
}

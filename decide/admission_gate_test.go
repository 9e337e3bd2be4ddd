package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// settle brings a gate's r to a value, with one request left in flight.
func settle(g *Gate, r float64) time.Duration {
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
		now := settle(g, c.r)
		for p, want := range []float64{c.high, c.middle, c.low} {
			if got := g.Probability(0, p); math.Abs(got-want) > 0.01 {
				t.Errorf("r %.2f: priority %d has chance %.3f, want %.3f", g.NormalizedLatency(), p, got, want)
			}
			in := 0
			for range 2000 {
				if g.Admit(now, p) {
					in++
				}
			}
			if math.Abs(float64(in)/2000-want) > 0.05 {
				t.Errorf("r %.2f: %d of 2000 of priority %d are admitted, want %.2f", g.NormalizedLatency(), in, p, want)
			}
		}
	}
}

func TestGateWithNothingInFlight(t *testing.T) {
	g := NewGate(1, 0)
	g.SetPriorities([]int{0})
	now := settle(g, 5)
	if g.Admit(now, 0) {
		t.Error("admitted at five aims")
	}
	r := g.NormalizedLatency()
	if g.Admit(now+10*gateLatencyPeriod, 0); g.NormalizedLatency() != r {
		t.Error("periods without outcomes moved r")
	}
	g.Done(now, time.Second, 0)
	if !g.Admit(now, 0) {
		t.Error("refused with nothing in flight")
	}
}

// TestGraphsStayOutOfCrowdedServices: a graph of the lowest priority stays out where the service that it calls
// has no room, while those of higher ones go on.
func TestGraphsStayOutOfCrowdedServices(t *testing.T) {
	g, behind := NewGate(1, 0), NewGate(2, 0)
	for _, x := range []*Gate{g, behind} {
		x.SetPriorities([]int{0, 1, 2})
		x.Begin(0)
	}
	for i := range 200 {
		behind.RecordCapacity(0, i%5 > 2)
	}
	in := [3]int{}
	for range 1000 {
		for p := range in {
			if g.Admit(0, p, behind) {
				in[p]++
			}
		}
	}
	if in[0] != 1000 || in[1] < 900 || in[2] > 200 {
		t.Errorf("admitted by priority: %v of 1000", in)
	}
}

// TestSomeLookInVain: a tenth that finds no slot at its first looks is no crowd.
func TestSomeLookInVain(t *testing.T) {
	for _, c := range []struct {
		of   int // one in so many looks in vain
		calm bool
	}{{20, true}, {11, true}, {4, false}, {1, false}} {
		g := NewGate(1, 0)
		g.SetPriorities([]int{0, 1, 2})
		for i := range 400 {
			g.RecordCapacity(0, i%c.of > 0)
		}
		if g.Calm(0) != c.calm || g.Idle(0) && !c.calm || (g.Probability(0, 2) > 0.99) != c.calm {
			t.Errorf("one in %d looks in vain: pressure %.2f, calm %v", c.of, g.Pressure(0), g.Calm(0))
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
	for range 40 { // none ends: the load has to spread, over this zone first
		id, _, ok := p.Pick(0, nil)
		if !ok {
			t.Fatal("no server")
		}
		counts[id]++
		p.Begin(id)
	}
	near := counts["near0"] + counts["near1"] + counts["near2"] + counts["near3"]
	if near <= 20 || near == 40 || counts["near0"] > near/2 {
		t.Errorf("picked %v", counts)
	}
	// The count of own calls says little where all callers are near: a server that says of late that it has room is
	// not left for another zone's.
	for word, far := range map[ServerReport]bool{{RelativeLatency: 1, Utilization: 0.5}: false, {RelativeLatency: 1, Utilization: 0.9}: true, {}: true} {
		p := NewPicker(1)
		p.SetTargets(0, []Target{{ID: "near", Local: true}, {ID: "far"}}, 0)
		for range 2 * localPreference {
			p.Begin("near")
		}
		p.Begin("near")
		p.End(time.Second, "near", Served, word)
		for age, far := range map[time.Duration]bool{0: far, 2 * utilizationWindow: true} {
			if id, _, _ := p.Pick(time.Second+age, nil); (id == "far") != far {
				t.Errorf("%v after its word %+v %s was picked", age, word, id)
			}
		}
	}
	// One that fails again and again is left alone, one with a queue comes last, one that is tried never.
	for range maxConsecutiveFailures {
		p.End(0, "near0", Broken, ServerReport{})
	}
	for _, id := range []string{"near1", "near2", "near3"} {
		p.End(0, id, Served, ServerReport{Queued: true})
	}
	for range 50 {
		if id, _, _ := p.Pick(0, []string{"far0"}); id == "far0" || id[0] == 'n' {
			t.Errorf("picked %s", id)
		}
	}
	p.SetTargets(0, list[:1], 0)
	if id, _, ok := p.Pick(0, nil); !ok || id != "near0" {
		t.Errorf("the only server, though ejected, is better than none: %q, %v", id, ok)
	}
	if _, _, ok := p.Pick(0, []string{"near0"}); ok {
		t.Error("a tried server was picked again")
	}
}

// TestUnhealthyAreLeftAlone: unless too many are, which no server of them is to blame for, or no other is left.
func TestUnhealthyAreLeftAlone(t *testing.T) {
	for _, c := range []struct {
		all, unhealthy int
		avoided        bool
	}{{8, 1, true}, {8, 3, true}, {8, 4, false}, {8, 8, false}, {2, 1, true}, {2, 2, false}, {1, 1, false}, {3, 2, false}} {
		p := NewPicker(1)
		var list []Target
		for i := range c.all {
			list = append(list, Target{ID: fmt.Sprint(i), Local: true})
		}
		p.SetTargets(0, list, 0)
		for i := range c.unhealthy {
			p.End(0, fmt.Sprint(i), Unhealthy, ServerReport{})
		}
		met := 0
		for range 400 {
			if id, unhealthy, ok := p.Pick(0, nil); !ok || unhealthy != (id < fmt.Sprint(c.unhealthy)) {
				t.Fatalf("%+v: picked %q, unhealthy %v", c, id, unhealthy)
			} else if unhealthy {
				met++
			}
		}
		if (met == 0) != c.avoided {
			t.Errorf("%+v: %d of 400 went to unhealthy ones", c, met)
		}
		if id, _, _ := p.Pick(unhealthyServerPause, nil); id == "" {
			t.Errorf("%+v: none later", c)
		}
	}
	p := NewPicker(1)
	p.SetTargets(0, []Target{{ID: "a", Local: true}, {ID: "b", Local: true}, {ID: "c", Local: true}}, 0)
	p.End(0, "c", Unhealthy, ServerReport{})
	if id, unhealthy, ok := p.Pick(0, []string{"a", "b"}); !ok || id != "c" || !unhealthy {
		t.Errorf("the last that is left: %q, %v, %v", id, unhealthy, ok)
	}
}

// TestWordBreaksTies: with no calls of its own a node goes by what it was told, as long as that is fresh.
func TestWordBreaksTies(t *testing.T) {
	const n = 4000
	for _, c := range []struct {
		name        string
		slow, fast  ServerReport
		later       time.Duration
		least, most float64 // part that the slow one of two has
	}{
		{"a slow server", ServerReport{RelativeLatency: 1.4}, ServerReport{RelativeLatency: 0.7}, time.Second, 0, 0},
		{"one that was slow long ago", ServerReport{RelativeLatency: 1.4}, ServerReport{RelativeLatency: 0.7}, time.Hour, 0.45, 0.55},
		{"one listed long ago that nobody has asked", ServerReport{}, ServerReport{RelativeLatency: 1}, time.Hour, 0.45, 0.55},
		{"a full one", ServerReport{RelativeLatency: 1, Utilization: 1}, ServerReport{RelativeLatency: 1}, 0, 0, 0},
		{"one that was full long ago", ServerReport{RelativeLatency: 1, Utilization: 1}, ServerReport{RelativeLatency: 1}, time.Minute, 0.45, 0.55},
		{"one of which nothing is known", ServerReport{}, ServerReport{RelativeLatency: 1}, 0, 0, 0},
	} {
		p := NewPicker(1)
		p.SetTargets(0, []Target{{ID: "fast", Local: true}, {ID: "slow", Local: true}}, 0)
		p.End(0, "slow", Served, c.slow)
		p.End(0, "fast", Served, c.fast)
		slow := 0
		for range n {
			if id, _, _ := p.Pick(c.later, nil); id == "slow" {
				slow++
			}
		}
		if part := float64(slow) / n; part < c.least || part > c.most {
			t.Errorf("%s: %.2f of the calls", c.name, part)
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
		t.Error("own calls in flight do not count")
	}
}

// TestSubsetsCoverAllServers: in each zone the nodes' subsets are small, and every server is in nearly as many of
// them as any other, whatever the names are.
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
				t.Fatalf("a subset of %d", size)
			}
			for _, s := range slices.Concat(p.local, p.remote) {
				used[s.ID]++
			}
		}
		mean := float64(c.nodes*pickerSubsetSize) / float64(c.servers)
		for i := range c.servers {
			if n := float64(used[fmt.Sprint("i-", i)]); n < mean/2-1 || n > 1.6*mean+1 {
				t.Errorf("%d nodes, %d servers: server %d is in %g subsets, %.1f on average", c.nodes, c.servers, i, n, mean)
			}
		}
	}
	if SubsetPosition("b", []string{"a", "b"}) == SubsetPosition("a", []string{"a", "b"}) || SubsetPosition("x", nil) != 0 {
		t.Error("places are not each node's own")
	}
}

// TestComingBack: the worse the odds the later, never beyond what the client heeds, and not all at once.
func TestComingBack(t *testing.T) {
	g := NewGate(1, 0)
	const aim, wait = time.Second, 1300 * time.Millisecond
	mean := func(odds float64, wait time.Duration) (sum time.Duration) {
		least, most := time.Hour, time.Duration(0)
		for range 200 {
			after := g.RetryAfter(aim, wait, odds)
			if after <= 0 || after > max(wait, time.Millisecond) {
				t.Fatalf("%v, with a wait of %v", after, wait)
			}
			least, most, sum = min(least, after), max(most, after), sum+after/200
		}
		if wait > 0 && most-least < wait/4 {
			t.Errorf("all between %v and %v", least, most)
		}
		return sum
	}
	soon, late := mean(1, wait), mean(0, wait)
	if half := mean(0.5, wait); soon > 600*time.Millisecond || late < 900*time.Millisecond || half < soon || half > late {
		t.Errorf("%v with good odds, %v with even ones, %v with none", soon, half, late)
	}
	mean(0, 0)
}

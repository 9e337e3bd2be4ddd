package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// fleet plays groups in simulated time; a message takes no time, or gets lost.
type fleet struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	groups map[string]*Memberlist
	loss   float64
	cut    func(a, b string) bool
}

func (f *fleet) reach(from, to string) bool {
	return f.groups[to] != nil && (f.cut == nil || !f.cut(from, to)) && f.rng.Float64() >= f.loss
}

func (f *fleet) exchange(from, to string, p *wire.ProbeRequest) *wire.ProbeResponse {
	if !f.reach(from, to) {
		return nil
	}
	g := f.groups[to]
	g.Merge(f.now, p.From)
	g.Merge(f.now, p.Updates...)
	reached := true
	if p.Target != nil {
		reached = f.exchange(to, p.Target.Name, &wire.ProbeRequest{From: g.Self()}) != nil
	}
	answer := g.HandleProbe(p)
	answer.Reached = reached
	f.groups[from].Merge(f.now, answer.Updates...)
	return answer
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for _, name := range slices.Sorted(maps.Keys(f.groups)) { // in one order, so that runs repeat
			g := f.groups[name]
			todo := g.Tick(f.now, []string{"n0"})
			for len(todo) > 0 {
				a := todo[0]
				to := a.Target
				switch {
				case a.Via != "":
					to = a.Via
				case to == "":
					to = a.Address
				}
				todo = append(todo[1:], g.HandleProbeResult(f.now, a, f.exchange(g.Self().Name, to, a.Request))...)
			}
		}
	}
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(1, 2)), groups: map[string]*Memberlist{}}
	for i := range n {
		name := fmt.Sprint("n", i)
		f.groups[name] = New(&wire.Member{Name: name, Address: name, Generation: 1}, uint64(i), 0)
	}
	for i := 1; i < n; i++ {
		f.exchange(fmt.Sprint("n", i), "n0", &wire.ProbeRequest{From: f.groups[fmt.Sprint("n", i)].Self(), FullView: true})
	}
	return f
}

func (f *fleet) want(n int, when string) {
	f.t.Helper()
	for name, g := range f.groups {
		alive := 0
		for _, m := range g.Members() {
			if m.State == wire.Member_ALIVE {
				alive++
			}
		}
		if alive != n {
			f.t.Errorf("%s: %s knows %d alive, want %d", when, name, alive, n)
		}
	}
}

func TestDeathReachesAll(t *testing.T) {
	f := newFleet(t, 20)
	f.run(11 * time.Second)
	f.want(20, "at first")
	delete(f.groups, "n7")
	f.run(20 * time.Second)
	f.want(19, "after a death")
	for name, g := range f.groups {
		if g.DeadFor(f.now, "n7") == 0 {
			t.Errorf("%s does not hold n7 for gone", name)
		}
	}
	// A new process is known again, though all have heard of the death.
	f.groups["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 77, f.now)
	f.exchange("n7", "n0", &wire.ProbeRequest{From: f.groups["n7"].Self(), FullView: true})
	f.run(10 * time.Second)
	f.want(20, "after its return")
	g := f.groups["n3"]
	g.Leave()
	f.exchange("n3", "n4", &wire.ProbeRequest{From: g.Self(), Updates: []*wire.Member{g.Self()}})
	delete(f.groups, "n3")
	f.run(8 * time.Second)
	f.want(19, "after it left")
}

// TestMessageLossAndPartitionsAreNotDeath: third parties vouch for a node that some can't reach,
// and a node refutes what is said of it.
func TestMessageLossAndPartitionsAreNotDeath(t *testing.T) {
	f := newFleet(t, 12)
	f.loss = 0.05
	f.cut = func(a, b string) bool { return a == "n1" && b == "n2" || a == "n2" && b == "n1" }
	f.run(60 * time.Second)
	dead := 0
	for _, g := range f.groups {
		dead += len(f.groups) - len(g.Members())
	}
	if dead > 0 {
		t.Errorf("%d times a living node was taken for dead", dead)
	}
	g := f.groups["n5"]
	f.loss, f.cut = 0, nil
	f.groups["n0"].Merge(f.now, &wire.Member{Name: "n5", Address: "n5", Generation: 1, Incarnation: g.Self().Incarnation, State: wire.Member_SUSPECT})
	f.run(10 * time.Second)
	f.want(12, "after a slander")
}

// TestClockSetBack: a process that starts anew with a generation below that of its predecessor, as its clock was set back, is
// known again: it raises its generation as soon as it sees the old one.
func TestClockSetBack(t *testing.T) {
	f := newFleet(t, 8)
	f.groups["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 1000}, 70, 0)
	f.exchange("n7", "n0", &wire.ProbeRequest{From: f.groups["n7"].Self(), FullView: true})
	f.run(10 * time.Second)
	delete(f.groups, "n7")
	f.run(10 * time.Second)
	f.groups["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 71, f.now)
	f.run(10 * time.Second)
	f.want(8, "after its return with an earlier clock")
}

// TestTargetSizeFits: a view holds all nodes of the largest mesh that is designed for.
func TestTargetSizeFits(t *testing.T) {
	const nodes = 28_000
	g := New(&wire.Member{Name: "self", Address: "self", Generation: 1}, 1, 0)
	for i := range nodes {
		name := fmt.Sprint("n", i)
		g.Merge(0, &wire.Member{Name: name, Address: name, Generation: 1})
	}
	if got := len(g.Members()); got != nodes+1 {
		t.Errorf("%d members, want %d", got, nodes+1)
	}
}

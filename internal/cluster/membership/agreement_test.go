package membership

import (
	"fmt"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// agreed reports whether all groups have one view.
func (f *fleet) agreed() bool {
	first := f.groups["n0"].Digest()
	for _, g := range f.groups {
		if g.Digest() != first || len(g.Members()) != len(f.groups) {
			return false
		}
	}
	return true
}

// untilAgreed plays until all groups have one view, and returns how long that took.
func (f *fleet) untilAgreed(bound time.Duration) time.Duration {
	began := f.now
	for f.now < began+bound && !f.agreed() {
		f.run(250 * time.Millisecond)
	}
	return f.now - began
}

// TestManyNodesConverge: nodes that all start at once know each other within seconds, and so they do behind a restart and
// a loss of a tenth, although updates of the start still wait to be passed on.
func TestManyNodesConverge(t *testing.T) {
	const nodes = 300
	f := newFleet(t, 1)
	f.loss = 0.01
	for i := 1; i < nodes; i++ {
		name := fmt.Sprint("n", i)
		f.groups[name] = New(&wire.Member{Name: name, Address: name, Generation: 1}, uint64(i), 0)
	}
	check := func(what string, bound time.Duration) {
		t.Helper()
		took := f.untilAgreed(time.Minute)
		t.Logf("%s: all agree after %v", what, took)
		if took > bound {
			t.Errorf("%s: all agree after %v, want %v at most", what, took, bound)
		}
	}
	check("a start", 10*time.Second)
	f.groups["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 1007, f.now)
	check("a restart", 10*time.Second)
	for i := 10; i < 10+nodes/10; i++ {
		delete(f.groups, fmt.Sprint("n", i))
	}
	check("a loss of a tenth", 15*time.Second)
	for i := 10; i < 10+nodes/10; i++ {
		name := fmt.Sprint("n", i)
		f.groups[name] = New(&wire.Member{Name: name, Address: name, Generation: 2}, uint64(2000+i), f.now)
	}
	check("their return", 10*time.Second)
}

// TestMissedUpdateArrivesByPushPull: nodes that lack a change which all others know, and would compare their views long
// after it, are asked by one of the others soon, and look into it.
func TestMissedUpdateArrivesByPushPull(t *testing.T) {
	const (
		nodes  = 300
		missed = 20
		bound  = 25 * time.Second // the others compare their views each 20 s at the latest
	)
	f := newFleet(t, nodes)
	f.untilAgreed(time.Minute)
	f.run(time.Minute)
	f.groups["n7"] = New(&wire.Member{Name: "n7", Address: "n7", Generation: 2}, 1007, f.now)
	f.untilAgreed(time.Minute)
	for name, g := range f.groups { // probes tell of it no more
		if m := g.members["n7"]; name != "n7" {
			m.transmits = transmitLimitReached
		}
	}
	for i := 100; i < 100+missed; i++ {
		g := f.groups[fmt.Sprint("n", i)]
		m := g.members["n7"]
		g.toggleDigest(m.Member)
		m.Member = &wire.Member{Name: "n7", Address: "n7", Generation: 1}
		g.toggleDigest(m.Member)
		g.nextPushPullAt = f.now + time.Hour
	}
	if took := f.untilAgreed(time.Minute); took > bound {
		t.Errorf("%d nodes that missed a change know of it after %v, want %v", missed, took, bound)
	} else {
		t.Logf("after %v", took)
	}
}

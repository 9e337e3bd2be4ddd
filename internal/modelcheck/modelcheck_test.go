package modelcheck

import (
	"strings"
	"testing"
)

// TestHoldsEverywhere looks at all states within small bounds.
func TestHoldsEverywhere(t *testing.T) {
	for _, c := range []struct {
		b     Bounds
		least int // states
	}{
		{Bounds{Machines: 3, Terms: 3, Link: 1}, 5000},
		{Bounds{Machines: 3, Terms: 2, Link: 2, Proposals: 1}, 10000},
		{Bounds{Machines: 3, Terms: 2, Link: 1, Proposals: 1, Reads: 1}, 10000},
		{Bounds{Machines: 3, Terms: 2, Link: 1, Changes: 1, Wipes: 1}, 5000},
		{Bounds{Machines: 3, Terms: 3, Link: 1, Handovers: 1}, 5000},
	} {
		r := Search(c.b)
		if r.Broken != "" || !r.Complete || r.States < c.least {
			t.Errorf("%+v: %d states, complete %v; %s\n%s", c.b, r.States, r.Complete, r.Broken, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%+v: %d states, %d steps, %d deep, %v", c.b, r.States, r.Steps, r.Depth, r.Took)
	}
}

// TestFindsTheShortestWay: with votes that do not survive a crash two machines lead in one term, and the way there that
// is told is a short one, alike each time.
func TestFindsTheShortestWay(t *testing.T) {
	b := Bounds{Machines: 3, Terms: 2, Link: 1, Crashes: 1, LoseVotes: true}
	r, again := Search(b), Search(b)
	if !strings.Contains(r.Broken, "lead in term 2") || len(r.Trace) != r.Depth || r.Depth > 9 {
		t.Errorf("%q after %d steps:\n%s", r.Broken, r.Depth, strings.Join(r.Trace, "\n"))
	}
	if strings.Join(r.Trace, "\n") != strings.Join(again.Trace, "\n") {
		t.Errorf("two searches told two ways:\n%s\n\n%s", strings.Join(r.Trace, "\n"), strings.Join(again.Trace, "\n"))
	}
}

// TestStatesAreTold: by renaming machines alone two states are one, and by any difference that matters two.
func TestStatesAreTold(t *testing.T) {
	first := begin(Bounds{Machines: 3, Terms: 3, Proposals: 1, Link: 1})
	keys := map[uint64]bool{}
	for _, s := range first.next() {
		keys[s.key()] = true
	}
	if len(keys) != 1 {
		t.Errorf("whoever of three wants to lead, it should be one state, and is %d", len(keys))
	}
	s := first.next()[0]
	for _, n := range s.next() {
		if n.key() == s.key() {
			t.Errorf("%s: the state has not changed", n.action)
		}
	}
}

package modelcheck

import (
	"strings"
	"testing"
)

// search goes through some bounds.
func search(t *testing.T, b Bounds) *Result {
	t.Helper()
	r, err := Search(Set{Bounds: b})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestHoldsEverywhere looks at all states within small bounds.
func TestHoldsEverywhere(t *testing.T) {
	for _, c := range []struct {
		b     Bounds
		least int // states
	}{
		{Bounds{Members: 3, Terms: 3, Link: 1}, 5000},
		{Bounds{Members: 3, Terms: 2, Link: 2, Proposals: 1}, 10000},
		{Bounds{Members: 3, Terms: 2, Link: 1, Proposals: 1, Reads: 1}, 10000},
		{Bounds{Members: 3, Terms: 2, Link: 1, Changes: 1, Wipes: 1}, 5000},
		{Bounds{Members: 3, Terms: 3, Link: 1, Transfers: 1}, 5000},
	} {
		r := search(t, c.b)
		if r.Violation != "" || !r.Complete || r.States < c.least {
			t.Errorf("%+v: %d states, complete %v; %s\n%s", c.b, r.States, r.Complete, r.Violation, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%+v: %d states, %d steps, %d deep, %v", c.b, r.States, r.Steps, r.Depth, r.Took)
	}
}

// TestFindsTheShortestWay: with votes that do not survive a crash a member leads by a vote that its voter has forgotten,
// and the trace there is a shortest one, alike each time.
func TestFindsTheShortestWay(t *testing.T) {
	b := Bounds{Members: 3, Terms: 2, Link: 1, Crashes: 1, LoseVotes: true}
	r, again := search(t, b), search(t, b)
	if !strings.Contains(r.Violation, "leads in term 2 with 1 votes of 3") || len(r.Trace) != r.Depth || r.Depth > 7 {
		t.Errorf("%q after %d steps:\n%s", r.Violation, r.Depth, strings.Join(r.Trace, "\n"))
	}
	if strings.Join(r.Trace, "\n") != strings.Join(again.Trace, "\n") {
		t.Errorf("two searches told two ways:\n%s\n\n%s", strings.Join(r.Trace, "\n"), strings.Join(again.Trace, "\n"))
	}
}

// TestStatesAreTold: by renaming machines alone two states are one, and by any difference that matters two.
func TestStatesAreTold(t *testing.T) {
	first := newState(Bounds{Members: 3, Terms: 3, Proposals: 1, Link: 1})
	keys := map[uint64]bool{}
	for _, n := range first.successors() {
		keys[n.key] = true
	}
	if len(keys) != 1 {
		t.Errorf("whoever of three wants to lead, it should be one state, and is %d", len(keys))
	}
	s := first.successors()[0]
	for _, n := range s.state.successors() {
		if n.key == s.key {
			t.Errorf("%s: the state has not changed", n.event)
		}
	}
}

// TestScenarios: each named set's scenario can be played on the sources as they are, a line that can't happen is told with
// those that can, and a trace is a scenario.
func TestScenarios(t *testing.T) {
	for _, set := range Named {
		if _, err := play(set); err != nil {
			t.Error(err)
		}
	}
	b := Bounds{Members: 3, Terms: 2, Link: 1, Crashes: 1, LoseVotes: true}
	if _, err := play(Set{Name: "x", Bounds: b, Scenario: "campaign 0\npropose 0"}); err == nil || !strings.Contains(err.Error(), "deliver 0 1 REQUEST_VOTE@2") {
		t.Errorf("a line that can't happen: %v", err)
	}
	trace := strings.Join(search(t, b).Trace, "\n")
	if _, err := play(Set{Name: "x", Bounds: b, Scenario: trace}); err == nil || !strings.Contains(err.Error(), "leads in term 2") {
		t.Errorf("the trace of a fault, played as a scenario: %v", err)
	}
}

// TestWalks: random histories find nothing in the sources as they are, are alike for a seed, and are long.
func TestWalks(t *testing.T) {
	r := Walks(WalkOptions{Walks: 300, Seed: 1, Steps: 150})
	if r.Violation != "" || !r.Complete || r.Steps < 300*100 {
		t.Errorf("%d steps, seed %d: %s\n%s", r.Steps, r.Seed, r.Violation, strings.Join(r.Trace, "\n"))
	}
	t.Logf("%d steps in %v", r.Steps, r.Took)
	a, b := walk(7, 100), walk(7, 100)
	if strings.Join(a.Trace, "\n") != strings.Join(b.Trace, "\n") {
		t.Error("two walks of one seed differ")
	}
}

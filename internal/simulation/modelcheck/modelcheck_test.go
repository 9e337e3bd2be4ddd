package modelcheck

import (
	"strings"
	"testing"
)

// search runs a search without a scenario.
func search(t *testing.T, b Bounds) *Result {
	t.Helper()
	r, err := Search(SearchConfig{Bounds: b})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSearchFindsNoViolation searches all states within small bounds.
func TestSearchFindsNoViolation(t *testing.T) {
	for _, c := range []struct {
		bounds    Bounds
		minStates int
	}{
		{Bounds{Members: 3, Terms: 3, Link: 1}, 5000},
		{Bounds{Members: 3, Terms: 2, Link: 2, Proposals: 1}, 10000},
		{Bounds{Members: 3, Terms: 2, Link: 1, Proposals: 1, Reads: 1}, 10000},
		{Bounds{Members: 3, Terms: 2, Link: 1, Changes: 1, Wipes: 1}, 5000},
		{Bounds{Members: 3, Terms: 3, Link: 1, Transfers: 1}, 5000},
	} {
		r := search(t, c.bounds)
		if r.Violation != "" || !r.Complete || r.States < c.minStates {
			t.Errorf("bounds %+v: %d states, complete %v; violation: %s\n%s", c.bounds, r.States, r.Complete, r.Violation, strings.Join(r.Trace, "\n"))
		}
		t.Logf("bounds %+v: %d states, %d steps, depth %d, %v", c.bounds, r.States, r.Steps, r.Depth, r.Elapsed)
	}
}

// TestShortestTrace checks that a search finds a shortest trace to the violation caused by votes that are lost in a crash, and
// that the search is deterministic.
func TestShortestTrace(t *testing.T) {
	b := Bounds{Members: 3, Terms: 2, Link: 1, Crashes: 1, LoseVotes: true}
	r, again := search(t, b), search(t, b)
	if !strings.Contains(r.Violation, "leads in term 2 with 1 votes of 3") || len(r.Trace) != r.Depth || r.Depth > 7 {
		t.Errorf("violation %q after %d steps, want a leader with one vote within 7 steps:\n%s", r.Violation, r.Depth, strings.Join(r.Trace, "\n"))
	}
	if strings.Join(r.Trace, "\n") != strings.Join(again.Trace, "\n") {
		t.Errorf("two searches returned different traces:\n%s\n\n%s", strings.Join(r.Trace, "\n"), strings.Join(again.Trace, "\n"))
	}
}

// TestStateKeys checks that states which differ only in the members' names have the same key, and that others do not.
func TestStateKeys(t *testing.T) {
	initial := newState(Bounds{Members: 3, Terms: 3, Proposals: 1, Link: 1})
	keys := map[uint64]bool{}
	for _, n := range initial.successors() {
		keys[n.key] = true
	}
	if len(keys) != 1 {
		t.Errorf("the states after a campaign of each of three members have %d different keys, want 1", len(keys))
	}
	s := initial.successors()[0]
	for _, n := range s.state.successors() {
		if n.key == s.key {
			t.Errorf("event %s does not change the key of the state", n.event)
		}
	}
}

// TestScenarios checks that the scenarios of all standard searches and a trace can be replayed, and that the error for an
// impossible event lists the possible ones.
func TestScenarios(t *testing.T) {
	for _, config := range Searches {
		if _, err := replayScenario(config); err != nil {
			t.Error(err)
		}
	}
	b := Bounds{Members: 3, Terms: 2, Link: 1, Crashes: 1, LoseVotes: true}
	if _, err := replayScenario(SearchConfig{Name: "x", Bounds: b, Scenario: "campaign 0\npropose 0"}); err == nil || !strings.Contains(err.Error(), "deliver 0 1 REQUEST_VOTE@2") {
		t.Errorf("scenario with an impossible event: error %v, want one that lists the possible events", err)
	}
	trace := strings.Join(search(t, b).Trace, "\n")
	if _, err := replayScenario(SearchConfig{Name: "x", Bounds: b, Scenario: trace}); err == nil || !strings.Contains(err.Error(), "leads in term 2") {
		t.Errorf("scenario made from the trace of a violation: error %v, want the violation", err)
	}
}

// TestWalks checks that random walks find no violation, have enough steps, and are deterministic for a seed.
func TestWalks(t *testing.T) {
	r := Walks(WalkOptions{Walks: 300, Seed: 1, Steps: 150})
	if r.Violation != "" || !r.Complete || r.Steps < 300*100 {
		t.Errorf("%d steps, want at least 30000; violation with seed %d: %s\n%s", r.Steps, r.Seed, r.Violation, strings.Join(r.Trace, "\n"))
	}
	t.Logf("%d steps in %v", r.Steps, r.Elapsed)
	a, b := walk(7, 100), walk(7, 100)
	if strings.Join(a.Trace, "\n") != strings.Join(b.Trace, "\n") {
		t.Error("two walks with the same seed have different traces")
	}
}

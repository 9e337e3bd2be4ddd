package lab

import "testing"

// TestCostOfChanges: what a change of one route costs each node, and the links between zones, does not depend
// on the size of the configuration, and it is everywhere within a second at fifty changes a second.
func TestCostOfChanges(t *testing.T) {
	w, err := Load("../../../lab/changes.toml")
	if err != nil {
		t.Fatal(err)
	}
	w.Nodes, w.Seconds = 40, 6
	run := func(routes int, every float64) *Result {
		w.Operator.Routes, w.Operator.EveryS = routes, every
		r := Run(w, 1)
		if len(r.Violations) > 0 || r.LagMaxMs > 1000 {
			t.Errorf("%d routes, a change each %g s: at most %g ms until it is everywhere, %v", routes, every, r.LagMaxMs, r.Violations)
		}
		return r
	}
	for _, routes := range []int{50, 800} {
		few, many := run(routes, 2), run(routes, 0.02)
		changes := float64(many.Acks-few.Acks) / w.Seconds // a second
		if changes < 10 {
			t.Fatalf("%d routes: %.1f changes a second", routes, changes)
		}
		each := (many.FeedBytesS - few.FeedBytesS) / changes
		crossed := (many.CrossZoneBps - few.CrossZoneBps) / changes
		t.Logf("%d routes: a change costs a node %.0f bytes, and %.0f between zones", routes, each, crossed)
		if each > 500 || crossed > 4000 {
			t.Errorf("%d routes: a change costs a node %.0f bytes, and %.0f between zones", routes, each, crossed)
		}
	}
}

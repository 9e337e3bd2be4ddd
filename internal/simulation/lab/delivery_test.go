package lab

import "testing"

// TestCostOfChanges checks that the bytes a change of one route costs each node and the links between zones do not
// depend on the size of the configuration, and that changes reach all nodes within a second at fifty changes a second.
func TestCostOfChanges(t *testing.T) {
	scenario, err := Load("../../../lab/changes.toml")
	if err != nil {
		t.Fatal(err)
	}
	scenario.Nodes, scenario.Seconds = 40, 6
	run := func(routes int, intervalS float64) *Result {
		scenario.Operator.Routes, scenario.Operator.EveryS = routes, intervalS
		result := Run(scenario, 1)
		if len(result.Violations) > 0 || result.LagMaxMs > 1000 {
			t.Errorf("%d routes, a change every %g s: maximum update lag %g ms, want at most 1000 ms; violations %v", routes, intervalS, result.LagMaxMs, result.Violations)
		}
		return result
	}
	for _, routes := range []int{50, 800} {
		slow, fast := run(routes, 2), run(routes, 0.02)
		changes := float64(fast.Acks-slow.Acks) / scenario.Seconds // changes per second
		if changes < 10 {
			t.Fatalf("%d routes: the runs differ by %.1f changes a second, want at least 10", routes, changes)
		}
		bytesPerNode := (fast.FeedBytesS - slow.FeedBytesS) / changes
		crossZoneBytes := (fast.CrossZoneBps - slow.CrossZoneBps) / changes
		t.Logf("%d routes: a change costs each node %.0f bytes and the links between zones %.0f bytes", routes, bytesPerNode, crossZoneBytes)
		if bytesPerNode > 500 || crossZoneBytes > 4000 {
			t.Errorf("%d routes: a change costs each node %.0f bytes and the links between zones %.0f bytes, want at most 500 and 4000", routes, bytesPerNode, crossZoneBytes)
		}
	}
}

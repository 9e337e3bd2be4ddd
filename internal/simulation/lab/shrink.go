package lab

import (
	"slices"
)

// Shrink reduces a scenario that violates an invariant: it ends the run soon after the first
// violation, and removes faults and the workload of routes that the violation does not need.
// fails runs a scenario, and returns the time of the first violation in seconds, and whether
// there was one.
func Shrink(scenario *Scenario, fails func(*Scenario) (atS float64, violated bool)) *Scenario {
	best := *scenario
	if violationS, ok := fails(&best); ok {
		if shorter := best; violationS+1 < best.Seconds {
			shorter.Seconds = violationS + 1
			if _, ok := fails(&shorter); ok {
				best = shorter
			}
		}
	}
	for smaller := true; smaller; {
		smaller = false
		for i := range best.Faults {
			candidate := best
			candidate.Faults = slices.Delete(slices.Clone(best.Faults), i, i+1)
			if _, ok := fails(&candidate); ok {
				best, smaller = candidate, true
				break
			}
		}
		for i := range best.Routes {
			if best.Routes[i].Rate == 0 || smaller {
				continue
			}
			candidate := best
			candidate.Routes = slices.Clone(best.Routes)
			candidate.Routes[i].Rate = 0
			if _, ok := fails(&candidate); ok {
				best, smaller = candidate, true
			}
		}
	}
	return &best
}

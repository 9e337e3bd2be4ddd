package lab

import (
	"slices"
)

// Shrink looks for a shorter scenario that still goes wrong: without some of the
// troubles and routes, and ending soon after the fault. fails runs a scenario and says
// at which second it broke, if it did.
func Shrink(w *Scenario, fails func(*Scenario) (atS float64, broken bool)) *Scenario {
	best := *w
	if at, ok := fails(&best); ok {
		if shorter := best; at+1 < best.Seconds {
			shorter.Seconds = at + 1
			if _, ok := fails(&shorter); ok {
				best = shorter
			}
		}
	}
	for smaller := true; smaller; {
		smaller = false
		for i := range best.Faults {
			c := best
			c.Faults = slices.Delete(slices.Clone(best.Faults), i, i+1)
			if _, ok := fails(&c); ok {
				best, smaller = c, true
				break
			}
		}
		for i := range best.Routes {
			if best.Routes[i].Rate == 0 || smaller {
				continue
			}
			c := best
			c.Routes = slices.Clone(best.Routes)
			c.Routes[i].Rate = 0
			if _, ok := fails(&c); ok {
				best, smaller = c, true
			}
		}
	}
	return &best
}

package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBoundOverAllNodes simulates 13 nodes that get uneven traffic, restart, and retry as
// often as allowed, and checks the bound on retries in all sliding windows.
func TestBoundOverAllNodes(t *testing.T) {
	const (
		nodes, ratio, slack = 13, 0.2, 64.0
		window              = 10 * time.Second
		step                = 10 * time.Millisecond
		steps               = 6000
	)
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		budgets, startedAt := make([]*Budget, nodes), make([]time.Duration, nodes)
		var requests, retries [steps]float64
		for i := range budgets {
			budgets[i] = New(ratio/SafetyFactor, window) // allows Spend to use the whole bound
			budgets[i].SetSlack(slack / SafetyFactor / nodes)
		}
		for s := range steps {
			now := time.Duration(s) * step
			for i := range budgets {
				if rng.IntN(3000) == 0 { // a restart loses the count of retries
					budgets[i], startedAt[i] = New(ratio/SafetyFactor, window), now
				}
				if now-startedAt[i] > window {
					budgets[i].SetSlack(slack / SafetyFactor / nodes)
				}
				busy := s/500%nodes == i || rng.IntN(10) == 0
				for busy && rng.IntN(3) > 0 {
					requests[s]++
					budgets[i].CountRequest(now)
				}
				for rng.IntN(4) > 0 && budgets[i].Spend(now) {
					retries[s]++
				}
			}
		}
		const span = int(window / step)
		sumWindow := func(counts *[steps]float64, from int) (sum float64) {
			for s := max(0, from); s < from+span && s < steps; s++ {
				sum += counts[s]
			}
			return sum
		}
		total := 0.0
		for from := 0; from+span <= steps; from += 7 {
			requested := max(sumWindow(&requests, from), sumWindow(&requests, from-span/2), sumWindow(&requests, from-span))
			if got := sumWindow(&retries, from); got > ratio*requested+slack {
				t.Fatalf("seed %d: %v retries exceed the bound in the window from %v with %v requests", seed, got, time.Duration(from)*step, requested)
			}
			total += sumWindow(&retries, from)
		}
		if total == 0 {
			t.Error("no retries were sent")
		}
	}
}

// TestBudgetAfterRestart checks that a new budget allows no retries until it
// gets slack, and that charged retries expire with the window.
func TestBudgetAfterRestart(t *testing.T) {
	b := New(0.2, 10*time.Second)
	if b.Spend(time.Second) {
		t.Error("a new budget without slack allowed a retry")
	}
	b.SetSlack(20)
	if !b.Spend(time.Second) || b.Available(time.Second) != 20*SafetyFactor-1 {
		t.Errorf("%v retries are left after one was spent", b.Available(time.Second))
	}
	b.Charge(time.Second, 100)
	if b.Spend(2*time.Second) || !b.Spend(12*time.Second) {
		t.Error("charged retries do not count for exactly one window")
	}
}

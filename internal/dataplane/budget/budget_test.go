package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSumOfAllNodes plays 13 nodes with uneven traffic that repeat as often as
// they may, and restart, and counts repeats in every sliding window.
func TestSumOfAllNodes(t *testing.T) {
	const (
		nodes, ratio, slack = 13, 0.2, 64.0
		window              = 10 * time.Second
		step                = 10 * time.Millisecond
		steps               = 6000
	)
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		budgets, born := make([]*Budget, nodes), make([]time.Duration, nodes)
		var asked, again [steps]float64
		for i := range budgets {
			budgets[i] = New(ratio/Caution, window) // the whole bound, as if no call followed
			budgets[i].SetSlack(slack / Caution / nodes)
		}
		for s := range steps {
			now := time.Duration(s) * step
			for i := range budgets {
				if rng.IntN(3000) == 0 { // it starts again and has forgotten what it spent
					budgets[i], born[i] = New(ratio/Caution, window), now
				}
				if now-born[i] > window {
					budgets[i].SetSlack(slack / Caution / nodes)
				}
				busy := s/500%nodes == i || rng.IntN(10) == 0
				for busy && rng.IntN(3) > 0 {
					asked[s]++
					budgets[i].Request(now)
				}
				for rng.IntN(4) > 0 && budgets[i].Spend(now) {
					again[s]++
				}
			}
		}
		const span = int(window / step)
		sums := func(of *[steps]float64, from int) (sum float64) {
			for s := max(0, from); s < from+span && s < steps; s++ {
				sum += of[s]
			}
			return sum
		}
		total := 0.0
		for from := 0; from+span <= steps; from += 7 {
			requests := max(sums(&asked, from), sums(&asked, from-span/2), sums(&asked, from-span))
			if got := sums(&again, from); got > ratio*requests+slack {
				t.Fatalf("seed %d: %v repeats in the window from %v, %v requests", seed, got, time.Duration(from)*step, requests)
			}
			total += sums(&again, from)
		}
		if total == 0 {
			t.Error("nothing was repeated: hardly a test")
		}
	}
}

func TestNothingIsLeftAfterARestart(t *testing.T) {
	b := New(0.2, 10*time.Second)
	if b.Spend(time.Second) {
		t.Error("a new life without a share spent")
	}
	b.SetSlack(20)
	if !b.Spend(time.Second) || b.Available(time.Second) != 20*Caution-1 {
		t.Errorf("%v left", b.Available(time.Second))
	}
	b.Charge(time.Second, 100)
	if b.Spend(2*time.Second) || !b.Spend(12*time.Second) {
		t.Error("what was charged does not pass with its window")
	}
}

package modelcheck

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

// WalkOptions are the options of Walks.
type WalkOptions struct {
	Walks int
	Seed  uint64        // the first of them
	Steps int           // maximum number of events in one walk
	Limit time.Duration // no walk starts after it; 0: no bound
}

// Walks explores random histories, on all processors. Each seed draws its own bounds, and how likely each kind of
// event is. The result is that of the smallest seed that violates a property, if any does.
func Walks(opt WalkOptions) *Result {
	began := time.Now()
	total := &Result{Complete: true}
	var mu sync.Mutex
	var running sync.WaitGroup
	next := uint64(0)
	take := func() (seed uint64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= uint64(opt.Walks) || total.Violation != "" {
			return 0, false
		}
		if opt.Limit > 0 && time.Since(began) > opt.Limit {
			total.Complete = false
			return 0, false
		}
		next++
		return opt.Seed + next - 1, true
	}
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for {
				seed, ok := take()
				if !ok {
					return
				}
				r := walk(seed, opt.Steps)
				mu.Lock()
				total.Walks++
				total.Steps += r.Steps
				total.Depth = max(total.Depth, r.Steps)
				if r.Violation != "" && (total.Violation == "" || seed < total.Seed) {
					total.Violation, total.Trace, total.Seed = r.Violation, r.Trace, seed
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	total.Took = time.Since(began)
	return total
}

// drawBounds draws how many members there are, and what the network does.
func drawBounds(rng *rand.Rand) Bounds {
	return Bounds{
		Members: 3 + rng.IntN(3), Terms: unlimited, Link: 2 + rng.IntN(12), Batch: rng.IntN(3),
		Unordered: rng.IntN(4) > 0, Old: rng.IntN(2) == 0,
		Proposals: unlimited, Reads: unlimited, Heartbeats: unlimited, Crashes: unlimited, Wipes: rng.IntN(2), Changes: unlimited * rng.IntN(2),
		Snapshots: unlimited, Transfers: unlimited, Duplicates: unlimited,
	}
}

// drawWeights draws the probability of each kind of event: some never occur, some often. Messages mostly arrive.
func drawWeights(rng *rand.Rand) (weights [eventKinds]float64) {
	levels := []float64{0, 0.02, 0.1, 0.3, 1}
	for kind := range weights {
		weights[kind] = levels[rng.IntN(len(levels))]
	}
	weights[deliver] = []float64{2, 5, 20}[rng.IntN(3)]
	weights[campaign] = levels[1+rng.IntN(3)]
	weights[restart] = 0.3
	return weights
}

// walk explores one random history.
func walk(seed uint64, steps int) *Result {
	rng := rand.New(rand.NewPCG(seed, 0x5a1c))
	bounds := drawBounds(rng)
	weights := drawWeights(rng)
	s := newState(bounds)
	r := &Result{Seed: seed}
	for range steps {
		e, ok := draw(rng, s, &weights)
		if !ok {
			break
		}
		s = s.apply(e)
		r.Steps++
		r.Trace = append(r.Trace, e.String())
		if s.violation != "" {
			r.Violation = s.violation
			return r
		}
	}
	return r
}

// draw draws a kind of event by the weights of those that are possible, and then one of that kind.
func draw(rng *rand.Rand, s *state, weights *[eventKinds]float64) (event, bool) {
	var byKind [eventKinds][]event
	for _, e := range s.events() {
		byKind[e.kind] = append(byKind[e.kind], e)
	}
	total := 0.0
	for kind, list := range byKind {
		if len(list) > 0 {
			total += weights[kind]
		}
	}
	x := rng.Float64() * total
	for kind, list := range byKind {
		if len(list) == 0 {
			continue
		}
		if x -= weights[kind]; x < 0 {
			return list[rng.IntN(len(list))], true
		}
	}
	return event{}, false
}

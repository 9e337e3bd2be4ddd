package modelcheck

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

// WalkOptions configures Walks.
type WalkOptions struct {
	Walks int
	Seed  uint64        // seed of the first walk; each following walk increments it
	Steps int           // maximum number of events in one walk
	Limit time.Duration // time after which no walk starts; zero means no limit
}

// Walks explores random histories on all processors. Each seed draws its own bounds and the probability of each kind of event.
// If several walks violate a property, the result contains the violation with the smallest seed.
func Walks(opt WalkOptions) *Result {
	startedAt := time.Now()
	total := &Result{Complete: true}
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := uint64(0)
	nextSeed := func() (seed uint64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= uint64(opt.Walks) || total.Violation != "" {
			return 0, false
		}
		if opt.Limit > 0 && time.Since(startedAt) > opt.Limit {
			total.Complete = false
			return 0, false
		}
		next++
		return opt.Seed + next - 1, true
	}
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				seed, ok := nextSeed()
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
	wg.Wait()
	total.Elapsed = time.Since(startedAt)
	return total
}

// drawBounds draws the number of members, the behaviour of the network, and which events may occur.
func drawBounds(rng *rand.Rand) Bounds {
	return Bounds{
		Members: 3 + rng.IntN(3), Terms: unlimited, Link: 2 + rng.IntN(12), Batch: rng.IntN(3),
		Unordered: rng.IntN(4) > 0, KeepStale: rng.IntN(2) == 0,
		Proposals: unlimited, Reads: unlimited, Heartbeats: unlimited, Crashes: unlimited, Wipes: rng.IntN(2), Changes: unlimited * rng.IntN(2),
		Snapshots: unlimited, Transfers: unlimited, Duplicates: unlimited,
	}
}

// drawWeights draws the weight of each kind of event. Some kinds never occur; message delivery is the most frequent kind.
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
		e, ok := drawEvent(rng, s, &weights)
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

// drawEvent draws a kind by the weights of the possible kinds, and then one event of that kind. It returns false if no event
// with a positive weight is possible.
func drawEvent(rng *rand.Rand, s *state, weights *[eventKinds]float64) (event, bool) {
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

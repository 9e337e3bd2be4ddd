package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Search explores all states within the bounds of a search, or stops at the first state that violates a property. It
// returns an error if the scenario contains an event that is not possible or violates a property.
func Search(config SearchConfig) (*Result, error) {
	initial, err := replayScenario(config)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	q := &searcher{maxStates: config.States, visited: map[uint64]bool{initial.key(): true}, visits: []visit{{parent: -1}}}
	q.run(initial)
	q.result.States, q.result.Elapsed = len(q.visited), time.Since(startedAt)
	return &q.result, nil
}

// visit records how the search first reached a state.
type visit struct {
	parent int32 // index of the preceding state's visit
	event  event
}

// searcher is the state of a breadth-first search.
type searcher struct {
	maxStates int             // zero means no limit
	visited   map[uint64]bool // keys of the visited states
	visits    []visit
	result    Result
}

// full reports whether the maximum number of states has been visited.
func (q *searcher) full() bool { return q.maxStates > 0 && len(q.visited) >= q.maxStates }

// levelState is a state of one level of the search.
type levelState struct {
	state *state
	visit int32 // index of its visit
}

func (q *searcher) run(initial *state) {
	level := []levelState{{initial, 0}}
	for len(level) > 0 {
		next := q.level(level)
		if q.result.Violation != "" {
			q.result.Depth++
			return
		}
		if len(next) == 0 {
			break
		}
		q.result.Depth++
		level = next
		if q.full() {
			return
		}
	}
	q.result.Complete = true
}

// level returns the successors of a level that have not been visited.
func (q *searcher) level(level []levelState) (next []levelState) {
	for len(level) > 0 && !q.full() && q.result.Violation == "" {
		batch := level[:min(len(level), maxBatch)]
		level = level[len(batch):]
		next = q.visit(batch, next)
	}
	return next
}

// visit appends the successors of a batch that have not been visited to next.
func (q *searcher) visit(batch, next []levelState) []levelState {
	for i, successors := range expand(batch) {
		for _, candidate := range successors {
			q.result.Steps++
			if q.visited[candidate.key] {
				continue
			}
			q.visited[candidate.key] = true
			q.visits = append(q.visits, visit{batch[i].visit, candidate.event})
			index := int32(len(q.visits) - 1)
			if candidate.state.violation != "" {
				q.result.Violation, q.result.Trace = candidate.state.violation, q.trace(index)
				return nil
			}
			next = append(next, levelState{candidate.state, index})
		}
		batch[i].state = nil // allows the state to be collected
	}
	return next
}

// trace returns the events that led to a visit.
func (q *searcher) trace(index int32) (trace []string) {
	for ; index > 0; index = q.visits[index].parent {
		trace = append(trace, q.visits[index].event.String())
	}
	slices.Reverse(trace)
	return trace
}

// maxBatch is the maximum number of states that are expanded before their successors are deduplicated.
const maxBatch = 20_000

// successor is a state after one more event.
type successor struct {
	state *state
	event event
	key   uint64
}

// expand computes the successors of each state of a batch on all processors. It returns them in the order of the batch,
// so that searches are deterministic.
func expand(batch []levelState) [][]successor {
	successors := make([][]successor, len(batch))
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	chunk := (len(batch) + workers - 1) / workers
	for from := 0; from < len(batch); from += chunk {
		to := min(from+chunk, len(batch))
		wg.Go(func() {
			for i := from; i < to; i++ {
				successors[i] = batch[i].state.successors()
			}
		})
	}
	wg.Wait()
	return successors
}

func (s *state) successors() (list []successor) {
	for _, e := range s.events() {
		if next := s.apply(e); next.withinBounds() {
			list = append(list, successor{next, e, next.key()})
		}
	}
	return list
}

package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Search explores all states within a set's bounds, or stops at the first that violates a property. A scenario with
// an event that is not possible, or that violates a property itself, is an error.
func Search(set Set) (*Result, error) {
	first, err := play(set)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	q := &searcher{maxStates: set.States, visited: map[uint64]bool{first.key(): true}, visits: []visit{{parent: -1}}}
	q.run(first)
	q.result.States, q.result.Took = len(q.visited), time.Since(began)
	return &q.result, nil
}

// visit is how a state was reached first.
type visit struct {
	parent int32
	event  event
}

// searcher is the state of a breadth-first search.
type searcher struct {
	maxStates int // 0: no bound
	visited   map[uint64]bool
	visits    []visit
	result    Result
}

// full reports whether the maximum number of states has been visited.
func (q *searcher) full() bool { return q.maxStates > 0 && len(q.visited) >= q.maxStates }

// reached is a state of the level that is searched, with its place among the visits.
type reached struct {
	state *state
	visit int32
}

func (q *searcher) run(first *state) {
	level := []reached{{first, 0}}
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

// level returns the new successors of a level.
func (q *searcher) level(level []reached) (next []reached) {
	for len(level) > 0 && !q.full() && q.result.Violation == "" {
		batch := level[:min(len(level), maxBatch)]
		level = level[len(batch):]
		next = q.visit(batch, next)
	}
	return next
}

// visit appends the new successors of a batch.
func (q *searcher) visit(level, next []reached) []reached {
	for i, successors := range expand(level) {
		for _, f := range successors {
			q.result.Steps++
			if q.visited[f.key] {
				continue
			}
			q.visited[f.key] = true
			q.visits = append(q.visits, visit{level[i].visit, f.event})
			at := int32(len(q.visits) - 1)
			if f.state.violation != "" {
				q.result.Violation, q.result.Trace = f.state.violation, q.trace(at)
				return nil
			}
			next = append(next, reached{f.state, at})
		}
		level[i].state = nil
	}
	return next
}

// trace returns the events that led to a visit.
func (q *searcher) trace(at int32) (trace []string) {
	for ; at > 0; at = q.visits[at].parent {
		trace = append(trace, q.visits[at].event.String())
	}
	slices.Reverse(trace)
	return trace
}

// maxBatch bounds the states that are expanded at a time.
const maxBatch = 20_000

// successor is a state that follows another by one event.
type successor struct {
	state *state
	event event
	key   uint64
}

// expand computes the successors of each state of a batch, on all processors. It returns them in the order of the batch,
// so that searches repeat.
func expand(level []reached) [][]successor {
	successors := make([][]successor, len(level))
	var running sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	share := (len(level) + workers - 1) / workers
	for from := 0; from < len(level); from += share {
		to := min(from+share, len(level))
		running.Go(func() {
			for i := from; i < to; i++ {
				successors[i] = level[i].state.successors()
			}
		})
	}
	running.Wait()
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

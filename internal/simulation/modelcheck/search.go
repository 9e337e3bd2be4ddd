package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Search goes through all states within a set's bounds, or stops at the first that breaks a property. A scenario that does
// not fit the states, or breaks a property itself, is an error.
func Search(set Set) (*Result, error) {
	first, err := play(set)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	q := &searcher{maxStates: set.States, seen: map[uint64]bool{first.key(): true}, visits: []visit{{parent: -1}}}
	q.run(first)
	q.result.States, q.result.Took = len(q.seen), time.Since(began)
	return &q.result, nil
}

// visit is how a state was met first.
type visit struct {
	parent int32
	event  event
}

// searcher is a breadth-first search under way.
type searcher struct {
	maxStates int // 0: no bound
	seen      map[uint64]bool
	visits    []visit
	result    Result
}

// full reports whether as many states have been met as are wanted.
func (q *searcher) full() bool { return q.maxStates > 0 && len(q.seen) >= q.maxStates }

// reached is a state of the level that is searched, with its place among the visits.
type reached struct {
	state *state
	visit int32
}

func (q *searcher) run(first *state) {
	level := []reached{{first, 0}}
	for len(level) > 0 {
		next := q.level(level)
		if q.result.Broken != "" {
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

// level returns the new states behind those of a level.
func (q *searcher) level(level []reached) (next []reached) {
	for len(level) > 0 && !q.full() && q.result.Broken == "" {
		part := level[:min(len(level), expandAtOnce)]
		level = level[len(part):]
		next = q.visit(part, next)
	}
	return next
}

// visit appends the new states behind some of a level's.
func (q *searcher) visit(level, next []reached) []reached {
	for i, successors := range expand(level) {
		for _, f := range successors {
			q.result.Steps++
			if q.seen[f.key] {
				continue
			}
			q.seen[f.key] = true
			q.visits = append(q.visits, visit{level[i].visit, f.event})
			at := int32(len(q.visits) - 1)
			if f.state.broken != "" {
				q.result.Broken, q.result.Trace = f.state.broken, q.trace(at)
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

// expandAtOnce bounds the successors that are held at a time.
const expandAtOnce = 20_000

// successor is a state behind another.
type successor struct {
	state *state
	event event
	key   uint64
}

// expand works out what follows on each state of a level, on all processors. The order of what it returns is the level's,
// so that searches repeat.
func expand(level []reached) [][]successor {
	out := make([][]successor, len(level))
	var running sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	part := (len(level) + workers - 1) / workers
	for from := 0; from < len(level); from += part {
		to := min(from+part, len(level))
		running.Go(func() {
			for i := from; i < to; i++ {
				out[i] = level[i].state.successors()
			}
		})
	}
	running.Wait()
	return out
}

func (s *state) successors() (list []successor) {
	for _, e := range s.events() {
		if next := s.apply(e); next.withinBounds() {
			list = append(list, successor{next, e, next.key()})
		}
	}
	return list
}

package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time; those of one time keep their order.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// engine is simulated time.
type engine struct {
	now   time.Duration
	queue events
	seq   uint64
	rng   *rand.Rand
}

// at lets f happen at a time, now at the earliest.
func (e *engine) at(t time.Duration, f func()) {
	e.seq++
	heap.Push(&e.queue, event{max(t, e.now), e.seq, f})
}

func (e *engine) after(d time.Duration, f func()) { e.at(e.now+d, f) }

// run runs until a time.
func (e *engine) run(until time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.f()
	}
	e.now = until
}

// randomCount returns a whole number whose mean is x.
func (e *engine) randomCount(x float64) int {
	n := int(x)
	if e.rng.Float64() < x-float64(n) {
		n++
	}
	return n
}

package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that is called at a simulated time. Events with the same time run
// in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

// events is a heap ordered by time, then by sequence number.
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

// engine holds the simulated clock, the event queue and the random number generator.
type engine struct {
	now   time.Duration
	queue events
	seq   uint64
	rng   *rand.Rand
}

// at schedules f for time t, or for now if t has passed.
func (e *engine) at(t time.Duration, f func()) {
	e.seq++
	heap.Push(&e.queue, event{max(t, e.now), e.seq, f})
}

// after schedules f after the delay d.
func (e *engine) after(d time.Duration, f func()) { e.at(e.now+d, f) }

// run executes the events up to and including a time, and sets the clock to it.
func (e *engine) run(until time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.f()
	}
	e.now = until
}

// randomCount rounds x up or down at random, so that the mean is x.
func (e *engine) randomCount(x float64) int {
	n := int(x)
	if e.rng.Float64() < x-float64(n) {
		n++
	}
	return n
}

package node

import (
	"container/heap"
	"time"

	"ivydeck/decide"
)

// timer fires at a time for one of three purposes: a timer of the policy (token), the
// deadline of a request (pending), or a sweep of idle connections (sweep).
type timer struct {
	at      time.Duration
	token   uint64
	pending *pending
	sweep   bool
}

// scheduleAfter schedules a timer; a negative wait counts as zero.
func (l *loop) scheduleAfter(wait time.Duration, t timer) { l.scheduleAt(l.now+max(0, wait), t) }

func (l *loop) scheduleAt(at time.Duration, t timer) {
	t.at = at
	heap.Push(&l.timers, t)
}

// handleTimer runs the action of a timer that has fired.
func (l *loop) handleTimer(t timer) {
	switch {
	case t.sweep:
		l.upstream.sweep(false)
		l.scheduleAfter(sweepInterval, t)
	case t.pending != nil:
		if p := t.pending; !p.answered {
			l.log.Warn("request.deadline_exceeded", "class", p.request.Class, "attempts", len(p.attempts), "in_flight", p.inFlight)
			l.expire(p)
		}
	default:
		l.execute(l.balancer.Timer(l.now, decide.Timer{Token: t.token}, l.actions[:0]))
	}
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

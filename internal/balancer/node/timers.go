package node

import (
	"container/heap"
	"time"

	"ivydeck/decide"
)

// timer is something to do later: a timer of the policy, the deadline of a request, or a sweep.
type timer struct {
	at      time.Duration
	token   uint64
	overdue *pending
	sweep   bool
}

func (l *loop) after(wait time.Duration, t timer) { l.at(l.now+max(0, wait), t) }

func (l *loop) at(at time.Duration, t timer) {
	t.at = at
	heap.Push(&l.timers, t)
}

// handleTimer does what a timer was set for.
func (l *loop) handleTimer(t timer) {
	switch {
	case t.sweep:
		l.upstream.sweep(false)
		l.after(sweepInterval, t)
	case t.overdue != nil:
		if p := t.overdue; !p.answered {
			l.log.Warn("request.deadline_exceeded", "class", p.request.Class, "attempts", len(p.attempts), "in_flight", p.inFlight)
			l.expire(p)
		}
	default:
		l.execute(l.balancer.Timer(l.now, decide.Timer{Token: t.token}, l.actions[:0]))
	}
}

// timers is a heap, the earliest first.
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

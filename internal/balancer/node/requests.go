package node

import (
	"time"

	"ivydeck/decide"
)

// ending is how a request ended.
type ending int

const (
	served  ending = iota
	refused        // trying again is harmless
	failed
	overdue // failed by the loop: the policy had no answer in time
)

// answer is the final answer to a request.
type answer struct {
	ending
	response   *response     // served
	retryAfter time.Duration // refused; 0: no advice
}

// refuseSaturated is the refusal of a request for which the node itself has no
// capacity; the policy has not seen it.
func refuseSaturated(set *decide.Settings) answer {
	a := answer{ending: refused}
	if set.MaySetRetryAfter {
		a.retryAfter = min(saturatedRetryAfter, set.MaxRetryAfter)
	}
	return a
}

// pending is a request that has no final answer yet, or attempts in flight.
type pending struct {
	call     *call
	request  decide.Request
	deadline time.Duration // the client waits no longer
	answer   chan answer   // buffered for the one answer
	answered bool
	attempts []*attempt
	inFlight int // attempts without an outcome
}

// handleRequest gives a request to the policy.
func (l *loop) handleRequest(p *pending) {
	if l.shuttingDown {
		p.answered = true
		p.answer <- answer{ending: failed}
		return
	}
	if l.settings.MaxPendingRequests > 0 && len(l.pending) >= l.settings.MaxPendingRequests {
		p.answered = true
		p.answer <- refuseSaturated(l.settings)
		return
	}
	p.request.ID = l.nextID
	l.nextID++
	p.request.TTL = max(0, p.deadline-answerMargin-l.now)
	l.pending[p.request.ID] = p
	l.execute(l.balancer.Request(l.now, p.request, l.actions[:0]))
	if !p.answered {
		l.at(p.deadline-safetyMargin, timer{overdue: p})
	}
}

// abandon tells the policy that a request is over and cancels its attempts.
func (l *loop) abandon(p *pending) {
	l.execute(l.balancer.ClientGone(l.now, decide.ClientGone{Request: p.request.ID}, l.actions[:0]))
	for _, t := range p.attempts {
		t.cancel()
	}
	l.release(p)
}

// expire fails a request that the policy has not answered in time.
func (l *loop) expire(p *pending) {
	if !p.answered {
		l.finish(p, answer{ending: overdue})
		l.abandon(p)
	}
}

// finish gives a request its final answer, unless it has one.
func (l *loop) finish(p *pending, a answer) {
	if p == nil || p.answered {
		return
	}
	l.markAnswered(p)
	p.answer <- a
	l.release(p)
}

// markAnswered marks a request as over: none of its attempts is sent that was not
// sent before.
func (l *loop) markAnswered(p *pending) {
	p.answered = true
	p.call.over.Store(true)
}

// release drops a request that is answered and has no attempt in flight. Its timer
// may be set for seconds yet, and must not hold its body for so long.
func (l *loop) release(p *pending) {
	if p.answered && p.inFlight == 0 {
		delete(l.pending, p.request.ID)
		p.call = nil
	}
}

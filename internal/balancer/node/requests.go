package node

import (
	"time"

	"ivydeck/decide"
)

// answerKind says how a request ended.
type answerKind int

const (
	served  answerKind = iota
	refused            // not executed; the client may retry
	failed
	overdue // failed by the loop because the policy gave no answer in time
)

// answer is the final answer to a request.
type answer struct {
	answerKind
	response   *response     // set if served
	retryAfter time.Duration // set if refused; zero for no Retry-After header
}

// refuseSaturated returns the refusal of a request that is not passed to the policy
// because the node itself has no capacity.
func refuseSaturated(settings *decide.Settings) answer {
	a := answer{answerKind: refused}
	if settings.MaySetRetryAfter {
		a.retryAfter = min(saturatedRetryAfter, settings.MaxRetryAfter)
	}
	return a
}

// pending is a request without a final answer or with attempts in flight.
type pending struct {
	call     *call
	request  decide.Request
	deadline time.Duration // the client's deadline
	answer   chan answer   // has capacity 1 for the final answer
	answered bool          // the request is answered or its client has disconnected
	attempts []*attempt
	inFlight int // number of attempts without an outcome
}

// handleRequest passes a request to the policy. It fails the request during shutdown and
// refuses it if too many requests are pending.
func (l *loop) handleRequest(p *pending) {
	if l.shuttingDown {
		p.answered = true
		p.answer <- answer{answerKind: failed}
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
		l.scheduleAt(p.deadline-safetyMargin, timer{pending: p})
	}
}

// abandon reports to the policy that the client is gone, and cancels the attempts of its request.
func (l *loop) abandon(p *pending) {
	l.execute(l.balancer.ClientGone(l.now, decide.ClientGone{Request: p.request.ID}, l.actions[:0]))
	for _, t := range p.attempts {
		t.cancel()
	}
	l.release(p)
}

// expire fails a request without a final answer and abandons it.
func (l *loop) expire(p *pending) {
	if !p.answered {
		l.finish(p, answer{answerKind: overdue})
		l.abandon(p)
	}
}

// finish sends the final answer of a request. It does nothing if p is nil or already answered.
func (l *loop) finish(p *pending, a answer) {
	if p == nil || p.answered {
		return
	}
	l.markDone(p)
	p.answer <- a
	l.release(p)
}

// markDone records that a request is answered or that its client has disconnected.
// Attempts whose request is not yet written are not sent.
func (l *loop) markDone(p *pending) {
	p.answered = true
	p.call.done.Store(true)
}

// release removes a request that is answered and has no attempts in flight. It clears
// call to free the body, as the request's timer may refer to p for seconds.
func (l *loop) release(p *pending) {
	if p.answered && p.inFlight == 0 {
		delete(l.pending, p.request.ID)
		p.call = nil
	}
}

package node

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/decide"
)

const (
	// The deadline given to the policy is answerMargin before the client's, so that the
	// last byte of the response is sent in time. The loop itself fails requests without
	// an answer safetyMargin before the client's deadline.
	answerMargin = 10 * time.Millisecond
	safetyMargin = 5 * time.Millisecond

	sweepInterval       = time.Second // interval between sweeps of idle connections
	saturatedRetryAfter = time.Second // Retry-After of refusals due to lack of capacity
	eventQueue          = 256         // events queued for the loop; post blocks if the queue is full
)

// attempt is a single transmission of a request to a server.
type attempt struct {
	pending *pending
	number  int
	server  string
	cancel  context.CancelFunc
}

// Events of the loop other than timers.
type (
	requestArrived struct{ *pending }
	clientGone     struct{ *pending }
	attemptEnded   struct {
		*attempt
		result   decide.Result
		response *response
		elapsed  time.Duration
	}
	listReceived    struct{ *list } // list is nil if the call failed
	shutdownStarted struct{}        // fails all pending requests
)

// loop is the sole owner of the policy. It passes events to the policy and executes the
// actions that the policy returns. It never blocks on network I/O.
type loop struct {
	clock     clock
	settings  *decide.Settings
	balancer  *decide.Balancer
	upstream  *upstream
	discovery *discovery
	log       *slog.Logger

	ctx    context.Context // cancelled to stop the loop and all attempts
	events chan any
	ready  atomic.Bool // whether at least one server accepts requests

	// The fields below are used only by the goroutine that executes run.
	now          time.Duration
	attempts     sync.WaitGroup
	shuttingDown bool // whether new requests are failed
	nextID       uint64
	pending      map[uint64]*pending      // by request ID
	peers        map[string]*peer         // by server ID
	started      map[string]time.Duration // start times of the servers' processes, by server ID
	timers       timers
	actions      []decide.Action
	unsent       []attemptEnded // outcomes of attempts that could not be started
}

func newLoop(ctx context.Context, c *Config, clock clock, up *upstream, log *slog.Logger) *loop {
	return &loop{
		ctx:   ctx,
		clock: clock, settings: &c.Settings, upstream: up, log: log,
		balancer: decide.New(c.Settings, c.Seed, clock.now()),
		events:   make(chan any, eventQueue),
		pending:  map[uint64]*pending{},
		peers:    map[string]*peer{},
		started:  map[string]time.Duration{},
	}
}

// post queues an event for the loop. It drops the event if the loop has ended.
func (l *loop) post(event any) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// run handles events until the context ends, and then waits until all attempts have returned.
func (l *loop) run(storedList *list) {
	defer l.attempts.Wait()
	stored := &list{}
	if storedList != nil {
		stored = storedList
	}
	l.now = l.clock.now()
	l.applyList(stored, decide.ListStored)
	l.scheduleAfter(sweepInterval, timer{sweep: true})
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			l.now = l.clock.now()
			l.handle(e)
		case <-wakeup.C:
		}
		l.now = l.clock.now()
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			l.handleTimer(heap.Pop(&l.timers).(timer))
		}
		if len(l.timers) > 0 {
			wakeup.Reset(l.timers[0].at - l.clock.now())
		}
	}
}

// handle processes one event.
func (l *loop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.handleRequest(e.pending)
	case clientGone:
		if p := e.pending; !p.answered {
			l.markDone(p)
			l.abandon(p)
		}
	case attemptEnded:
		l.handleOutcome(e)
	case shutdownStarted:
		l.shuttingDown = true
		for _, p := range l.pending { // the order does not matter
			l.expire(p)
		}
	case listReceived:
		switch {
		case e.list == nil:
			l.execute(l.balancer.Members(l.now, decide.Members{Change: decide.ListFailed}, l.actions[:0]))
		case e.list.full:
			l.applyList(e.list, decide.ListFull)
		default:
			l.applyList(e.list, decide.ListDelta)
		}
	}
}

// handleOutcome processes the outcome of an attempt.
func (l *loop) handleOutcome(e attemptEnded) {
	p := e.attempt.pending
	e.cancel()
	p.inFlight--
	if e.result == decide.Served {
		l.finish(p, answer{answerKind: served, response: e.response})
	}
	final := p.answered
	l.release(p)
	l.execute(l.balancer.Outcome(l.now, decide.Outcome{
		Request: p.request.ID, Attempt: e.number, Server: e.server, Result: e.result,
		Elapsed: e.elapsed, Final: final,
	}, l.actions[:0]))
}

// execute carries out actions of the policy.
func (l *loop) execute(actions []decide.Action) {
	for i := range actions {
		a := &actions[i]
		p := l.pending[a.Request]
		switch a.Kind {
		case decide.Send:
			l.send(p, a)
		case decide.Refuse:
			l.finish(p, answer{answerKind: refused, retryAfter: a.Wait})
		case decide.Fail:
			l.finish(p, answer{answerKind: failed})
		case decide.Cancel:
			if p != nil && a.Attempt < len(p.attempts) {
				p.attempts[a.Attempt].cancel()
			}
		case decide.Watch:
			l.discovery.setWatch(true)
		case decide.Unwatch:
			l.discovery.setWatch(false)
		case decide.Fetch:
			l.discovery.requestFetch()
		case decide.CloseIdle:
			l.upstream.closeIdle(a.Server)
		case decide.After:
			l.scheduleAfter(a.Wait, timer{token: a.Token})
		case decide.Log:
			l.log.Info("policy.log", "text", a.Text)
		default:
			l.log.Warn("policy.action_unsupported", "action", a.Kind)
		}
	}
	l.actions = actions
	for len(l.unsent) > 0 { // after the actions: calls of the policy must not nest
		e := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.handleOutcome(e)
	}
}

// send starts an attempt in a goroutine that posts the outcome.
func (l *loop) send(p *pending, a *decide.Action) {
	if p == nil {
		l.log.Warn("policy.send_too_late", "request", a.Request)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	started := &attempt{pending: p, number: len(p.attempts), server: a.Server, cancel: cancel}
	p.attempts = append(p.attempts, started)
	p.inFlight++
	server := l.peers[a.Server]
	if server == nil || p.answered {
		l.unsent = append(l.unsent, attemptEnded{attempt: started, result: decide.NotSent})
		return
	}
	sent, call := l.now, p.call
	deadline := min(sent+a.Wait, p.deadline-safetyMargin)
	l.attempts.Go(func() {
		result, resp := l.upstream.attempt(ctx, server, call, deadline)
		l.post(attemptEnded{attempt: started, result: result, response: resp, elapsed: l.clock.now() - sent})
	})
}

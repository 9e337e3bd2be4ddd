package server

import (
	"context"
	"errors"
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	// manageInterval is the longest time between two calls of manageLeadership.
	manageInterval = 250 * time.Millisecond
	// shutdownFlush is the time allowed for sending a member's last messages, such as its vote.
	shutdownFlush = 50 * time.Millisecond
	// minTimer keeps the loop from spinning when a deadline has just passed.
	minTimer = time.Millisecond
)

// runInLoop queues a function for the loop. It blocks while the queue is full, and returns false if the server has
// stopped.
func (srv *Server) runInLoop(f func()) bool {
	select {
	case srv.events <- f:
		return true
	case <-srv.ctx.Done():
		return false
	}
}

// runInLoopUntil is like runInLoop, and also returns false once ctx is done or timeout fires.
func (srv *Server) runInLoopUntil(ctx context.Context, timeout <-chan time.Time, f func()) bool {
	select {
	case srv.events <- f:
		return true
	case <-ctx.Done():
	case <-timeout:
	case <-srv.ctx.Done():
	}
	return false
}

// loop runs the consensus until the server stops. Once stop is closed, it begins a graceful shutdown: it returns when
// this process may exit (see beginLeave), or after the grace time divided by leaveGraceDivisor.
func (srv *Server) loop(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaveDone <-chan struct{}     // closed once this process may exit
	var leaveTimeout <-chan time.Time // ends the wait for leaveDone
	for {
		select {
		case <-stop:
			stop = nil
			leaveDone = srv.membership.beginLeave()
			leaveTimeout = time.After(srv.settings.Load().Bounds.Grace / leaveGraceDivisor)
			srv.log.Info("member.leaving", "term", srv.consensus.Term(), "is_leader", srv.consensus.IsLeader())
		case <-leaveDone:
			srv.log.Info("member.left", "term", srv.consensus.Term())
			srv.sleep(shutdownFlush)
			return
		case <-leaveTimeout:
			index, _ := srv.consensus.LastEntry()
			srv.log.Warn("member.leave_timeout", "index", index, "committed", srv.consensus.Committed(), "is_leader", srv.consensus.IsLeader())
			return
		case f := <-srv.events:
			srv.consensus.Tick(srv.now()) // the leadership may have expired while the process was paused
			f()
			srv.runPending()
		case <-timer.C:
		}
		timer.Reset(srv.advance())
	}
}

// runPending runs all queued events, so that a single sync covers their writes.
func (srv *Server) runPending() {
	for {
		select {
		case f := <-srv.events:
			f()
		default:
			return
		}
	}
}

// advance performs all work that is due, and returns the longest time to wait until the next call.
func (srv *Server) advance() time.Duration {
	srv.consensus.Tick(srv.now())
	srv.requests.tick(srv.now())
	if now := srv.now(); now-srv.lastManagedAt >= manageInterval || srv.consensus.IsLeader() != srv.wasLeader {
		srv.lastManagedAt = now
		srv.manageLeadership()
	}
	srv.membership.tick()
	srv.saveDepartures()
	srv.offerDepartures()
	srv.flush()
	srv.observeContact(srv.now())
	wait := min(srv.consensus.NextTick()-srv.now(), manageInterval)
	if at, ok := srv.requests.nextTick(); ok {
		wait = min(wait, at-srv.now())
	}
	return max(minTimer, wait)
}

// flush processes the output of the consensus until there is none.
func (srv *Server) flush() {
	for {
		ready := srv.consensus.Ready()
		if ready.Empty() {
			return
		}
		srv.save(&ready)
		for _, m := range ready.Messages {
			srv.send(m)
		}
		for _, e := range ready.CommittedEntries {
			srv.apply(e)
		}
		for _, r := range ready.ReadStates {
			srv.requests.completeRead(r)
		}
		srv.compact()
	}
}

// sleep waits for a duration. It returns false if the server has stopped before.
func (srv *Server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-srv.ctx.Done():
		return false
	}
}

// leaderView is a member's view of the current leader.
type leaderView struct {
	leader *wire.Peer // nil if unknown
	isSelf bool
}

// currentLeader returns the loop's view of the leader to another goroutine. It returns a zero leaderView once ctx is
// done or after operatorTimeout, for example while the disk blocks the loop.
func (srv *Server) currentLeader(ctx context.Context) leaderView {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	l, err := callInLoop(ctx, srv, func() leaderView {
		return leaderView{leader: srv.leader(), isSelf: srv.consensus.IsLeader()}
	})
	if err != nil {
		return leaderView{}
	}
	return l
}

// callErrInLoop is like callInLoop for a function that returns only an error.
func callErrInLoop(ctx context.Context, srv *Server, f func() error) error {
	failure, err := callInLoop(ctx, srv, f)
	if err != nil {
		return err
	}
	return failure
}

// callInLoop runs f in the server's loop and returns its result, or an error once ctx is done or the server has
// stopped.
func callInLoop[T any](ctx context.Context, srv *Server, f func() T) (result T, err error) {
	results := make(chan T, 1)
	if !srv.runInLoopUntil(ctx, nil, func() { results <- f() }) {
		return result, errors.Join(ctx.Err(), srv.ctx.Err())
	}
	select {
	case result = <-results:
		return result, nil
	case <-ctx.Done():
		return result, ctx.Err()
	case <-srv.ctx.Done():
		return result, srv.ctx.Err()
	}
}

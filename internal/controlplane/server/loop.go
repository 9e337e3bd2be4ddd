package server

import (
	"context"
	"errors"
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	// manageInterval is the longest time between two rounds of a leader's duties.
	manageInterval = 250 * time.Millisecond
	// shutdownFlush is the time for the last messages of a member, such as its vote, to be sent.
	shutdownFlush = 50 * time.Millisecond
	// minTimer keeps the loop from spinning where a deadline has just passed.
	minTimer = time.Millisecond
)

// runInLoop passes a function to the loop, which runs it soon. It blocks while too many wait, and reports false if the
// server has ended.
func (srv *Server) runInLoop(f func()) bool {
	select {
	case srv.events <- f:
		return true
	case <-srv.ctx.Done():
		return false
	}
}

// runInLoopUntil is runInLoop for a caller that waits no longer than its context or a timer.
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

// loop runs the consensus until the server ends: events in; disk, messages, state and answers out. Once stop is closed
// it begins a graceful shutdown, and returns when another member leads and a majority of the remaining voters has all
// of this log, or after a part of the grace time.
func (srv *Server) loop(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var left <-chan struct{}       // closed once this process may end
	var graceOver <-chan time.Time // it ends anyway
	for {
		select {
		case <-stop:
			stop = nil
			left = srv.membership.beginLeave()
			graceOver = time.After(srv.settings.Load().Bounds.Grace / leaveGraceDivisor)
			srv.log.Info("member.leaving", "term", srv.consensus.Term(), "is_leader", srv.consensus.IsLeader())
		case <-left:
			srv.log.Info("member.left", "term", srv.consensus.Term())
			srv.sleep(shutdownFlush)
			return
		case <-graceOver:
			index, _ := srv.consensus.LastEntry()
			srv.log.Warn("member.leave_timeout", "index", index, "committed", srv.consensus.Committed(), "is_leader", srv.consensus.IsLeader())
			return
		case f := <-srv.events:
			srv.consensus.Tick(srv.now()) // after a pause of the process, the leadership may be out of date
			f()
			srv.runPending()
		case <-timer.C:
		}
		timer.Reset(srv.advance())
	}
}

// runPending runs the events that have come meanwhile, so that one sync serves all of them.
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

// advance carries out all that is due, and returns when the loop has to run again at the latest.
func (srv *Server) advance() time.Duration {
	srv.consensus.Tick(srv.now())
	srv.requests.tick(srv.now())
	if now := srv.now(); now-srv.managedAt >= manageInterval || srv.consensus.IsLeader() != srv.wasLeader {
		srv.managedAt = now
		srv.manageLeadership()
	}
	srv.membership.tick()
	srv.flush()
	srv.observeContact(srv.now())
	wait := min(srv.consensus.NextTick()-srv.now(), manageInterval)
	if at, ok := srv.requests.next(); ok {
		wait = min(wait, at-srv.now())
	}
	return max(minTimer, wait)
}

// flush carries out what the consensus asks for, until it asks for nothing more.
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
			srv.requests.confirmed(r)
		}
		srv.compact()
	}
}

// sleep reports false if the server has ended before the time was over.
func (srv *Server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-srv.ctx.Done():
		return false
	}
}

// leadership is a member's view of its leader.
type leadership struct {
	leader *wire.Peer // nil: not known
	isSelf bool
}

// currentLeader returns the leader, for other goroutines than the loop's. It returns nothing when ctx ends
// or after operatorTimeout, since a disk may block the loop.
func (srv *Server) currentLeader(ctx context.Context) leadership {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	l, err := callInLoop(ctx, srv, func() leadership {
		return leadership{leader: srv.leader(), isSelf: srv.consensus.IsLeader()}
	})
	if err != nil {
		return leadership{}
	}
	return l
}

// errorInLoop is callInLoop for a function that can fail.
func errorInLoop(ctx context.Context, srv *Server, f func() error) error {
	failure, err := callInLoop(ctx, srv, f)
	if err != nil {
		return err
	}
	return failure
}

// callInLoop runs f in the server's loop and returns its result, or an error once ctx or the server has ended.
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

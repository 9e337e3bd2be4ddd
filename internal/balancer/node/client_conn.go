package node

import (
	linked "container/list"
	"net"
	"sync/atomic"
	"time"
)

// clientConn is a client's connection, which counts in the socket budget until it
// closes. It embeds the TCP connection because net/http half-closes one after a
// request that it can't read to its end: otherwise a reset would destroy the answer.
type clientConn struct {
	*net.TCPConn
	sockets        *sockets
	accepted       time.Duration
	overBudget     bool // the budget was spent when it was accepted
	carriedRequest bool // it has carried a well-formed request; used by its server goroutine only
	closed         atomic.Bool
	evicted        atomic.Bool // it was closed to make room

	// What follows is guarded by frontend.mu.
	element   *linked.Element // in frontend.idle; nil: a request is open
	idleSince time.Duration
}

// bodyDeadline is when the body of a request must be here of which the head is here
// now. Until a connection has carried a well-formed request, the time counts from
// its start.
func (c *clientConn) bodyDeadline(now time.Duration) time.Duration {
	if !c.carriedRequest {
		now = c.accepted
	}
	return now + requestReadTimeout
}

// Close closes the connection and returns its place in the budget, once.
func (c *clientConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		defer c.sockets.release()
	}
	return c.TCPConn.Close()
}

// listener counts clients' connections in the socket budget. One over the budget
// replaces an idle connection, or has its requests refused.
type listener struct {
	*net.TCPListener
	frontend *frontend
}

// Accept waits for a client's connection.
func (l *listener) Accept() (net.Conn, error) {
	for l.frontend.sockets.exhausted() { // new connections wait in the backlog
		if !l.frontend.sockets.evict() {
			time.Sleep(time.Millisecond)
		}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	now := l.frontend.clock.now()
	l.frontend.lastAccepted.Store(int64(now))
	sockets := l.frontend.sockets
	sockets.acquireOverBudget()
	for sockets.overBudget() && sockets.evict() {
	}
	return &clientConn{TCPConn: c, sockets: sockets, accepted: now, overBudget: sockets.overBudget()}, nil
}

package node

import (
	linked "container/list"
	"net"
	"sync/atomic"
	"time"
)

// clientConn is a client's connection. It counts against the socket budget until it is
// closed. It embeds *net.TCPConn so that net/http can half-close the connection after a
// request that it has not read completely: a reset would discard the response.
type clientConn struct {
	*net.TCPConn
	sockets        *sockets
	accepted       time.Duration
	overBudget     bool // the budget was exhausted when the connection was accepted
	carriedRequest bool // a well-formed request was received; used only by the connection's server goroutine
	closed         atomic.Bool
	evicted        atomic.Bool // closed by evictIdle

	// The fields below are guarded by frontend.mu.
	idleElement *linked.Element // entry in frontend.idle; nil while a request is open
	idleSince   time.Duration
}

// bodyDeadline returns the time by which the body of a request must be read. The limit
// counts from now, when the header is complete, or from the start of the connection if it
// has not yet carried a well-formed request.
func (c *clientConn) bodyDeadline(now time.Duration) time.Duration {
	if !c.carriedRequest {
		now = c.accepted
	}
	return now + requestReadTimeout
}

// Close closes the connection. The first call releases its socket in the budget.
func (c *clientConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		defer c.sockets.release()
	}
	return c.TCPConn.Close()
}

// listener counts accepted connections against the socket budget. A connection over the
// budget replaces an idle one; if none is idle, its requests are refused.
type listener struct {
	*net.TCPListener
	frontend *frontend
}

// Accept waits for the next connection. While even the reserved sockets are in use, it
// evicts idle connections or waits.
func (l *listener) Accept() (net.Conn, error) {
	for l.frontend.sockets.exhausted() { // new connections stay in the backlog
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

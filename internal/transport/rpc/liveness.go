package rpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// checkLiveness pings a peer that has been quiet, and closes the connection if the peer does not answer.
func (c *conn) checkLiveness(wallTime time.Time) {
	busy := c.expireStreams(wallTime)
	now, received, pingSent := steadyMs(), c.lastReceived.Load(), c.firstPing.Load()
	quiet, pingAge := time.Duration(now-received)*time.Millisecond, time.Duration(0)
	if pingSent > received {
		pingAge = time.Duration(now-pingSent) * time.Millisecond
	}
	ping, dead := pingDecision(busy, quiet, pingAge)
	if dead {
		c.fail(fmt.Errorf("no frame received from %s for %v", c.nc.RemoteAddr(), quiet))
		return
	}
	if ping && c.pinging.CompareAndSwap(false, true) {
		// A write may block for writeTimeout, and must not delay the checks of other connections.
		go func() {
			defer c.pinging.Store(false)
			c.ping()
		}()
	}
}

// watcher checks the liveness of all connections in one goroutine. A node may have a connection to every other node of the
// mesh, and most of them are idle.
type watcher struct {
	mu      sync.Mutex
	conns   map[*conn]bool
	running bool
}

// add starts checking a connection until it is closed.
func (w *watcher) add(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns == nil {
		w.conns = map[*conn]bool{}
	}
	w.conns[c] = true
	if !w.running {
		w.running = true
		go w.run()
	}
}

// run checks all connections every pingInterval until none is open.
func (w *watcher) run() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	var list []*conn
	for range tick.C {
		list = w.open(list[:0])
		if len(list) == 0 {
			return
		}
		now := time.Now()
		for _, c := range list {
			c.checkLiveness(now)
		}
		clear(list)
	}
}

// open appends the open connections to list and removes the closed ones. Without an open connection it marks the watcher as
// stopped.
func (w *watcher) open(list []*conn) []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if c.ctx.Err() != nil {
			delete(w.conns, c)
			continue
		}
		list = append(list, c)
	}
	w.running = len(list) > 0
	return list
}

// expireStreams ends the streams whose deadline has passed, and reports whether other streams are open. Callers normally
// cancel their streams at the deadline. expireStreams handles streams that were not cancelled, and may run late.
func (c *conn) expireStreams(now time.Time) (busy bool) {
	c.mu.Lock()
	var expired []*Stream
	for _, s := range c.streams {
		if !s.deadline.IsZero() && now.After(s.deadline) {
			expired = append(expired, s)
		}
	}
	busy = len(c.streams) > len(expired)
	c.mu.Unlock()
	for _, s := range expired {
		s.end(context.DeadlineExceeded)
	}
	return busy
}

// recentlyLive reports whether a frame was received within livenessWindow.
func (c *conn) recentlyLive() bool {
	return steadyMs()-c.lastReceived.Load() < livenessWindow.Milliseconds()
}

// pingDecision decides whether to ping a peer or to consider it dead. quiet is the time since the last received frame.
// pingAge is the age of the unanswered ping, or zero without one. Connections without streams are pinged less often, as
// most connections of a large mesh are idle.
func pingDecision(busy bool, quiet, pingAge time.Duration) (ping, dead bool) {
	if quiet >= peerTimeout && pingAge >= minPingWait {
		return false, true
	}
	return quiet >= idlePingInterval || busy && quiet >= pingInterval/2 || pingAge > 0, false
}

// ping sends a ping, which the peer answers with a pong.
func (c *conn) ping() error {
	if c.firstPing.Load() <= c.lastReceived.Load() {
		c.firstPing.Store(steadyMs())
	}
	return c.write(&wire.Frame{Kind: wire.Frame_PING})
}

// awaitLive reports whether the peer is live. It pings the peer if no frame was received recently.
func (c *conn) awaitLive(ctx context.Context) bool {
	if c.recentlyLive() {
		return true
	}
	c.livenessWaiters.Add(1)
	defer c.livenessWaiters.Add(-1)
	c.mu.Lock()
	nextFrame := c.nextFrame
	c.mu.Unlock()
	if c.ping() != nil {
		return false
	}
	timer := timerpool.Get(pongTimeout)
	defer timerpool.Put(timer)
	select {
	case <-nextFrame:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return false
}

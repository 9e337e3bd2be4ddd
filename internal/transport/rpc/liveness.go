package rpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// checkLiveness pings an idle peer, and closes the connection if it does not answer.
func (c *conn) checkLiveness(wall time.Time) {
	busy := c.expireStreams(wall)
	now, received, pinged := steadyMs(), c.lastReceived.Load(), c.lastPing.Load()
	quiet, pingAge := time.Duration(now-received)*time.Millisecond, time.Duration(0)
	if pinged > received {
		pingAge = time.Duration(now-pinged) * time.Millisecond
	}
	ping, dead := pingDecision(busy, quiet, pingAge)
	if dead {
		c.fail(fmt.Errorf("nothing from %s for %v", c.nc.RemoteAddr(), quiet))
		return
	}
	if ping && c.pinging.CompareAndSwap(false, true) {
		// In a goroutine, as a write may block until its deadline, and must not delay other connections.
		go func() {
			defer c.pinging.Store(false)
			c.ping()
		}()
	}
}

// watcher checks the liveness of connections, with one goroutine for all of them: a node may have one to each other node of
// the mesh, most of them idle.
type watcher struct {
	mu      sync.Mutex
	conns   map[*conn]bool
	running bool
}

// add adds a connection, until it ends.
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

// run checks all connections, until none is left.
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

// open lists the open connections. Without any the watcher stops.
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

// expireStreams ends the streams whose deadline has passed, and reports whether there are others. A caller cancels its
// streams in time; this is for one that no longer can, so a delay does no harm.
func (c *conn) expireStreams(now time.Time) (busy bool) {
	c.mu.Lock()
	var over []*Stream
	for _, s := range c.streams {
		if !s.deadline.IsZero() && now.After(s.deadline) {
			over = append(over, s)
		}
	}
	busy = len(c.streams) > len(over)
	c.mu.Unlock()
	for _, s := range over {
		s.end(context.DeadlineExceeded)
	}
	return busy
}

// recentlyLive reports whether a frame has come within livenessWindow.
func (c *conn) recentlyLive() bool {
	return steadyMs()-c.lastReceived.Load() < livenessWindow.Milliseconds()
}

// pingDecision decides on a connection from which nothing has come for the time quiet, with a ping that has been unanswered
// for pingAge; 0: there is none. Most connections of a large mesh are idle, and pinged seldom.
func pingDecision(busy bool, quiet, pingAge time.Duration) (ping, dead bool) {
	if quiet >= peerTimeout && pingAge >= minPingWait {
		return false, true
	}
	return quiet >= idlePingInterval || busy && quiet >= pingInterval/2 || pingAge > 0, false
}

// ping sends a ping, whose answer is a pong.
func (c *conn) ping() error {
	if c.lastPing.Load() <= c.lastReceived.Load() {
		c.lastPing.Store(steadyMs())
	}
	return c.write(&wire.Frame{Kind: wire.Frame_PING})
}

// awaitLive reports whether the peer is live, and pings it if no frame has come lately.
func (c *conn) awaitLive(ctx context.Context) bool {
	if c.recentlyLive() {
		return true
	}
	c.livenessWaiters.Add(1)
	defer c.livenessWaiters.Add(-1)
	c.mu.Lock()
	sign := c.nextFrame
	c.mu.Unlock()
	if c.ping() != nil {
		return false
	}
	timer := timerpool.Get(pongTimeout)
	defer timerpool.Put(timer)
	select {
	case <-sign:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return false
}

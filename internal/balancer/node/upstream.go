package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/transport/sock"
)

// peer is one process of a server at a fixed address. Attempts in flight refer to it.
type peer struct {
	id      string
	address string      // immutable; a server that moves gets a new peer
	closed  atomic.Bool // draining or removed; no further request may be sent
}

// upstream sends attempts to servers. It pools idle connections, each of which
// carries one request at a time. It does not use net/http's Transport, whose automatic
// retries may execute a request twice.
type upstream struct {
	clock          clock
	sockets        *sockets
	connectTimeout time.Duration
	idleTimeout    time.Duration

	mu   sync.Mutex
	idle map[string][]*conn // by server id, the most recently used last
}

type conn struct {
	net.Conn
	address   string
	incoming  incoming
	reader    *bufio.Reader // reads from incoming
	inspector *sock.Inspector
	sockets   *sockets
	idleSince time.Duration
}

func newConn(nc net.Conn, address string, raw syscall.RawConn, sockets *sockets) *conn {
	c := &conn{Conn: nc, address: address, inspector: sock.NewInspector(raw), sockets: sockets}
	c.incoming.R = nc
	c.reader = bufio.NewReader(&c.incoming)
	return c
}

func (c *conn) close() {
	c.Conn.Close()
	c.sockets.release()
}

// idleMargin is subtracted from the servers' idle timeout, so that no request is sent
// while the server closes the connection.
const idleMargin = 250 * time.Millisecond

func newUpstream(clock clock, sockets *sockets, settings *decide.Settings) *upstream {
	u := &upstream{
		clock: clock, sockets: sockets, connectTimeout: settings.ConnectTimeout, idleTimeout: settings.ConnIdle,
		idle: map[string][]*conn{},
	}
	if u.connectTimeout <= 0 {
		u.connectTimeout = time.Second
	}
	if u.idleTimeout <= 0 {
		u.idleTimeout = 10 * time.Second
	}
	u.idleTimeout -= min(idleMargin, u.idleTimeout/10)
	return u
}

// get returns the most recently used idle connection to a server, or nil if there is none.
func (u *upstream) get(p *peer) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		stack := u.idle[p.id]
		if len(stack) == 0 {
			return nil
		}
		c := stack[len(stack)-1]
		u.idle[p.id] = stack[:len(stack)-1]
		if c.address == p.address && u.clock.now()-c.idleSince < u.idleTimeout && c.alive() {
			return c
		}
		c.close()
	}
}

// put adds a connection to the idle pool, or closes it if the server is draining or removed.
func (u *upstream) put(p *peer, c *conn) {
	c.SetDeadline(time.Time{}) // an expired deadline would fail the check in get
	c.idleSince = u.clock.now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.closed.Load() {
		c.close()
		return
	}
	u.idle[p.id] = append(u.idle[p.id], c)
}

// closeIdle closes the idle connections to a server.
func (u *upstream) closeIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		c.close()
	}
	delete(u.idle, id)
}

// sweep closes connections that have exceeded the idle timeout, or all idle ones if all is true.
func (u *upstream) sweep(all bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.now()
	for id, stack := range u.idle {
		expired := 0
		for expired < len(stack) && (all || now-stack[expired].idleSince >= u.idleTimeout) {
			stack[expired].close()
			expired++
		}
		if u.idle[id] = append(stack[:0], stack[expired:]...); len(u.idle[id]) == 0 {
			delete(u.idle, id)
		}
	}
}

// evictOldest closes the connection that has been idle longest, to free a socket. It
// returns false if no connection is idle.
func (u *upstream) evictOldest() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := ""
	for id, stack := range u.idle {
		if len(stack) > 0 && (oldest == "" || stack[0].idleSince < u.idle[oldest][0].idleSince) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	u.idle[oldest][0].close()
	u.idle[oldest] = u.idle[oldest][1:]
	return true
}

// alive reports whether an idle connection is open and has no unread data.
func (c *conn) alive() bool { return c.inspector.Idle() }

// dial opens a connection to a server before the deadline. If the socket budget is
// exhausted, it evicts idle connections first.
func (u *upstream) dial(ctx context.Context, target *peer, deadline time.Duration) (*conn, error) {
	for !u.sockets.acquire() {
		if !u.sockets.evict() {
			return nil, fmt.Errorf("dialing %s: the socket budget is exhausted", target.id)
		}
	}
	dialer := net.Dialer{Timeout: min(u.connectTimeout, deadline-u.clock.now()), KeepAlive: -1}
	if dialer.Timeout <= 0 {
		u.sockets.release()
		return nil, fmt.Errorf("dialing %s: the deadline has passed", target.id)
	}
	nc, err := dialer.DialContext(ctx, "tcp", target.address)
	if err != nil {
		u.sockets.release()
		return nil, fmt.Errorf("dialing %s: %w", target.id, err)
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		u.sockets.release()
		return nil, fmt.Errorf("dialing %s: %w", target.id, err)
	}
	return newConn(nc, target.address, raw, u.sockets), nil
}

package proxy

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/transport/sock"
)

const (
	defaultIdleTimeout = 9 * time.Second        // a server keeps an idle connection for at least this
	idleMargin         = 400 * time.Millisecond // before the server's own timeout a connection is closed

	maxSurplus = 4 // answers to other requests that are skipped before the connection is closed
)

// serverConn is a connection to the server of this machine. It carries one request
// at a time.
type serverConn struct {
	nc    net.Conn
	r     *bufio.Reader
	look  *sock.Inspector
	idle  time.Duration // that the server allows
	until time.Time     // an idle one is not used after this

	used    bool // it has carried a request before
	surplus bool // it has carried an answer without a request

	resp      http1.Response // the last answer's head
	interrupt func()         // ends a read or write under way; made once
}

// connect returns the idle connection that was used last, or a new one.
func (a *serverPool) connect(ctx context.Context, until time.Time) (*serverConn, error) {
	now := time.Now()
	var address string
	for {
		a.in.mu.Lock()
		address = a.address
		n := len(a.idle)
		if n == 0 {
			a.in.mu.Unlock()
			break
		}
		c := a.idle[n-1]
		a.idle = a.idle[:n-1]
		a.in.mu.Unlock()
		if now.Before(c.until) && c.look.Idle() {
			return c, nil
		}
		c.nc.Close()
	}
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(until)), KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &serverConn{
		nc: nc, r: bufio.NewReaderSize(nc, 4<<10), look: sock.NewInspector(raw), idle: defaultIdleTimeout,
		interrupt: func() { nc.SetDeadline(time.Unix(1, 0)) },
	}, nil
}

// keep puts a connection back.
func (a *serverPool) keep(c *serverConn) {
	c.nc.SetDeadline(time.Time{}) // once past, it would fail the look that connect takes
	c.until = time.Now().Add(c.idle)
	c.used = true
	a.in.mu.Lock()
	defer a.in.mu.Unlock()
	if a.closed || len(a.idle) >= a.slots {
		c.nc.Close()
		return
	}
	a.idle = append(a.idle, c)
}

// read reads a whole answer, its head into resp. One to another request may be a surplus one in front of the right one, which is worth
// waiting for: a request that may run once has no other chance. The connection is not used again.
func (c *serverConn) read(method, attempt string) (body []byte, err error) {
	limits := http1.Limits{Head: serverHead, Body: serverBody}
	for n := 0; ; n++ {
		if err := c.resp.Read(c.r, method, limits); err != nil {
			return nil, err
		}
		body, err := http1.ReadBody(c.r, c.resp.Length, limits)
		if err != nil {
			return nil, err
		}
		id := c.resp.Headers.Get("Attempt-Id")
		if id == "" || id == attempt || c.resp.Close || n >= maxSurplus {
			return body, nil
		}
		c.surplus = true
	}
}

// answered notes for how long the server keeps the connection.
func (c *serverConn) answered() {
	for part := range strings.SplitSeq(c.resp.Headers.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			c.idle = time.Duration(n)*time.Second - idleMargin
		}
	}
}

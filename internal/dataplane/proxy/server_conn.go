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
	defaultIdleTimeout = 9 * time.Second        // servers keep idle connections open for at least this long
	idleMargin         = 400 * time.Millisecond // an idle connection is closed this long before the server's timeout

	maxSkipped = 4 // maximum number of responses to other requests that read skips
)

// serverConn is a connection to a server on this machine. It carries one request at a time.
type serverConn struct {
	netConn      net.Conn
	reader       *bufio.Reader
	inspector    *sock.Inspector
	idleTimeout  time.Duration // how long the connection may be idle
	idleDeadline time.Time     // an idle connection is not used after this

	used    bool // the connection has carried an earlier request
	skipped bool // the connection has carried a response to another request

	resp      http1.Response // head of the last response
	interrupt func()         // aborts a pending read or write; allocated once
}

// getConn returns the most recently used idle connection, or a new one.
func (p *serverPool) getConn(ctx context.Context, deadline time.Time) (*serverConn, error) {
	now := time.Now()
	var address string
	for {
		p.inbound.mu.Lock()
		address = p.address
		n := len(p.idle)
		if n == 0 {
			p.inbound.mu.Unlock()
			break
		}
		idle := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.inbound.mu.Unlock()
		if now.Before(idle.idleDeadline) && idle.inspector.Idle() {
			return idle, nil
		}
		idle.netConn.Close()
	}
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(deadline)), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &serverConn{
		netConn: conn, reader: bufio.NewReaderSize(conn, 4<<10), inspector: sock.NewInspector(raw), idleTimeout: defaultIdleTimeout,
		interrupt: func() { conn.SetDeadline(time.Unix(1, 0)) },
	}, nil
}

// putConn returns a connection to the pool, or closes it if the pool is full or closed.
func (p *serverPool) putConn(conn *serverConn) {
	conn.netConn.SetDeadline(time.Time{}) // an expired deadline would fail the check in getConn
	conn.idleDeadline = time.Now().Add(conn.idleTimeout)
	conn.used = true
	p.inbound.mu.Lock()
	defer p.inbound.mu.Unlock()
	if p.closed || len(p.idle) >= p.slots {
		conn.netConn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// read reads the response to a request. It stores the head in c.resp and returns the body. It skips up to maxSkipped responses
// to other requests, because the right one may follow and a non-idempotent request can't be retried. A connection with a
// skipped response is not reused.
func (c *serverConn) read(method, attemptID string) (body []byte, err error) {
	limits := http1.Limits{Head: maxServerHead, Body: maxServerBody}
	for n := 0; ; n++ {
		if err := c.resp.Read(c.reader, method, limits); err != nil {
			return nil, err
		}
		body, err := http1.ReadBody(c.reader, c.resp.Length, limits)
		if err != nil {
			return nil, err
		}
		id := c.resp.Headers.Get("Attempt-Id")
		if id == "" || id == attemptID || c.resp.Close || n >= maxSkipped {
			return body, nil
		}
		c.skipped = true
	}
}

// updateIdleTimeout applies the timeout of the response's Keep-Alive header.
func (c *serverConn) updateIdleTimeout() {
	for part := range strings.SplitSeq(c.resp.Headers.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			c.idleTimeout = time.Duration(n)*time.Second - idleMargin
		}
	}
}

package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/identity"
)

// PoolOptions configure a Pool. The zero value is a pool of plain TCP connections.
type PoolOptions struct {
	// Identity enables TLS and is presented to peers. If it is nil, connections are plain TCP.
	Identity *identity.Source
	// Dial opens a connection. If it is nil, the pool dials TCP. Simulations replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool makes calls over one connection per address. Its methods are safe for concurrent use.
type Pool struct {
	options PoolOptions
	ctx     context.Context

	mu    sync.Mutex
	conns map[string]*poolEntry // by address; sweep removes unused ones
	watch watcher
}

// poolEntry is a connection of a Pool, or the pending or failed attempt to dial it.
type poolEntry struct {
	ready    chan struct{} // closed once conn or err is set
	conn     *conn
	err      error
	failedAt time.Time // set with err
	usedAt   time.Time // last use; guarded by Pool.mu
}

// NewPool returns a pool. Its connections are closed when ctx is done.
func NewPool(ctx context.Context, options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Pool{options: options, ctx: ctx, conns: map[string]*poolEntry{}}
}

// Identity returns the identity that the pool presents to peers, or nil if connections are plain TCP.
func (p *Pool) Identity() *identity.Source { return p.options.Identity }

// get returns the connection to an address. It dials if there is no open connection, unless a dial is pending or failed less
// than dialRetryPause ago.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	entry := p.conns[addr]
	stale := entry == nil
	if entry != nil {
		select {
		case <-entry.ready:
			stale = entry.err != nil && time.Since(entry.failedAt) >= dialRetryPause || entry.err == nil && entry.conn.ctx.Err() != nil
		default:
		}
	}
	if stale {
		p.sweep()
		entry = &poolEntry{ready: make(chan struct{})}
		p.conns[addr] = entry
		go p.dial(entry, addr)
	}
	entry.usedAt = time.Now()
	p.mu.Unlock()
	select {
	case <-entry.ready:
		return entry.conn, entry.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// sweep closes and removes entries that have not been used for a minute. The caller holds mu.
func (p *Pool) sweep() {
	for addr, entry := range p.conns {
		select {
		case <-entry.ready:
		default:
			continue
		}
		if time.Since(entry.usedAt) > time.Minute {
			if entry.conn != nil {
				go entry.conn.fail(errors.New("closed after a minute without use"))
			}
			delete(p.conns, addr)
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// dialTCP opens a TCP connection with a timeout of dialAttemptTimeout.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialAttemptTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// dial opens a connection and stores it, or the error, in entry. It repeats attempts that time out until dialTimeout.
func (p *Pool) dial(entry *poolEntry, addr string) {
	defer close(entry.ready)
	startTime := time.Now()
	nc, err := p.options.Dial(p.ctx, addr)
	for isTimeout(err) && time.Since(startTime) < dialTimeout && p.ctx.Err() == nil { // the peer may have started meanwhile
		nc, err = p.options.Dial(p.ctx, addr)
	}
	if err != nil {
		entry.err, entry.failedAt = fmt.Errorf("dialing %s: %w", addr, err), time.Now()
		return
	}
	if p.options.Identity != nil {
		secure := tls.Client(nc, p.options.Identity.Client())
		if err := handshake(p.ctx, secure); err != nil {
			nc.Close()
			entry.err, entry.failedAt = fmt.Errorf("dialing %s: %w", addr, err), time.Now()
			return
		}
		nc = secure
	}
	c := newConn(p.ctx, nc, nil)
	entry.conn = c
	p.watch.add(c)
	go func() { c.fail(c.read()) }()
	context.AfterFunc(c.ctx, func() { nc.Close() })
}

// Peer is a connection to a process that was recently live; see Pool.Live.
type Peer struct{ conn *conn }

// Live returns a connection on which a frame was received within livenessWindow. If necessary, it dials and pings first. If
// the peer does not respond, it returns an ErrNotSent, by the deadline at the latest. Callers use it to avoid sending a
// non-idempotent request to a machine that may have failed.
func (p *Pool) Live(ctx context.Context, deadline time.Time, addr string) (Peer, error) {
	if c := p.openConn(addr); c != nil && c.recentlyLive() {
		return Peer{c}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := p.get(ctx, addr)
	if err != nil {
		return Peer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if !c.awaitLive(ctx) {
		return Peer{}, fmt.Errorf("%w: %s does not answer a ping", ErrNotSent, addr)
	}
	return Peer{c}, nil
}

// IsConnected reports whether the pool has an open connection to an address. It does not dial.
func (p *Pool) IsConnected(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.conns[addr]
	return entry != nil && entry.isOpen()
}

// isOpen reports whether the connection was established and has not failed.
func (e *poolEntry) isOpen() bool {
	select {
	case <-e.ready:
		return e.err == nil && e.conn.ctx.Err() == nil
	default:
		return false
	}
}

// openConn returns the open connection to an address, or nil.
func (p *Pool) openConn(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.conns[addr]
	if entry == nil || !entry.isOpen() {
		return nil
	}
	entry.usedAt = time.Now()
	return entry.conn
}

// Call sends a request and waits for the response until the deadline. An ErrNotSent means that the peer did not receive the
// request.
func (p Peer) Call(ctx context.Context, deadline time.Time, method string, req, resp proto.Message) error {
	s, err := p.Begin(ctx, deadline, method, req)
	if err != nil {
		return err
	}
	return s.Response(resp)
}

// Begin sends the request of a Call. Stream.Response waits for the response, and does not block once Ready has signaled. The
// caller must call Response or Close.
func (p Peer) Begin(ctx context.Context, deadline time.Time, method string, req proto.Message) (*Stream, error) {
	// The stream uses the caller's context: Recv returns when it is done.
	return p.conn.open(ctx, nil, deadline, method, req, true)
}

// Response waits for the response to Begin, and closes the stream.
func (s *Stream) Response(resp proto.Message) error {
	defer s.Close()
	if err := s.Recv(resp); err != nil {
		return fmt.Errorf("calling %s: %w", s.conn.nc.RemoteAddr(), err)
	}
	return nil
}

// Ready returns a channel that receives one value when a message or the end of the stream is available to Recv. It does not
// signal that the deadline has passed or that the context is done. It must be called before the first Recv.
func (s *Stream) Ready() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
		if s.fin || len(s.messages) > 0 {
			s.wake <- struct{}{}
		}
	}
	return s.wake
}

// Open opens a stream and sends its first message. An ErrNotSent means that the peer did not receive the message.
func (p *Pool) Open(ctx context.Context, addr, method string, req proto.Message) (*Stream, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	deadline, _ := ctx.Deadline()
	s, err := c.open(ctx, cancel, deadline, method, req, false)
	if err != nil {
		cancel()
	}
	return s, err
}

// open opens a stream and sends req, which is its only message if fin is set. The stream calls cancel, unless it is nil, when
// it ends. A zero deadline means no deadline.
func (c *conn) open(ctx context.Context, cancel context.CancelFunc, deadline time.Time, method string, req proto.Message, fin bool) (*Stream, error) {
	c.mu.Lock()
	if c.closed || len(c.streams) >= maxStreams {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: the connection to %s is closed or has too many open streams", ErrNotSent, c.nc.RemoteAddr())
	}
	s := newStream(c, c.allocateStreamID(), ctx, cancel)
	s.deadline, s.meter = deadline, meterOf(method)
	c.streams[s.id] = s
	c.mu.Unlock()
	var timeoutMs uint32
	if !deadline.IsZero() {
		timeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	if err := s.send(req, method, timeoutMs, fin); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// allocateStreamID returns an unused stream ID. IDs wrap after 2^32 streams. It skips those still in use, so that a response
// cannot reach another stream. The caller holds mu, and fewer than maxStreams streams are open.
func (c *conn) allocateStreamID() uint32 {
	for c.nextStream == 0 || c.streams[c.nextStream] != nil {
		c.nextStream++
	}
	id := c.nextStream
	c.nextStream++
	return id
}

// Call is like Peer.Call for an address, which it dials if necessary. The deadline is that of ctx.
func (p *Pool) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	deadline, _ := ctx.Deadline()
	return Peer{c}.Call(ctx, deadline, method, req, resp)
}

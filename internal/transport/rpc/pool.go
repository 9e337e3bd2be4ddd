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
	// Identity secures the connections, and is shown to peers; nil: connections are not secured.
	Identity *identity.Source
	// Dial makes a connection; nil: TCP, as by the host's network. Simulations have networks of their own.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool makes calls, over one connection to each address. Its methods may be called by any goroutine.
type Pool struct {
	options PoolOptions
	ctx     context.Context

	mu    sync.Mutex
	conns map[string]*dialResult // by address; sweep removes those that are not used
	watch watcher
}

// dialResult is a connection, or an attempt to make one.
type dialResult struct {
	ready  chan struct{} // closed once c or err is set
	c      *conn
	err    error
	failed time.Time
	used   time.Time
}

// NewPool returns a pool whose connections end with ctx.
func NewPool(ctx context.Context, options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Pool{options: options, ctx: ctx, conns: map[string]*dialResult{}}
}

// Identity is the identity that the pool shows to peers; nil: connections are not secured.
func (p *Pool) Identity() *identity.Source { return p.options.Identity }

// get returns the connection to an address, and makes it if there is none.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	d := p.conns[addr]
	stale := d == nil
	if d != nil {
		select {
		case <-d.ready:
			stale = d.err != nil && time.Since(d.failed) >= dialRetryPause || d.err == nil && d.c.ctx.Err() != nil
		default:
		}
	}
	if stale {
		p.sweep()
		d = &dialResult{ready: make(chan struct{})}
		p.conns[addr] = d
		go p.dial(d, addr)
	}
	d.used = time.Now()
	p.mu.Unlock()
	select {
	case <-d.ready:
		return d.c, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// sweep closes and removes connections that have not been used for long; called with mu held.
func (p *Pool) sweep() {
	for addr, d := range p.conns {
		select {
		case <-d.ready:
		default:
			continue
		}
		if time.Since(d.used) > time.Minute {
			if d.c != nil {
				go d.c.fail(errors.New("unused"))
			}
			delete(p.conns, addr)
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// dialTCP makes one attempt to connect.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialAttemptTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

func (p *Pool) dial(d *dialResult, addr string) {
	defer close(d.ready)
	began := time.Now()
	nc, err := p.options.Dial(p.ctx, addr)
	for isTimeout(err) && time.Since(began) < dialTimeout && p.ctx.Err() == nil { // the machine may be up by now
		nc, err = p.options.Dial(p.ctx, addr)
	}
	if err != nil {
		d.err, d.failed = fmt.Errorf("dialing %s: %w", addr, err), time.Now()
		return
	}
	if p.options.Identity != nil {
		secure := tls.Client(nc, p.options.Identity.Client())
		if err := handshake(p.ctx, secure); err != nil {
			nc.Close()
			d.err, d.failed = fmt.Errorf("dialing %s: %w", addr, err), time.Now()
			return
		}
		nc = secure
	}
	c := newConn(p.ctx, nc, nil)
	d.c = c
	p.watch.add(c)
	go func() { c.fail(c.read()) }()
	context.AfterFunc(c.ctx, func() { nc.Close() })
}

// Peer is a connection to a process that was live a moment ago: see Pool.Live.
type Peer struct{ c *conn }

// Live returns the connection to a process from which a frame has come within livenessWindow, after a ping if need be. The
// error is ErrNotSent, at the deadline at the latest: a non-idempotent request is better not sent to a machine that may
// have lost its power.
func (p *Pool) Live(ctx context.Context, deadline time.Time, addr string) (Peer, error) {
	if c := p.up(addr); c != nil && c.recentlyLive() {
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

// Up reports whether there is a connection to an address.
func (p *Pool) Up(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.conns[addr]
	return d != nil && d.up()
}

// up reports whether the connection is open.
func (d *dialResult) up() bool {
	select {
	case <-d.ready:
		return d.err == nil && d.c.ctx.Err() == nil
	default:
		return false
	}
}

// up returns the open connection to an address; nil: there is none.
func (p *Pool) up(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.conns[addr]
	if d == nil || !d.up() {
		return nil
	}
	d.used = time.Now()
	return d.c
}

// Call sends a message and waits for the answer, until the deadline. An error that is ErrNotSent says that the peer has not
// received the message.
func (p Peer) Call(ctx context.Context, deadline time.Time, method string, req, resp proto.Message) error {
	s, err := p.Begin(ctx, deadline, method, req)
	if err != nil {
		return err
	}
	return s.Response(resp)
}

// Begin is the first half of Call. Stream.Response is the other half, and returns at once after Ready has received. One of
// Response and Close has to follow.
func (p Peer) Begin(ctx context.Context, deadline time.Time, method string, req proto.Message) (*Stream, error) {
	// The caller's context is the stream's: if it ends, Recv returns.
	return p.c.open(ctx, nil, deadline, method, req, true)
}

// Response waits for the only message of a stream from Begin, and closes the stream.
func (s *Stream) Response(resp proto.Message) error {
	defer s.Close()
	if err := s.Recv(resp); err != nil {
		return fmt.Errorf("calling %s: %w", s.c.nc.RemoteAddr(), err)
	}
	return nil
}

// Ready receives once when Recv would return at once, other than by the end of the stream's deadline or context. It has to
// be called before the first Recv.
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

// Open begins a stream with its first message. An error that is ErrNotSent says that the peer has not received it.
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

// open begins a stream with a context, which the stream's end cancels by cancel. A zero deadline is none; fin: req is the
// only message.
func (c *conn) open(ctx context.Context, cancel context.CancelFunc, deadline time.Time, method string, req proto.Message, fin bool) (*Stream, error) {
	c.mu.Lock()
	if c.closed || len(c.streams) >= maxStreams {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: %s accepts no more streams", ErrNotSent, c.nc.RemoteAddr())
	}
	s := newStream(c, c.freeStream(), ctx, cancel)
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

// freeStream returns the number of the next stream. After 2^32 streams the numbers wrap, and some of the
// first may still be in use: an answer must not reach another's stream. Called with mu held, with less than maxStreams.
func (c *conn) freeStream() uint32 {
	for c.nextStream == 0 || c.streams[c.nextStream] != nil {
		c.nextStream++
	}
	id := c.nextStream
	c.nextStream++
	return id
}

// Call is Peer.Call over the connection to an address, which is made if there is none, until ctx ends.
func (p *Pool) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	deadline, _ := ctx.Deadline()
	return Peer{c}.Call(ctx, deadline, method, req, resp)
}

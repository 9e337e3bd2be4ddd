// Package proxy carries requests: Outbound takes them from the clients of this
// machine and finds a server for each, Inbound stands beside a server and is
// the only one that speaks to it.
package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/crew"
	"ivydeck/internal/http1"
)

const (
	mostPending  = 64 // requests on one connection that have no answer yet
	mostClients  = 3000
	writeWait    = 10 * time.Second       // for a client to read its answer
	lingerFor    = 180 * time.Millisecond // for the client to take its last answer
	bodyWait     = 30 * time.Second       // for a whole body
	bodyBuffered = 64 << 10               // bodies up to this are not counted against the node's memory
)

// Call is a request that has been read whole.
type Call struct {
	http1.Request
	Body    []byte
	Arrived time.Time // of its last byte
	Remote  net.Addr
}

// Answer is a final answer.
type Answer struct {
	Status int
	Fields []byte // lines of its head
	Body   []byte
	Close  bool
	Back   bool // it says when to come back
	Own    bool // it is the mesh's own, and its body says why
}

// Bounds are what a client may do; they may change with the configuration.
type Bounds struct {
	http1.Limits
	HeadWait time.Duration // for a whole head, from its first byte
	Idle     time.Duration // between requests
}

// Front accepts clients' connections. Requests on one connection run at the
// same time, and their answers go back in order.
type Front struct {
	Handle func(ctx context.Context, c *Call) *Answer
	Bounds func() Bounds
	Memory int64 // bytes that bodies may hold together
	Log    *slog.Logger

	leaving atomic.Bool
	mu      sync.Mutex
	stopped bool
	cut     bool
	clients map[*client]bool
	open    atomic.Int64 // connections
	pending atomic.Int64 // requests
	crew    *crew.Crew   // runs them; made by Serve
	held    atomic.Int64
}

// Leave makes every connection end with the next answer that has nothing behind it.
func (f *Front) Leave() { f.leaving.Store(true) }

// Stop reads nothing more: connections without a request are closed at once, so
// that clients turn elsewhere with what they send, and the others with their last
// answer.
func (f *Front) Stop() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for c := range f.clients {
		c.mu.Lock()
		c.closing = c.closing || c.pending == 0
		c.stopReads()
		c.mu.Unlock()
	}
}

// Cut calls all requests off, so that each has its answer while there is time for
// one: those that are through would else wait for good behind one that is not.
func (f *Front) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for c := range f.clients {
		c.callOff()
	}
}

// enter books a connection, unless the front has been stopped.
func (f *Front) enter(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	if f.cut {
		c.callOff()
	}
	if f.clients == nil {
		f.clients = map[*client]bool{}
	}
	f.clients[c] = true
	return true
}

func (f *Front) exit(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.clients, c)
}

// Pending is the number of requests without an answer.
func (f *Front) Pending() int64 { return f.pending.Load() }

// Open is the number of connections.
func (f *Front) Open() int64 { return f.open.Load() }

// Serve accepts until the context ends, and then waits for its connections.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	f.crew = crew.New(ctx)
	var conns sync.WaitGroup
	defer func() {
		conns.Wait()
		cancel()
		f.crew.Wait()
	}()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			f.Log.Warn("front.accept", "err", err)
			select { // out of descriptors, most likely
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		if f.open.Load() >= mostClients {
			nc.Close() // unread, so that its requests go elsewhere
			continue
		}
		f.open.Add(1)
		conns.Go(func() {
			defer f.open.Add(-1)
			f.serve(ctx, nc)
		})
	}
}

// client is one connection.
type client struct {
	f      *Front
	nc     net.Conn
	ctx    context.Context // until the client has left
	cancel context.CancelFunc

	requests context.Context // of the requests; its end leaves their answers to be written
	callOff  context.CancelFunc

	mu      sync.Mutex
	pending int
	closing bool // no further request is begun
	stopped bool // nothing more is read

	answered time.Time // when the last answer was written
}

func (f *Front) serve(parent context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(parent)
	c := &client{f: f, nc: nc, ctx: ctx, cancel: cancel}
	c.requests, c.callOff = context.WithCancel(ctx)
	if !f.enter(c) {
		cancel()
		nc.Close()
		return
	}
	defer f.exit(c)
	defer context.AfterFunc(parent, func() { nc.SetDeadline(time.Now().Add(lingerFor)) })()
	var running sync.WaitGroup
	places := make(chan struct{}, mostPending)
	turn := make(chan struct{}) // closed once the answer before has been written
	close(turn)
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		call, err := c.read(r)
		if err != nil {
			var e *http1.Error
			if errors.As(err, &e) {
				done := make(chan struct{})
				a := text(e.Status, e.Text)
				a.Close = true
				c.answer(turn, done, "", a)
				turn = done
			}
			break
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
		}
		done := make(chan struct{})
		before := turn
		turn = done
		closes := call.Close
		running.Add(1)
		f.crew.Go(func() {
			defer running.Done()
			defer func() { <-places }()
			a := f.Handle(c.requests, call)
			f.release(call.Body)
			a.Close = a.Close || call.Close
			c.answer(before, done, call.Method, a)
		})
		if closes {
			break
		}
	}
	c.wait(r, &running)
	cancel()
	running.Wait()
	c.linger()
}

// wait lets requests that were read have their answers; the client's leaving
// calls them off.
func (c *client) wait(r *bufio.Reader, running *sync.WaitGroup) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		// What comes behind the last request is left unread, up to a buffer full.
		for n := 1; n < r.Size() && c.readUntil(time.Time{}); n = r.Buffered() + 1 {
			if _, err := r.Peek(n); err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					c.cancel()
				}
				return
			}
		}
	}()
	running.Wait()
	c.stop()
	<-watched
}

// readUntil sets the time until which reads wait; false: the connection reads no more.
func (c *client) readUntil(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.nc.SetReadDeadline(t)
	return true
}

// stop ends all reads, under way and to come.
func (c *client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReads()
}

// stopReads is stop with mu held. What was read before is still worked on.
func (c *client) stopReads() {
	c.stopped = true
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// linger ends the connection so that the last answer is not lost in a reset,
// which a close with unread bytes would be.
func (c *client) linger() {
	defer c.nc.Close()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if tc, ok := c.nc.(*net.TCPConn); ok && closing && tc.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, c.nc, 64<<10)
	}
}

// begin books a request, from its first byte on, unless an answer that closes is
// out already: so none closes behind which something has been read.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.f.pending.Add(1)
	return true
}

// drop takes back a request that did not come whole.
func (c *client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.f.pending.Add(-1)
}

// errClosing is the end of reading behind an answer that closes.
var errClosing = errors.New("an answer has closed the connection")

// read waits for a request and reads it whole. It is booked then, and so is an
// http1.Error, which is to be answered; after any other error nothing is.
func (c *client) read(r *bufio.Reader) (*Call, error) {
	if err := c.await(r); err != nil {
		return nil, err
	}
	if !c.begin() {
		return nil, errClosing
	}
	call, err := c.take(r)
	var e *http1.Error
	if err != nil && !errors.As(err, &e) {
		c.drop()
	}
	return call, err
}

// await waits for the first byte of a request.
func (c *client) await(r *bufio.Reader) error {
	began := time.Now()
	for {
		until, _ := c.idleUntil(time.Now(), began)
		c.readUntil(until)
		_, err := r.Peek(1)
		if err == nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if until, ok := c.idleUntil(now, began); ok && now.Before(until) && c.ctx.Err() == nil {
				continue
			}
			return err
		}
		c.cancel() // the client has left
		return err
	}
}

// idleUntil is when a connection that has waited for a request since a moment has been idle for too long, by the present
// bounds. It is idle from its last answer on: from the last request on, a slow answer would leave its client less than
// it was told. ok is false where nothing more is read.
func (c *client) idleUntil(now, began time.Time) (until time.Time, ok bool) {
	idle := c.f.Bounds().Idle
	c.mu.Lock()
	defer c.mu.Unlock()
	from := began
	switch {
	case c.pending > 0:
		from = now
	case c.answered.After(from):
		from = c.answered
	}
	return from.Add(idle), !c.stopped
}

// take reads a request whose first byte is there.
func (c *client) take(r *bufio.Reader) (*Call, error) {
	b := c.f.Bounds()
	c.readUntil(time.Now().Add(b.HeadWait))
	call := &Call{Remote: c.nc.RemoteAddr()}
	req := &call.Request
	err := req.Read(r, b.Limits)
	if err != nil {
		return nil, c.late(err, "the head did not come in time")
	}
	if req.Length != 0 {
		if req.Expect {
			c.nc.SetWriteDeadline(time.Now().Add(writeWait))
			if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return nil, err
			}
		}
		if c.f.Memory > 0 && c.f.held.Load()+max(0, req.Length) > c.f.Memory {
			return nil, &http1.Error{Status: 503, Text: "no memory for the body at the moment"}
		}
		c.readUntil(time.Now().Add(bodyWait))
		if call.Body, err = http1.ReadBody(r, req.Length, b.Limits); err != nil {
			return nil, c.late(err, "the body did not come in time")
		}
		if len(call.Body) > bodyBuffered {
			c.f.held.Add(int64(len(call.Body)))
		}
	}
	call.Arrived = time.Now()
	return call, nil
}

func (f *Front) release(body []byte) {
	if len(body) > bodyBuffered {
		f.held.Add(-int64(len(body)))
	}
}

// late turns a time-out inside a request into the answer that says so.
func (c *client) late(err error, text string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &http1.Error{Status: 408, Text: text}
	}
	return err
}

// answer writes an answer once it is its turn.
func (c *client) answer(turn, done chan struct{}, method string, a *Answer) {
	defer close(done)
	defer c.f.pending.Add(-1)
	<-turn
	c.mu.Lock()
	c.pending--
	c.answered = time.Now() // and again once it is written
	over := c.closing
	if a.Close || c.f.leaving.Load() && c.pending == 0 {
		a.Close, c.closing = true, true
		c.stopReads()
	}
	c.mu.Unlock()
	if over || c.ctx.Err() != nil {
		return
	}
	bodyless := method == "HEAD" || a.Status == 204 || a.Status == 304
	buf := messages.Get().(*[]byte)
	message := http1.AppendResponse((*buf)[:0], a.Status, a.Fields, a.Body, bodyless, a.Close)
	c.nc.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := c.nc.Write(message)
	recycle(buf, message)
	if err != nil {
		c.cancel()
		c.nc.Close()
		return
	}
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
}

package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"ivydeck/internal/dataplane/http1"
)

// client is one connection.
type client struct {
	f      *Listener
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

func (f *Listener) serve(parent context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(parent)
	c := &client{f: f, nc: nc, ctx: ctx, cancel: cancel}
	c.requests, c.callOff = context.WithCancel(ctx)
	if !f.addClient(c) {
		cancel()
		nc.Close()
		return
	}
	defer f.removeClient(c)
	defer context.AfterFunc(parent, func() { nc.SetDeadline(time.Now().Add(lingerTimeout)) })()
	var running sync.WaitGroup
	slots := make(chan struct{}, maxPending)
	turn := make(chan struct{}) // closed once the answer before has been written
	close(turn)
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		call, err := c.read(r)
		if err != nil {
			var e *http1.Error
			if errors.As(err, &e) {
				done := make(chan struct{})
				a := textAnswer(e.Status, e.Text)
				a.Close = true
				c.answer(turn, done, "", a)
				turn = done
			}
			break
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		done := make(chan struct{})
		before := turn
		turn = done
		closes := call.Close
		running.Add(1)
		f.workers.Go(func() {
			defer running.Done()
			defer func() { <-slots }()
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
		c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.nc, 64<<10)
	}
}

// begin counts a request, from its first byte on, unless an answer that closes is
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

// take reads a request whose first byte has arrived.
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
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return nil, err
			}
		}
		if c.f.Memory > 0 && c.f.held.Load()+max(0, req.Length) > c.f.Memory {
			return nil, &http1.Error{Status: 503, Text: "no memory for the body at the moment"}
		}
		c.readUntil(time.Now().Add(bodyTimeout))
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
	if a.Close || c.f.shuttingDown.Load() && c.pending == 0 {
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
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
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

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
	"ivydeck/internal/transport/sock"
)

// clientConn is a connection from a client.
type clientConn struct {
	listener *Listener
	netConn  net.Conn
	ctx      context.Context // ends when the client disconnects, or with Serve's context
	cancel   context.CancelFunc

	requestCtx     context.Context // context of the handlers; responses are written even after it ends
	cancelRequests context.CancelFunc

	mu          sync.Mutex
	pending     int  // requests without a response
	closing     bool // no further request is accepted
	readStopped bool // no further bytes are read
	watching    bool // watchDisconnect may wait for data

	lastResponseAt time.Time // when the last response was written
}

// serve handles the requests of a connection until it closes. It runs them in workers and writes the responses in order.
func (l *Listener) serve(parent context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(parent)
	c := &clientConn{listener: l, netConn: conn, ctx: ctx, cancel: cancel}
	c.requestCtx, c.cancelRequests = context.WithCancel(ctx)
	if !l.addClient(c) {
		cancel()
		conn.Close()
		return
	}
	defer l.removeClient(c)
	defer context.AfterFunc(parent, func() { conn.SetDeadline(time.Now().Add(lingerTimeout)) })()
	var running sync.WaitGroup
	slots := make(chan struct{}, maxPending)
	lastWritten := make(chan struct{}) // closed once the previous response has been written
	close(lastWritten)
	r := bufio.NewReaderSize(conn, 4<<10)
	for c.acquireSlot(slots, r) {
		call, err := c.readRequest(r)
		if err != nil {
			<-slots
			c.reject(err, lastWritten)
			break
		}
		written := make(chan struct{})
		previous := lastWritten
		lastWritten = written
		lastRequest := call.Close
		running.Add(1)
		l.workers.Go(func() {
			defer running.Done()
			defer func() { <-slots }()
			response := l.Handle(c.requestCtx, call)
			l.releaseBody(call.Body)
			response.Close = response.Close || call.Close
			c.writeResponse(previous, written, call.Method, response)
		})
		if lastRequest {
			break
		}
	}
	c.awaitResponses(r, &running)
	cancel()
	running.Wait()
	c.linger()
}

// acquireSlot waits until fewer than maxPending requests are without a response. The connection is not read meanwhile. It
// returns false if the client disconnects first, which cancels the requests.
func (c *clientConn) acquireSlot(slots chan<- struct{}, r *bufio.Reader) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	defer c.watchDisconnect(r)()
	select {
	case slots <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// reject answers a request that was not accepted, if the error of readRequest is an http1.Error, once previous is closed.
func (c *clientConn) reject(err error, previous chan struct{}) {
	var rejected *http1.Error
	if !errors.As(err, &rejected) {
		return
	}
	response := textResponse(rejected.Status, rejected.Text)
	response.Close = true
	c.writeResponse(previous, make(chan struct{}), "", response)
}

// awaitResponses waits for the responses to the requests that were read. It cancels the requests if the client disconnects.
func (c *clientConn) awaitResponses(r *bufio.Reader, running *sync.WaitGroup) {
	stop := c.watchDisconnect(r)
	running.Wait()
	c.stopReads()
	stop()
}

// watchDisconnect cancels the requests if the client disconnects, until the returned function is called. The connection may not
// be read meanwhile.
func (c *clientConn) watchDisconnect(r *bufio.Reader) (stop func()) {
	stopped, done := make(chan struct{}), make(chan struct{})
	c.mu.Lock()
	c.watching = true
	c.mu.Unlock()
	go func() {
		defer close(done)
		if c.awaitDisconnect(r, stopped) {
			c.cancel()
		}
	}()
	return func() {
		close(stopped)
		c.mu.Lock()
		c.watching = false
		c.netConn.SetReadDeadline(time.Unix(1, 0)) // aborts a pending Peek
		c.mu.Unlock()
		<-done
	}
}

// awaitDisconnect waits until the client disconnects, or until watching ends, and reports whether the client has disconnected.
func (c *clientConn) awaitDisconnect(r *bufio.Reader, stopped <-chan struct{}) bool {
	// Peek detects a disconnect without consuming data, as long as the buffer has space.
	for n := 1; n < r.Size(); n = r.Buffered() + 1 {
		if !c.beginPeek() {
			return false
		}
		if _, err := r.Peek(n); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	tick := time.NewTicker(disconnectPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if sock.PeerClosed(c.netConn) {
				return true
			}
		case <-stopped:
			return false
		}
	}
}

// beginPeek clears the read deadline. It returns false if watching has ended or reads have been stopped.
func (c *clientConn) beginPeek() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped || !c.watching {
		return false
	}
	c.netConn.SetReadDeadline(time.Time{})
	return true
}

// setReadDeadline sets the read deadline, where the zero time means none. It returns false if reads have been stopped.
func (c *clientConn) setReadDeadline(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped {
		return false
	}
	c.netConn.SetReadDeadline(deadline)
	return true
}

// stopReads aborts pending reads and prevents further ones.
func (c *clientConn) stopReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadsLocked()
}

// stopReadsLocked is stopReads with mu held. Requests that were already read are still processed.
func (c *clientConn) stopReadsLocked() {
	c.readStopped = true
	c.netConn.SetReadDeadline(time.Unix(1, 0))
}

// linger closes the connection. It first lets the client read the last response: closing a socket with unread data sends a
// reset, which may discard the response.
func (c *clientConn) linger() {
	defer c.netConn.Close()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if tc, ok := c.netConn.(*net.TCPConn); ok && closing && tc.CloseWrite() == nil {
		c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.netConn, 64<<10)
	}
}

// beginRequest counts a request as pending, from its first byte on. It returns false if the connection is closing.
// writeResponse decides under the same lock whether a response closes the connection, so no request is accepted after such a
// response.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.listener.pending.Add(1)
	return true
}

// abortRequest undoes beginRequest for a request that was not received completely.
func (c *clientConn) abortRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.listener.pending.Add(-1)
}

// errClosing is returned instead of a request if the connection is closing.
var errClosing = errors.New("the connection is closing")

// readRequest waits for a request and reads it. The request is pending if the error is nil or an http1.Error, to which a
// response must be written. After any other error it is not.
func (c *clientConn) readRequest(r *bufio.Reader) (*Call, error) {
	if err := c.awaitRequest(r); err != nil {
		return nil, err
	}
	if !c.beginRequest() {
		return nil, errClosing
	}
	call, err := c.receiveRequest(r)
	var rejected *http1.Error
	if err != nil && !errors.As(err, &rejected) {
		c.abortRequest()
	}
	return call, err
}

// awaitRequest waits for the first byte of a request.
func (c *clientConn) awaitRequest(r *bufio.Reader) error {
	waitStart := time.Now()
	for {
		deadline, _ := c.idleDeadline(time.Now(), waitStart)
		c.setReadDeadline(deadline)
		_, err := r.Peek(1)
		if err == nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			now := time.Now()
			if newDeadline, ok := c.idleDeadline(now, waitStart); ok && now.Before(newDeadline) && c.ctx.Err() == nil {
				continue
			}
			return err
		}
		c.cancel() // the client has disconnected
		return err
	}
}

// idleDeadline returns when a connection that has waited for a request since waitStart exceeds the current idle timeout. The
// timeout runs from the last response, so that a slow response does not shorten it. ok is false if reads have been stopped.
func (c *clientConn) idleDeadline(now, waitStart time.Time) (deadline time.Time, ok bool) {
	idle := c.listener.Bounds().Idle
	c.mu.Lock()
	defer c.mu.Unlock()
	idleStart := waitStart
	switch {
	case c.pending > 0:
		idleStart = now
	case c.lastResponseAt.After(idleStart):
		idleStart = c.lastResponseAt
	}
	return idleStart.Add(idle), !c.readStopped
}

// receiveRequest reads a request after its first byte has arrived.
func (c *clientConn) receiveRequest(r *bufio.Reader) (*Call, error) {
	bounds := c.listener.Bounds()
	c.setReadDeadline(time.Now().Add(bounds.HeadWait))
	call := &Call{Remote: c.netConn.RemoteAddr()}
	req := &call.Request
	err := req.Read(r, bounds.Limits)
	if err != nil {
		return nil, c.timeoutError(err, "the head did not come in time")
	}
	if req.Length != 0 {
		if req.Expect {
			c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return nil, err
			}
		}
		if c.listener.MaxBodyMemory > 0 && c.listener.bodyMemory.Load()+max(0, req.Length) > c.listener.MaxBodyMemory {
			return nil, &http1.Error{Status: 503, Text: "no memory for the body at the moment"}
		}
		c.setReadDeadline(time.Now().Add(bodyTimeout))
		if call.Body, err = http1.ReadBody(r, req.Length, bounds.Limits); err != nil {
			return nil, c.timeoutError(err, "the body did not come in time")
		}
		if len(call.Body) > maxUncountedBody {
			c.listener.bodyMemory.Add(int64(len(call.Body)))
		}
	}
	call.Arrived = time.Now()
	return call, nil
}

// timeoutError converts an exceeded read deadline into an http1.Error with status 408.
func (c *clientConn) timeoutError(err error, text string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &http1.Error{Status: 408, Text: text}
	}
	return err
}

// writeResponse writes a response once the previous one has been written, and then closes written.
func (c *clientConn) writeResponse(previous, written chan struct{}, method string, response *Response) {
	defer close(written)
	defer c.listener.pending.Add(-1)
	<-previous
	c.mu.Lock()
	c.pending--
	c.lastResponseAt = time.Now() // set again after the write
	closed := c.closing
	if response.Close || c.listener.shuttingDown.Load() && c.pending == 0 {
		response.Close, c.closing = true, true
		c.stopReadsLocked()
	}
	c.mu.Unlock()
	if closed || c.ctx.Err() != nil {
		return
	}
	bodyless := method == "HEAD" || response.Status == 204 || response.Status == 304
	buffer := messageBuffers.Get().(*[]byte)
	message := http1.AppendResponse((*buffer)[:0], response.Status, response.Fields, response.Body, bodyless, response.Close)
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(message)
	putBuffer(buffer, message)
	if err != nil {
		c.cancel()
		c.netConn.Close()
		return
	}
	c.mu.Lock()
	c.lastResponseAt = time.Now()
	c.mu.Unlock()
}

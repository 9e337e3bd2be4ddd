// Package rpc carries protobuf messages between ivydeck's own processes: many
// streams on one TCP connection, each with credit of its own, so that a slow
// reader holds up its own stream alone.
//
// A connection is a sequence of frames (wire.Frame), each behind its length in
// four bytes, big-endian. Whoever opens a stream names a method and sends one
// message; the other side answers with one message or with many. A message may
// be cut into several frames.
package rpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/sock"
	"ivydeck/internal/transport/wire"
)

const (
	maxFrame   = 64 << 10 // bytes of a frame; a longer length is nonsense
	maxChunk   = 32 << 10 // bytes of a message in one frame
	window     = 256 << 10
	maxMessage = 72 << 20 // bytes of a whole message
	maxStreams = 4096     // open on one connection
	maxPartialBytes    = 128 << 20
	maxRetainedBuffer    = 8 << 10 // bytes of a buffer that stays with a connection: most are quiet for most of the time
	pingInterval  = 600 * time.Millisecond
	idlePingInterval   = 9 * time.Second         // the same without a stream: whoever opens one looks before
	minPingWait   = time.Second             // a ping is given so long at least
	peerTimeout  = 1800 * time.Millisecond // a peer that says nothing for so long is given up
	livenessWindow   = 250 * time.Millisecond  // a sign of life counts for so long
	pongTimeout   = 250 * time.Millisecond  // for one that was asked for
	writeTimeout  = 3 * time.Second
)

// ErrNotSent says that the message did not reach the peer whole, so that nothing
// can have come of it.
var ErrNotSent = errors.New("not sent")

// errFrameMaybeComplete is a failed write after which the peer may have the frame whole all the same.
var errFrameMaybeComplete = errors.New("the frame may have arrived whole")

// ErrTooLarge says that a message, or all messages in the making together,
// are over the bound.
var ErrTooLarge = errors.New("message too large")

// partialBytes counts the bytes of messages that are being put together in this process.
var partialBytes atomic.Int64

// conn is one connection, of either side.
type conn struct {
	nc      net.Conn
	peer    identity.Name // where identities are in use
	server  *Server       // set on the accepting side
	ctx     context.Context
	cancel  context.CancelCauseFunc
	lastReceived   atomic.Int64 // when something last came, unix ms of the local steady clock
	lastPing   atomic.Int64 // when the first ping since then was sent, the same
	livenessWaiters atomic.Int32 // goroutines in live
	pinging atomic.Bool  // a ping is being sent
	writeMu sync.Mutex
	writeBuffer     []byte     // reused; guarded by writeMu
	dataFrame    wire.Frame // the same: of messages under way

	mu      sync.Mutex
	streams map[uint32]*Stream
	nextStream    uint32
	closed  bool
	nextFrame    chan struct{} // closed and replaced with the next frame, where someone waits
}

var start = time.Now()

func steadyMs() int64 { return time.Since(start).Milliseconds() }

func newConn(parent context.Context, nc net.Conn, server *Server) *conn {
	c := &conn{nc: nc, server: server, streams: map[uint32]*Stream{}, nextStream: 1, nextFrame: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancelCause(parent)
	c.lastReceived.Store(steadyMs())
	raw := nc
	if secure, ok := nc.(*tls.Conn); ok {
		raw, c.peer = secure.NetConn(), identity.PeerName(secure.ConnectionState())
		if server == nil {
			// A side that connects does not learn from the handshake whether the other has taken its certificate: no
			// sign of life has come before the first frame.
			c.lastReceived.Store(steadyMs() - livenessWindow.Milliseconds())
		}
	}
	// Pings find a silent peer; the kernel's probes would only see less of it. It gives up bytes that nobody
	// takes in at the same time, rather than after minutes.
	if tc, ok := raw.(*net.TCPConn); ok {
		tc.SetKeepAlive(false)
		sock.UserTimeout(tc, peerTimeout)
	}
	return c
}

// write sends one frame whole, or ends the connection.
func (c *conn) write(f *wire.Frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(f)
}

// partial is a piece of a message under way.
type dataChunk struct {
	stream    uint32
	method    string // with the first
	timeoutMs    uint32 // the same
	data      []byte
	last, fin bool
}

// writeChunk sends one piece, as write does.
func (c *conn) writeChunk(p dataChunk) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	f := &c.dataFrame
	f.Stream, f.Method, f.TimeoutMs, f.Data, f.Last, f.Fin = p.stream, p.method, p.timeoutMs, p.data, p.last, p.fin
	err := c.writeLocked(f)
	f.Data = nil
	return err
}

// writeLocked is write with writeMu held.
func (c *conn) writeLocked(f *wire.Frame) error {
	if c.ctx.Err() != nil {
		return context.Cause(c.ctx)
	}
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(c.writeBuffer[:0], 0, 0, 0, 0), f)
	if err != nil {
		return fmt.Errorf("encoding a frame: %w", err)
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-4))
	if c.writeBuffer = buf; cap(buf) > maxRetainedBuffer {
		c.writeBuffer = nil
	}
	framesSent.Add(1)
	wireBytesSent.Add(uint64(len(buf)))
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.nc.Write(buf)
	if err == nil {
		return nil
	}
	err = fmt.Errorf("writing to %s: %w", c.nc.RemoteAddr(), err)
	c.fail(err)
	if n >= len(buf) {
		return fmt.Errorf("%w: %w", errFrameMaybeComplete, err)
	}
	return err
}

// fail ends the connection and all of its streams.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	streams := c.streams
	c.streams = nil
	c.mu.Unlock()
	c.cancel(err)
	c.nc.Close()
	for _, s := range streams {
		s.end(err)
	}
}

// read handles frames until the connection ends.
func (c *conn) read() error {
	r := bufio.NewReaderSize(c.nc, 4<<10)
	var buf []byte
	var f wire.Frame
	for {
		head, err := r.Peek(4)
		if err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(head)
		r.Discard(4)
		if n > maxFrame {
			return fmt.Errorf("a frame of %d bytes from %s, at most %d are allowed", n, c.nc.RemoteAddr(), maxFrame)
		}
		if cap(buf) < int(n) || cap(buf) > maxRetainedBuffer {
			buf = make([]byte, n, max(n, 512))
		}
		buf = buf[:n]
		if _, err := io.ReadFull(r, buf); err != nil {
			return fmt.Errorf("a torn frame: %w", err)
		}
		if err := proto.Unmarshal(buf, &f); err != nil {
			return fmt.Errorf("a frame from %s: %w", c.nc.RemoteAddr(), err)
		}
		framesReceived.Add(1)
		wireBytesReceived.Add(uint64(n) + 4)
		c.lastReceived.Store(steadyMs())
		if c.livenessWaiters.Load() > 0 {
			c.mu.Lock()
			close(c.nextFrame)
			c.nextFrame = make(chan struct{})
			c.mu.Unlock()
		}
		if err := c.handle(&f); err != nil {
			return err
		}
	}
}

func (c *conn) handle(f *wire.Frame) error {
	switch f.Kind {
	case wire.Frame_PING:
		return c.write(&wire.Frame{Kind: wire.Frame_PONG})
	case wire.Frame_PONG:
		return nil
	}
	c.mu.Lock()
	s := c.streams[f.Stream]
	if s == nil && f.Kind == wire.Frame_DATA && f.Method != "" && c.server != nil && !c.closed {
		if len(c.streams) >= maxStreams {
			c.mu.Unlock()
			return c.write(&wire.Frame{Stream: f.Stream, Fin: true, Error: "too many streams"})
		}
		s = newStream(c, f.Stream, nil, nil)
		s.meter = c.server.meterOf(f.Method)
		if f.TimeoutMs > 0 {
			s.deadline = time.Now().Add(time.Duration(f.TimeoutMs) * time.Millisecond)
		}
		c.streams[f.Stream] = s
		c.server.running.Add(1)
		// It begins with its first frame taken in, which most often is all that it gets.
		method := f.Method
		defer c.server.workers.Go(func() { c.server.serve(s, method) })
	}
	c.mu.Unlock()
	if s == nil {
		return nil // it ended here while this frame was under way
	}
	switch f.Kind {
	case wire.Frame_CREDIT:
		s.addCredit(int(f.Credit))
	case wire.Frame_CANCEL:
		s.end(context.Canceled)
		c.drop(s)
	case wire.Frame_DATA:
		return s.receiveData(f)
	}
	return nil
}

// drop forgets a stream.
func (c *conn) drop(s *Stream) {
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
}

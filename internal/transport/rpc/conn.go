// Package rpc carries protobuf messages between the processes of the mesh: many streams over one TCP connection to each
// peer, with flow control by credit for each stream, so that a slow reader delays its own stream alone.
//
// A connection is a sequence of frames (wire.Frame), each after its length in four bytes, big-endian. The side that opens a
// stream names a method and sends one message; the other side answers with one message or with many. A message may take
// several frames. The form of frames and the names of methods are frozen.
//
//	conn.go      a connection: frames in and out
//	stream.go    a stream: messages, credit, deadlines
//	pool.go      the calling side: connections by address
//	rpc.go       the accepting side: Server, handlers
//	liveness.go  pings, and peers that do not answer
//	traffic.go   counters
//
// Errors: ErrNotSent says that the peer has not received the message, which may be sent elsewhere; a PeerError is the
// handler's; context.DeadlineExceeded says that no answer came in time, and nothing about what the peer has done.
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
	maxFrame          = 64 << 10 // bytes of a frame; a longer one is not of this protocol
	maxChunk          = 32 << 10 // bytes of a message in one frame
	window            = 256 << 10
	maxMessage        = 72 << 20 // bytes of a complete message
	maxStreams        = 4096     // open on one connection
	maxPartialBytes   = 128 << 20
	maxRetainedBuffer = 8 << 10 // bytes of a buffer that an idle connection keeps
	pingInterval      = 600 * time.Millisecond
	idlePingInterval  = 9 * time.Second         // the same without a stream: Pool.Live checks before it opens one
	minPingWait       = time.Second             // a peer has at least this time to answer a ping
	peerTimeout       = 1800 * time.Millisecond // a connection without a frame for this long is closed
	livenessWindow    = 250 * time.Millisecond  // a peer counts as live for so long after a frame
	pongTimeout       = 250 * time.Millisecond  // for the answer to a ping
	writeTimeout      = 3 * time.Second
)

// ErrNotSent says that the peer has not received the complete message, so that it can't have had an effect.
var ErrNotSent = errors.New("not sent")

// errFrameMaybeComplete is a failed write after which the peer may have the complete frame all the same.
var errFrameMaybeComplete = errors.New("the frame may have arrived completely")

// ErrTooLarge says that a message, or all incomplete messages of the process together, are over the bound.
var ErrTooLarge = errors.New("message too large")

// partialBytes counts the bytes of incomplete messages in this process.
var partialBytes atomic.Int64

// conn is a connection, on either side.
type conn struct {
	nc              net.Conn
	peer            identity.Name // where identities are in use
	server          *Server       // set on the accepting side
	ctx             context.Context
	cancel          context.CancelCauseFunc
	lastReceived    atomic.Int64 // last frame, in ms of the steady clock
	lastPing        atomic.Int64 // first ping since then, in ms of the steady clock
	livenessWaiters atomic.Int32 // goroutines in awaitLive
	pinging         atomic.Bool  // a ping is being sent
	writeMu         sync.Mutex
	writeBuffer     []byte     // reused; guarded by writeMu
	dataFrame       wire.Frame // the same: for data frames

	mu         sync.Mutex
	streams    map[uint32]*Stream
	nextStream uint32
	closed     bool
	nextFrame  chan struct{} // closed and replaced with the next frame, if someone waits for it
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
			// The handshake does not show the connecting side whether its certificate was accepted: the peer does not count
			// as live before its first frame.
			c.lastReceived.Store(steadyMs() - livenessWindow.Milliseconds())
		}
	}
	// Pings find an unresponsive peer sooner than the kernel's keep-alive. Connections with unacknowledged bytes end at the same
	// time, rather than after minutes.
	if tc, ok := raw.(*net.TCPConn); ok {
		tc.SetKeepAlive(false)
		sock.UserTimeout(tc, peerTimeout)
	}
	return c
}

// write sends a frame, or ends the connection.
func (c *conn) write(f *wire.Frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(f)
}

// dataChunk is what one frame carries of a message.
type dataChunk struct {
	stream    uint32
	method    string // with the first
	timeoutMs uint32 // the same
	data      []byte
	last, fin bool
}

// writeChunk sends a data frame, as write does.
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
			return fmt.Errorf("a frame of %d bytes from %s, the maximum is %d", n, c.nc.RemoteAddr(), maxFrame)
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
		// The handler starts after the first frame is received, which most often is the only one.
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

// drop removes a stream from the connection.
func (c *conn) drop(s *Stream) {
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
}

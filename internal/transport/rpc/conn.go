// Package rpc carries protobuf messages between the processes of the mesh. It multiplexes streams over one TCP connection
// to each peer. Each stream has credit-based flow control, so that a slow reader blocks only its own stream.
//
// A connection is a sequence of frames (wire.Frame), each prefixed with its length in bytes (4 bytes, big-endian). The side
// that opens a stream names a method and sends one message. The other side responds with one or more messages. A message
// may span several frames. The frame format and the method names are frozen.
//
//	conn.go      connections: reading and writing frames
//	stream.go    streams: messages, credit, deadlines
//	decode.go    decoding of messages within bounds
//	pool.go      client: connections by address
//	rpc.go       server: listener, handlers
//	liveness.go  pings and detection of unresponsive peers
//	traffic.go   counters
//
// Errors: ErrNotSent means that the peer did not receive the complete message, and that it is safe to send the message to
// another peer. A PeerError is an error of the peer's handler. After context.DeadlineExceeded it is unknown whether the
// peer executed the call.
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
	maxFrame          = 64 << 10                // in bytes, without the length prefix; a longer frame is a protocol error
	maxChunk          = 32 << 10                // message bytes per frame
	window            = 256 << 10               // initial credit of a stream, in bytes
	maxMessage        = 72 << 20                // in bytes
	maxStreams        = 4096                    // open streams per connection
	maxPartialBytes   = 128 << 20               // total size of incomplete messages in the process
	maxElements       = 1 << 18                 // elements of a message: see wire.CountElements
	maxElementsAtOnce = 1 << 19                 // elements of all messages in the process that are being handled
	freeElements      = 1 << 10                 // messages with up to this many elements do not count against maxElementsAtOnce
	maxRetainedBuffer = 8 << 10                 // in bytes; larger buffers are not reused
	pingInterval      = 600 * time.Millisecond  // interval of liveness checks, and of pings to a quiet peer with open streams
	idlePingInterval  = 9 * time.Second         // interval of pings to a peer without open streams; Pool.Live pings before it returns such a connection
	minPingWait       = time.Second             // minimum time to answer a ping before the connection is closed
	peerTimeout       = 1800 * time.Millisecond // a connection that receives no frame for this long is closed
	livenessWindow    = 250 * time.Millisecond  // a peer is considered live for this long after its last frame
	pongTimeout       = 250 * time.Millisecond  // maximum wait for the answer to a ping in Pool.Live
	writeTimeout      = 3 * time.Second
)

// ErrNotSent means that the peer did not receive the complete message, and so cannot have acted on it.
var ErrNotSent = errors.New("not sent")

// errFrameMaybeComplete means that a write failed, but the peer may have received the complete frame.
var errFrameMaybeComplete = errors.New("the frame may have arrived completely")

// ErrTooLarge means that a message exceeds maxMessage, the incomplete messages of the process exceed maxPartialBytes, or the
// elements of all messages exceed maxElementsAtOnce.
var ErrTooLarge = errors.New("message too large")

var (
	// partialBytes is the size of all incomplete messages in this process.
	partialBytes atomic.Int64
	// handledElements is the number of elements of the decoded messages whose streams have not ended, without messages of up to
	// freeElements.
	handledElements atomic.Int64
)

// conn is a connection, on the client or the server side.
type conn struct {
	nc              net.Conn
	peer            identity.Name // name in the peer's certificate; empty without TLS
	server          *Server       // nil on the client side
	ctx             context.Context
	cancel          context.CancelCauseFunc
	lastReceived    atomic.Int64 // time of the last received frame, by steadyMs
	firstPing       atomic.Int64 // time of the first ping after lastReceived, by steadyMs
	livenessWaiters atomic.Int32 // number of goroutines in awaitLive
	pinging         atomic.Bool  // checkLiveness is sending a ping
	writeMu         sync.Mutex
	writeBuffer     []byte     // reused; guarded by writeMu
	dataFrame       wire.Frame // reused for data frames; guarded by writeMu

	mu         sync.Mutex
	streams    map[uint32]*Stream
	nextStream uint32
	closed     bool
	nextFrame  chan struct{} // closed and replaced on the next frame if livenessWaiters > 0
}

var start = time.Now()

// steadyMs returns the monotonic time since process start, in milliseconds.
func steadyMs() int64 { return time.Since(start).Milliseconds() }

func newConn(parent context.Context, nc net.Conn, server *Server) *conn {
	c := &conn{nc: nc, server: server, streams: map[uint32]*Stream{}, nextStream: 1, nextFrame: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancelCause(parent)
	c.lastReceived.Store(steadyMs())
	raw := nc
	if secure, ok := nc.(*tls.Conn); ok {
		raw, c.peer = secure.NetConn(), identity.PeerName(secure.ConnectionState())
		if server == nil {
			// A TLS 1.3 client completes the handshake before the server verifies its certificate. The peer counts as live
			// only after its first frame.
			c.lastReceived.Store(steadyMs() - livenessWindow.Milliseconds())
		}
	}
	// Pings detect an unresponsive peer sooner than TCP keep-alive. TCP_USER_TIMEOUT applies the same timeout to
	// unacknowledged data.
	if tc, ok := raw.(*net.TCPConn); ok {
		tc.SetKeepAlive(false)
		sock.UserTimeout(tc, peerTimeout)
	}
	return c
}

// write sends a frame. A failed write closes the connection.
func (c *conn) write(f *wire.Frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(f)
}

// dataChunk is the content of a data frame.
type dataChunk struct {
	stream    uint32
	method    string // set in the first frame of a stream
	timeoutMs uint32 // set in the first frame of a stream; zero means no deadline
	data      []byte
	last, fin bool // end of the message; end of the stream
}

// writeChunk sends a data frame, for which it reuses the frame struct.
func (c *conn) writeChunk(chunk dataChunk) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	f := &c.dataFrame
	f.Stream, f.Method, f.TimeoutMs, f.Data, f.Last, f.Fin = chunk.stream, chunk.method, chunk.timeoutMs, chunk.data, chunk.last, chunk.fin
	err := c.writeLocked(f)
	f.Data = nil
	return err
}

// writeLocked sends a frame. The caller holds writeMu.
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

// fail closes the connection and ends all of its streams with err.
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

// read handles received frames until the connection fails.
func (c *conn) read() error {
	r := bufio.NewReaderSize(c.nc, 4<<10)
	var buf []byte
	var f wire.Frame
	for {
		prefix, err := r.Peek(4)
		if err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(prefix)
		r.Discard(4)
		if n > maxFrame {
			return fmt.Errorf("a frame of %d bytes from %s, the maximum is %d", n, c.nc.RemoteAddr(), maxFrame)
		}
		if cap(buf) < int(n) || cap(buf) > maxRetainedBuffer {
			buf = make([]byte, n, max(n, 512))
		}
		buf = buf[:n]
		if _, err := io.ReadFull(r, buf); err != nil {
			return fmt.Errorf("reading a frame: %w", err)
		}
		if err := wire.RejectGroups(buf); err != nil {
			return fmt.Errorf("a frame from %s: %w", c.nc.RemoteAddr(), err)
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

// handle processes a received frame. An error is a protocol or write error and closes the connection.
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
		c.server.activeHandlers.Add(1)
		// The handler starts after the first frame, which usually holds the complete message, is processed.
		method := f.Method
		defer c.server.workers.Go(func() { c.server.serve(s, method) })
	}
	c.mu.Unlock()
	if s == nil {
		return nil // the stream was closed locally while the frame was in flight
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

package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// Stream is an exchange of messages over a connection. One goroutine may send while another receives. On the server side it
// is also the context.Context of its handler, which saves the allocations of a derived context.
type Stream struct {
	conn   *conn
	id     uint32
	ctx    context.Context    // the caller's context; on the server side the stream itself
	cancel context.CancelFunc // cancels ctx when the stream ends; may be nil
	meter  *meter             // counts the messages of the method

	// deadline is zero if only ctx ends the stream. A caller that stops waiting earlier cancels the stream.
	deadline time.Time

	mu           sync.Mutex
	wake         chan struct{} // capacity 1; signals a message or the end of the stream to Recv; created on first use
	credit       int           // bytes that may be sent
	partial      []byte        // received data of an incomplete message
	messages     [][]byte      // complete messages, not yet received by Recv
	firstMessage [1][]byte     // initial backing array of messages, as most streams receive only one
	fin          bool          // no more messages will be received
	err          error         // returned by Recv after all messages
	elements     int64         // counted elements of the latest decoded message, part of handledElements

	creditWake chan struct{} // capacity 1; signals more credit or the end of the stream; created on first use
	onFrame    func()        // called for each received data frame

	// State of the stream as a context.Context.
	endErr error         // nil until the stream ends
	done   chan struct{} // closed when the stream ends; created on first use
	onEnd  func()        // called when the stream ends
}

// newStream returns a stream. On the server side, ctx is nil and the stream becomes its own context.
func newStream(c *conn, id uint32, ctx context.Context, cancel context.CancelFunc) *Stream {
	s := &Stream{conn: c, id: id, ctx: ctx, cancel: cancel, credit: window}
	if ctx == nil {
		s.ctx = s
	}
	s.messages = s.firstMessage[:0]
	return s
}

// Context returns the context of the stream, which is done when the stream ends.
func (s *Stream) Context() context.Context { return s.ctx }

// Deadline returns the caller's deadline. It implements context.Context.
func (s *Stream) Deadline() (time.Time, bool) { return s.deadline, !s.deadline.IsZero() }

// Done returns a channel that is closed when the peer cancels the stream, the connection fails, the handler returns, or a
// liveness check finds that the deadline has passed.
func (s *Stream) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done == nil {
		s.done = make(chan struct{})
		if s.endErr != nil {
			close(s.done)
		}
	}
	return s.done
}

// Err returns nil until Done is closed, then context.Canceled or context.DeadlineExceeded.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil && !errors.Is(s.endErr, context.DeadlineExceeded) {
		return context.Canceled
	}
	return s.endErr
}

// callerKey is the context key of a handler's stream.
type callerKey struct{}

// Value returns the stream for callerKey and nil for any other key; see Caller.
func (s *Stream) Value(key any) any {
	if key == (callerKey{}) {
		return s
	}
	return nil
}

// OnEnd sets the function that is called when Done is closed, or calls it now if Done is already closed. ClearOnEnd removes
// it. f must not block.
func (s *Stream) OnEnd(f func()) {
	s.mu.Lock()
	ended := s.endErr != nil
	if !ended {
		s.onEnd = f
	}
	s.mu.Unlock()
	if ended {
		f()
	}
}

// OnFrame sets the function that is called for each received data frame. The frames of a large message on a slow link thus
// show that the peer is live before the message is complete. f must not block.
func (s *Stream) OnFrame(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFrame = f
}

// ClearOnEnd removes the function set by OnEnd. It reports false if the function was already called or never set.
func (s *Stream) ClearOnEnd() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.onEnd != nil
	s.onEnd = nil
	return removed
}

// finish ends the stream as a context: it closes Done and calls the function set by OnEnd.
func (s *Stream) finish(err error) {
	s.mu.Lock()
	if s.endErr != nil {
		s.mu.Unlock()
		return
	}
	s.endErr = err
	s.releaseElements()
	if s.done != nil {
		close(s.done)
	}
	f := s.onEnd
	s.onEnd = nil
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

// signal sends to a channel of capacity 1 without blocking. The channel may be nil.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Stream) addCredit(n int) {
	s.mu.Lock()
	s.credit += n
	wake := s.creditWake
	s.mu.Unlock()
	signal(wake)
}

// end marks the stream as finished. If err is not nil, it also becomes the result of Recv and cancels the context.
func (s *Stream) end(err error) {
	s.mu.Lock()
	if s.err == nil && err != nil {
		s.err = err
	}
	s.fin = true
	partialBytes.Add(-int64(len(s.partial)))
	s.partial = nil
	wake, creditWake := s.wake, s.creditWake
	s.mu.Unlock()
	signal(wake)
	signal(creditWake)
	if err != nil {
		s.finish(err)
		if s.cancel != nil {
			s.cancel()
		}
	}
}

// receiveData processes a data frame.
func (s *Stream) receiveData(f *wire.Frame) error {
	if f.Error != "" {
		s.end(&PeerError{Text: f.Error})
		s.conn.drop(s)
		return nil
	}
	s.mu.Lock()
	if s.fin {
		s.mu.Unlock()
		return nil
	}
	if len(f.Data) > 0 || f.Last {
		if len(s.partial)+len(f.Data) > maxMessage || partialBytes.Load()+int64(len(f.Data)) > maxPartialBytes {
			s.mu.Unlock()
			s.end(ErrTooLarge)
			s.conn.drop(s)
			return s.conn.write(&wire.Frame{Stream: s.id, Fin: true, Error: ErrTooLarge.Error()})
		}
		if f.Last {
			s.meter.received(len(s.partial) + len(f.Data))
		}
		if f.Last && s.partial == nil {
			s.messages = append(s.messages, f.Data)
		} else {
			partialBytes.Add(int64(len(f.Data)))
			s.partial = append(s.partial, f.Data...)
			if f.Last {
				partialBytes.Add(-int64(len(s.partial)))
				s.messages = append(s.messages, s.partial)
				s.partial = nil
			}
		}
	}
	if f.Fin {
		s.fin = true
	}
	wake, onFrame := s.wake, s.onFrame
	s.mu.Unlock()
	if onFrame != nil {
		onFrame()
	}
	if f.Last || f.Fin {
		signal(wake)
	}
	if !f.Last && !f.Fin && len(f.Data) > 0 { // grant credit for the rest of the message; Recv grants it for complete messages
		return s.conn.write(&wire.Frame{Kind: wire.Frame_CREDIT, Stream: s.id, Credit: uint32(len(f.Data))})
	}
	return nil
}

// Recv waits for the next message and decodes it into m. It returns io.EOF after the last one.
func (s *Stream) Recv(m proto.Message) error {
	for {
		s.mu.Lock()
		if len(s.messages) > 0 {
			data := s.messages[0]
			s.messages[0] = nil
			s.messages = s.messages[1:]
			open := !s.fin
			s.mu.Unlock()
			if err := s.decode(data, m); err != nil {
				return fmt.Errorf("decoding a message: %w", err)
			}
			if open && len(data) > 0 {
				s.conn.write(&wire.Frame{Kind: wire.Frame_CREDIT, Stream: s.id, Credit: uint32(min(len(data), maxChunk))})
			}
			return nil
		}
		if s.wake == nil {
			s.wake = make(chan struct{}, 1)
		}
		err, fin, wake := s.err, s.fin, s.wake
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if fin {
			return io.EOF
		}
		if err := s.wait(wake); err != nil {
			return err
		}
	}
}

// wait waits for wake. It returns an error if the deadline passes or the context is done first.
func (s *Stream) wait(wake <-chan struct{}) error {
	var expired <-chan time.Time
	if !s.deadline.IsZero() {
		timer := timerpool.Get(time.Until(s.deadline))
		defer timerpool.Put(timer)
		expired = timer.C
	}
	select {
	case <-wake:
	case <-expired:
		return context.DeadlineExceeded
	case <-s.ctx.Done():
		return s.cause()
	}
	return nil
}

// cause returns the error of the stream. If it has none, it returns the cause of its context.
func (s *Stream) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	return context.Cause(s.ctx)
}

// encodeBuffers are reused for encoding messages.
var encodeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Send sends a message. It blocks while the stream has no credit.
func (s *Stream) Send(m proto.Message) error { return s.send(m, "", 0, false) }

func (s *Stream) send(m proto.Message, method string, timeoutMs uint32, fin bool) error {
	buf := encodeBuffers.Get().(*[]byte)
	data, err := proto.MarshalOptions{}.MarshalAppend((*buf)[:0], m)
	if cap(data) <= maxChunk {
		*buf = data
		defer encodeBuffers.Put(buf)
	}
	if err != nil {
		return fmt.Errorf("%w: encoding a message: %w", ErrNotSent, err)
	}
	return s.sendData(data, method, timeoutMs, fin)
}

// SendEncoded sends a message that is already encoded. Several streams can share the bytes.
func (s *Stream) SendEncoded(data []byte) error { return s.sendData(data, "", 0, false) }

func (s *Stream) sendData(data []byte, method string, timeoutMs uint32, fin bool) error {
	if len(data) > maxMessage {
		return fmt.Errorf("%w: %w", ErrNotSent, ErrTooLarge)
	}
	s.meter.sent(len(data))
	for first := true; first || len(data) > 0; first = false {
		chunk := data[:min(len(data), maxChunk)]
		data = data[len(chunk):]
		if err := s.waitCredit(len(chunk)); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		p := dataChunk{stream: s.id, data: chunk, last: len(data) == 0, fin: fin && len(data) == 0}
		if first {
			p.method, p.timeoutMs = method, timeoutMs
		}
		if err := s.conn.writeChunk(p); err != nil {
			if p.last && errors.Is(err, errFrameMaybeComplete) { // the peer may have received the complete message
				return err
			}
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return nil
}

// waitCredit blocks until the stream has n bytes of credit, and deducts them.
func (s *Stream) waitCredit(n int) error {
	for {
		s.mu.Lock()
		if s.err != nil {
			defer s.mu.Unlock()
			return s.err
		}
		if s.credit >= n {
			s.credit -= n
			s.mu.Unlock()
			return nil
		}
		if s.creditWake == nil {
			s.creditWake = make(chan struct{}, 1)
		}
		wake := s.creditWake
		s.mu.Unlock()
		if err := s.wait(wake); err != nil {
			return err
		}
	}
}

// Close ends the stream, and cancels it at the peer unless the peer has already ended it.
func (s *Stream) Close() {
	s.mu.Lock()
	peerFinished := s.fin
	s.mu.Unlock()
	s.conn.drop(s)
	s.end(context.Canceled)
	if !peerFinished {
		s.conn.write(&wire.Frame{Kind: wire.Frame_CANCEL, Stream: s.id})
	}
}

// PeerError is an error returned by the peer's handler.
type PeerError struct{ Text string }

func (e *PeerError) Error() string { return "error from the peer: " + e.Text }

// IsPeerError reports whether an error came from the peer's handler.
func IsPeerError(err error) bool {
	var p *PeerError
	return errors.As(err, &p)
}

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

// Stream is an exchange of messages over a connection. One goroutine may send while another receives. It is the context of
// its handler as well: most streams end before anybody uses more than that, and derived contexts would cost a call a third
// of its allocations.
type Stream struct {
	c      *conn
	id     uint32
	ctx    context.Context    // of the caller; on the accepting side the stream itself
	cancel context.CancelFunc // the caller's; nil: there is nothing to cancel
	meter  *meter             // of the method

	// The stream ends at the deadline; zero: by its context only. A peer that stops waiting sooner cancels the stream.
	deadline time.Time

	mu           sync.Mutex
	wake         chan struct{} // with a capacity of one: something changed; made if someone waits for it
	credit       int           // bytes that may still be sent
	partial      []byte        // of the incomplete message
	messages     [][]byte
	firstMessage [1][]byte // space for messages: most streams have only one
	fin          bool
	err          error

	creditWake chan struct{} // as wake, for credit
	onFrame    func()        // called with each frame of a message that comes

	endErr error         // of the stream as a context; nil: it has not ended
	done   chan struct{} // closed then; made where someone asks for it
	onEnd  func()        // called then
}

// newStream returns a stream with a caller's context; nil: the peer has opened it.
func newStream(c *conn, id uint32, ctx context.Context, cancel context.CancelFunc) *Stream {
	s := &Stream{c: c, id: id, ctx: ctx, cancel: cancel, credit: window}
	if ctx == nil {
		s.ctx = s
	}
	s.messages = s.firstMessage[:0]
	return s
}

// Context ends with the stream.
func (s *Stream) Context() context.Context { return s.ctx }

// Deadline is the caller's deadline.
func (s *Stream) Deadline() (time.Time, bool) { return s.deadline, !s.deadline.IsZero() }

// Done is closed once the peer has cancelled the stream, the connection has ended, or the handler has returned.
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

// Err returns why Done is closed.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil && !errors.Is(s.endErr, context.DeadlineExceeded) {
		return context.Canceled
	}
	return s.endErr
}

// callerKey is the key of a handler's stream in derived contexts.
type callerKey struct{}

// Value returns only the stream: see Caller.
func (s *Stream) Value(key any) any {
	if key == (callerKey{}) {
		return s
	}
	return nil
}

// OnEnd sets the function that is called when Done is closed, unless ClearOnEnd comes before. It must not block.
func (s *Stream) OnEnd(f func()) {
	s.mu.Lock()
	over := s.endErr != nil
	if !over {
		s.onEnd = f
	}
	s.mu.Unlock()
	if over {
		f()
	}
}

// OnFrame sets the function that is called with each received data frame, also while the message is incomplete: a large one
// on a slow link shows that the peer is live long before its end. It must not block.
func (s *Stream) OnFrame(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFrame = f
}

// ClearOnEnd removes the function of OnEnd. It reports false if that was called.
func (s *Stream) ClearOnEnd() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	has := s.onEnd != nil
	s.onEnd = nil
	return has
}

// finish ends the stream as a context.
func (s *Stream) finish(err error) {
	s.mu.Lock()
	if s.endErr != nil {
		s.mu.Unlock()
		return
	}
	s.endErr = err
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

// signal wakes the receiver of a channel; nil: there is none.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Stream) addCredit(n int) {
	s.mu.Lock()
	s.credit += n
	waits := s.creditWake
	s.mu.Unlock()
	signal(waits)
}

// end ends the stream with an error; nil: the peer has sent its last message.
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

// receiveData takes a data frame.
func (s *Stream) receiveData(f *wire.Frame) error {
	if f.Error != "" {
		s.end(&PeerError{Text: f.Error})
		s.c.drop(s)
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
			s.c.drop(s)
			return s.c.write(&wire.Frame{Stream: s.id, Fin: true, Error: ErrTooLarge.Error()})
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
	if !f.Last && !f.Fin && len(f.Data) > 0 { // credit for the rest of the message; that for complete ones comes with Recv
		return s.c.write(&wire.Frame{Kind: wire.Frame_CREDIT, Stream: s.id, Credit: uint32(len(f.Data))})
	}
	return nil
}

// Recv waits for the next message. It returns io.EOF after the peer's last one.
func (s *Stream) Recv(m proto.Message) error {
	for {
		s.mu.Lock()
		if len(s.messages) > 0 {
			data := s.messages[0]
			s.messages[0] = nil
			s.messages = s.messages[1:]
			open := !s.fin
			s.mu.Unlock()
			if err := proto.Unmarshal(data, m); err != nil {
				return fmt.Errorf("decoding a message: %w", err)
			}
			if open && len(data) > 0 {
				s.c.write(&wire.Frame{Kind: wire.Frame_CREDIT, Stream: s.id, Credit: uint32(min(len(data), maxChunk))})
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

// wait waits for one of the stream's channels, or its end.
func (s *Stream) wait(wake <-chan struct{}) error {
	var over <-chan time.Time
	if !s.deadline.IsZero() {
		timer := timerpool.Get(time.Until(s.deadline))
		defer timerpool.Put(timer)
		over = timer.C
	}
	select {
	case <-wake:
	case <-over:
		return context.DeadlineExceeded
	case <-s.ctx.Done():
		return s.cause()
	}
	return nil
}

// cause returns why the stream's context ended.
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

// Send sends a message; it waits for credit if the peer is slow.
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

// SendEncoded is Send for an encoded message, so that many receivers can share the bytes.
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
		if err := s.c.writeChunk(p); err != nil {
			if p.last && errors.Is(err, errFrameMaybeComplete) { // the peer may have the complete message
				return err
			}
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return nil
}

// waitCredit waits until n bytes may be sent, and uses them.
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

// Close ends the stream on this side, and cancels it at the peer unless the peer has ended it.
func (s *Stream) Close() {
	s.mu.Lock()
	over := s.fin
	s.mu.Unlock()
	s.c.drop(s)
	s.end(context.Canceled)
	if !over {
		s.c.write(&wire.Frame{Kind: wire.Frame_CANCEL, Stream: s.id})
	}
}

// PeerError is an error of the peer's handler.
type PeerError struct{ Text string }

func (e *PeerError) Error() string { return "the peer says: " + e.Text }

// IsPeerError reports whether an error came from the peer's handler.
func IsPeerError(err error) bool {
	var p *PeerError
	return errors.As(err, &p)
}

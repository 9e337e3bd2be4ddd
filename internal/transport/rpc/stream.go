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

// Stream is an exchange of messages on a connection. One goroutine may send
// while another receives. It is the context of its handler as well: most streams
// are over before anybody asks for more than that, and contexts of the library's
// making cost a call a third of its allocations.
type Stream struct {
	c      *conn
	id     uint32
	ctx    context.Context    // of the caller; the stream itself where it came from the peer
	cancel context.CancelFunc // the caller's; nil: there is nothing to cancel
	meter  *meter             // of the method

	// The stream ends by then; zero: by its context alone. A peer that gives up sooner says so.
	deadline time.Time

	mu       sync.Mutex
	wake     chan struct{} // has room for one: something changed; made where someone waits for it
	credit   int           // bytes that may still be sent
	partial     []byte        // of the message in the making
	messages [][]byte
	firstMessage      [1][]byte // room for messages: most streams have but one
	fin      bool
	err      error

	creditWake chan struct{} // as wake, for credit; made where someone waits for it
	onFrame    func()        // called with each frame of a message that comes

	endErr  error         // why the stream has ended as a context
	done  chan struct{} // closed then; made where someone asks for it
	onEnd func()        // called then
}

// newStream returns a stream of a caller's context; nil: it came from the peer.
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

// Deadline is when the peer's patience ends.
func (s *Stream) Deadline() (time.Time, bool) { return s.deadline, !s.deadline.IsZero() }

// Done is closed once the peer has called the stream off, the connection has
// ended, or the handler has returned.
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

// Err tells why Done is closed.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil && !errors.Is(s.endErr, context.DeadlineExceeded) {
		return context.Canceled
	}
	return s.endErr
}

// callerKey finds a handler's stream in contexts made of its own.
type callerKey struct{}

// Value knows of the stream alone; see Caller.
func (s *Stream) Value(key any) any {
	if key == (callerKey{}) {
		return s
	}
	return nil
}

// OnEnd has a function called when Done is closed, if it is before Clear; one at a
// time, which must not wait.
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

// OnFrame has a function called with each frame of a message that comes, also while the message is not yet whole: a large
// one on a slow link is a sign of life long before its end. The function must not wait.
func (s *Stream) OnFrame(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFrame = f
}

// ClearOnEnd takes OnEnd's function back. It reports false where that has been called.
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

// signal wakes whoever waits; a nil channel is one that nobody waits for.
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

// end closes the stream with an error; nil is a peer that has no more to say.
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

// receiveData books a frame of data that came.
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
	if !f.Last && !f.Fin && len(f.Data) > 0 { // the rest may come; the whole waits for its reader
		return s.c.write(&wire.Frame{Kind: wire.Frame_CREDIT, Stream: s.id, Credit: uint32(len(f.Data))})
	}
	return nil
}

// Recv waits for the next message. It returns io.EOF once the peer has sent its
// last.
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

// cause tells why the stream's context ended.
func (s *Stream) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	return context.Cause(s.ctx)
}

// encodeBuffers has room for messages in the making.
var encodeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Send sends a message, waiting for credit where the peer is slow.
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

// SendEncoded is Send for a message that was encoded before, so that many receivers can share the bytes.
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
			if p.last && errors.Is(err, errFrameMaybeComplete) { // nothing is missing at the peer
				return err
			}
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return nil
}

// waitCredit waits until n bytes may be sent.
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

// Close ends the stream from this side; the peer learns of it unless it has
// ended by itself.
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

// PeerError is what the other side says went wrong.
type PeerError struct{ Text string }

func (e *PeerError) Error() string { return "the peer says: " + e.Text }

// IsPeerError reports whether an error is the peer's own word, rather than the lack of one.
func IsPeerError(err error) bool {
	var p *PeerError
	return errors.As(err, &p)
}

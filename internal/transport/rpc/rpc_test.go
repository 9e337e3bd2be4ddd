package rpc

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

const largeChunks = 20 // of a message that takes many frames

func serve(t testing.TB) (addr string, pool *Pool, hold chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hold = make(chan struct{})
	s := NewServer(ServerOptions{Log: slog.New(slog.DiscardHandler)})
	s.Handle("echo", Unary(func(_ context.Context, q *wire.ForwardRequest) (*wire.ForwardResponse, error) {
		return &wire.ForwardResponse{Body: q.Body}, nil
	}))
	s.Handle("hang", Unary(func(ctx context.Context, _ *wire.Empty) (*wire.Empty, error) {
		<-ctx.Done()
		close(hold)
		return nil, ctx.Err()
	}))
	s.Handle("flood", func(st *Stream) error { // more than the credit, to one that does not read
		if err := st.Recv(new(wire.Empty)); err != nil {
			return err
		}
		for {
			if err := st.Send(&wire.ForwardResponse{Body: make([]byte, 16<<10)}); err != nil {
				return err
			}
		}
	})
	s.Handle("large after ask", func(st *Stream) error {
		for range 2 {
			if err := st.Recv(new(wire.Empty)); err != nil {
				return err
			}
		}
		return st.Send(&wire.ForwardResponse{Body: make([]byte, largeChunks*maxChunk)})
	})
	ended := make(chan struct{})
	go func() { defer close(ended); s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-ended })
	return l.Addr().String(), NewPool(ctx, PoolOptions{}), hold
}

// TestTraffic: both sides of a call are in this process, so that each message is counted twice.
func TestTraffic(t *testing.T) {
	addr, pool, _ := serve(t)
	dials := 0
	pool.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		return dialTCP(ctx, address)
	}
	before := ReadTraffic()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := pool.Call(ctx, addr, "echo", &wire.ForwardRequest{Body: make([]byte, 3*window)}, new(wire.ForwardResponse)); err != nil {
		t.Fatal(err)
	}
	if err := pool.Call(ctx, addr, "nothing", &wire.Empty{}, new(wire.Empty)); !IsPeerError(err) {
		t.Errorf("a method that nobody has: %v", err)
	}
	after := ReadTraffic()
	echo, was := after.Methods["echo"], before.Methods["echo"]
	if echo.MessagesSent-was.MessagesSent != 2 || echo.MessagesReceived-was.MessagesReceived != 2 {
		t.Errorf("a call and its answer are %+v, after %+v", echo, was)
	}
	for name, bytes := range map[string]uint64{"out": echo.BytesSent - was.BytesSent, "in": echo.BytesReceived - was.BytesReceived} {
		if bytes < 6*window || bytes > 6*window+1000 {
			t.Errorf("%d bytes %s, of a message of %d each way", bytes, name, 3*window)
		}
	}
	if whole := after.BytesReceived - before.BytesReceived; whole < 6*window || whole > 7*window || after.FramesReceived == before.FramesReceived {
		t.Errorf("%d bytes on the connection", whole)
	}
	if after.Methods[unknownMethod].MessagesReceived == before.Methods[unknownMethod].MessagesReceived || dials != 1 {
		t.Errorf("a method that nobody has is not counted as such; %d dials", dials)
	}
}

func TestCalls(t *testing.T) {
	addr, pool, hold := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, size := range []int{0, 1, maxChunk, 3 * window} {
		out := new(wire.ForwardResponse)
		if err := pool.Call(ctx, addr, "echo", &wire.ForwardRequest{Body: make([]byte, size)}, out); err != nil || len(out.Body) != size {
			t.Errorf("%d bytes: %d came back, %v", size, len(out.Body), err)
		}
	}
	if err := pool.Call(ctx, addr, "nothing", &wire.Empty{}, new(wire.Empty)); !IsPeerError(err) {
		t.Errorf("an unknown method: %v", err)
	}
	short, stop := context.WithCancel(ctx)
	go func() {
		s, err := pool.Open(short, addr, "hang", &wire.Empty{})
		if err == nil {
			stop()
			s.Recv(new(wire.Empty))
			s.Close()
		}
	}()
	select {
	case <-hold: // the other side hears that nobody waits
	case <-ctx.Done():
		t.Error("a call that was called off runs on")
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	if err := pool.Call(ctx, free.Addr().String(), "echo", &wire.ForwardRequest{}, new(wire.ForwardResponse)); !errors.Is(err, ErrNotSent) {
		t.Errorf("nobody there: %v, want ErrUnsent", err)
	}
}

// TestSlowReaderBlocksOnlyItsStream leaves a flood unread beside calls on the
// same connection.
func TestSlowReaderBlocksOnlyItsStream(t *testing.T) {
	addr, pool, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	flood, err := pool.Open(ctx, addr, "flood", &wire.Empty{})
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	for range 200 {
		if err := pool.Call(ctx, addr, "echo", &wire.ForwardRequest{Body: []byte("x")}, new(wire.ForwardResponse)); err != nil {
			t.Fatal(err)
		}
	}
	flood.mu.Lock()
	held := 0
	for _, m := range flood.messages {
		held += len(m)
	}
	flood.mu.Unlock()
	if held > window {
		t.Errorf("%d unread bytes are held, over the window of %d", held, window)
	}
}

// TestMalformedPeers must cost nothing but their connection.
func TestMalformedPeers(t *testing.T) {
	addr, pool, _ := serve(t)
	for name, bytes := range map[string][]byte{
		"HTTP":            []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"absurd length":   binary.BigEndian.AppendUint32(nil, 1<<31),
		"a frame of junk": append(binary.BigEndian.AppendUint32(nil, 8), "\xff\xff\xff\xff\xff\xff\xff\xff"...),
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.Write(bytes)
		nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadAll(nc); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection stays: %v", name, err)
		}
		nc.Close()
	}
	torn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	torn.Write([]byte{0, 0, 0, 9, 1})
	torn.Close()
	if err := pool.Call(context.Background(), addr, "echo", &wire.ForwardRequest{}, new(wire.ForwardResponse)); err != nil {
		t.Errorf("after all that: %v", err)
	}
}

// TestPing: a peer that is cut off is given up in time whether or not there is work, and idle ones are asked seldom.
func TestPing(t *testing.T) {
	for _, c := range []struct {
		busy        bool
		before      time.Duration // since the last sign of life, when the peer is cut off
		pings       int           // at most, in ten seconds of a peer that answers at once
		least, most time.Duration // from the cut to the end
	}{{true, 0, 17, time.Second, 2500 * time.Millisecond}, {false, 0, 1, 9 * time.Second, 11 * time.Second}, {false, 8900 * time.Millisecond, 1, time.Second, 2500 * time.Millisecond}} {
		pings, heard := 0, time.Duration(0)
		for now := pingInterval; now < 10*time.Second; now += pingInterval {
			ping, dead := pingDecision(c.busy, now-heard, 0)
			if dead {
				t.Fatalf("%+v: a peer that answers is given up", c)
			}
			if ping {
				pings, heard = pings+1, now
			}
		}
		if pings == 0 || pings > c.pings {
			t.Errorf("%+v: %d pings in ten seconds", c, pings)
		}
		asked, end := time.Duration(-1), time.Duration(0)
		for now := pingInterval; end == 0 && now < time.Minute; now += pingInterval {
			open := time.Duration(0)
			if asked >= 0 {
				open = now - asked
			}
			switch ping, dead := pingDecision(c.busy, c.before+now, open); {
			case dead:
				end = now
			case ping && asked < 0:
				asked = now
			}
		}
		if end < c.least || end > c.most {
			t.Errorf("%+v: given up after %v", c, end)
		}
	}
}

// TestFramesCountAsContact: each frame of a message is told of, before the message is whole.
func TestFramesCountAsContact(t *testing.T) {
	addr, pool, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := pool.Open(ctx, addr, "large after ask", &wire.Empty{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	frames := make(chan struct{}, 2*largeChunks)
	s.OnFrame(func() { frames <- struct{}{} })
	if err := s.Send(&wire.Empty{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Recv(new(wire.ForwardResponse)); err != nil {
		t.Fatal(err)
	}
	if n := len(frames); n < largeChunks {
		t.Errorf("%d frames were told of, with a message of %d chunks", n, largeChunks)
	}
}

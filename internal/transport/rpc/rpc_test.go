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

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const largeChunks = 20 // number of chunks of a large message

// serve starts a server with test methods. The channel is closed when the handler of "hang" is cancelled.
func serve(t testing.TB) (addr string, pool *Pool, cancelled chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cancelled = make(chan struct{})
	s := NewServer(ServerOptions{Log: slog.New(slog.DiscardHandler)})
	s.Handle("echo", Unary(func(_ context.Context, q *wire.ForwardRequest) (*wire.ForwardResponse, error) {
		return &wire.ForwardResponse{Body: q.Body}, nil
	}))
	s.Handle("hang", Unary(func(ctx context.Context, _ *wire.Empty) (*wire.Empty, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	}))
	flood := func(request proto.Message) Handler { // sends more than the credit to a client that does not read
		return func(st *Stream) error {
			if err := st.Recv(proto.Clone(request)); err != nil {
				return err
			}
			for {
				if err := st.Send(&wire.ForwardResponse{Body: make([]byte, 16<<10)}); err != nil {
					return err
				}
			}
		}
	}
	s.Handle("flood", flood(new(wire.Empty)))
	s.Handle("flood elements", flood(new(wire.ForwardRequest)))
	s.Handle("large after request", func(st *Stream) error {
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
	return l.Addr().String(), NewPool(ctx, PoolOptions{}), cancelled
}

// TestTraffic checks the traffic counters. Client and server share the process, so each message is counted as sent and as
// received.
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
		t.Errorf("unknown method: %v, want a PeerError", err)
	}
	after := ReadTraffic()
	echo, echoBefore := after.Methods["echo"], before.Methods["echo"]
	if echo.MessagesSent-echoBefore.MessagesSent != 2 || echo.MessagesReceived-echoBefore.MessagesReceived != 2 {
		t.Errorf("after a call the counters of the method are %+v, before %+v; want two messages in each direction", echo, echoBefore)
	}
	for name, bytes := range map[string]uint64{"out": echo.BytesSent - echoBefore.BytesSent, "in": echo.BytesReceived - echoBefore.BytesReceived} {
		if bytes < 6*window || bytes > 6*window+1000 {
			t.Errorf("%d message bytes %s, want about twice %d", bytes, name, 3*window)
		}
	}
	if connBytes := after.BytesReceived - before.BytesReceived; connBytes < 6*window || connBytes > 7*window || after.FramesReceived == before.FramesReceived {
		t.Errorf("%d bytes received on the connection, or no frame was counted", connBytes)
	}
	if after.Methods[unknownMethod].MessagesReceived == before.Methods[unknownMethod].MessagesReceived || dials != 1 {
		t.Errorf("an unknown method was not counted, or the pool dialed %d times instead of once", dials)
	}
}

func TestCalls(t *testing.T) {
	addr, pool, cancelled := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, size := range []int{0, 1, maxChunk, 3 * window} {
		response := new(wire.ForwardResponse)
		if err := pool.Call(ctx, addr, "echo", &wire.ForwardRequest{Body: make([]byte, size)}, response); err != nil || len(response.Body) != size {
			t.Errorf("echo of %d bytes returned %d, %v", size, len(response.Body), err)
		}
	}
	if err := pool.Call(ctx, addr, "nothing", &wire.Empty{}, new(wire.Empty)); !IsPeerError(err) {
		t.Errorf("unknown method: %v, want a PeerError", err)
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
	case <-cancelled: // the handler is cancelled with the call
	case <-ctx.Done():
		t.Error("the handler of a cancelled call was not cancelled")
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused.Close()
	if err := pool.Call(ctx, unused.Addr().String(), "echo", &wire.ForwardRequest{}, new(wire.ForwardResponse)); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: %v, want ErrNotSent", err)
	}
}

// TestSlowReaderBlocksOnlyItsStream checks that a stream that is not read does not block calls on the same connection.
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
	unread := 0
	for _, m := range flood.messages {
		unread += len(m)
	}
	flood.mu.Unlock()
	if unread > window {
		t.Errorf("%d unread bytes are buffered, over the window of %d", unread, window)
	}
}

// TestMalformedPeers checks that invalid input closes its connection and leaves the server working.
func TestMalformedPeers(t *testing.T) {
	addr, pool, _ := serve(t)
	for name, bytes := range map[string][]byte{
		"HTTP":           []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"frame too long": binary.BigEndian.AppendUint32(nil, 1<<31),
		"invalid frame":  append(binary.BigEndian.AppendUint32(nil, 8), "\xff\xff\xff\xff\xff\xff\xff\xff"...),
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.Write(bytes)
		nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadAll(nc); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection was not closed: %v", name, err)
		}
		nc.Close()
	}
	truncated, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	truncated.Write([]byte{0, 0, 0, 9, 1})
	truncated.Close()
	if err := pool.Call(context.Background(), addr, "echo", &wire.ForwardRequest{}, new(wire.ForwardResponse)); err != nil {
		t.Errorf("call after the invalid connections: %v", err)
	}
}

// TestPing checks that an unreachable peer is detected in time, with and without open streams, and that idle peers are
// pinged rarely.
func TestPing(t *testing.T) {
	for _, c := range []struct {
		busy               bool
		quiet              time.Duration // time since the last frame when the peer becomes unreachable
		pings              int           // maximum in ten seconds, for a peer that answers at once
		minDelay, maxDelay time.Duration // from the loss of the peer to its detection
	}{{true, 0, 17, time.Second, 2500 * time.Millisecond}, {false, 0, 1, 9 * time.Second, 11 * time.Second}, {false, 8900 * time.Millisecond, 1, time.Second, 2500 * time.Millisecond}} {
		pings, lastReceived := 0, time.Duration(0)
		for now := pingInterval; now < 10*time.Second; now += pingInterval {
			ping, dead := pingDecision(c.busy, now-lastReceived, 0)
			if dead {
				t.Fatalf("%+v: a peer that answers is considered dead", c)
			}
			if ping {
				pings, lastReceived = pings+1, now
			}
		}
		if pings == 0 || pings > c.pings {
			t.Errorf("%+v: %d pings in ten seconds, want at least one and at most the maximum", c, pings)
		}
		pingedAt, deadAt := time.Duration(-1), time.Duration(0)
		for now := pingInterval; deadAt == 0 && now < time.Minute; now += pingInterval {
			pingAge := time.Duration(0)
			if pingedAt >= 0 {
				pingAge = now - pingedAt
			}
			switch ping, dead := pingDecision(c.busy, c.quiet+now, pingAge); {
			case dead:
				deadAt = now
			case ping && pingedAt < 0:
				pingedAt = now
			}
		}
		if deadAt < c.minDelay || deadAt > c.maxDelay {
			t.Errorf("%+v: the peer was considered dead after %v, want a time within the bounds", c, deadAt)
		}
	}
}

// TestOnFrame checks that OnFrame is called for each frame of a message.
func TestOnFrame(t *testing.T) {
	addr, pool, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, err := pool.Open(ctx, addr, "large after request", &wire.Empty{})
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
		t.Errorf("OnFrame was called %d times for a message of %d chunks", n, largeChunks)
	}
}

package rpc

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/pkg/workerpool"
	"ivydeck/internal/transport/wire"
)

// framed puts frames behind each other as they go over a connection.
func framed(t testing.TB, frames ...*wire.Frame) []byte {
	var out []byte
	for _, f := range frames {
		data, err := proto.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(data))), data...)
	}
	return out
}

// FuzzFrames sends a server whatever there may be, torn anywhere: it neither
// panics nor hangs, it holds no bytes of the connection afterwards, and every
// handler that it has begun ends.
func FuzzFrames(f *testing.F) {
	message, err := proto.Marshal(&wire.ProposeRequest{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(framed(f, &wire.Frame{Stream: 1, Method: "echo", Data: message, Last: true}))
	f.Add(framed(f, &wire.Frame{Stream: 1, Method: "echo", Data: []byte("part")}, &wire.Frame{Stream: 1, Kind: wire.Frame_CANCEL}))
	f.Add(framed(f, &wire.Frame{Kind: wire.Frame_PING}, &wire.Frame{Stream: 7, Kind: wire.Frame_CREDIT, Credit: 1 << 30}, &wire.Frame{Stream: 1, Fin: true}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Add([]byte{0, 0, 0, 3, 8})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewServer(ServerOptions{Log: slog.New(slog.DiscardHandler)})
		s.Handle("echo", Unary(func(ctx context.Context, p *wire.ProposeRequest) (*wire.ProposeRequest, error) { return p, nil }))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s.workers = workerpool.New(ctx)
		here, there := net.Pipe()
		before := partialBytes.Load()
		c := newConn(context.Background(), there, s)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.fail(c.read())
			there.Close()
		}()
		go func() { // answers are taken, so that nobody waits for that
			buf := make([]byte, 4096)
			for {
				if _, err := here.Read(buf); err != nil {
					return
				}
			}
		}()
		here.SetWriteDeadline(time.Now().Add(10 * time.Second))
		here.Write(data) // the server may have closed before its end
		here.Close()
		<-ended
		s.running.Wait()
		if after := partialBytes.Load(); after != before {
			t.Errorf("%d bytes are held for a connection that has ended", after-before)
		}
	})
}

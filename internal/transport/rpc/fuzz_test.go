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

// framed encodes frames as they are sent over a connection.
func framed(t testing.TB, frames ...*wire.Frame) []byte {
	var encoded []byte
	for _, f := range frames {
		data, err := proto.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(binary.BigEndian.AppendUint32(encoded, uint32(len(data))), data...)
	}
	return encoded
}

// FuzzFrames checks that a server that receives arbitrary bytes neither panics nor hangs, releases the partial messages of
// the connection, and ends every handler.
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
		client, server := net.Pipe()
		before := partialBytes.Load()
		c := newConn(context.Background(), server, s)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.fail(c.read())
			server.Close()
		}()
		go func() { // reads the responses, so that writes do not block
			buf := make([]byte, 4096)
			for {
				if _, err := client.Read(buf); err != nil {
					return
				}
			}
		}()
		client.SetWriteDeadline(time.Now().Add(10 * time.Second))
		client.Write(data) // fails if the server has closed the connection
		client.Close()
		<-ended
		s.activeHandlers.Wait()
		if after := partialBytes.Load(); after != before {
			t.Errorf("%d bytes of partial messages are counted after the connection ended", after-before)
		}
	})
}

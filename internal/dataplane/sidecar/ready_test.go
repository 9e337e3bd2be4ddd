package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/dataplane/proxy"
)

// TestFullNodeIsNotReady guards against a node that closes all new connections of clients and is ready all the same.
func TestFullNodeIsNotReady(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounds := proxy.Bounds{HeadWait: time.Minute, Idle: time.Minute}
	n := &Node{frontend: &proxy.Listener{Bounds: func() proxy.Bounds { return bounds }, MaxClients: 1, Log: slog.New(slog.DiscardHandler)}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.frontend.Serve(ctx, socket)
	}()
	defer func() { cancel(); <-ended }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for deadline := time.Now().Add(10 * time.Second); !n.frontend.Full(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection was not accepted within 10 s")
		}
	}
	w := httptest.NewRecorder()
	n.ready(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "too many client connections") {
		t.Errorf("status %d, %q; want 503", w.Code, w.Body)
	}
}

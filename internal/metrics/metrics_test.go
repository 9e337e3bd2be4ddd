package metrics

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestPage(t *testing.T) {
	var off *Set
	off.Request("r", 200, false, time.Second) // nothing is booked, and nothing fails
	off.Synced(time.Second)

	s := New(One("ivydeck_term", "Of the core.", func() float64 { return 7 }),
		Gauge{"ivydeck_r", "In aims.", []string{"service"}, func() []Reading { return []Reading{{0.5, []string{"a"}}, {1.5, []string{"b"}}} }})
	s.Request("order", 503, true, 3*time.Millisecond)
	s.Request("order", 200, false, 30*time.Millisecond)
	s.Synced(time.Millisecond)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.serve(ctx, l, slog.New(slog.DiscardHandler)) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	page, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`ivydeck_requests_total{promise="yes",route="order",status="503"} 1`, `ivydeck_request_seconds_count{route="order"} 2`,
		"ivydeck_disk_sync_seconds_count 1", "ivydeck_term 7", `ivydeck_rpc_bytes{direction="out"} 0`, `ivydeck_r{service="b"} 1.5`, "go_goroutines",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("no %s", want)
		}
	}
	cancel()
	<-ended
}

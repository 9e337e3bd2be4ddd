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
	var disabled *Set
	disabled.Request("r", 200, false, time.Second) // a nil set must ignore all calls
	disabled.Synced(time.Second)

	set := New(NewGauge("ivydeck_term", "Of the core.", func() float64 { return 7 }),
		Gauge{"ivydeck_r", "In aims.", []string{"service"}, func() []Reading { return []Reading{{0.5, []string{"a"}}, {1.5, []string{"b"}}} }})
	set.Request("order", 503, true, 3*time.Millisecond)
	set.Request("order", 200, false, 30*time.Millisecond)
	set.Synced(time.Millisecond)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); set.serve(ctx, listener, slog.New(slog.DiscardHandler)) }()
	resp, err := http.Get("http://" + listener.Addr().String() + "/metrics")
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
			t.Errorf("the page lacks %s", want)
		}
	}
	cancel()
	<-stopped
}

package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/pkg/cowmap"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// bed is one node with both sides, and stand-ins for two servers.
type bed struct {
	t        testing.TB
	in       *Inbound
	out      *Outbound
	front    string
	clients  *Listener
	handled  atomic.Int64 // requests whose final answer is known
	mu       sync.Mutex
	arrivals map[string][]string // servers, by Attempt-Id
	headers  map[string]http.Header
}

// app is a server's stand-in: what it does with a request is written in the path.
func (b *bed) app(name string, gate chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		b.mu.Lock()
		b.arrivals[id] = append(b.arrivals[id], name)
		first := len(b.arrivals[id]) == 1
		b.headers[id] = r.Header.Clone()
		b.mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Attempt-Id", id)
		switch do := r.URL.Path; {
		case strings.Contains(do, "wait"):
			<-gate
		case strings.Contains(do, "stuck") && first:
			<-gate
		case strings.Contains(do, "work"): // for long enough to be told
			time.Sleep(2 * time.Millisecond)
		case strings.Contains(do, "full") && first:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(503)
			return
		case strings.Contains(do, "torn") && first:
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "part")
			return
		case strings.Contains(do, "other") && first: // an answer to another request, and behind it what the query says
			nc, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				b.t.Error(err)
				return
			}
			fmt.Fprint(nc, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: old\r\nContent-Length: 0\r\n\r\n")
			if r.URL.RawQuery == "own" {
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\nContent-Length: 3\r\n\r\nown", id)
			}
			nc.Close()
			return
		case strings.Contains(do, "nobody"):
			w.Header().Del("Attempt-Id")
		case strings.Contains(do, "bare"):
			io.WriteString(w, "no seal")
			return
		case strings.Contains(do, "busy"):
			w.WriteHeader(429)
			return
		}
		w.Header().Set("Server-Seal", "seal")
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	})}
	go s.Serve(l)
	b.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func newHarness(t testing.TB, gate chan struct{}) *bed { return newBedFor(t, gate, time.Hour) }

func newBedFor(t testing.TB, gate chan struct{}, drain time.Duration) *bed {
	return newBedOf(t, gate, drain, nil)
}

// newBedOf is newBedFor with an identity for the way between nodes.
func newBedOf(t testing.TB, gate chan struct{}, drain time.Duration, source *identity.Source) *bed {
	b := &bed{t: t, arrivals: map[string][]string{}, headers: map[string]http.Header{}}
	log := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	b.in = NewInbound(drain, time.Second, log)
	nodes, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(rpc.ServerOptions{Log: log, Identity: source})
	server.Handle("forward", rpc.Unary(b.in.Forward))
	b.out = &Outbound{Node: "n", Zone: "z", Backend: "own", Ratio: 1, Window: 10 * time.Second, Pool: rpc.NewPool(ctx, rpc.PoolOptions{Identity: source}), Log: log, Graph: b.in.Graph, CallFailed: b.in.CallFailed}
	b.out.Start(1)
	b.out.SetRetrySlack(1000)
	handle := func(ctx context.Context, c *Call) *Answer {
		defer b.handled.Add(1)
		return b.out.Handle(ctx, c)
	}
	front := &Listener{Handle: handle, Bounds: b.out.Bounds, Log: log}
	b.clients = front
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, nodes) })
	running.Go(func() { front.Serve(ctx, clients) })
	t.Cleanup(func() { cancel(); running.Wait() })
	b.front = clients.Addr().String()

	route := func(prefix, kind string) map[string]any {
		return map[string]any{"name": prefix, "hostname": "h.example", "path_prefix": prefix, "route_type": kind,
			"timeout_ms": 20000, "target_latency_ms": 10000, "priority": 1, "backend": "s", "max_attempts": 2}
	}
	body, err := msgpack.Marshal(map[string]any{"revision": 1, "backend_table": []map[string]any{{"name": "s"}},
		"route_table": []map[string]any{route("/safe/", "idempotent"), route("/once/", "non_idempotent")}})
	if err != nil {
		t.Fatal(err)
	}
	config, err := meshconfig.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	var list cowmap.Map[*wire.Server]
	edit := list.Edit()
	for _, id := range []string{"i-1", "i-2"} {
		b.in.Heartbeat(Heartbeat{ID: id, Service: "s", Address: b.app(id, gate), Zone: "z", Slots: 8}, time.Now())
		edit.Set(id, &wire.Server{Member: id, Service: "s", Address: nodes.Addr().String(), Zone: "z", ProtocolVersion: localserver.ProtocolFields})
	}
	w := &ClusterState{Config: config, Servers: edit.Map()}
	b.out.Update(w)
	return b
}

func (b *bed) ask(method, path, id, body string, more ...string) (int, string, http.Header) {
	b.t.Helper()
	req, err := http.NewRequest(method, "http://"+b.front+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Budget", "15000")
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatalf("%s: %v", path, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatalf("%s: %v", path, err)
	}
	return resp.StatusCode, string(answer), resp.Header
}

func (b *bed) servers(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrivals[id])
}

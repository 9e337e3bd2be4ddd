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

// harness is a node with an Outbound, an Inbound and two servers.
type harness struct {
	t             testing.TB
	inbound       *Inbound
	outbound      *Outbound
	clientAddress string
	listener      *Listener
	handled       atomic.Int64 // requests for which Handle has returned
	mu            sync.Mutex
	arrivals      map[string][]string    // names of the servers that received a request, by Attempt-Id
	headers       map[string]http.Header // headers of the last request that a server received, by Attempt-Id
}

// startServer starts a server whose response depends on the path of the request. Some paths block until gate is closed. It
// returns the address of the server.
func (h *harness) startServer(name string, gate chan struct{}) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		h.mu.Lock()
		h.arrivals[id] = append(h.arrivals[id], name)
		firstAttempt := len(h.arrivals[id]) == 1
		h.headers[id] = r.Header.Clone()
		h.mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Attempt-Id", id)
		switch path := r.URL.Path; {
		case strings.Contains(path, "wait"):
			<-gate
		case strings.Contains(path, "stuck") && firstAttempt:
			<-gate
		case strings.Contains(path, "work"): // takes a measurable time
			time.Sleep(2 * time.Millisecond)
		case strings.Contains(path, "full") && firstAttempt:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(503)
			return
		case strings.Contains(path, "truncated") && firstAttempt:
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "part")
			return
		case strings.Contains(path, "other") && firstAttempt: // a response to another request, followed by the right one if the query is "own"
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				h.t.Error(err)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: old\r\nContent-Length: 0\r\n\r\n")
			if r.URL.RawQuery == "own" {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\nContent-Length: 3\r\n\r\nown", id)
			}
			conn.Close()
			return
		case strings.Contains(path, "no-id"):
			w.Header().Del("Attempt-Id")
		case strings.Contains(path, "unsealed"):
			io.WriteString(w, "no seal")
			return
		case strings.Contains(path, "busy"):
			w.WriteHeader(429)
			return
		}
		w.Header().Set("Server-Seal", "seal")
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	})}
	go server.Serve(ln)
	h.t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

func newHarness(t testing.TB, gate chan struct{}) *harness {
	return newHarnessWithDrain(t, gate, time.Hour)
}

func newHarnessWithDrain(t testing.TB, gate chan struct{}, drain time.Duration) *harness {
	return newHarnessWithIdentity(t, gate, drain, nil)
}

// newHarnessWithIdentity is newHarnessWithDrain with an identity for the connections between nodes.
func newHarnessWithIdentity(t testing.TB, gate chan struct{}, drain time.Duration, source *identity.Source) *harness {
	h := &harness{t: t, arrivals: map[string][]string{}, headers: map[string]http.Header{}}
	log := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	h.inbound = NewInbound(drain, time.Second, log)
	nodeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clientListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(rpc.ServerOptions{Log: log, Identity: source})
	server.Handle("forward", rpc.Unary(h.inbound.Forward))
	h.outbound = &Outbound{Node: "n", Zone: "z", Caller: func() string { return "own" }, RetryRatio: 1, RetryWindow: 10 * time.Second, Pool: rpc.NewPool(ctx, rpc.PoolOptions{Identity: source}), Log: log, RecordCall: h.inbound.RecordCall, CallFailed: h.inbound.CallFailed}
	h.outbound.Start(1)
	h.outbound.SetRetrySlack(1000)
	handle := func(ctx context.Context, call *Call) *Response {
		defer h.handled.Add(1)
		return h.outbound.Handle(ctx, call)
	}
	listener := &Listener{Handle: handle, Bounds: h.outbound.Bounds, Log: log}
	h.listener = listener
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, nodeListener) })
	running.Go(func() { listener.Serve(ctx, clientListener) })
	t.Cleanup(func() { cancel(); running.Wait() })
	h.clientAddress = clientListener.Addr().String()

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
		h.inbound.Heartbeat(Heartbeat{ID: id, Service: "s", Address: h.startServer(id, gate), Zone: "z", Slots: 8}, time.Now())
		edit.Set(id, &wire.Server{Member: id, Service: "s", Address: nodeListener.Addr().String(), Zone: "z", ProtocolVersion: localserver.ProtocolFields})
	}
	cluster := &ClusterState{Config: config, Servers: edit.Map()}
	h.outbound.Update(cluster)
	return h
}

func (h *harness) request(method, path, id, body string, headers ...string) (int, string, http.Header) {
	h.t.Helper()
	req, err := http.NewRequest(method, "http://"+h.clientAddress+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Budget", "15000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		h.t.Fatalf("%s: %v", path, err)
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatalf("%s: %v", path, err)
	}
	return resp.StatusCode, string(responseBody), resp.Header
}

func (h *harness) arrivalCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.arrivals[id])
}

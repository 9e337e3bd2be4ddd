package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/wire"
)

// TestForwardToOlderNode checks requests to a node of the previous version, which encodes header fields as a list. Both
// versions run during an upgrade.
func TestForwardToOlderNode(t *testing.T) {
	h := newHarness(t, nil)
	_, want, wantHeaders := h.request("POST", "/once/x", "new", "payload", "X-A", "1: 2")
	cluster := *h.outbound.cluster()
	edit := cluster.Servers.Edit()
	h.outbound.cluster().Servers.Each(func(id string, server *wire.Server) {
		edit.Set(id, &wire.Server{Member: id, Service: server.Service, Address: server.Address, Zone: server.Zone})
	})
	cluster.Servers = edit.Map()
	h.outbound.Update(&cluster)
	_, got, gotHeaders := h.request("POST", "/once/x", "old", "payload", "X-A", "1: 2")
	if got != want {
		t.Errorf("the body is %q, want %q", got, want)
	}
	for name, values := range map[string][2]http.Header{"at the server": {h.headers["old"], h.headers["new"]}, "at the client": {gotHeaders, wantHeaders}} {
		for _, header := range values {
			for _, varying := range []string{"Attempt-Id", "Date", "Time-Budget", "Target-Instance"} {
				if header.Get(varying) == "" {
					delete(header, varying)
				} else {
					header.Set(varying, "present")
				}
			}
		}
		if !reflect.DeepEqual(values[0], values[1]) {
			t.Errorf("%s: %v, want %v", name, values[0], values[1])
		}
	}
}

func TestRequestOutcomes(t *testing.T) {
	h := newHarness(t, nil)
	for i, test := range []struct {
		method, path, body string
		status, arrivals   int
		responseBody       string
	}{
		{"GET", "/safe/x?a=%41&b", "", 200, 1, "GET /safe/x?a=%41&b "},
		{"POST", "/once/x", "payload", 200, 1, "POST /once/x payload"},
		{"POST", "/once/other?own", "p", 200, 1, "own"}, // the Not-Executed of the preceding response belongs to another request
		{"POST", "/once/other", "p", 502, 1, "the server gave no proper answer\n"},
		{"GET", "/safe/other", "", 200, 2, "GET /safe/other "},
		{"GET", "/none/x", "", 404, 0, "no route\n"},
		{"GET", "/safe/truncated", "", 200, 2, "GET /safe/truncated "},
		{"POST", "/once/full", "p", 200, 2, "POST /once/full p"},                       // not run, so it may be retried
		{"POST", "/once/truncated", "p", 502, 1, "the server gave no proper answer\n"}, // it may have run
		{"POST", "/once/unsealed", "p", 502, 1, "the server gave no proper answer\n"},
		{"POST", "/once/no-id", "p", 502, 1, "the server gave no proper answer\n"},
		{"POST", "/once/busy", "p", 502, 1, "the server failed\n"}, // a 429 would tell the client that the request has not run
	} {
		id := fmt.Sprint("id", i)
		status, responseBody, _ := h.request(test.method, test.path, id, test.body)
		if status != test.status || responseBody != test.responseBody || h.arrivalCount(id) != test.arrivals {
			t.Errorf("%s %s: got %d %q after %d attempts, want %d %q after %d", test.method, test.path, status, responseBody, h.arrivalCount(id), test.status, test.responseBody, test.arrivals)
		}
	}
	h.request("GET", "/safe/h", "idh", "", "Caller-Service", "spoofed", "Target-Instance", "x", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
	h.mu.Lock()
	header := h.headers["idh"]
	h.mu.Unlock()
	if header.Get("Caller-Service") != "own" || !strings.HasPrefix(header.Get("Target-Instance"), "i-") || header.Get("X-Hop") != "" || header.Get("X-Kept") != "2" {
		t.Errorf("the server received the headers %v", header)
	}
}

// TestCallerServiceIsThatOfTheBeginning guards against requests that go on under the name of a service that has left the machine,
// and against one whose attempts have different names.
func TestCallerServiceIsThatOfTheBeginning(t *testing.T) {
	h := newHarness(t, nil)
	var calls atomic.Int64
	h.outbound.Caller = func() string { return fmt.Sprint("service-", calls.Add(1)) }
	for i, path := range []string{"/safe/x", "/safe/full", "/safe/truncated", "/safe/x"} { // two of them take two attempts
		id := fmt.Sprint("caller", i)
		if status, _, _ := h.request("GET", path, id, ""); status != 200 {
			t.Fatalf("%s: status %d", path, status)
		}
		h.mu.Lock()
		caller := h.headers[id].Get("Caller-Service")
		h.mu.Unlock()
		if want := fmt.Sprint("service-", i+1); caller != want {
			t.Errorf("%s: the last attempt has Caller-Service %q, want %q", path, caller, want)
		}
	}
}

// TestCheckResponse checks that a promise that a request has not run is accepted only if it belongs to this request.
func TestCheckResponse(t *testing.T) {
	for _, test := range []struct {
		status      int
		id          string
		notExecuted bool
		used        bool
		want        wire.ForwardResponse_Result
	}{
		{200, "a", false, true, wire.ForwardResponse_ANSWERED},
		{503, "a", true, true, wire.ForwardResponse_NOT_RUN},
		{421, "a", false, true, wire.ForwardResponse_NOT_RUN},
		{503, "b", true, true, wire.ForwardResponse_BROKEN},
		{421, "b", false, false, wire.ForwardResponse_BROKEN},
		{503, "", true, true, wire.ForwardResponse_BROKEN},
		{503, "", true, false, wire.ForwardResponse_NOT_RUN}, // the first request on the connection
		{503, "", false, false, wire.ForwardResponse_BROKEN},
		{200, "", false, false, wire.ForwardResponse_BROKEN},
	} {
		resp := &http1.Response{Status: test.status, Headers: http1.Headers{{Name: "Server-Seal", Value: "s"}}}
		if test.id != "" {
			resp.Headers = append(resp.Headers, http1.Header{Name: "Attempt-Id", Value: test.id})
		}
		if test.notExecuted {
			resp.Headers = append(resp.Headers, http1.Header{Name: "Not-Executed", Value: "1"})
		}
		if response := checkResponse(&wire.ForwardRequest{Attempt: "a"}, resp, nil, test.used); response.Result != test.want {
			t.Errorf("%+v: got result %v", test, response.Result)
		}
	}
}

// TestDrainedServers checks that servers receive no requests after the drain time, and that a request without any
// server is rejected with Retry-After.
func TestDrainedServers(t *testing.T) {
	h := newHarnessWithDrain(t, nil, 0)
	for _, heartbeat := range h.inbound.Servers() {
		heartbeat.Draining, heartbeat.Seq = true, 1
		h.inbound.Heartbeat(heartbeat, time.Now().Add(-time.Second))
		heartbeat.Draining, heartbeat.Seq = false, 2 // draining is final
		h.inbound.Heartbeat(heartbeat, time.Now())
	}
	start := time.Now()
	status, _, header := h.request("POST", "/once/x", "d", "p", "Time-Budget", "300")
	if status != 503 || header.Get("Retry-After") == "" || h.arrivalCount("d") != 0 {
		t.Errorf("got status %d, headers %v after %d attempts in %v, want 503 with Retry-After and no attempt", status, header, h.arrivalCount("d"), time.Since(start))
	}
	if h.inbound.Deregister("i-1"); h.inbound.Heartbeat(Heartbeat{ID: "i-1", Seq: 9}, time.Now()) {
		t.Error("a heartbeat of an incarnation that has ended was accepted")
	}
}

// TestAdopt checks that a restarted node serves a registered server at once, until another incarnation sends a heartbeat from
// its address.
func TestAdopt(t *testing.T) {
	inbound := NewInbound(time.Hour, time.Second, slog.New(slog.DiscardHandler))
	inbound.Adopt(Heartbeat{ID: "i-1", Service: "s", Address: "a", Slots: 4}, time.Now())
	inbound.Adopt(Heartbeat{ID: "i-0", Service: "s", Address: "a", Slots: 4}, time.Now())
	if got := inbound.Servers(); len(got) != 1 || got[0].ID != "i-1" {
		t.Fatalf("got servers %v after Adopt, want i-1", got)
	}
	inbound.Heartbeat(Heartbeat{ID: "i-2", Service: "s", Address: "a", Slots: 4, Seq: 1}, time.Now())
	if got := inbound.Servers(); len(got) != 1 || got[0].ID != "i-2" {
		t.Errorf("got servers %v after a heartbeat of i-2, want i-2", got)
	}
}

// TestPipelining checks that pipelined requests run concurrently while the first is blocked, and that the responses are in
// order.
func TestPipelining(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	conn, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i, path := range []string{"/safe/wait", "/safe/1", "/safe/2"} {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: p%d\r\nTime-Budget: 15000\r\n\r\n", path, i)
	}
	for h.arrivalCount("p1") == 0 || h.arrivalCount("p2") == 0 {
		time.Sleep(time.Millisecond) // until both have run, while the first is blocked
	}
	close(gate)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"GET /safe/wait ", "GET /safe/1 ", "GET /safe/2 "} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != want {
			t.Errorf("got body %q, want %q", body, want)
		}
	}
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("malformed request: got %v, error %v, want status 400 and a closed connection", resp, err)
	}
}

// TestStop checks that after Stop, requests that were read are answered and no more are read.
func TestStop(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", h.clientAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	const requestFormat = "GET /safe/%s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n"
	idle, idleReader := dial()
	fmt.Fprintf(idle, requestFormat, "x", "i")
	if resp, err := http.ReadResponse(idleReader, nil); err != nil || resp.Close {
		t.Fatalf("first request: got %v, error %v", resp, err)
	} else if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	busy, busyReader := dial()
	fmt.Fprintf(busy, requestFormat, "wait", "w")
	for h.arrivalCount("w") == 0 {
		time.Sleep(time.Millisecond)
	}
	h.listener.Stop()
	if _, err := idleReader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("an idle connection was not closed: %v", err)
	}
	close(gate)
	resp, err := http.ReadResponse(busyReader, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("pending request: got %v, error %v, want status 200 and a closed connection", resp, err)
	}
	late, lateReader := dial()
	fmt.Fprintf(late, requestFormat, "x", "late")
	if _, err := lateReader.ReadByte(); err == nil || h.arrivalCount("late") != 0 {
		t.Errorf("a request was accepted after Stop: %v", err)
	}
}

// TestCancelRequests checks that a completed request is answered although an earlier one on the connection hangs.
func TestCancelRequests(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	defer close(gate)
	conn, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	sendRequest := func(path, id string) {
		fmt.Fprintf(conn, "GET /safe/%s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n", path, id)
	}
	sendRequest("wait", "hanging")
	sendRequest("x", "completed")
	for h.arrivalCount("hanging") == 0 || h.handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.listener.Stop()
	h.listener.CancelRequests()
	reader := bufio.NewReader(conn)
	for i, want := range []int{504, 200} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("response %d: got %v, error %v, want status %d", i, resp, err, want)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close != (i == 1) {
			t.Errorf("response %d closes the connection: %v", i, resp.Close)
		}
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("got %q after the last response", rest)
	}
}

// TestHedging checks that an idempotent request is sent to a second server if the first is slow, and that the slow run is not
// cancelled.
func TestHedging(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	h.request("GET", "/safe/work", "typical", "") // sets the typical latency
	status, responseBody, _ := h.request("GET", "/safe/stuck", "slow", "")
	if status != 200 || responseBody != "GET /safe/stuck " || h.arrivalCount("slow") != 2 {
		t.Errorf("got %d %q after %d attempts, want 200 after 2", status, responseBody, h.arrivalCount("slow"))
	}
	if h.inbound.Busy() != 1 {
		t.Errorf("%d runs in flight, want only the slow one", h.inbound.Busy())
	}
	close(gate)
	h.outbound.Wait()
	if h.inbound.Busy() != 0 {
		t.Error("the slow run is still in flight")
	}
}

// TestHeartbeatsDuringRequests provokes data races between heartbeats and requests that open connections to the server.
func TestHeartbeatsDuringRequests(t *testing.T) {
	h := newHarness(t, nil)
	server := h.inbound.Servers()[0]
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				server.Seq++
				h.inbound.Heartbeat(server, time.Now())
			}
		}
	}()
	for i := range 10 {
		if status, _, _ := h.request("GET", "/safe/truncated", fmt.Sprint("concurrent", i), ""); status != 200 { // truncated responses close connections
			t.Errorf("got status %d, want 200", status)
		}
	}
	close(stop)
	<-stopped
}

// TestClientDisconnect checks that the attempts for a client that has disconnected are cancelled, including a hedged one.
func TestClientDisconnect(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	defer close(gate)
	h.request("GET", "/safe/work", "typical", "")
	for i, path := range []string{"/safe/wait", "/once/wait"} {
		id := fmt.Sprint("disconnected", i)
		conn, err := net.Dial("tcp", h.clientAddress)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n", path, id)
		for h.arrivalCount(id) < 2-i {
			time.Sleep(time.Millisecond)
		}
		conn.Close()
		for h.inbound.Busy() > 0 { // a run that is not cancelled blocks here until its deadline
			time.Sleep(time.Millisecond)
		}
	}
	h.outbound.Wait()
}

// TestInnerCalls checks that RecordCall identifies calls by the Attempt-Id of a run in flight.
func TestInnerCalls(t *testing.T) {
	gate := make(chan struct{})
	h := newHarness(t, gate)
	done := make(chan struct{})
	go func() { defer close(done); h.request("GET", "/safe/wait", "graph1", "") }()
	for h.arrivalCount("graph1") == 0 {
		time.Sleep(time.Millisecond)
	}
	for id, want := range map[string]bool{"graph1.abc": true, "graph1-x.y": true, "graph1": false, "graph1abc": false, "graph2.abc": false, ".": false} {
		if inner, _ := h.inbound.RecordCall(id, "s"); inner != want {
			t.Errorf("%s: got inner %v", id, inner)
		}
	}
	close(gate)
	<-done
	if inner, _ := h.inbound.RecordCall("graph1.abc", "s"); inner {
		t.Error("a call of a run that has ended is reported as an inner call")
	}
}

// BenchmarkRequest measures a request through the mesh, with and without TLS, and directly to the server for comparison.
func BenchmarkRequest(b *testing.B) {
	plain := newHarness(b, nil)
	ca, err := identity.NewAuthority(b.TempDir(), 2*time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	files, err := ca.Issue(identity.Name{Role: identity.Node, Name: "n"}, time.Hour, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	source, err := identity.Open(files, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	secured := newHarnessWithIdentity(b, nil, time.Hour, source)
	for name, address := range map[string]string{"mesh": plain.clientAddress, "secured": secured.clientAddress, "direct": plain.startServer("direct", nil)} {
		b.Run(name, func(b *testing.B) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			message := []byte("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: p\r\nTime-Budget: 15000\r\n\r\n")
			b.ReportAllocs()
			for b.Loop() {
				conn.Write(message)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

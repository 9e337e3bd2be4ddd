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
	"testing"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/wire"
)

// TestAnOlderNodeGetsWhatItUnderstands: while the mesh is renewed, half of the nodes are of the version before. They
// read fields one by one, and answer so.
func TestAnOlderNodeGetsWhatItUnderstands(t *testing.T) {
	b := newHarness(t, nil)
	_, want, wantHeaders := b.ask("POST", "/once/x", "new", "payload", "X-A", "1: 2")
	w := *b.out.cluster()
	edit := w.Servers.Edit()
	b.out.cluster().Servers.Each(func(id string, s *wire.Server) {
		edit.Set(id, &wire.Server{Member: id, Service: s.Service, Address: s.Address, Zone: s.Zone})
	})
	w.Servers = edit.Map()
	b.out.Update(&w)
	_, got, gotHeaders := b.ask("POST", "/once/x", "old", "payload", "X-A", "1: 2")
	if got != want {
		t.Errorf("the body is %q, want %q", got, want)
	}
	for name, values := range map[string][2]http.Header{"at the server": {b.headers["old"], b.headers["new"]}, "at the client": {gotHeaders, wantHeaders}} {
		for _, h := range values {
			for _, own := range []string{"Attempt-Id", "Date", "Time-Budget", "Target-Instance"} {
				if h.Get(own) == "" {
					delete(h, own)
				} else {
					h.Set(own, "there")
				}
			}
		}
		if !reflect.DeepEqual(values[0], values[1]) {
			t.Errorf("%s: %v, want %v", name, values[0], values[1])
		}
	}
}

func TestWhatBecomesOfRequests(t *testing.T) {
	b := newHarness(t, nil)
	for i, c := range []struct {
		method, path, body string
		status, arrivals   int
		answer             string
	}{
		{"GET", "/safe/x?a=%41&b", "", 200, 1, "GET /safe/x?a=%41&b "},
		{"POST", "/once/x", "payload", 200, 1, "POST /once/x payload"},
		{"POST", "/once/other?own", "p", 200, 1, "own"}, // the surplus answer's promise is not this request's
		{"POST", "/once/other", "p", 502, 1, "the server gave no proper answer\n"},
		{"GET", "/safe/other", "", 200, 2, "GET /safe/other "},
		{"GET", "/none/x", "", 404, 0, "no route\n"},
		{"GET", "/safe/torn", "", 200, 2, "GET /safe/torn "},
		{"POST", "/once/full", "p", 200, 2, "POST /once/full p"},                  // not run, so another may have it
		{"POST", "/once/torn", "p", 502, 1, "the server gave no proper answer\n"}, // it may have run
		{"POST", "/once/bare", "p", 502, 1, "the server gave no proper answer\n"},
		{"POST", "/once/nobody", "p", 502, 1, "the server gave no proper answer\n"},
		{"POST", "/once/busy", "p", 502, 1, "the server failed\n"}, // 429 would be a promise that nobody made
	} {
		id := fmt.Sprint("id", i)
		status, answer, _ := b.ask(c.method, c.path, id, c.body)
		if status != c.status || answer != c.answer || b.servers(id) != c.arrivals {
			t.Errorf("%s %s: %d %q after %d servers, want %d %q after %d", c.method, c.path, status, answer, b.servers(id), c.status, c.answer, c.arrivals)
		}
	}
	b.ask("GET", "/safe/h", "idh", "", "Caller-Service", "liar", "Target-Instance", "x", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
	b.mu.Lock()
	h := b.headers["idh"]
	b.mu.Unlock()
	if h.Get("Caller-Service") != "own" || !strings.HasPrefix(h.Get("Target-Instance"), "i-") || h.Get("X-Hop") != "" || h.Get("X-Kept") != "2" {
		t.Errorf("the server got %v", h)
	}
}

// TestJudge: the promise that a request has not run counts only where it is this request's.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		status  int
		id      string
		promise bool
		used    bool
		want    wire.ForwardResponse_Result
	}{
		{200, "a", false, true, wire.ForwardResponse_ANSWERED},
		{503, "a", true, true, wire.ForwardResponse_NOT_RUN},
		{421, "a", false, true, wire.ForwardResponse_NOT_RUN},
		{503, "b", true, true, wire.ForwardResponse_BROKEN},
		{421, "b", false, false, wire.ForwardResponse_BROKEN},
		{503, "", true, true, wire.ForwardResponse_BROKEN},
		{503, "", true, false, wire.ForwardResponse_NOT_RUN}, // nobody else has used the connection
		{503, "", false, false, wire.ForwardResponse_BROKEN},
		{200, "", false, false, wire.ForwardResponse_BROKEN},
	} {
		resp := &http1.Response{Status: c.status, Headers: http1.Headers{{Name: "Server-Seal", Value: "s"}}}
		if c.id != "" {
			resp.Headers = append(resp.Headers, http1.Header{Name: "Attempt-Id", Value: c.id})
		}
		if c.promise {
			resp.Headers = append(resp.Headers, http1.Header{Name: "Not-Executed", Value: "1"})
		}
		if out := checkResponse(&wire.ForwardRequest{Attempt: "a"}, resp, nil, c.used); out.Result != c.want {
			t.Errorf("%+v: %v", c, out.Result)
		}
	}
}

// TestDrainedServersGetNothing: after the bound nothing passes, and where no server
// is left the refusal says when to come back.
func TestDrainedServersGetNothing(t *testing.T) {
	b := newBedFor(t, nil, 0)
	for _, heartbeat := range b.in.Servers() {
		heartbeat.Draining, heartbeat.Seq = true, 1
		b.in.Heartbeat(heartbeat, time.Now().Add(-time.Second))
		heartbeat.Draining, heartbeat.Seq = false, 2 // it never comes back from that
		b.in.Heartbeat(heartbeat, time.Now())
	}
	req := time.Now()
	status, _, h := b.ask("POST", "/once/x", "d", "p", "Time-Budget", "300")
	if status != 503 || h.Get("Retry-After") == "" || b.servers("d") != 0 {
		t.Errorf("%d %v after %d servers in %v", status, h, b.servers("d"), time.Since(req))
	}
	if b.in.Deregister("i-1"); b.in.Heartbeat(Heartbeat{ID: "i-1", Seq: 9}, time.Now()) {
		t.Error("a life that has ended was taken back")
	}
}

// TestAdopt: a process that starts anew serves the listed server at once, until
// another incarnation speaks from its address.
func TestAdopt(t *testing.T) {
	in := NewInbound(time.Hour, time.Second, slog.New(slog.DiscardHandler))
	in.Adopt(Heartbeat{ID: "i-1", Service: "s", Address: "a", Slots: 4}, time.Now())
	in.Adopt(Heartbeat{ID: "i-0", Service: "s", Address: "a", Slots: 4}, time.Now())
	if got := in.Servers(); len(got) != 1 || got[0].ID != "i-1" {
		t.Fatalf("%v", got)
	}
	in.Heartbeat(Heartbeat{ID: "i-2", Service: "s", Address: "a", Slots: 4, Seq: 1}, time.Now())
	if got := in.Servers(); len(got) != 1 || got[0].ID != "i-2" {
		t.Errorf("%v", got)
	}
}

// TestPipelining sends requests behind each other of which the first is held up:
// the others run meanwhile, and the answers keep their order.
func TestPipelining(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	nc, err := net.Dial("tcp", b.front)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for i, path := range []string{"/safe/wait", "/safe/1", "/safe/2"} {
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: p%d\r\nTime-Budget: 15000\r\n\r\n", path, i)
	}
	for b.servers("p1") == 0 || b.servers("p2") == 0 {
		time.Sleep(time.Millisecond) // until they have run, the first being held
	}
	close(gate)
	r := bufio.NewReader(nc)
	for _, want := range []string{"GET /safe/wait ", "GET /safe/1 ", "GET /safe/2 "} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != want {
			t.Errorf("%q, want %q", body, want)
		}
	}
	fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("%v, %v", resp, err)
	}
}

// TestStop: a node that ends answers what it has read, and reads nothing more.
func TestStop(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	dial := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", b.front)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		return nc, bufio.NewReader(nc)
	}
	const ask = "GET /safe/%s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n"
	idle, idleReader := dial()
	fmt.Fprintf(idle, ask, "x", "i")
	if resp, err := http.ReadResponse(idleReader, nil); err != nil || resp.Close {
		t.Fatalf("%v, %v", resp, err)
	} else if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	busy, busyReader := dial()
	fmt.Fprintf(busy, ask, "wait", "w")
	for b.servers("w") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.clients.Stop()
	if _, err := idleReader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("an idle connection stays: %v", err)
	}
	close(gate)
	resp, err := http.ReadResponse(busyReader, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("what was read got %v, %v", resp, err)
	}
	late, lateReader := dial()
	fmt.Fprintf(late, ask, "x", "late")
	if _, err := lateReader.ReadByte(); err == nil || b.servers("late") != 0 {
		t.Errorf("a request was taken after the end: %v", err)
	}
}

// TestCut: at its last moment a node answers what has run behind one that hangs.
func TestCut(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	defer close(gate)
	nc, err := net.Dial("tcp", b.front)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	ask := func(path, id string) {
		fmt.Fprintf(nc, "GET /safe/%s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n", path, id)
	}
	ask("wait", "hangs")
	ask("x", "through")
	for b.servers("hangs") == 0 || b.handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.clients.Stop()
	b.clients.CloseAll()
	r := bufio.NewReader(nc)
	for i, want := range []int{504, 200} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("answer %d: %v, %v, want %d", i, resp, err, want)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close != (i == 1) {
			t.Errorf("answer %d closes: %v", i, resp.Close)
		}
	}
	if rest, _ := io.ReadAll(r); len(rest) > 0 {
		t.Errorf("behind the last answer came %q", rest)
	}
}

// TestASecondServerIsAsked: a request that may run again does not wait for a run that takes far longer than its like,
// and the slow run goes on to its end.
func TestASecondServerIsAsked(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	b.ask("GET", "/safe/work", "like", "") // now its usual time is known
	status, answer, _ := b.ask("GET", "/safe/stuck", "slow", "")
	if status != 200 || answer != "GET /safe/stuck " || b.servers("slow") != 2 {
		t.Errorf("%d %q after %d servers", status, answer, b.servers("slow"))
	}
	if b.in.Busy() != 1 {
		t.Errorf("%d runs go on, want the slow one", b.in.Busy())
	}
	close(gate)
	b.out.Wait()
	if b.in.Busy() != 0 {
		t.Error("the slow run has no end")
	}
}

// TestBeatsBesideRequests is for the race detector: a server speaks while requests make new connections to it.
func TestBeatsBesideRequests(t *testing.T) {
	b := newHarness(t, nil)
	server := b.in.Servers()[0]
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				server.Seq++
				b.in.Heartbeat(server, time.Now())
			}
		}
	}()
	for i := range 10 {
		if status, _, _ := b.ask("GET", "/safe/torn", fmt.Sprint("beside", i), ""); status != 200 { // each closes a connection
			t.Errorf("%d", status)
		}
	}
	close(stop)
	<-stopped
}

// TestAClientLeaves: what runs for a client that has left is called off, also where a second server was asked.
func TestAClientLeaves(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	defer close(gate)
	b.ask("GET", "/safe/work", "like", "")
	for i, path := range []string{"/safe/wait", "/once/wait"} {
		id := fmt.Sprint("left", i)
		nc, err := net.Dial("tcp", b.front)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: 15000\r\n\r\n", path, id)
		for b.servers(id) < 2-i {
			time.Sleep(time.Millisecond)
		}
		nc.Close()
		for b.in.Busy() > 0 { // a run that goes on would hold the test up until its own limit
			time.Sleep(time.Millisecond)
		}
	}
	b.out.Wait()
}

func TestInnerCallsAreTold(t *testing.T) {
	gate := make(chan struct{})
	b := newHarness(t, gate)
	done := make(chan struct{})
	go func() { defer close(done); b.ask("GET", "/safe/wait", "graph1", "") }()
	for b.servers("graph1") == 0 {
		time.Sleep(time.Millisecond)
	}
	for id, want := range map[string]bool{"graph1.abc": true, "graph1-x.y": true, "graph1": false, "graph1abc": false, "graph2.abc": false, ".": false} {
		if inner, _ := b.in.Graph(id, "s"); inner != want {
			t.Errorf("%s: inner is %v", id, inner)
		}
	}
	close(gate)
	<-done
	if inner, _ := b.in.Graph("graph1.abc", "s"); inner {
		t.Error("a call of a run that has ended passes for an inner one")
	}
}

// BenchmarkRequest measures a request's way through both nodes; "direct" is what its client and server cost without.
func BenchmarkRequest(b *testing.B) {
	bed := newHarness(b, nil)
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
	secured := newBedOf(b, nil, time.Hour, source)
	for name, address := range map[string]string{"mesh": bed.front, "secured": secured.front, "direct": bed.app("direct", nil)} {
		b.Run(name, func(b *testing.B) {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer nc.Close()
			r := bufio.NewReader(nc)
			msg := []byte("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: p\r\nTime-Budget: 15000\r\n\r\n")
			b.ReportAllocs()
			for b.Loop() {
				nc.Write(msg)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The node must pass on method, path, query and body byte for byte, and the headers that
// the protocol names: servers reject modified requests with status 400.
func TestRequestForwarding(t *testing.T) {
	s := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/x-unit")
		io.WriteString(w, "state\x00\xff")
	})
	n := startNodeWithServers(t, s)
	const path = "/note/a%2Fb//c%20d;x?q=%41&&r=1+2"
	r := request(t, n.url, "/note/x", "body\x00\xff", "Content-Type", "text/odd")
	r.URL.Opaque = path
	resp, body := exchange(t, r)
	if resp.StatusCode != 200 || body != "state\x00\xff" || resp.Header.Get("Content-Type") != "application/x-unit" {
		t.Errorf("got %s %q %q", resp.Status, body, resp.Header)
	}
	got := s.requests[0]
	if got.Method != "POST" || got.RequestURI != path || s.bodies[0] != "body\x00\xff" {
		t.Errorf("the server received %s %s %q", got.Method, got.RequestURI, s.bodies[0])
	}
	for name, want := range map[string]string{
		"X-Txn": "9b1f03aa5c7e2d41", "Idempotency-Key": "5c0f6e1a", "Content-Type": "text/odd",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s: %q, want %q", name, got.Header.Get(name), want)
		}
	}
	var left int
	if _, err := fmt.Sscan(got.Header.Get("X-Remaining-Ms"), &left); err != nil || left < 1 || left >= 15000 {
		t.Errorf("X-Remaining-Ms is %q, want 1 to 14999", got.Header.Get("X-Remaining-Ms"))
	}
}

// A request that may have been executed must not be retried if its class forbids it. HTTP
// client libraries retry after a reset of a reused connection.
func TestNoSecondExecution(t *testing.T) {
	for _, class := range []string{"act", "note"} {
		t.Run(class, func(t *testing.T) {
			var breaking atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if breaking.Load() {
					resetConnection(w, r)
					return
				}
				io.WriteString(w, "warm")
			}
			s, other := newFakeServer(t, handler), newFakeServer(t, handler) // in different cells
			n := startNodeWithServers(t, s, other)
			for tries := 0; s.requestCount() == 0 || other.requestCount() == 0; tries++ {
				if resp, body := exchange(t, request(t, n.url, "/"+class+"/1", "x")); body != "warm" || tries > 200 {
					t.Fatalf("warming up: got %s %q after %d requests", resp.Status, body, tries)
				}
			}
			breaking.Store(true)
			before, otherBefore := s.requestCount(), other.requestCount()
			resp, _ := exchange(t, request(t, n.url, "/"+class+"/1", "x"))
			if resp.StatusCode < 500 || resp.StatusCode == 503 {
				t.Errorf("got %s, want a failure other than a refusal", resp.Status)
			}
			attempts, otherAttempts := s.requestCount()-before, other.requestCount()-otherBefore
			switch {
			case class == "act" && attempts+otherAttempts != 1:
				t.Errorf("%d attempts of a non-idempotent request, want 1", attempts+otherAttempts)
			case class == "note" && (attempts > 0) == (otherAttempts > 0):
				t.Errorf("a keyed request must be sent to exactly one cell, got %d and %d attempts", attempts, otherAttempts)
			case attempts+otherAttempts > 4:
				t.Errorf("%d attempts, want at most 4", attempts+otherAttempts)
			}
		})
	}
}

// Non-idempotent requests must be retried after an outcome that proves that the request
// was not executed, and only then. A 503 without X-Turned-Away proves nothing.
func TestOutcomes(t *testing.T) {
	status := func(code int, turnedAway bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if turnedAway {
				w.Header().Set("X-Turned-Away", "1")
			}
			w.WriteHeader(code)
		}
	}
	truncatedResponse := func(w http.ResponseWriter, _ *http.Request) {
		c, b, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		b.Flush()
		c.Close()
	}
	for _, c := range []struct {
		name    string
		first   http.HandlerFunc // nil if the connection is refused
		retried bool
	}{
		{"turned away, 503", status(503, true), true},
		{"turned away, 504", status(504, true), true},
		{"connection refused", nil, true},
		{"503 without X-Turned-Away", status(503, false), false},
		{"500", status(500, false), false},
		{"500 with X-Turned-Away", status(500, true), false},
		{"reset", resetConnection, false},
		{"truncated response", truncatedResponse, false},
		{"unexpected status", status(404, false), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			good := newFakeServer(t, respond("fine"))
			first := deadAddress(t)
			var bad *fakeServer
			if c.first != nil {
				bad = newFakeServer(t, c.first)
				first = bad.addr()
			}
			n := startNode(t, testConfig(t, deadAddress(t), listOf(1, true, first, good.addr()), 1024))
			// The policy chooses the server: repeat until it has chosen the first one.
			for range 40 {
				resp, body := exchange(t, request(t, n.url, "/act/1", "x"))
				contacted := bad != nil && bad.requestCount() > 0
				switch {
				case resp.StatusCode == 200 && body == "fine":
					if contacted && !c.retried {
						t.Fatal("a request that may have been executed was retried")
					}
				case !contacted || c.retried:
					t.Fatalf("got %s", resp.Status)
				case resp.StatusCode == 429 || resp.StatusCode == 503:
					t.Fatalf("refused with %s although the request may have been executed", resp.Status)
				default:
					return // failed, as expected
				}
				if contacted {
					return
				}
			}
			if bad != nil {
				t.Fatal("no request was sent to the first server")
			}
		})
	}
}

// A request without a response from its server must be failed before the client's
// deadline, and its attempt must be cancelled.
func TestResponseBeforeClientDeadline(t *testing.T) {
	s := newFakeServer(t, neverRespond)
	n := startNodeWithServers(t, s)
	start := time.Now()
	resp, _ := exchange(t, request(t, n.url, "/act/1", "x", "X-Remaining-Ms", "700"))
	if took := time.Since(start); resp.StatusCode < 500 || resp.StatusCode == 503 || took < 500*time.Millisecond {
		t.Errorf("got %s after %v", resp.Status, took)
	}
	waitFor(t, "the attempt's connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
	resp, _ = exchange(t, request(t, n.url, "/act/1", "x", "X-Remaining-Ms", "0"))
	if resp.StatusCode < 500 || resp.StatusCode == 503 {
		t.Errorf("with no time left: got %s", resp.Status)
	}
	if s.requestCount() != 1 {
		t.Errorf("%d attempts, want 1", s.requestCount())
	}
}

// When a client disconnects, its attempt must be cancelled.
func TestClientGone(t *testing.T) {
	s := newFakeServer(t, neverRespond)
	n := startNodeWithServers(t, s)
	c := dialRaw(t, n)
	c.send(t, rawRequest)
	waitFor(t, "the attempt is sent", func() bool { return s.requestCount() == 1 })
	c.Close()
	waitFor(t, "the attempt's connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
	if s.requestCount() != 1 {
		t.Errorf("%d attempts for a client that disconnected, want 1", s.requestCount())
	}
}

// A client that closes only its sending side counts as disconnected and must not receive
// a successful response.
func TestClientHalfClose(t *testing.T) {
	s := newFakeServer(t, neverRespond)
	n := startNodeWithServers(t, s)
	c := dialRaw(t, n)
	c.send(t, rawRequest)
	waitFor(t, "the attempt is sent", func() bool { return s.requestCount() == 1 })
	c.Conn.(*net.TCPConn).CloseWrite()
	if rest, _ := io.ReadAll(c.reader); len(rest) > 0 {
		t.Errorf("the client received %q", rest)
	}
	waitFor(t, "the attempt's connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
}

// Connections must be reused after a complete response, as the policy assumes.
func TestConnectionsAreReused(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	for range 20 {
		if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
			t.Fatalf("got %s %q", resp.Status, body)
		}
	}
	if opened, _ := s.connections(); opened != 1 {
		t.Errorf("%d connections for 20 successive requests, want 1", opened)
	}
}

// The deadline of an attempt must be cleared afterwards: once it has passed, the check of
// an idle connection would fail, and a usable connection would be closed.
func TestDeadlineClearedAfterAttempt(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	exchange(t, request(t, n.url, "/look/1", "", "X-Remaining-Ms", "1000"))
	time.Sleep(1100 * time.Millisecond) // until the deadline has passed
	if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
		t.Fatalf("got %s %q", resp.Status, body)
	}
	if opened, _ := s.connections(); opened != 1 {
		t.Errorf("%d connections for two requests, want 1", opened)
	}
}

// A request must not be sent on a connection that the server closed while it was idle: the
// reset would fail a non-idempotent request.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	for i := range 5 {
		if resp, body := exchange(t, request(t, n.url, "/act/1", "x")); body != "fine" {
			t.Fatalf("request %d: got %s %q", i, resp.Status, body)
		}
		s.CloseClientConnections()
		waitFor(t, "the node has received the close", func() bool {
			n.upstream.mu.Lock()
			defer n.upstream.mu.Unlock()
			for _, c := range n.upstream.idle["s0"] {
				if c.alive() {
					return false
				}
			}
			return true
		})
	}
}

// The node must become ready from its stored list while discovery is unreachable.
func TestReady(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	get := func(n *testNode) int {
		resp, err := http.Get(n.url + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if !resp.Close {
			t.Errorf("got %s without Connection: close", resp.Status)
		}
		return resp.StatusCode
	}
	waitFor(t, "the node is ready", func() bool { return get(n) == 200 })
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
		t.Errorf("got %q", body)
	}
	// Without a server the node is not ready until discovery returns one.
	d := newFakeDiscovery(t)
	empty := startNode(t, testConfig(t, d.Listener.Addr().String(), "null", 1024))
	if got := get(empty); got != 503 {
		t.Errorf("without a server: /ready returned %d, want 503", got)
	}
	d.answer(t, listOf(7, true, s.addr()))
	waitFor(t, "the node is ready", func() bool { return get(empty) == 200 })
}

// With concurrent clients and servers that fail, each request must get one complete
// response, and no request or socket may be left afterwards.
func TestEachRequestIsAnsweredOnce(t *testing.T) {
	var count atomic.Int64
	faulty := func(w http.ResponseWriter, r *http.Request) {
		switch count.Add(1) % 5 {
		case 0:
			resetConnection(w, r)
		case 1:
			w.Header().Set("X-Turned-Away", "1")
			w.WriteHeader(503)
		case 2:
			w.WriteHeader(500)
		default:
			io.WriteString(w, r.URL.Path)
		}
	}
	n := startNodeWithServers(t, newFakeServer(t, faulty), newFakeServer(t, faulty), newFakeServer(t, respond("")))
	var clients sync.WaitGroup
	var answered atomic.Int64
	for i := range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := range 25 {
				class := []string{"look", "note", "act"}[(i+k)%3]
				resp, err := client.Do(request(t, n.url, fmt.Sprintf("/%s/%d-%d", class, i, k), "x"))
				if err != nil {
					t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err != nil {
					t.Error(err)
				}
				answered.Add(1)
			}
		})
	}
	clients.Wait()
	if answered.Load() != 200 {
		t.Errorf("%d of 200 requests were answered", answered.Load())
	}
	n.cancel()
	if err := <-n.ended; err != nil {
		t.Errorf("Run returned %v", err)
	}
	if len(n.loop.pending) != 0 || n.frontend.sockets.open.Load() != 0 {
		t.Errorf("%d requests and %d sockets are left", len(n.loop.pending), n.frontend.sockets.open.Load())
	}
}

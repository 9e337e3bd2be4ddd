package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A connection without a complete request must get an error or be closed within 3 s,
// whatever X-Remaining-Ms it sends.
func TestUnfinishedRequests(t *testing.T) {
	if wait := newFrontend(testConfig(t, deadAddress(t), "null", 1024), newClock(), nil, nil, discardLogger()).
		server.ReadHeaderTimeout; wait <= 0 || wait >= 3*time.Second {
		t.Errorf("ReadHeaderTimeout is %s, want less than 3 s", wait)
	}
	c := &clientConn{accepted: time.Minute}
	if until := c.bodyDeadline(time.Minute + time.Second); until >= time.Minute+3*time.Second {
		t.Errorf("deadline of the first body is %s after the connect, want less than 3 s", until-time.Minute)
	}
	c.carriedRequest = true
	if until := c.bodyDeadline(time.Hour); until <= time.Hour {
		t.Errorf("deadline of a later body is %s after its header", until-time.Hour)
	}

	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	for name, text := range map[string]string{
		"nothing":                         "",
		"half a head":                     "GET /look/1 HTTP/1.1\r\nHost: app",
		"half a body":                     "POST /act/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 1\r\nX-Lane: act\r\nX-Remaining-Ms: 500000\r\nContent-Length: 9\r\n\r\nhalf",
		"half a body of an unknown class": "POST /nothing HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 9\r\n\r\nhalf",
		"half a chunk":                    "POST /act/1 HTTP/1.1\r\nHost: app.svc\r\nX-Lane: act\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dialRaw(t, n)
			c.send(t, text)
			answer, err := io.ReadAll(c.reader)
			if err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") {
				t.Errorf("got %q, %v; want an error or a close", answer, err)
			}
			if s.requestCount() != 0 {
				t.Error("an incomplete request reached the server")
			}
		})
	}
}

// TestGracefulShutdown checks that a graceful shutdown answers pending requests, accepts late
// connections for a while, and closes connections after their response.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	s := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			<-release
		}
		io.WriteString(w, "fine")
	})
	n := startNodeWithServers(t, s)
	slow := dialRaw(t, n)
	slow.send(t, strings.Replace(rawRequest, "/look/1", "/look/slow", 1))
	waitFor(t, "the slow request is sent", func() bool { return s.requestCount() == 1 })
	idle := dialRaw(t, n)
	idle.send(t, rawRequest)
	if resp := idle.receive(t); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the shutdown: got %s, close %v", resp.Status, resp.Close)
	}
	n.cancel()
	waitFor(t, "the shutdown has started", n.frontend.draining.Load)
	late := dialRaw(t, n)
	late.send(t, rawRequest)
	if resp := late.receive(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late connection got %s, close %v", resp.Status, resp.Close)
	}
	close(release)
	if resp := slow.receive(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the slow request got %s, close %v", resp.Status, resp.Close)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("Run returned %v", err)
	}
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("reading the idle connection: %v, want EOF", err)
	}
}

// The loop must fail requests that are still pending at the end of a shutdown, and cancel
// their attempts.
func TestShutdownFailsPendingRequests(t *testing.T) {
	s := newFakeServer(t, neverRespond)
	n := startNodeWithServers(t, s)
	c := dialRaw(t, n)
	c.send(t, rawRequest)
	waitFor(t, "the attempt is sent", func() bool { return s.requestCount() == 1 })
	n.cancel()
	if resp := c.receive(t); resp.StatusCode != 504 {
		t.Errorf("got %s", resp.Status)
	}
	if err := <-n.ended; err != nil {
		t.Errorf("Run returned %v", err)
	}
	waitFor(t, "the attempt's connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
}

// A request that arrives after the loop has failed the pending requests must be failed
// too, without an attempt.
func TestRequestAfterShutdown(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	n.loop.post(shutdownStarted{})
	if resp, _ := exchange(t, request(t, n.url, "/look/1", "")); resp.StatusCode != 502 {
		t.Errorf("got %s", resp.Status)
	}
	if s.requestCount() != 0 {
		t.Error("an attempt was sent")
	}
}

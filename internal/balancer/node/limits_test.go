package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ivydeck/decide"
)

// Refusals due to lack of capacity must carry Retry-After if the settings allow it.
func TestMaxPendingRequests(t *testing.T) {
	s := newFakeServer(t, neverRespond)
	c := testConfig(t, deadAddress(t), listOf(1, true, s.addr()), 1024)
	c.Settings.MaxPendingRequests = 1
	n := startNode(t, c)
	dialRaw(t, n).send(t, rawRequest)
	waitFor(t, "the first request is pending", func() bool { return s.requestCount() == 1 })
	resp, _ := exchange(t, request(t, n.url, "/look/1", ""))
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "1.000" {
		t.Errorf("got %s, %q", resp.Status, resp.Header)
	}
	if a := refuseSaturated(&decide.Settings{MaxRetryAfter: time.Second}); a.retryAfter != 0 {
		t.Errorf("Retry-After is %s although the settings do not allow it", a.retryAfter)
	}
}

// A client may send any X-Remaining-Ms. The request's deadline must not exceed that of
// its class.
func TestClassDeadline(t *testing.T) {
	clock := newClock()
	f := newFrontend(testConfig(t, deadAddress(t), "null", 1024), clock, nil, nil, discardLogger())
	for claimed, want := range map[string]time.Duration{
		"15000": 15 * time.Second, "500000": 30 * time.Second, // the class's deadline
	} {
		r := httptest.NewRequest("GET", "/look/1", nil)
		for name, value := range map[string]string{"X-Lane": "look", "X-Txn": "1", "X-Remaining-Ms": claimed} {
			r.Header.Set(name, value)
		}
		now := clock.now()
		p, failure := f.parse(httptest.NewRecorder(), r, &clientConn{}, now)
		if failure != nil || p.deadline != now+want {
			t.Errorf("X-Remaining-Ms %s: got %+v, %v; want a deadline after %s", claimed, p, failure, want)
		}
	}
}

// Accepting must not fail for lack of a descriptor: over the budget the node first closes
// idle connections to servers, and then refuses requests.
func TestSocketBudget(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNode(t, testConfig(t, deadAddress(t), listOf(1, true, s.addr()), minSockets))
	budget := int(n.frontend.sockets.budget)
	first := dialRaw(t, n)
	first.send(t, rawRequest)
	if resp := first.receive(t); resp.StatusCode != 200 {
		t.Fatalf("got %s", resp.Status)
	}
	conns := []*rawConn{first}
	for len(conns) < budget { // the last one evicts the idle connection to the server
		conns = append(conns, dialRaw(t, n))
	}
	waitFor(t, "the idle connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
	over := dialRaw(t, n)
	over.send(t, rawRequest)
	if resp := over.receive(t); resp.StatusCode != 429 || !resp.Close || resp.Header.Get("Retry-After") != "1.000" {
		t.Errorf("over the budget: got %s, close %v, %q", resp.Status, resp.Close, resp.Header)
	}
	for _, c := range conns[1:] {
		c.Close()
	}
	waitFor(t, "their sockets are released", func() bool { return n.frontend.sockets.open.Load() == 1 })
	first.send(t, rawRequest)
	if resp := first.receive(t); resp.StatusCode != 200 {
		t.Errorf("below the budget again: got %s", resp.Status)
	}
}

// Idle client connections must be evicted in favour of new ones, longest idle first, but
// not within minIdleBeforeEviction and not while a request is open.
func TestIdleClientsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	s := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/look/quick" {
			<-release
		}
		io.WriteString(w, "fine")
	})
	n := startNode(t, testConfig(t, deadAddress(t), listOf(1, true, s.addr()), minSockets))
	busy := dialRaw(t, n)
	busy.send(t, rawRequest)
	waitFor(t, "the attempt is sent", func() bool { return s.requestCount() == 1 })
	silent, used := dialRaw(t, n), dialRaw(t, n)
	used.send(t, strings.Replace(rawRequest, "/look/1", "/look/quick", 1))
	if resp := used.receive(t); resp.StatusCode != 200 {
		t.Fatalf("got %s", resp.Status)
	}
	idle := func() int {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return n.frontend.idle.Len()
	}
	waitFor(t, "both connections are idle", func() bool { return idle() == 2 })
	n.frontend.mu.Lock()
	first := n.frontend.idle.Front().Value.(*clientConn).idleSince
	last := n.frontend.idle.Back().Value.(*clientConn).idleSince
	n.frontend.mu.Unlock()
	if n.frontend.evictIdle(first + minIdleBeforeEviction - 1) {
		t.Error("a connection was evicted before minIdleBeforeEviction")
	}
	for i, c := range []*rawConn{silent, used} {
		if !n.frontend.evictIdle(last + minIdleBeforeEviction) {
			t.Errorf("connection %d was not evicted", i)
		}
		if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
			t.Errorf("connection %d: read %q, %v; want a close", i, rest, err)
		}
	}
	if n.frontend.evictIdle(last + time.Hour) {
		t.Error("a connection with an open request was evicted")
	}
	close(release)
	if resp := busy.receive(t); resp.StatusCode != 200 {
		t.Errorf("the open request got %s", resp.Status)
	}
	if open := n.frontend.sockets.open.Load(); open > 3 { // one client connection and two to the server
		t.Errorf("%d connections are counted as open, want at most 3", open)
	}

	budget := int(n.frontend.sockets.budget)
	for range budget { // the last two evict the idle connections to the server
		dialRaw(t, n)
	}
	filled := func() bool { return n.frontend.sockets.open.Load() >= int64(budget) && idle() >= budget-1 }
	waitFor(t, "silent connections use up the budget", filled)
	n.frontend.mu.Lock()
	for e := n.frontend.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).idleSince -= time.Minute
	}
	n.frontend.mu.Unlock()
	late := dialRaw(t, n)
	late.send(t, rawRequest)
	if resp := late.receive(t); resp.StatusCode != 200 {
		t.Errorf("a request got %s while idle connections used up the budget", resp.Status)
	}
}

// An invalid configuration must be rejected with an error of one line.
func TestInvalidConfiguration(t *testing.T) {
	good := configText("127.0.0.1:1", "null", 1024)
	if _, err := parseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"no JSON":            {"{", "["},
		"no address":         {`"127.0.0.1:0"`, `"nowhere"`},
		"no discovery":       {`"127.0.0.1:1"`, `""`},
		"few sockets":        {"1024", "3"},
		"little memory":      {"192", "1"},
		"invalid known list": {`"known":null`, `"known":{"generation":1}`},
		"no class":           {`"categories":[`, `"categories":[],"old":[`},
		"unknown semantics":  {"by_key", "by_chance"},
		"no settings":        {`"settings"`, `"setting"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseConfig([]byte(strings.Replace(good, change[0], change[1], 1)))
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one of a single line", err)
			}
		})
	}
	for _, path := range []string{"", t.TempDir() + "/none"} {
		if _, err := ReadConfig(path); err == nil {
			t.Errorf("configuration file %q was accepted", path)
		}
	}
}

// New must fail if the address is in use.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := testConfig(t, deadAddress(t), "null", 1024)
	c.Listen = l.Addr().String()
	if _, err := New(c, discardLogger()); err == nil {
		t.Error("New succeeded with an address in use")
	}
}

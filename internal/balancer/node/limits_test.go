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

// Who is refused for want of room must be told when to come back, where the
// settings allow it.
func TestMaxPendingRequests(t *testing.T) {
	s := newServer(t, hang)
	c := testConfig(t, deadAddress(t), listOf(1, true, s.addr()), 1024)
	c.Settings.MaxPendingRequests = 1
	n := startNode(t, c)
	dialRaw(t, n).send(t, rawLook)
	waitFor(t, "the first is held", func() bool { return s.seen() == 1 })
	resp, _ := exchange(t, request(t, n.url, "/look/1", ""))
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "1.000" {
		t.Errorf("answered %s, %q", resp.Status, resp.Header)
	}
	if a := refuseSaturated(&decide.Settings{MaxRetryAfter: time.Second}); a.retryAfter != 0 {
		t.Errorf("advised %s where that is not allowed", a.retryAfter)
	}
}

// A request may claim any time; it must not hold an attempt, and with it the
// node's other clients, for longer than its class's clients wait.
func TestNoLongerThanTheClass(t *testing.T) {
	clock := newClock()
	f := newFrontend(testConfig(t, deadAddress(t), "null", 1024), clock, nil, nil, quiet())
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
			t.Errorf("of %s ms claimed: %+v, %v; want %s", claimed, p, failure, want)
		}
	}
}

// Accepting must never fail for want of a descriptor: over the budget, idle
// connections to servers go first, and then requests are refused.
func TestSocketBudget(t *testing.T) {
	s := newServer(t, say("fine"))
	n := startNode(t, testConfig(t, deadAddress(t), listOf(1, true, s.addr()), minSockets))
	most := int(n.frontend.sockets.budget)
	first := dialRaw(t, n)
	first.send(t, rawLook)
	if resp := first.receive(t); resp.StatusCode != 200 {
		t.Fatalf("answered %s", resp.Status)
	}
	conns := []*rawConn{first}
	for len(conns) < most { // the last takes the place of the idle connection
		conns = append(conns, dialRaw(t, n))
	}
	waitFor(t, "the idle connection made room", func() bool { _, ended := s.connections(); return ended == 1 })
	over := dialRaw(t, n)
	over.send(t, rawLook)
	if resp := over.receive(t); resp.StatusCode != 429 || !resp.Close || resp.Header.Get("Retry-After") != "1.000" {
		t.Errorf("over the budget: %s, close %v, %q", resp.Status, resp.Close, resp.Header)
	}
	for _, c := range conns[1:] {
		c.Close()
	}
	waitFor(t, "their places are free", func() bool { return n.frontend.sockets.open.Load() == 1 })
	first.send(t, rawLook)
	if resp := first.receive(t); resp.StatusCode != 200 {
		t.Errorf("with room again: %s", resp.Status)
	}
}

// Anyone may connect, ask nothing or only whether the node is ready, and stay.
// Such connections must make room for clients, the longest idle first, but none
// before its two seconds have passed, and none with a request open.
func TestIdleClientsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/look/quick" {
			<-release
		}
		io.WriteString(w, "fine")
	})
	n := startNode(t, testConfig(t, deadAddress(t), listOf(1, true, s.addr()), minSockets))
	busy := dialRaw(t, n)
	busy.send(t, rawLook)
	waitFor(t, "the attempt is out", func() bool { return s.seen() == 1 })
	silent, asked := dialRaw(t, n), dialRaw(t, n)
	asked.send(t, strings.Replace(rawLook, "/look/1", "/look/quick", 1))
	if resp := asked.receive(t); resp.StatusCode != 200 {
		t.Fatalf("answered %s", resp.Status)
	}
	idle := func() int {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return n.frontend.idle.Len()
	}
	waitFor(t, "both idle", func() bool { return idle() == 2 })
	n.frontend.mu.Lock()
	first := n.frontend.idle.Front().Value.(*clientConn).idleSince
	last := n.frontend.idle.Back().Value.(*clientConn).idleSince
	n.frontend.mu.Unlock()
	if n.frontend.evictIdle(first + minIdleBeforeEviction - 1) {
		t.Error("a connection was closed before its two seconds")
	}
	for i, c := range []*rawConn{silent, asked} {
		if !n.frontend.evictIdle(last + minIdleBeforeEviction) {
			t.Errorf("connection %d was kept", i)
		}
		if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
			t.Errorf("connection %d: %q, %v", i, rest, err)
		}
	}
	if n.frontend.evictIdle(last + time.Hour) {
		t.Error("the connection with a request was closed")
	}
	close(release)
	if resp := busy.receive(t); resp.StatusCode != 200 {
		t.Errorf("the request was answered %s", resp.Status)
	}
	if open := n.frontend.sockets.open.Load(); open > 3 { // the client's and two to the server
		t.Errorf("%d connections are booked", open)
	}

	most := int(n.frontend.sockets.budget)
	for range most { // the last take the places of the two idle ones
		dialRaw(t, n)
	}
	full := func() bool { return n.frontend.sockets.open.Load() >= int64(most) && idle() >= most-1 }
	waitFor(t, "silent connections fill the budget", full)
	n.frontend.mu.Lock()
	for e := n.frontend.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).idleSince -= time.Minute
	}
	n.frontend.mu.Unlock()
	late := dialRaw(t, n)
	late.send(t, rawLook)
	if resp := late.receive(t); resp.StatusCode != 200 {
		t.Errorf("a client was answered %s for the sake of silent ones", resp.Status)
	}
}

// A bad configuration ends the start with one clear line.
func TestBadConfiguration(t *testing.T) {
	good := configText("127.0.0.1:1", "null", 1024)
	if _, err := parseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"no JSON":        {"{", "["},
		"no address":     {`"127.0.0.1:0"`, `"nowhere"`},
		"no discovery":   {`"127.0.0.1:1"`, `""`},
		"few sockets":    {"1024", "3"},
		"little memory":  {"192", "1"},
		"odd known list": {`"known":null`, `"known":{"generation":1}`},
		"no class":       {`"categories":[`, `"categories":[],"old":[`},
		"odd class":      {"by_key", "by_chance"},
		"no settings":    {`"settings"`, `"setting"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseConfig([]byte(strings.Replace(good, change[0], change[1], 1)))
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line", err)
			}
		})
	}
	for _, path := range []string{"", t.TempDir() + "/none"} {
		if _, err := ReadConfig(path); err == nil {
			t.Errorf("%q was read", path)
		}
	}
}

// An address in use ends the start with an error.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := testConfig(t, deadAddress(t), "null", 1024)
	c.Listen = l.Addr().String()
	if _, err := New(c, quiet()); err == nil {
		t.Error("two listen at one address")
	}
}

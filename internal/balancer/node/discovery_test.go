package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"ivydeck/decide"
)

// Each watch call must request changes since the last received generation, so that none
// is missed, and must follow the previous call at once.
func TestConsecutiveWatchCalls(t *testing.T) {
	s, moved := newFakeServer(t, respond("first")), newFakeServer(t, respond("second"))
	d := newFakeDiscovery(t)
	n := startNode(t, testConfig(t, d.Listener.Addr().String(), listOf(41, true, s.addr()), 1024))
	waitFor(t, "the first watch call", func() bool { return d.calls() == 1 })
	if q := d.query(0); !strings.HasPrefix(q, "since=41&timeout_ms=") {
		t.Errorf("query of the first watch call: %q, want changes since the stored list", q)
	}
	d.answer(t, listOf(43, false))
	waitFor(t, "the next watch call", func() bool { return d.calls() == 2 })
	if q := d.query(1); !strings.HasPrefix(q, "since=43&") {
		t.Errorf("query of the second watch call: %q", q)
	}
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "first" {
		t.Errorf("got body %q", body)
	}
	// A server that moves must be dialed at its new address, even if connections to the old one are idle.
	d.answer(t, listOf(44, false, moved.addr()))
	waitFor(t, "the next watch call", func() bool { return d.calls() == 3 })
	waitFor(t, "the server is called at its new address", func() bool {
		_, body := exchange(t, request(t, n.url, "/look/1", ""))
		return body == "second"
	})
}

// A malformed list must count as a failed call. It must not be used as an empty or
// partial list.
func TestMalformedList(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	for i, list := range []string{
		"", "{", "{}", "[]", "null", `{"generation":2,"reset":true}`, `{"reset":true,"instances":[]}`,
		`{"generation":2,"reset":true,"instances":[{"hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]}`,
		strings.Replace(listOf(2, true, s.addr()), "SERVING", "HAPPY", 1),
		listOf(2, true, "nowhere"),
	} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			d := newFakeDiscovery(t)
			n := startNode(t, testConfig(t, d.Listener.Addr().String(), listOf(1, true, s.addr()), 1024))
			d.answer(t, list)
			waitFor(t, "the policy starts another call", func() bool { return d.calls() == 2 })
			if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
				t.Errorf("after list %q: response %s %q", list, resp.Status, body)
			}
			if q := d.query(1); !strings.HasPrefix(q, "since=1&") {
				t.Errorf("after list %q: next query is %q", list, q)
			}
		})
	}
}

// A watch call without a response must time out and be reported as failed: otherwise the
// node receives no further changes.
func TestSilentWatchFails(t *testing.T) {
	d := newFakeDiscovery(t)
	reports := make(chan *list, 10)
	watch := newDiscovery(d.Listener.Addr().String(), discardLogger(), func(l *list) { reports <- l })
	if watch.watchGrace >= 2*time.Second {
		t.Errorf("a watch call times out %s after its wait, want less than the 2 s after which changes count as delivered", watch.watchGrace)
	}
	watch.watchWait, watch.watchGrace = 50*time.Millisecond, 50*time.Millisecond
	since := uint64(3)
	on, from := watch.watchCall(t.Context(), &since)
	if on || *from != 3 {
		t.Errorf("the watch continues: %v, from generation %d", on, *from)
	}
	if l := <-reports; l != nil {
		t.Errorf("reported list %v, want a failed call", l)
	}
}

// After a change of discovery's address the watch must restart at once at the new address
// with the full list, whether the last call at the old address was pending or had failed.
func TestDiscoveryAddressChange(t *testing.T) {
	s, moved := newFakeServer(t, respond("first")), newFakeServer(t, respond("second"))
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("down %v", down), func(t *testing.T) {
			from, to := newFakeDiscovery(t), newFakeDiscovery(t)
			n := startNode(t, testConfig(t, from.Listener.Addr().String(), listOf(41, true, s.addr()), 1024))
			waitFor(t, "the first watch call", func() bool { return from.calls() == 1 })
			if down {
				from.answer(t, "") // the call fails, and the policy waits before the next one
			}
			c := *n.config
			c.Discovery = to.Listener.Addr().String()
			n.Reload(&c)
			to.answer(t, listOf(44, true, moved.addr()))
			if q := to.query(0); q != "" {
				t.Errorf("first query at the new address: %q, want the full list", q)
			}
			waitFor(t, "the next watch call at the new address", func() bool { return to.calls() == 2 })
			if q := to.query(1); !strings.HasPrefix(q, "since=44&") {
				t.Errorf("query of the next watch call: %q", q)
			}
			if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "second" {
				t.Errorf("got body %q", body)
			}
			n.Reload(&c) // an unchanged address must not restart the watch
			to.answer(t, listOf(45, false))
			waitFor(t, "the next watch call at the new address", func() bool { return to.calls() == 3 })
			if q := to.query(2); !strings.HasPrefix(q, "since=45&") {
				t.Errorf("query of the next watch call: %q", q)
			}
		})
	}
}

// No request may be sent to a server after a list that reports it as draining or deleted.
func TestDrainingAndDeletedServers(t *testing.T) {
	for _, state := range []string{"DRAINING", "DELETED"} {
		t.Run(state, func(t *testing.T) {
			s, other := newFakeServer(t, respond("drains")), newFakeServer(t, respond("fine"))
			d := newFakeDiscovery(t)
			n := startNode(t, testConfig(t, d.Listener.Addr().String(), listOf(1, true, s.addr()), 1024))
			if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "drains" {
				t.Fatalf("got body %q", body)
			}
			d.answer(t, listOf(2, false, s.addr()+" "+state, other.addr()))
			waitFor(t, "the idle connection is closed", func() bool { _, ended := s.connections(); return ended == 1 })
			before := s.requestCount()
			for range 20 {
				if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
					t.Fatalf("got %s %q", resp.Status, body)
				}
			}
			if s.requestCount() != before {
				t.Error("a request was sent to the server")
			}
		})
	}
}

// A server may drain and a request may end between the policy's decision and the first
// byte. An attempt must check both before it writes.
func TestChecksBeforeWriting(t *testing.T) {
	fake := newFakeServer(t, respond("fine"))
	set := &decide.Settings{ConnectTimeout: testTimeout, ConnIdle: testTimeout}
	clock, budget := newClock(), newSockets(1024)
	up := newUpstream(clock, budget, set)
	req := &call{method: http.MethodGet, uri: "/look/1", host: "app.svc", txn: "1"}
	server := &peer{id: "s0", address: fake.addr()}
	server.closed.Store(true)
	if result, _ := up.attempt(t.Context(), server, req, clock.now()+testTimeout); result != decide.NotSent {
		t.Errorf("to a draining server: %v", result)
	}
	server.closed.Store(false)
	req.done.Store(true)
	if result, _ := up.attempt(t.Context(), server, req, clock.now()+testTimeout); result != decide.NotSent {
		t.Errorf("for a request that has ended: %v", result)
	}
	req.done.Store(false)
	if result, _ := up.attempt(t.Context(), server, req, clock.now()-1); result != decide.Unconnected {
		t.Errorf("with no time left: %v", result)
	}
	if fake.requestCount() != 0 || budget.open.Load() != 0 {
		t.Errorf("%d requests were received, %d sockets are open", fake.requestCount(), budget.open.Load())
	}
	if result, resp := up.attempt(t.Context(), server, req, clock.now()+testTimeout); result != decide.Served || string(resp.body) != "fine" {
		t.Errorf("a regular attempt: %v", result)
	}
	up.sweep(true)
	if budget.open.Load() != 0 {
		t.Errorf("%d sockets are open after the sweep", budget.open.Load())
	}
}

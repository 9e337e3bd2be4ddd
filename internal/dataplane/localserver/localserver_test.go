package localserver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/dataplane/health"
)

const ms = time.Millisecond

// newTestRegistry returns a registry with one server, "i".
func newTestRegistry(slots int, drain time.Duration) *Registry[string] {
	s := New[string](drain, time.Second)
	s.Heartbeat(0, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: slots})
	return s
}

// queueable returns a request to server "i" that may be queued.
func queueable(id string, priority uint32) Request {
	return Request{Member: "i", Service: "s", Attempt: id, Priority: priority, MayQueue: true}
}

// TestQueue checks that queued requests are ordered by priority, and that a request of
// higher priority replaces the last one in a full queue.
func TestQueue(t *testing.T) {
	s := newTestRegistry(2, time.Hour)
	for i, c := range []struct {
		priority uint32
		decision Decision
		rejected string // ticket of the replaced request
	}{{3, Slot, ""}, {3, Slot, ""}, {3, Queue, ""}, {4, Queue, ""}, {1, Queue, "3"}, {3, Full, ""}, {3, Full, ""}} {
		decision, _, grants := s.Arrive(0, queueable(fmt.Sprint(i), c.priority), fmt.Sprint(i))
		if decision != c.decision || c.rejected != "" && (len(grants) != 1 || grants[0] != SlotGrant[string]{c.rejected, false}) || c.rejected == "" && len(grants) > 0 {
			t.Errorf("request %d: decision %v, grants %v", i, decision, grants)
		}
	}
	unqueueable := queueable("unqueueable", 0)
	unqueueable.MayQueue = false
	if decision, _, _ := s.Arrive(0, unqueueable, "unqueueable"); decision != Full {
		t.Errorf("request that must not be queued: decision %v, want Full", decision)
	}
	if f := s.Finish(ms, "i", "0", health.Served); !f.Queued || !slices.Equal(f.Grants, []SlotGrant[string]{{"4", true}}) {
		t.Errorf("the request of the highest priority did not get the free slot: %+v", f)
	}
	if !s.Dequeue("i", "2") || s.Dequeue("i", "4") {
		t.Error("a queued request was not dequeued, or a running one was")
	}
}

// TestDrain checks that a draining server rejects new requests after half of the drain
// time and queued ones after three quarters, and that draining is final.
func TestDrain(t *testing.T) {
	s := newTestRegistry(1, 100*ms)
	s.Arrive(0, queueable("runs", 0), "runs")
	s.Arrive(0, queueable("waits", 0), "waits")
	if h := s.Heartbeat(10*ms, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Draining: true, Seq: 1}); !h.DrainStarted {
		t.Error("the first heartbeat with the draining status did not start the drain")
	}
	s.Heartbeat(20*ms, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Seq: 2}) // draining is never revoked
	if decision, _, _ := s.Arrive(70*ms, queueable("late", 0), "late"); decision != Terminated {
		t.Errorf("new request after half of the drain time: decision %v, want Terminated", decision)
	}
	if f := s.Finish(95*ms, "i", "runs", health.Served); !slices.Equal(f.Grants, []SlotGrant[string]{{"waits", false}}) {
		t.Errorf("slot freed after three quarters of the drain time: %+v, want a rejection", f)
	}
}

// TestDrainingAfterRestart checks that a server is sent no requests once its first heartbeat to a restarted process reports
// that it is draining: the previous process may have acknowledged that long before.
func TestDrainingAfterRestart(t *testing.T) {
	draining := Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Draining: true, Seq: 7}
	for _, adopted := range []bool{true, false} {
		s := New[string](4*time.Second, 1500*ms)
		if adopted {
			s.Adopt(0, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1})
			s.Arrive(ms, queueable("runs", 0), "runs")
			s.Arrive(ms, queueable("waits", 0), "waits")
		}
		s.Heartbeat(1500*ms, draining)
		if decision, _, _ := s.Arrive(1501*ms, queueable("late", 0), "late"); decision != Terminated {
			t.Errorf("adopted %v: decision on a new request is %v, want Terminated", adopted, decision)
		}
		if f := s.Finish(1502*ms, "i", "runs", health.Served); adopted && !slices.Equal(f.Grants, []SlotGrant[string]{{"waits", false}}) {
			t.Errorf("queued request of an adopted server: %+v, want a rejection", f)
		}
	}
}

// TestUnhealthy checks that the queue of an ejected server is cleared, and that a run that failed because of a call it made
// does not count against its server.
func TestUnhealthy(t *testing.T) {
	s := newTestRegistry(2, time.Hour)
	for i := range 4 {
		s.Arrive(0, queueable(fmt.Sprint(i), 0), fmt.Sprint(i))
	}
	s.CallFailed("0.1")
	if f := s.Finish(ms, "i", "0", health.Errored); f.Ejected || !slices.Equal(f.Grants, []SlotGrant[string]{{"2", true}}) {
		t.Errorf("run with a failed call: %+v, want no ejection", f)
	}
	s.Run(ms, queueable("2", 0))
	if f := s.Finish(2*ms, "i", "1", health.Broken); f.Ejected {
		t.Errorf("first failure: %+v, want no ejection", f)
	}
	s.Run(2*ms, queueable("3", 0))
	s.Arrive(2*ms, queueable("5", 0), "5")
	if f := s.Finish(3*ms, "i", "2", health.Errored); !f.Ejected || !slices.Equal(f.Grants, []SlotGrant[string]{{"5", true}}) {
		t.Errorf("second failure: %+v, want an ejection", f)
	}
	if decision, _, _ := s.Arrive(4*ms, queueable("x", 0), "x"); decision != Unhealthy {
		t.Errorf("request to an ejected server: decision %v, want Unhealthy", decision)
	}
	forced := queueable("y", 0)
	forced.IgnoreEjection = true
	if decision, _, _ := s.Arrive(4*ms, forced, "y"); decision != Queue {
		t.Errorf("request that ignores the ejection: decision %v, want Queue", decision)
	}
}

// TestIncarnations checks when incarnations are adopted, replaced, terminated and recovered.
func TestIncarnations(t *testing.T) {
	s := New[string](time.Hour, time.Second)
	if !s.Adopt(0, Heartbeat{ID: "old", Service: "s", Address: "a", Slots: 1}) || s.Adopt(0, Heartbeat{ID: "x", Service: "s", Address: "a", Slots: 1}) {
		t.Error("the first server was not adopted, or a second one was")
	}
	s.Arrive(0, Request{Member: "old", Service: "s", Attempt: "1", MayQueue: true}, "1")
	s.Arrive(0, Request{Member: "old", Service: "s", Attempt: "2", MayQueue: true}, "2")
	h := s.Heartbeat(ms, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1})
	if !slices.Equal(h.Ended, []string{"old"}) || !slices.Equal(h.Grants, []SlotGrant[string]{{"2", false}}) {
		t.Errorf("new incarnation at the same address: %+v", h)
	}
	if decision, _, _ := s.Arrive(ms, Request{Member: "old", Service: "s"}, "3"); decision != Terminated {
		t.Errorf("request to the replaced incarnation: decision %v, want Terminated", decision)
	}
	if decision, _, _ := s.Arrive(ms, Request{Member: "new", Service: "other"}, "4"); decision != Terminated {
		t.Errorf("request for another service: decision %v, want Terminated", decision)
	}
	if h := s.Heartbeat(2*ms, Heartbeat{ID: "old", Seq: 9}); h.OK {
		t.Error("the heartbeat of a replaced incarnation was accepted")
	}
	if unresponsive, _ := s.Sweep(10 * time.Second); !slices.Equal(unresponsive, []string{"new"}) || len(s.Servers()) != 0 {
		t.Errorf("after 10 s without a heartbeat: unresponsive %v, servers %v", unresponsive, s.Servers())
	}
	// A further heartbeat restores the incarnation, unless another one has its address by then.
	if h := s.Heartbeat(11*time.Second, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1, Seq: 5}); !h.OK || !h.Recovered || len(s.Servers()) != 1 {
		t.Errorf("heartbeat of an unresponsive incarnation: %+v, servers %v", h, s.Servers())
	}
	s.Sweep(20 * time.Second)
	s.Heartbeat(21*time.Second, Heartbeat{ID: "newer", Service: "s", Address: "a", Slots: 1})
	if h := s.Heartbeat(22*time.Second, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1, Seq: 9}); h.OK {
		t.Error("an incarnation was restored although another one has its address")
	}
}

// TestSlotAccounting generates random events and checks that each queued request gets
// exactly one SlotGrant unless it is dequeued, and that no server exceeds its slots.
func TestSlotAccounting(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newTestRegistry(3, 400*ms)
		queued, running := map[string]bool{}, map[string]bool{}
		deliver := func(grants []SlotGrant[string]) {
			for _, grant := range grants {
				if !queued[grant.Ticket] {
					t.Fatalf("seed %d: SlotGrant for request %s, which is not queued", seed, grant.Ticket)
				}
				delete(queued, grant.Ticket)
				if grant.Granted {
					running[grant.Ticket] = true
				}
			}
		}
		now := time.Duration(0)
		firstKey := func(set map[string]bool) string { // or "~" if the set is empty
			return slices.Min(append(slices.Collect(func(yield func(string) bool) {
				for k := range set {
					if !yield(k) {
						return
					}
				}
			}), "~"))
		}
		for i := range 400 {
			now += time.Duration(rng.IntN(40)) * ms
			id := fmt.Sprint(i)
			switch rng.IntN(6) {
			case 0, 1, 2:
				decision, _, grants := s.Arrive(now, queueable(id, uint32(rng.IntN(4))), id)
				deliver(grants)
				queued[id], running[id] = decision == Queue, decision == Slot
				if decision != Queue {
					delete(queued, id)
				}
				if decision != Slot {
					delete(running, id)
				}
			case 3, 4:
				if id := firstKey(running); id != "~" {
					delete(running, id)
					deliver(s.Finish(now, "i", id, health.Outcome(rng.IntN(5))).Grants)
				}
			default:
				if id := firstKey(queued); id != "~" && s.Dequeue("i", id) {
					delete(queued, id)
				} else if rng.IntN(40) == 0 {
					s.Heartbeat(now, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 3, Draining: true, Seq: uint64(i)})
				}
			}
			if inflight, queueLength := s.Load("i"); inflight != len(running) || queueLength != len(queued) || inflight > 3 {
				t.Fatalf("seed %d, event %d: %d running and %d queued requests, want %d and %d", seed, i, inflight, queueLength, len(running), len(queued))
			}
		}
	}
}

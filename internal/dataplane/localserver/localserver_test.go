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

func with(slots int, drain time.Duration) *Registry[string] {
	s := New[string](drain, time.Second)
	s.Heartbeat(0, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: slots})
	return s
}

func ask(id string, priority uint32) Request {
	return Request{Member: "i", Service: "s", Attempt: id, Priority: priority, Wait: true}
}

// TestQueue fills a server's slots: higher priorities go first, the lowest lose
// their places, and those who are turned away have reached no server.
func TestQueue(t *testing.T) {
	s := with(2, time.Hour)
	for i, c := range []struct {
		priority uint32
		place    Decision
		out      string // who loses its place
	}{{3, Slot, ""}, {3, Slot, ""}, {3, Queue, ""}, {4, Queue, ""}, {1, Queue, "3"}, {3, Full, ""}, {3, Full, ""}} {
		place, _, v := s.Arrive(0, ask(fmt.Sprint(i), c.priority), fmt.Sprint(i))
		if place != c.place || c.out != "" && (len(v) != 1 || v[0] != SlotGrant[string]{c.out, false}) || c.out == "" && len(v) > 0 {
			t.Errorf("request %d: %v, %v", i, place, v)
		}
	}
	first := ask("first", 0)
	first.Wait = false
	if place, _, _ := s.Arrive(0, first, "first"); place != Full {
		t.Errorf("one that may go elsewhere: %v", place)
	}
	if f := s.Finish(ms, "i", "0", health.Served); !f.Queued || !slices.Equal(f.Verdicts, []SlotGrant[string]{{"4", true}}) {
		t.Errorf("the highest did not go first: %+v", f)
	}
	if !s.Dequeue("i", "2") || s.Dequeue("i", "4") {
		t.Error("one that waits could not leave, or one that runs could")
	}
}

func TestDrain(t *testing.T) {
	s := with(1, 100*ms)
	s.Arrive(0, ask("runs", 0), "runs")
	s.Arrive(0, ask("waits", 0), "waits")
	if h := s.Heartbeat(10*ms, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Draining: true, Seq: 1}); !h.Drains {
		t.Error("the mark was not taken")
	}
	s.Heartbeat(20*ms, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Seq: 2}) // it never comes back from that
	if place, _, _ := s.Arrive(70*ms, ask("late", 0), "late"); place != Terminated {
		t.Errorf("past half of the bound: %v", place)
	}
	if f := s.Finish(95*ms, "i", "runs", health.Served); !slices.Equal(f.Verdicts, []SlotGrant[string]{{"waits", false}}) {
		t.Errorf("close to the bound: %+v", f)
	}
}

// TestDrainMarkOutlivesTheProcess: a mark was acknowledged, the process ended and came back at once with a list that
// does not have it yet. Only the server's next heartbeat tells, and nothing may go to it from then on.
func TestDrainMarkOutlivesTheProcess(t *testing.T) {
	marked := Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1, Draining: true, Seq: 7}
	for _, adopted := range []bool{true, false} {
		s := New[string](4*time.Second, 1500*ms)
		if adopted {
			s.Adopt(0, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 1})
			s.Arrive(ms, ask("runs", 0), "runs")
			s.Arrive(ms, ask("waits", 0), "waits")
		}
		s.Heartbeat(1500*ms, marked)
		if place, _, _ := s.Arrive(1501*ms, ask("late", 0), "late"); place != Terminated {
			t.Errorf("adopted %v: a request got %v", adopted, place)
		}
		if f := s.Finish(1502*ms, "i", "runs", health.Served); adopted && !slices.Equal(f.Verdicts, []SlotGrant[string]{{"waits", false}}) {
			t.Errorf("one that waited: %+v", f)
		}
	}
}

// TestUnhealthy: a server that is taken out sends those who wait elsewhere, and one whose run failed for a call that it
// made is not blamed for it.
func TestSick(t *testing.T) {
	s := with(2, time.Hour)
	for i := range 4 {
		s.Arrive(0, ask(fmt.Sprint(i), 0), fmt.Sprint(i))
	}
	s.CallFailed("0.1")
	if f := s.Finish(ms, "i", "0", health.Erred); f.Ejected || !slices.Equal(f.Verdicts, []SlotGrant[string]{{"2", true}}) {
		t.Errorf("a run with a failed call: %+v", f)
	}
	s.Run(ms, ask("2", 0))
	if f := s.Finish(2*ms, "i", "1", health.Broken); f.Ejected {
		t.Errorf("one failure: %+v", f)
	}
	s.Run(2*ms, ask("3", 0))
	s.Arrive(2*ms, ask("5", 0), "5")
	if f := s.Finish(3*ms, "i", "2", health.Erred); !f.Ejected || !slices.Equal(f.Verdicts, []SlotGrant[string]{{"5", true}}) {
		t.Errorf("the second failure: %+v", f)
	}
	if place, _, _ := s.Arrive(4*ms, ask("x", 0), "x"); place != Unhealthy {
		t.Errorf("a unhealthy server: %v", place)
	}
	insists := ask("y", 0)
	insists.IgnoreEjection = true
	if place, _, _ := s.Arrive(4*ms, insists, "y"); place != Queue {
		t.Errorf("one that knows of no better: %v", place)
	}
}

func TestLives(t *testing.T) {
	s := New[string](time.Hour, time.Second)
	if !s.Adopt(0, Heartbeat{ID: "old", Service: "s", Address: "a", Slots: 1}) || s.Adopt(0, Heartbeat{ID: "x", Service: "s", Address: "a", Slots: 1}) {
		t.Error("adopting works once, and only before any heartbeat")
	}
	s.Arrive(0, Request{Member: "old", Service: "s", Attempt: "1", Wait: true}, "1")
	s.Arrive(0, Request{Member: "old", Service: "s", Attempt: "2", Wait: true}, "2")
	h := s.Heartbeat(ms, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1})
	if !slices.Equal(h.Ended, []string{"old"}) || !slices.Equal(h.Verdicts, []SlotGrant[string]{{"2", false}}) {
		t.Errorf("a new incarnation at the address: %+v", h)
	}
	if place, _, _ := s.Arrive(ms, Request{Member: "old", Service: "s"}, "3"); place != Terminated {
		t.Errorf("the old incarnation: %v", place)
	}
	if place, _, _ := s.Arrive(ms, Request{Member: "new", Service: "other"}, "4"); place != Terminated {
		t.Errorf("another service: %v", place)
	}
	if h := s.Heartbeat(2*ms, Heartbeat{ID: "old", Seq: 9}); h.OK {
		t.Error("an incarnation that has ended was taken back")
	}
	if silent, _ := s.Sweep(10 * time.Second); !slices.Equal(silent, []string{"new"}) || len(s.Servers()) != 0 {
		t.Errorf("after ten seconds of silence: %v, %v", silent, s.Servers())
	}
	// It was only held up: its heartbeat brings it back, unless another has its address.
	if h := s.Heartbeat(11*time.Second, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1, Seq: 5}); !h.OK || !h.Recovered || len(s.Servers()) != 1 {
		t.Errorf("the heartbeat after a long silence: %+v, %v", h, s.Servers())
	}
	s.Sweep(20 * time.Second)
	s.Heartbeat(21*time.Second, Heartbeat{ID: "newer", Service: "s", Address: "a", Slots: 1})
	if h := s.Heartbeat(22*time.Second, Heartbeat{ID: "new", Service: "s", Address: "a", Slots: 1, Seq: 9}); h.OK {
		t.Error("an incarnation came back whose address another has")
	}
}

// TestAccounts plays random events: each request that waits gets one verdict or
// leaves, and no server ever holds more than its slots.
func TestAccounts(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := with(3, 400*ms)
		waiting, running := map[string]bool{}, map[string]bool{}
		deliver := func(vs []SlotGrant[string]) {
			for _, v := range vs {
				if !waiting[v.Ticket] {
					t.Fatalf("seed %d: a verdict on %s, which does not wait", seed, v.Ticket)
				}
				delete(waiting, v.Ticket)
				if v.Go {
					running[v.Ticket] = true
				}
			}
		}
		now := time.Duration(0)
		any := func(m map[string]bool) string {
			return slices.Min(append(slices.Collect(func(yield func(string) bool) {
				for k := range m {
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
				place, _, v := s.Arrive(now, ask(id, uint32(rng.IntN(4))), id)
				deliver(v)
				waiting[id], running[id] = place == Queue, place == Slot
				if place != Queue {
					delete(waiting, id)
				}
				if place != Slot {
					delete(running, id)
				}
			case 3, 4:
				if id := any(running); id != "~" {
					delete(running, id)
					deliver(s.Finish(now, "i", id, health.Outcome(rng.IntN(5))).Verdicts)
				}
			default:
				if id := any(waiting); id != "~" && s.Dequeue("i", id) {
					delete(waiting, id)
				} else if rng.IntN(40) == 0 {
					s.Heartbeat(now, Heartbeat{ID: "i", Service: "s", Address: "a", Slots: 3, Draining: true, Seq: uint64(i)})
				}
			}
			if inflight, queued := s.Load("i"); inflight != len(running) || queued != len(waiting) || inflight > 3 {
				t.Fatalf("seed %d, event %d: %d at the server and %d waiting, want %d and %d", seed, i, inflight, queued, len(running), len(waiting))
			}
		}
	}
}

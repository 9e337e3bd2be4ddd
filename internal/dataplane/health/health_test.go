package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// healthSim sends requests to a server, one every 10 ms, whose run takes the usual 100 ms.
type healthSim struct {
	s      *Server
	rng    *rand.Rand
	now    time.Duration
	n      int
	given  map[string]int // by zone
	failed int
}

func runHealthSim(seed uint64) *healthSim {
	return &healthSim{s: New(0), rng: rand.New(rand.NewPCG(seed, 1)), given: map[string]int{}}
}

// run plays for a time; end says what becomes of a request, and after how long.
func (w *healthSim) run(d time.Duration, once bool, end func(zone string) (Outcome, time.Duration)) {
	type ending struct {
		at  time.Duration
		id  string
		how Outcome
	}
	var open []ending
	for until := w.now + d; w.now < until; w.now += 10 * ms {
		keep := open[:0]
		for _, e := range open {
			if e.at <= w.now {
				w.s.End(w.now, e.id, e.how)
				if e.how != Served {
					w.failed++
				}
			} else {
				keep = append(keep, e)
			}
		}
		open = keep
		w.n++
		c := Call{Zone: fmt.Sprint("z", w.n%4), TypicalLatency: 100 * ms, NonIdempotent: once}
		if w.s.Check(w.now, c) != Healthy {
			continue
		}
		id := fmt.Sprint(w.n)
		w.s.Begin(w.now, id, c)
		w.given[c.Zone]++
		how, took := end(c.Zone)
		open = append(open, ending{w.now + took, id, how})
	}
	for _, e := range open {
		w.s.End(w.now, e.id, Void)
	}
}

// share fails a part of the requests.
func (w *healthSim) share(x float64, zone string) func(string) (Outcome, time.Duration) {
	return func(z string) (Outcome, time.Duration) {
		if (zone == "" || z == zone) && w.rng.Float64() < x {
			return Erred, ms
		}
		return Served, 100 * ms
	}
}

// TestUsualErrorsTakeNobodyOut: an application has some failures of its own.
func TestUsualErrorsTakeNobodyOut(t *testing.T) {
	turned := 0
	for seed := range uint64(20) {
		w := runHealthSim(seed)
		w.run(100*time.Second, false, w.share(0.004, ""))
		turned += w.n - w.given["z0"] - w.given["z1"] - w.given["z2"] - w.given["z3"]
	}
	if turned > 20*10000/500 {
		t.Errorf("%d of 200,000 requests were turned away for failures that are usual", turned)
	}
}

// TestUnhealthyServers: what fails is ejected soon, for those whom it fails, and is back soon after it is healthy.
func TestUnhealthyServers(t *testing.T) {
	for _, c := range []struct {
		name, zone string
		x          float64
		maxFailed  int // of those 2,000 that it would get in ten seconds
	}{
		{"some for all", "", 0.4, 60},
		{"all for all", "", 1, 40},
		{"some of one zone", "z1", 0.4, 40},
	} {
		for seed := range uint64(10) {
			w := runHealthSim(seed)
			w.run(5*time.Second, false, w.share(0, ""))
			before := w.given["z2"]
			w.run(10*time.Second, false, w.share(c.x, c.zone))
			if out := w.s.Ejected(); c.x == 1 && !slices.Equal(out, []string{Everywhere}) || c.zone != "" && slices.Contains(out, "z2") {
				t.Errorf("%s, seed %d: out for %v", c.name, seed, out)
			}
			if w.failed > c.maxFailed {
				t.Errorf("%s, seed %d: %d requests failed", c.name, seed, w.failed)
			}
			if other := w.given["z2"] - before; c.zone != "" && other < 240 {
				t.Errorf("%s, seed %d: another zone had %d of 250 requests", c.name, seed, other)
			}
			w.run(15*time.Second, false, w.share(0, ""))
			before = w.given["z1"]
			w.run(5*time.Second, false, w.share(0, ""))
			if back := w.given["z1"] - before; back < 120 {
				t.Errorf("%s, seed %d: 15 s after it was healthy it had %d of 125 requests", c.name, seed, back)
			}
		}
	}
}

// TestProbes: requests that may run once are probes only where no others come.
func TestProbes(t *testing.T) {
	for once, most := range map[bool]int{false: 60, true: 20} {
		w := runHealthSim(1)
		w.run(time.Second, once, w.share(1, ""))
		before := w.failed
		w.run(20*time.Second, once, w.share(1, ""))
		if n := w.failed - before; n == 0 || n > most {
			t.Errorf("once %v: %d probes in 20 s", once, n)
		}
	}
}

// TestHanging: requests that hang are counted while they do, and a server that answers nothing has a probe now and then.
func TestHanging(t *testing.T) {
	w := runHealthSim(3)
	w.run(5*time.Second, false, w.share(0, ""))
	before := w.given["z0"] + w.given["z1"] + w.given["z2"] + w.given["z3"]
	n := 0
	w.run(3*time.Second, false, func(string) (Outcome, time.Duration) {
		if n++; n%2 == 0 {
			return Broken, 10 * time.Second
		}
		return Served, 100 * ms
	})
	if got := w.given["z0"] + w.given["z1"] + w.given["z2"] + w.given["z3"] - before; got > 100 {
		t.Errorf("a server that lets every second request hang had %d of 300 in 3 s", got)
	}
	s := New(0)
	for i := range minHangingCalls {
		s.Begin(0, fmt.Sprint(i), Call{})
	}
	now := hangTimeout + ms
	if got := s.Check(now, Call{IgnoreEjection: true}); got != Healthy {
		t.Errorf("the probe: %v", got)
	}
	if got := s.Check(now+ms, Call{IgnoreEjection: true}); got != Hangs {
		t.Errorf("right behind the probe: %v", got)
	}
	s.End(now+2*ms, "0", Served)
	if got := s.Check(now+3*ms, Call{}); got != Healthy {
		t.Errorf("after an answer: %v", got)
	}
}

// TestLateIsNotAlwaysTheServers: what comes with little time left shows nothing, and what hangs to its end does.
func TestLateIsNotAlwaysTheServers(t *testing.T) {
	for took, out := range map[time.Duration]bool{50 * ms: false, 400 * ms: true} {
		s := New(0)
		for i := range 8 {
			id := fmt.Sprint(i)
			now := time.Duration(i) * time.Second
			s.Begin(now, id, Call{TypicalLatency: 100 * ms})
			s.End(now+took, id, Late)
		}
		if zones := s.Ejected(); (len(zones) > 0) != out {
			t.Errorf("late after %v: out for %v", took, zones)
		}
	}
}

// TestPace: a slow server says so.
func TestPace(t *testing.T) {
	for _, x := range []float64{0.7, 1, 1.5} {
		w := runHealthSim(4)
		w.run(10*time.Second, false, func(string) (Outcome, time.Duration) {
			return Served, time.Duration(x * 100 * float64(ms))
		})
		if got := w.s.RelativeLatency(); got < 0.9*x || got > 1.2*x {
			t.Errorf("a server of %v usual times a request says %v", x, got)
		}
	}
}

// TestTwoProbesOfOneId: two clients give their requests one id, and both are probes of a server that is ejected. It is tried
// again all the same once they have ended.
func TestTwoProbesOfOneId(t *testing.T) {
	s := New(0)
	call := Call{TypicalLatency: 100 * ms}
	for i := range maxConsecutiveFailures {
		id := fmt.Sprint(i)
		s.Begin(0, id, call)
		s.End(0, id, Broken)
	}
	now := baseEjectionTime + ms
	if s.Check(0, call) != Unhealthy || s.Check(now, call) != Healthy {
		t.Fatal("the server is not ejected, or gets no probe")
	}
	insists := call
	insists.IgnoreEjection = true
	s.Begin(now, "one", call)
	s.Begin(now, "one", insists)
	s.End(now, "one", Void)
	s.End(now, "one", Void)
	if v := s.Check(now+probeInterval, call); v != Healthy {
		t.Errorf("no further probe: %v", v)
	}
}

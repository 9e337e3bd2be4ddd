package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// healthSim simulates a server that is offered a request every 10 ms. The typical latency is 100 ms.
type healthSim struct {
	server  *Server
	rng     *rand.Rand
	now     time.Duration
	offered int            // requests offered
	sent    map[string]int // requests sent to the server, by zone
	failed  int
}

func newHealthSim(seed uint64) *healthSim {
	return &healthSim{server: New(0), rng: rand.New(rand.NewPCG(seed, 1)), sent: map[string]int{}}
}

// run runs the simulation for a time. end returns the outcome of a request and its duration.
func (sim *healthSim) run(duration time.Duration, nonIdempotent bool, end func(zone string) (Outcome, time.Duration)) {
	type ending struct {
		at      time.Duration
		id      string
		outcome Outcome
	}
	var running []ending
	for until := sim.now + duration; sim.now < until; sim.now += 10 * ms {
		remaining := running[:0]
		for _, e := range running {
			if e.at <= sim.now {
				sim.server.End(sim.now, e.id, e.outcome)
				if e.outcome != Served {
					sim.failed++
				}
			} else {
				remaining = append(remaining, e)
			}
		}
		running = remaining
		sim.offered++
		c := Call{Zone: fmt.Sprint("z", sim.offered%4), TypicalLatency: 100 * ms, NonIdempotent: nonIdempotent}
		if sim.server.Check(sim.now, c) != Healthy {
			continue
		}
		id := fmt.Sprint(sim.offered)
		sim.server.Begin(sim.now, id, c)
		sim.sent[c.Zone]++
		outcome, took := end(c.Zone)
		running = append(running, ending{sim.now + took, id, outcome})
	}
	for _, e := range running {
		sim.server.End(sim.now, e.id, Ignored)
	}
}

// failShare returns an end function of run that fails a share of the requests of a zone, or of all zones if zone is empty.
func (sim *healthSim) failShare(share float64, zone string) func(string) (Outcome, time.Duration) {
	return func(caller string) (Outcome, time.Duration) {
		if (zone == "" || caller == zone) && sim.rng.Float64() < share {
			return Errored, ms
		}
		return Served, 100 * ms
	}
}

// TestBackgroundErrorsDoNotEject checks that a low rate of application errors hardly ever ejects a server.
func TestBackgroundErrorsDoNotEject(t *testing.T) {
	rejected := 0
	for seed := range uint64(20) {
		sim := newHealthSim(seed)
		sim.run(100*time.Second, false, sim.failShare(0.004, ""))
		rejected += sim.offered - sim.sent["z0"] - sim.sent["z1"] - sim.sent["z2"] - sim.sent["z3"]
	}
	if rejected > 20*10000/500 {
		t.Errorf("%d of 200,000 requests were rejected at an error rate of 0.4 %%, want at most 400", rejected)
	}
}

// TestUnhealthyServers checks that a failing server is soon ejected for the affected zones only, and is restored soon after it
// has recovered.
func TestUnhealthyServers(t *testing.T) {
	for _, c := range []struct {
		name, zone string
		share      float64 // share of failing requests
		maxFailed  int     // maximum number of failed requests of the 1,000 offered in 10 s
	}{
		{"some requests of all zones", "", 0.4, 60},
		{"all requests of all zones", "", 1, 40},
		{"some requests of one zone", "z1", 0.4, 40},
	} {
		for seed := range uint64(10) {
			sim := newHealthSim(seed)
			sim.run(5*time.Second, false, sim.failShare(0, ""))
			before := sim.sent["z2"]
			sim.run(10*time.Second, false, sim.failShare(c.share, c.zone))
			if zones := sim.server.Ejected(); c.share == 1 && !slices.Equal(zones, []string{AllZones}) || c.zone != "" && slices.Contains(zones, "z2") {
				t.Errorf("%s, seed %d: ejected for zones %v", c.name, seed, zones)
			}
			if sim.failed > c.maxFailed {
				t.Errorf("%s, seed %d: too many failed requests: %d", c.name, seed, sim.failed)
			}
			if other := sim.sent["z2"] - before; c.zone != "" && other < 240 {
				t.Errorf("%s, seed %d: only %d of 250 requests of a healthy zone were sent", c.name, seed, other)
			}
			sim.run(15*time.Second, false, sim.failShare(0, ""))
			before = sim.sent["z1"]
			sim.run(5*time.Second, false, sim.failShare(0, ""))
			if back := sim.sent["z1"] - before; back < 120 {
				t.Errorf("%s, seed %d: only %d of 125 requests were sent 15 s after the recovery", c.name, seed, back)
			}
		}
	}
}

// TestProbes checks that an ejected server gets fewer probes if all requests are non-idempotent.
func TestProbes(t *testing.T) {
	for nonIdempotent, maxProbes := range map[bool]int{false: 60, true: 20} {
		sim := newHealthSim(1)
		sim.run(time.Second, nonIdempotent, sim.failShare(1, ""))
		before := sim.failed
		sim.run(20*time.Second, nonIdempotent, sim.failShare(1, ""))
		if n := sim.failed - before; n == 0 || n > maxProbes {
			t.Errorf("non-idempotent %v: %d probes in 20 s", nonIdempotent, n)
		}
	}
}

// TestHangingRequests checks that hanging requests count as failures before they end, and that a hanging server gets one
// probe per interval until it responds.
func TestHangingRequests(t *testing.T) {
	sim := newHealthSim(3)
	sim.run(5*time.Second, false, sim.failShare(0, ""))
	before := sim.sent["z0"] + sim.sent["z1"] + sim.sent["z2"] + sim.sent["z3"]
	n := 0
	sim.run(3*time.Second, false, func(string) (Outcome, time.Duration) {
		if n++; n%2 == 0 {
			return Broken, 10 * time.Second
		}
		return Served, 100 * ms
	})
	if got := sim.sent["z0"] + sim.sent["z1"] + sim.sent["z2"] + sim.sent["z3"] - before; got > 100 {
		t.Errorf("%d of 300 requests were sent to a server at which every second request hangs, want at most 100", got)
	}
	s := New(0)
	for i := range minHangingCalls {
		s.Begin(0, fmt.Sprint(i), Call{})
	}
	now := hangTimeout + ms
	if got := s.Check(now, Call{IgnoreEjection: true}); got != Healthy {
		t.Errorf("first probe of a hanging server: %v, want Healthy", got)
	}
	if got := s.Check(now+ms, Call{IgnoreEjection: true}); got != Hangs {
		t.Errorf("1 ms after the probe: %v, want Hangs", got)
	}
	s.End(now+2*ms, "0", Served)
	if got := s.Check(now+3*ms, Call{}); got != Healthy {
		t.Errorf("after a response: %v, want Healthy", got)
	}
}

// TestTimeouts checks that requests that time out after a short time do not eject a server, and that those that time out after
// several typical latencies do.
func TestTimeouts(t *testing.T) {
	for took, ejected := range map[time.Duration]bool{50 * ms: false, 400 * ms: true} {
		s := New(0)
		for i := range 8 {
			id := fmt.Sprint(i)
			now := time.Duration(i) * time.Second
			s.Begin(now, id, Call{TypicalLatency: 100 * ms})
			s.End(now+took, id, TimedOut)
		}
		if zones := s.Ejected(); (len(zones) > 0) != ejected {
			t.Errorf("timeouts after %v: ejected for zones %v", took, zones)
		}
	}
}

// TestRelativeLatency checks that the relative latency converges to the server's latency in multiples of the typical one.
func TestRelativeLatency(t *testing.T) {
	for _, latency := range []float64{0.7, 1, 1.5} {
		sim := newHealthSim(4)
		sim.run(10*time.Second, false, func(string) (Outcome, time.Duration) {
			return Served, time.Duration(latency * 100 * float64(ms))
		})
		if got := sim.server.RelativeLatency(); got < 0.9*latency || got > 1.2*latency {
			t.Errorf("server with latency %v times the typical one: relative latency is %v", latency, got)
		}
	}
}

// TestDuplicateProbeID checks that two probes with the same ID, sent by different clients, do not block further probes after
// they have ended.
func TestDuplicateProbeID(t *testing.T) {
	s := New(0)
	call := Call{TypicalLatency: 100 * ms}
	for i := range maxConsecutiveFailures {
		id := fmt.Sprint(i)
		s.Begin(0, id, call)
		s.End(0, id, Broken)
	}
	now := baseEjectionTime + ms
	if s.Check(0, call) != Unhealthy || s.Check(now, call) != Healthy {
		t.Fatal("the server is not ejected, or receives no probe")
	}
	forced := call
	forced.IgnoreEjection = true
	s.Begin(now, "id", call)
	s.Begin(now, "id", forced)
	s.End(now, "id", Ignored)
	s.End(now, "id", Ignored)
	if v := s.Check(now+probeInterval, call); v != Healthy {
		t.Errorf("further probe: %v, want Healthy", v)
	}
}

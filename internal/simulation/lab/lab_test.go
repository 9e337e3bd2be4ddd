package lab

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/distribution/relay"
)

func townScenario(t *testing.T) *Scenario {
	t.Helper()
	w, err := Load("../../../lab/town.toml")
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// TestTown runs a scenario with faults: it repeats by its seed, no invariant is violated, and
// the lowest priority is refused first in overload.
func TestTown(t *testing.T) {
	w := townScenario(t)
	a, b, c := Run(w, 1), Run(w, 1), Run(w, 2)
	if a.Fingerprint != b.Fingerprint || a.Total != b.Total {
		t.Errorf("the same seed gave %v and %v", a.Total, b.Total)
	}
	if a.Fingerprint == c.Fingerprint {
		t.Error("another seed went alike")
	}
	for _, r := range []*Result{a, c} {
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %s\n%s", r.Seed, strings.Join(r.Violations, "\n"), strings.Join(r.RecentEvents, "\n"))
		}
		total := r.Total
		if total.OnTime+total.Late+total.Refused+total.Failed < total.Requests*9/10 {
			t.Errorf("seed %d: %+v does not add up", r.Seed, total)
		}
		refused := map[int]int{}
		for _, s := range r.Seconds[15:20] { // the burst
			for p, n := range s.ByPriority {
				refused[p] += n
			}
		}
		if refused[2] < 100 || refused[0] > refused[2]/20 {
			t.Errorf("seed %d: refused in the burst, by priority: %v", r.Seed, refused)
		}
		if r.Elections < 2 || r.Acks < 4 || r.LagMaxMs <= 0 {
			t.Errorf("seed %d: %d elections, %d changes, updates within %v ms", r.Seed, r.Elections, r.Acks, r.LagMaxMs)
		}
	}
	var page bytes.Buffer
	if err := Report(&page, []*Result{a, c}); err != nil || strings.Count(page.String(), "<svg") < 5 {
		t.Errorf("a report of %d bytes: %v", page.Len(), err)
	}
}

// TestInvariantsAreChecked violates each invariant once by hand.
func TestInvariantsAreChecked(t *testing.T) {
	w := townScenario(t)
	for name, f := range map[string]func(s *sim){
		"must not run twice": func(s *sim) {
			q := &request{s: s, route: s.route("order")}
			(&attempt{id: "a", request: q}).executed()
			(&attempt{id: "b", request: q}).executed()
		},
		"after a promise": func(s *sim) {
			x := &attempt{id: "a", request: &request{s: s, route: s.route("browse")}}
			x.answered(router.Response{Status: 503, RetryAfter: 1})
			x.executed()
		},
		"promised not to have run": func(s *sim) {
			x := &attempt{id: "a", request: &request{s: s, route: s.route("browse")}}
			x.executed()
			x.answered(router.Response{Status: 503, RetryAfter: 1})
		},
		"when to come back": func(s *sim) {
			(&attempt{id: "a", request: &request{s: s, route: s.route("browse")}}).answered(router.Response{Status: 503})
		},
		"after the acknowledgement of its drain": func(s *sim) {
			v := s.servers[0]
			v.drainAcked, v.drainAckedAt = true, s.now-ms(w.DrainMs)-time.Millisecond
			v.handle(&attempt{id: "a", request: &request{s: s, route: s.route("browse")}}, localserver.Request{Member: v.id, Service: v.kind.Name, Attempt: "a"}, s.now+time.Second, 0, nil)
		},
		"was acknowledged": func(s *sim) {
			s.ackedRevision = 99
			s.checkFinalState()
		},
		"is ready without revision 99": func(s *sim) {
			n := s.nodes[0]
			n.ready, n.mustKnow = false, 99
			n.startReadiness(n.incarnation)
			s.run(7 * time.Second)
		},
		"shared budget": func(s *sim) {
			for range 1000 {
				s.measurements.requestRetried(s.now, "shop")
			}
			s.measurements.result(s, 1)
		},
	} {
		s := prepare(w, 1)
		s.run(5 * time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("before any violation: %v", s.violations)
		}
		f(s)
		if len(s.violations) == 0 || !strings.Contains(s.violations[0], name) {
			t.Errorf("%s: %v", name, s.violations)
		}
	}
}

func TestParseReportsErrors(t *testing.T) {
	_, err := Parse(`
nodes = 2
speed = 3
[[service]]
name = "s"
servers = 4
slots = 1
work_ms = 1.0
[[route]]
name = "r"
service = "x"
aim_ms = 1.0
timeout_ms = 1.0
calls = [{ route = "q", times = 1.0 }]
[[trouble]]
kind = "melt"
target = "node 1"
[[trouble]]
kind = "crash"
target = "server s 7"
at_s = 1.0
for_s = 1.0
[[trouble]]
kind = "grey"
target = "server s"
share = 1.5
factor = 2.0
how = "sad"
at_s = 1.0
for_s = 1.0
`)
	for _, want := range []string{"grey needs a how", "share is 1.5", "speed is no key", "4 servers do not fit", "a known service", `calls "q"`, `no kind "melt"`, `no "server s 7"`, "at_s and for_s"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("nothing about %q in: %v", want, err)
		}
	}
	w := townScenario(t)
	v, err := w.Vary("service.1.slots", "3")
	if err != nil || v.Services[1].Slots != 3 || w.Services[1].Slots == 3 {
		t.Errorf("%v, %v", v, err)
	}
	if v, err = w.Vary("net.loss", "0"); err != nil || v.Net.Loss != 0 {
		t.Errorf("%v", err)
	}
	for _, key := range []string{"service.9.slots", "nothing.at.all", "service.1.speed"} {
		if _, err := w.Vary(key, "3"); err == nil {
			t.Errorf("%s was set", key)
		}
	}
}

// TestGreyServers: a sixth of the servers fails half of its runs, fast, so that it looks idle. Without health checks a
// seventeenth of all requests fails; the application's own errors are 2 in 1,000.
func TestGreyServers(t *testing.T) {
	w, err := Load("../../../lab/ill.toml")
	if err != nil {
		t.Fatal(err)
	}
	w.Nodes, w.Services[0].Servers, w.Routes[0].Rate, w.Routes[1].Rate, w.Seconds = 20, 14, 120, 200, 36
	for _, how := range []GreyMode{GreyError, GreyReset} {
		w.Faults[0].Mode = how
		r := Run(w, 1)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %s", how, strings.Join(r.Violations, "\n"))
		}
		asked, failed, late := 0, 0, 0
		for i, s := range r.Seconds[10:34] { // ill ones until 22, then flapping ones
			asked, failed, late = asked+s.Requests, failed+s.Failed, late+s.Late
			if s.Busy["desk"] < 40 { // of 14 servers' 168 slots, usually 70
				t.Errorf("%s: in second %d only %.0f slots work", how, 10+i, s.Busy["desk"])
			}
		}
		if failed*100 > asked || late*50 > asked {
			t.Errorf("%s: of %d requests %d failed and %d were late", how, asked, failed, late)
		}
	}
}

// TestSimultaneousStart: a thousand nodes start at once and subscribe to the quorum members, which feed no more of them than they may;
// the others are fed by those.
func TestSimultaneousStart(t *testing.T) {
	w, err := Load("../../../lab/ill.toml")
	if err != nil {
		t.Fatal(err)
	}
	w.Nodes, w.Services[0].Servers, w.Seconds, w.Faults = 1000, 700, 1, nil
	w.Routes[0].Rate, w.Routes[1].Rate = 0, 0
	s := prepare(w, 1)
	told := uint64(0)
	for at := 100 * time.Millisecond; at <= sec(w.Seconds); at += 100 * time.Millisecond {
		told = s.members[0].catalog.Index()
		s.run(at)
		for name, v := range s.views {
			if v.liveChildren() > relay.MaxChildren {
				t.Fatalf("after %v %s feeds %d children", at, name, v.liveChildren())
			}
		}
	}
	for _, n := range s.nodes {
		if n.hub.Index() < told {
			t.Fatalf("%s has updates up to %d, %d were there 0.1 s ago", n.name, n.hub.Index(), told)
		}
	}
}

func TestIntervals(t *testing.T) {
	m := Average([]float64{1, 2, 3, 4, 5}) // t of 4 degrees: 2.776; deviation 1.5811
	if m.Mean != 3 || math.Abs(m.HalfWidth-1.963) > 0.001 {
		t.Errorf("%v", m)
	}
	a, b := &Result{Seed: 1}, &Result{Seed: 2}
	if _, err := Compare([]*Result{a}, []*Result{b}); err == nil {
		t.Error("other seeds were paired")
	}
}

// TestShrink keeps the fault and the route without which no invariant is violated.
func TestShrink(t *testing.T) {
	w := townScenario(t)
	small := Shrink(w, func(x *Scenario) (float64, bool) {
		drained, rate := false, 0.0
		for _, tr := range x.Faults {
			drained = drained || tr.Kind == Drain
		}
		for _, r := range x.Routes {
			if r.Name == "ask" {
				rate = r.Rate
			}
		}
		return 27, drained && rate > 0 && x.Seconds >= 27
	})
	rates := 0
	for _, r := range small.Routes {
		if r.Rate > 0 {
			rates++
		}
	}
	if small.Seconds != 28 || len(small.Faults) != 1 || small.Faults[0].Kind != Drain || rates != 1 {
		t.Errorf("%g s, %v, %d routes with clients", small.Seconds, small.Faults, rates)
	}
	if len(w.Faults) < 3 || w.Routes[0].Rate == 0 {
		t.Error("the scenario itself was changed")
	}
}

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

// TestTown runs a scenario with faults. It checks that runs with the same seed are equal, that no invariant is violated,
// and that requests of the lowest priority are refused first in overload.
func TestTown(t *testing.T) {
	scenario := townScenario(t)
	a, b, c := Run(scenario, 1), Run(scenario, 1), Run(scenario, 2)
	if a.Fingerprint != b.Fingerprint || a.Total != b.Total {
		t.Errorf("two runs with seed 1 differ: totals %v and %v", a.Total, b.Total)
	}
	if a.Fingerprint == c.Fingerprint {
		t.Error("runs with seeds 1 and 2 have the same fingerprint")
	}
	for _, result := range []*Result{a, c} {
		if len(result.Violations) > 0 {
			t.Errorf("seed %d: %s\n%s", result.Seed, strings.Join(result.Violations, "\n"), strings.Join(result.RecentEvents, "\n"))
		}
		total := result.Total
		if total.OnTime+total.Late+total.Refused+total.Failed < total.Requests*9/10 {
			t.Errorf("seed %d: less than 9/10 of the requests have an outcome: %+v", result.Seed, total)
		}
		refused := map[int]int{}
		for _, s := range result.Seconds[15:20] { // the burst
			for p, n := range s.ByPriority {
				refused[p] += n
			}
		}
		if refused[2] < 100 || refused[0] > refused[2]/20 {
			t.Errorf("seed %d: refused requests in the burst by priority: %v, want at least 100 of priority 2 and at most a twentieth as many of priority 0", result.Seed, refused)
		}
		if result.Elections < 2 || result.Acks < 4 || result.LagMaxMs <= 0 {
			t.Errorf("seed %d: %d elections, %d acknowledged changes, maximum update lag %v ms; want at least 2, at least 4 and a positive lag", result.Seed, result.Elections, result.Acks, result.LagMaxMs)
		}
	}
	var page bytes.Buffer
	if err := Report(&page, []*Result{a, c}); err != nil || strings.Count(page.String(), "<svg") < 5 {
		t.Errorf("Report wrote %d bytes with too few plots, or failed: %v", page.Len(), err)
	}
}

// TestInvariantsAreChecked checks that a violation of each invariant is recorded.
func TestInvariantsAreChecked(t *testing.T) {
	scenario := townScenario(t)
	for want, violate := range map[string]func(s *sim){
		"non-idempotent request": func(s *sim) {
			req := &request{sim: s, route: s.route("order")}
			(&attempt{id: "a", request: req}).recordRun()
			(&attempt{id: "b", request: req}).recordRun()
		},
		"after a response stated": func(s *sim) {
			x := &attempt{id: "a", request: &request{sim: s, route: s.route("browse")}}
			x.recordResponse(router.Response{Status: 503, RetryAfter: 1})
			x.recordRun()
		},
		"its response states that it did not": func(s *sim) {
			x := &attempt{id: "a", request: &request{sim: s, route: s.route("browse")}}
			x.recordRun()
			x.recordResponse(router.Response{Status: 503, RetryAfter: 1})
		},
		"without a retry delay": func(s *sim) {
			(&attempt{id: "a", request: &request{sim: s, route: s.route("browse")}}).recordResponse(router.Response{Status: 503})
		},
		"after the acknowledgement of its drain": func(s *sim) {
			v := s.servers[0]
			v.drainAcked, v.drainAckedAt = true, s.now-ms(scenario.DrainMs)-time.Millisecond
			v.handle(&attempt{id: "a", request: &request{sim: s, route: s.route("browse")}}, localserver.Request{Member: v.id, Service: v.service.Name, Attempt: "a"}, s.now+time.Second, 0, nil)
		},
		"older than the acknowledged revision": func(s *sim) {
			s.ackedRevision = 99
			s.checkFinalState()
		},
		"is ready without revision 99": func(s *sim) {
			n := s.nodes[0]
			n.ready, n.requiredRevision = false, 99
			n.startReadiness(n.incarnation)
			s.run(7 * time.Second)
		},
		"shared retry budget": func(s *sim) {
			for range 1000 {
				s.measurements.requestRetried(s.now, "shop")
			}
			s.measurements.result(s, 1)
		},
	} {
		s := prepare(scenario, 1)
		s.run(5 * time.Second)
		if len(s.violations) > 0 {
			t.Fatalf("violations before the invariant is broken: %v", s.violations)
		}
		violate(s)
		if len(s.violations) == 0 || !strings.Contains(s.violations[0], want) {
			t.Errorf("the first violation does not contain %q: %v", want, s.violations)
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
	for _, want := range []string{"how must be one of", "share is 1.5", "unknown key speed", "4 servers do not fit", "a known service", `calls "q"`, `unknown kind "melt"`, `target "server s 7" does not exist`, "at_s must not be negative, and for_s"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse: error does not contain %q: %v", want, err)
		}
	}
	scenario := townScenario(t)
	varied, err := scenario.Vary("service.1.slots", "3")
	if err != nil || varied.Services[1].Slots != 3 || scenario.Services[1].Slots == 3 {
		t.Errorf("Vary service.1.slots=3: scenario %v, error %v", varied, err)
	}
	if varied, err = scenario.Vary("net.loss", "0"); err != nil || varied.Net.Loss != 0 {
		t.Errorf("Vary net.loss=0: loss is not 0, or an error: %v", err)
	}
	for _, key := range []string{"service.9.slots", "nothing.at.all", "service.1.speed"} {
		if _, err := scenario.Vary(key, "3"); err == nil {
			t.Errorf("Vary accepted the unknown key %s", key)
		}
	}
}

// TestGreyServers checks that health checks limit the effect of grey servers. A sixth of the servers fails half of its
// runs quickly, which makes its load look low.
func TestGreyServers(t *testing.T) {
	scenario, err := Load("../../../lab/ill.toml")
	if err != nil {
		t.Fatal(err)
	}
	scenario.Nodes, scenario.Services[0].Servers, scenario.Routes[0].Rate, scenario.Routes[1].Rate, scenario.Seconds = 20, 14, 120, 200, 36
	for _, mode := range []GreyMode{GreyError, GreyReset} {
		scenario.Faults[0].Mode = mode
		result := Run(scenario, 1)
		if len(result.Violations) > 0 {
			t.Errorf("%s: %s", mode, strings.Join(result.Violations, "\n"))
		}
		requests, failed, late := 0, 0, 0
		for i, s := range result.Seconds[10:34] { // servers are grey until second 22, then some flap
			requests, failed, late = requests+s.Requests, failed+s.Failed, late+s.Late
			if s.Busy["desk"] < 40 { // the 14 servers have 168 slots
				t.Errorf("%s: in second %d only %.0f slots are in use, want at least 40", mode, 10+i, s.Busy["desk"])
			}
		}
		if failed*100 > requests || late*50 > requests {
			t.Errorf("%s: of %d requests %d failed and %d were late, want at most 1/100 and 1/50", mode, requests, failed, late)
		}
	}
}

// TestSimultaneousStart checks that no machine feeds more than relay.MaxChildren nodes when a thousand nodes start at
// once, and that after a second all nodes have the updates that the first quorum member had 0.1 s earlier.
func TestSimultaneousStart(t *testing.T) {
	scenario, err := Load("../../../lab/ill.toml")
	if err != nil {
		t.Fatal(err)
	}
	scenario.Nodes, scenario.Services[0].Servers, scenario.Seconds, scenario.Faults = 1000, 700, 1, nil
	scenario.Routes[0].Rate, scenario.Routes[1].Rate = 0, 0
	s := prepare(scenario, 1)
	previousIndex := uint64(0)
	for until := 100 * time.Millisecond; until <= sec(scenario.Seconds); until += 100 * time.Millisecond {
		previousIndex = s.members[0].catalog.Index()
		s.run(until)
		for name, view := range s.peerViews {
			if view.liveChildren() > relay.MaxChildren {
				t.Fatalf("after %v %s feeds %d children, more than relay.MaxChildren", until, name, view.liveChildren())
			}
		}
	}
	for _, node := range s.nodes {
		if node.hub.Index() < previousIndex {
			t.Fatalf("%s has updates up to %d, but the first quorum member had %d 0.1 s before", node.name, node.hub.Index(), previousIndex)
		}
	}
}

func TestIntervals(t *testing.T) {
	mean := Average([]float64{1, 2, 3, 4, 5}) // Student's t with 4 degrees of freedom: 2.776; standard deviation: 1.5811
	if mean.Mean != 3 || math.Abs(mean.HalfWidth-1.963) > 0.001 {
		t.Errorf("Average returned %v, want 3 ± 1.963", mean)
	}
	a, b := &Result{Seed: 1}, &Result{Seed: 2}
	if _, err := Compare([]*Result{a}, []*Result{b}); err == nil {
		t.Error("Compare paired results of different seeds")
	}
}

// TestShrink checks that Shrink keeps the fault and the route that the failure needs, and shortens the run.
func TestShrink(t *testing.T) {
	scenario := townScenario(t)
	shrunk := Shrink(scenario, func(candidate *Scenario) (float64, bool) {
		drained, rate := false, 0.0
		for _, fault := range candidate.Faults {
			drained = drained || fault.Kind == Drain
		}
		for _, route := range candidate.Routes {
			if route.Name == "ask" {
				rate = route.Rate
			}
		}
		return 27, drained && rate > 0 && candidate.Seconds >= 27
	})
	activeRoutes := 0
	for _, route := range shrunk.Routes {
		if route.Rate > 0 {
			activeRoutes++
		}
	}
	if shrunk.Seconds != 28 || len(shrunk.Faults) != 1 || shrunk.Faults[0].Kind != Drain || activeRoutes != 1 {
		t.Errorf("shrunk to %g s, faults %v and %d routes with clients; want 28 s, one drain and one route", shrunk.Seconds, shrunk.Faults, activeRoutes)
	}
	if len(scenario.Faults) < 3 || scenario.Routes[0].Rate == 0 {
		t.Error("Shrink changed its argument")
	}
}

// TestDepartedServersStayAway guards against requests to a server that has left, because its node's process ended right after
// the acknowledgement and the next one believed the registry or a late heartbeat. The violations are found by server.handle.
func TestDepartedServersStayAway(t *testing.T) {
	scenario := townScenario(t)
	scenario.Faults = []Fault{
		{AtS: 10, ForS: 6, Kind: Crash, Target: "leader"},
		{AtS: 10.1, ForS: 12, Kind: Deregister, Target: "server " + scenario.Services[0].Name + " 0"},
		{AtS: 10.2, ForS: 0.3, Kind: Crash, Target: "node 0"},
	}
	acknowledged := 0
	for seed := range uint64(8) {
		s := prepare(scenario, seed)
		s.run(sec(20))
		if s.servers[0].drainAcked {
			acknowledged++
		}
		if len(s.violations) > 0 {
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(s.violations, "\n"), strings.Join(s.recentEvents, "\n"))
		}
	}
	if acknowledged < 4 {
		t.Errorf("the departure was acknowledged in %d of 8 runs, want at least 4", acknowledged)
	}
}

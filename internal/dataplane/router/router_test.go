package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/cowmap"
	"ivydeck/internal/transport/wire"
)

const ms = time.Millisecond

// newTestTable returns a table with one service, an idempotent route "safe" and a non-idempotent route "once".
func newTestTable(t *testing.T, servers int) *Table {
	t.Helper()
	route := func(name string, kind meshconfig.Kind) *meshconfig.Route {
		return &meshconfig.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, TargetLatencyMs: 200, Priority: 1, Backend: "s", MaxAttempts: 3}
	}
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: 1, Backends: []meshconfig.Backend{{Name: "s"}},
		Routes: []*meshconfig.Route{route("safe", meshconfig.Idempotent), route("once", meshconfig.NonIdempotent)}})
	if err != nil {
		t.Fatal(err)
	}
	config, err := meshconfig.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	var empty cowmap.Map[*wire.Server]
	edit := empty.Edit()
	for i := range servers {
		id := fmt.Sprint("i", i)
		edit.Set(id, &wire.Server{Member: id, Service: "s"})
	}
	cluster := &ClusterState{Config: config, Servers: edit.Map()}
	table := NewTable(Options{Node: "n", RetryRatio: 1, RetryWindow: time.Second, Seed: 1})
	table.Update(0, cluster)
	table.SetRetrySlack(100)
	return table
}

// admit admits a request for a path, and fails the test if it is refused.
func (t *Table) admit(test *testing.T, path string) *Request {
	test.Helper()
	route := t.ClusterState().Config.Find("h", path)
	r, refused := t.Admit(0, Arrival{Route: route, Service: t.ChooseService(route), Deadline: 2 * time.Second})
	if refused != nil {
		test.Fatalf("refused: %v", refused)
	}
	return r
}

// TestRetries checks that a request that may have run is retried only if it is idempotent, and that one that has not run is
// retried, or answered with a Retry-After.
func TestRetries(t *testing.T) {
	answered := func(status int32) *wire.ForwardResponse {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: status}
	}
	outcome := func(result wire.ForwardResponse_Result) *wire.ForwardResponse {
		return &wire.ForwardResponse{Result: result}
	}
	for _, c := range []struct {
		name, path string
		outcomes   []*wire.ForwardResponse
		forward    bool
		status     int
		retryAfter bool
	}{
		{"answered", "/once/", []*wire.ForwardResponse{answered(200)}, true, 0, false},
		{"not run", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_NOT_RUN), answered(200)}, true, 0, false},
		{"rejected twice", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_NOT_SENT), outcome(wire.ForwardResponse_NOT_SENT), answered(200)}, true, 0, false},
		{"never run", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_NOT_RUN), outcome(wire.ForwardResponse_NOT_RUN), outcome(wire.ForwardResponse_NOT_RUN)}, false, 503, true},
		{"broken, non-idempotent", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_BROKEN)}, false, 502, false},
		{"deadline exceeded, non-idempotent", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_DEADLINE_EXCEEDED)}, false, 504, false},
		{"not run, then broken", "/once/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_NOT_RUN), outcome(wire.ForwardResponse_BROKEN)}, false, 502, false},
		{"broken, retried", "/safe/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_BROKEN), answered(200)}, true, 0, false},
		{"broken, then not run", "/safe/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_BROKEN), outcome(wire.ForwardResponse_NOT_RUN), outcome(wire.ForwardResponse_NOT_RUN)}, false, 502, false},
		{"server error, retried", "/safe/", []*wire.ForwardResponse{answered(500), answered(200)}, true, 0, false},
		{"server error, non-idempotent", "/once/", []*wire.ForwardResponse{answered(500)}, true, 0, false},
		{"status 429 from the server", "/once/", []*wire.ForwardResponse{answered(429)}, false, 502, false},
		{"attempts used up", "/safe/", []*wire.ForwardResponse{outcome(wire.ForwardResponse_BROKEN), outcome(wire.ForwardResponse_DEADLINE_EXCEEDED), outcome(wire.ForwardResponse_BROKEN)}, false, 502, false},
	} {
		r := newTestTable(t, 6).admit(t, c.path)
		attempted := map[string]bool{}
		var final *Response
		forward := false
		for i, response := range c.outcomes {
			action := r.Next(time.Duration(i) * ms)
			if action.Server == "" || attempted[action.Server] {
				t.Fatalf("%s: attempt %d goes to %q after attempts at %v; response %v", c.name, i, action.Server, attempted, action.Response)
			}
			attempted[action.Server] = true
			if final, forward = r.HandleOutcome(time.Duration(i)*ms, action.Server, response, Result(response)); (final != nil || forward) != (i == len(c.outcomes)-1) {
				t.Fatalf("%s: after attempt %d: final response %v, forward %v", c.name, i+1, final, forward)
			}
		}
		if forward != c.forward || !forward && (final.Status != c.status || (final.RetryAfter > 0) != c.retryAfter) {
			t.Errorf("%s: final response %v, forward %v", c.name, final, forward)
		}
	}
}

// TestNoServer checks that a request without a server is given up well before its deadline.
func TestNoServer(t *testing.T) {
	r := newTestTable(t, 0).admit(t, "/once/")
	now := time.Duration(0)
	for action := r.Next(now); action.Response == nil; action = r.Next(now) {
		if action.Wait <= 0 {
			t.Fatalf("at %v: action %+v, want a wait", now, action)
		}
		now += action.Wait
	}
	if now > 100*ms {
		t.Errorf("given up after %v, want at most 100ms", now)
	}
	if response := r.Next(now).Response; response.Status != 503 || response.RetryAfter <= 0 {
		t.Errorf("final response %+v, want status 503 with a Retry-After", response)
	}
	late := newTestTable(t, 2).admit(t, "/safe/")
	id := late.Next(0).Server
	outcome := &wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED}
	if final, _ := late.HandleOutcome(2*time.Second, id, outcome, Result(outcome)); final == nil || final.Status != 504 {
		t.Errorf("final response at the deadline: %v, want status 504", final)
	}
}

// TestSaturatedDownstream checks that requests whose runs call a saturated service are refused at their entry, and that
// inner calls are admitted.
func TestSaturatedDownstream(t *testing.T) {
	table := newTestTable(t, 4)
	route := table.ClusterState().Config.Find("h", "/safe/")
	for range 40 {
		table.recordRun(0, route.Name, &wire.ForwardResponse{Calls: []*wire.CallCount{{Service: "s", Count: 2}}})
	}
	if len(table.downstreamGates(0, route)) != 1 {
		t.Fatalf("%d downstream services, want 1", len(table.downstreamGates(0, route)))
	}
	table.admit(t, "/safe/") // a gate without requests in flight admits all
	for range 400 {
		table.service(0, "s").gate.RecordCapacity(0, false)
	}
	refused, inner := 0, 0
	for range 200 {
		if _, response := table.Admit(0, Arrival{Route: route, Service: "s", Deadline: time.Second}); response != nil {
			refused++
		}
		if _, response := table.Admit(0, Arrival{Route: route, Service: "s", Deadline: time.Second, Inner: true}); response != nil {
			inner++
		}
	}
	if refused == 0 || inner > 0 {
		t.Errorf("%d entry requests and %d inner calls refused, want some and none", refused, inner)
	}
	if got := Result(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: true}); got != decide.NotSent {
		t.Errorf("result of a request to a terminated server: %v, want NotSent", got)
	}
}

// TestHedge checks that an idempotent request whose first attempt is slow gets a second one, and that a failure of the first
// attempt leaves the request to the second.
func TestHedge(t *testing.T) {
	outcome := func(result wire.ForwardResponse_Result) *wire.ForwardResponse {
		return &wire.ForwardResponse{Result: result}
	}
	good, bad := &wire.ForwardResponse{Status: 200}, &wire.ForwardResponse{Status: 500}
	for _, c := range []struct {
		name          string
		first, second *wire.ForwardResponse
		forward       bool // whether the second response is forwarded
		status        int
	}{
		{"first broken", outcome(wire.ForwardResponse_BROKEN), good, true, 0},
		{"first answers 500", bad, good, true, 0},
		{"first not run", outcome(wire.ForwardResponse_NOT_RUN), good, true, 0},
		{"both broken", outcome(wire.ForwardResponse_BROKEN), outcome(wire.ForwardResponse_BROKEN), false, 502},
	} {
		table := newTestTable(t, 4)
		table.recordRun(0, "safe", &wire.ForwardResponse{Status: 200, TookMs: 60})
		r := table.admit(t, "/safe/")
		r.Route.MaxAttempts = 2
		if delay := r.HedgeDelay(); delay != 120*ms {
			t.Fatalf("hedge delay is %v, want 120ms", delay)
		}
		first := r.Next(0)
		second, ok := r.Hedge(120 * ms)
		if !ok || second.Server == first.Server || !second.Retry || first.Retry {
			t.Fatalf("%s: second attempt %+v after first %+v", c.name, second, first)
		}
		if _, ok := r.Hedge(121 * ms); ok {
			t.Errorf("%s: a third attempt was allowed", c.name)
		}
		if final, forward := r.HandleOutcome(130*ms, first.Server, c.first, Result(c.first)); final != nil || forward {
			t.Errorf("%s: final response %v, forward %v while the second attempt is in flight", c.name, final, forward)
		}
		final, forward := r.HandleOutcome(140*ms, second.Server, c.second, Result(c.second))
		if forward != c.forward || !forward && final.Status != c.status {
			t.Errorf("%s: final response %v, forward %v", c.name, final, forward)
		}
	}
	table := newTestTable(t, 4)
	table.recordRun(0, "once", &wire.ForwardResponse{Status: 200, TookMs: 60})
	if delay := table.admit(t, "/once/").HedgeDelay(); delay != 0 {
		t.Errorf("hedge delay of a non-idempotent request is %v, want 0", delay)
	}
	r := table.admit(t, "/safe/")
	table.SetRetrySlack(0)
	for r.service.budget.Available(0) >= hedgeBudgetReserve {
		r.service.budget.Charge(0, 1)
	}
	r.Next(0)
	if _, ok := r.Hedge(200 * ms); ok {
		t.Error("hedged although less than hedgeBudgetReserve is left of the retry budget")
	}
}

// TestSaturationIsRecorded checks that a request is recorded as having found no free slot once it has been rejected often
// enough to queue, and not if its first or second attempt is accepted.
func TestSaturationIsRecorded(t *testing.T) {
	for _, c := range []struct{ rejections, requests int }{{0, 20}, {1, 20}, {2, 20}} {
		table := newTestTable(t, 6)
		for range c.requests {
			r := table.admit(t, "/safe/")
			for range c.rejections {
				r.HandleOutcome(0, r.Next(0).Server, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Queued: true}, decide.Unhealthy)
			}
			action := r.Next(0)
			if queue := c.rejections >= immediateAttempts; action.MayQueue != queue && table.service(0, "s").gate.LowPressure(0) {
				t.Errorf("MayQueue is %v after %d rejections", action.MayQueue, c.rejections)
			}
			r.HandleOutcome(0, action.Server, &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: 200}, decide.Served)
			r.End(0)
		}
		if saturated := c.rejections >= immediateAttempts; table.service(0, "s").gate.LowPressure(0) == saturated {
			t.Errorf("after %d rejections of each request, the pressure is %.2f", c.rejections, table.Pressure(0, "s"))
		}
	}
}

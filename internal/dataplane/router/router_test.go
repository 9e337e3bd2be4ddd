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

func table(t *testing.T, servers int) *Table {
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
	var list cowmap.Map[*wire.Server]
	edit := list.Edit()
	for i := range servers {
		id := fmt.Sprint("i", i)
		edit.Set(id, &wire.Server{Member: id, Service: "s"})
	}
	w := &ClusterState{Config: config, Servers: edit.Map()}
	tab := NewTable(Options{Node: "n", RetryRatio: 1, RetryWindow: time.Second, Seed: 1})
	tab.Update(0, w)
	tab.SetRetrySlack(100)
	return tab
}

func (t *Table) enter(test *testing.T, path string) *Request {
	test.Helper()
	route := t.ClusterState().Config.Find("h", path)
	r, refused := t.Admit(0, Arrival{Route: route, Service: t.ChooseService(route), Deadline: 2 * time.Second})
	if refused != nil {
		test.Fatalf("refused: %v", refused)
	}
	return r
}

// TestTries: what may have run is repeated only where that does no harm, and what
// has not run goes to another server, or is given back with a time to return.
func TestTries(t *testing.T) {
	answered := func(status int32) *wire.ForwardResponse {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: status}
	}
	fate := func(f wire.ForwardResponse_Result) *wire.ForwardResponse { return &wire.ForwardResponse{Result: f} }
	for _, c := range []struct {
		name, path string
		outs       []*wire.ForwardResponse
		pass       bool
		status     int
		promise    bool
	}{
		{"an answer", "/once/", []*wire.ForwardResponse{answered(200)}, true, 0, false},
		{"not run", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_NOT_RUN), answered(200)}, true, 0, false},
		{"turned away", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_NOT_SENT), fate(wire.ForwardResponse_NOT_SENT), answered(200)}, true, 0, false},
		{"never run", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_NOT_RUN), fate(wire.ForwardResponse_NOT_RUN), fate(wire.ForwardResponse_NOT_RUN)}, false, 503, true},
		{"broken once", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_BROKEN)}, false, 502, false},
		{"late once", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_DEADLINE_EXCEEDED)}, false, 504, false},
		{"not run, then broken", "/once/", []*wire.ForwardResponse{fate(wire.ForwardResponse_NOT_RUN), fate(wire.ForwardResponse_BROKEN)}, false, 502, false},
		{"broken, repeated", "/safe/", []*wire.ForwardResponse{fate(wire.ForwardResponse_BROKEN), answered(200)}, true, 0, false},
		{"broken, then not run", "/safe/", []*wire.ForwardResponse{fate(wire.ForwardResponse_BROKEN), fate(wire.ForwardResponse_NOT_RUN), fate(wire.ForwardResponse_NOT_RUN)}, false, 502, false},
		{"an error, repeated", "/safe/", []*wire.ForwardResponse{answered(500), answered(200)}, true, 0, false},
		{"an error", "/once/", []*wire.ForwardResponse{answered(500)}, true, 0, false},
		{"a promise that nobody made", "/once/", []*wire.ForwardResponse{answered(429)}, false, 502, false},
		{"no more tries", "/safe/", []*wire.ForwardResponse{fate(wire.ForwardResponse_BROKEN), fate(wire.ForwardResponse_DEADLINE_EXCEEDED), fate(wire.ForwardResponse_BROKEN)}, false, 502, false},
	} {
		r := table(t, 6).enter(t, c.path)
		asked := map[string]bool{}
		var final *Response
		pass := false
		for i, out := range c.outs {
			step := r.Next(time.Duration(i) * ms)
			if step.Server == "" || asked[step.Server] {
				t.Fatalf("%s: try %d goes to %q after %v: %v", c.name, i, step.Server, asked, step.Response)
			}
			asked[step.Server] = true
			if final, pass = r.HandleOutcome(time.Duration(i)*ms, step.Server, out, Result(out)); (final != nil || pass) != (i == len(c.outs)-1) {
				t.Fatalf("%s: over after %d tries: %v, %v", c.name, i+1, final, pass)
			}
		}
		if pass != c.pass || !pass && (final.Status != c.status || (final.RetryAfter > 0) != c.promise) {
			t.Errorf("%s: %v, passed %v", c.name, final, pass)
		}
	}
}

// TestNoServer: a request that finds no room is given up well before its time.
func TestNoServer(t *testing.T) {
	r := table(t, 0).enter(t, "/once/")
	now := time.Duration(0)
	for step := r.Next(now); step.Response == nil; step = r.Next(now) {
		if step.Wait <= 0 {
			t.Fatalf("at %v: %+v", now, step)
		}
		now += step.Wait
	}
	if now > 100*ms {
		t.Errorf("given up after %v", now)
	}
	if f := r.Next(now).Response; f.Status != 503 || f.RetryAfter <= 0 {
		t.Errorf("%+v", f)
	}
	late := table(t, 2).enter(t, "/safe/")
	id := late.Next(0).Server
	out := &wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED}
	if f, _ := late.HandleOutcome(2*time.Second, id, out, Result(out)); f == nil || f.Status != 504 {
		t.Errorf("at its deadline: %v", f)
	}
}

// TestGraphsLookAhead: a route whose runs call a service that has no room is kept
// out at its entry; calls inside pass.
func TestGraphsLookAhead(t *testing.T) {
	tab := table(t, 4)
	route := tab.ClusterState().Config.Find("h", "/safe/")
	for range 40 {
		tab.recordRun(0, route.Name, &wire.ForwardResponse{Calls: []*wire.CallCount{{Service: "s", Count: 2}}})
	}
	if len(tab.downstreamGates(0, route)) != 1 {
		t.Fatalf("%d services behind", len(tab.downstreamGates(0, route)))
	}
	tab.enter(t, "/safe/") // one in flight: else all are admitted
	for range 400 {
		tab.service(0, "s").gate.RecordCapacity(0, false)
	}
	refused, inner := 0, 0
	for range 200 {
		if _, f := tab.Admit(0, Arrival{Route: route, Service: "s", Deadline: time.Second}); f != nil {
			refused++
		}
		if _, f := tab.Admit(0, Arrival{Route: route, Service: "s", Deadline: time.Second, Inner: true}); f != nil {
			inner++
		}
	}
	if refused == 0 || inner > 0 {
		t.Errorf("%d entries and %d inner calls refused", refused, inner)
	}
	if got := Result(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: true}); got != decide.NotSent {
		t.Errorf("%v", got)
	}
}

// TestHedge: a repeatable request whose first server takes far too long has a second one, and whatever the first then
// says takes no answer away that the second can still give.
func TestHedge(t *testing.T) {
	fate := func(f wire.ForwardResponse_Result) *wire.ForwardResponse { return &wire.ForwardResponse{Result: f} }
	good, bad := &wire.ForwardResponse{Status: 200}, &wire.ForwardResponse{Status: 500}
	for _, c := range []struct {
		name          string
		first, second *wire.ForwardResponse
		pass          bool // with the second's end
		status        int
	}{
		{"the second answers", fate(wire.ForwardResponse_BROKEN), good, true, 0},
		{"the first fails itself", bad, good, true, 0},
		{"the first had not run", fate(wire.ForwardResponse_NOT_RUN), good, true, 0},
		{"both break", fate(wire.ForwardResponse_BROKEN), fate(wire.ForwardResponse_BROKEN), false, 502},
	} {
		tab := table(t, 4)
		tab.recordRun(0, "safe", &wire.ForwardResponse{Status: 200, TookMs: 60})
		r := tab.enter(t, "/safe/")
		r.Route.MaxAttempts = 2
		if after := r.HedgeDelay(); after != 120*ms {
			t.Fatalf("a second server after %v", after)
		}
		one := r.Next(0)
		two, ok := r.Hedge(120 * ms)
		if !ok || two.Server == one.Server || !two.Retry || one.Retry {
			t.Fatalf("%s: %+v behind %+v", c.name, two, one)
		}
		if _, ok := r.Hedge(121 * ms); ok {
			t.Errorf("%s: a third server", c.name)
		}
		if final, pass := r.HandleOutcome(130*ms, one.Server, c.first, Result(c.first)); final != nil || pass {
			t.Errorf("%s: over while the second is at work: %v, %v", c.name, final, pass)
		}
		final, pass := r.HandleOutcome(140*ms, two.Server, c.second, Result(c.second))
		if pass != c.pass || !pass && final.Status != c.status {
			t.Errorf("%s: %v, passed %v", c.name, final, pass)
		}
	}
	tab := table(t, 4)
	tab.recordRun(0, "once", &wire.ForwardResponse{Status: 200, TookMs: 60})
	if after := tab.enter(t, "/once/").HedgeDelay(); after != 0 {
		t.Errorf("one that may run once has a second server after %v", after)
	}
	r := tab.enter(t, "/safe/")
	tab.SetRetrySlack(0)
	for r.service.budget.Available(0) >= hedgeBudgetReserve {
		r.service.budget.Charge(0, 1)
	}
	r.Next(0)
	if _, ok := r.Hedge(200 * ms); ok {
		t.Error("a second server beyond the budget")
	}
}

// TestWaitsAreToldAtOnce: a request that is turned away where it looks, and lets itself be queued at last, has not
// found room. One that is taken at its first or second look has.
func TestWaitsAreToldAtOnce(t *testing.T) {
	for _, c := range []struct{ turned, requests int }{{0, 20}, {1, 20}, {2, 20}} {
		tab := table(t, 6)
		for range c.requests {
			r := tab.enter(t, "/safe/")
			for range c.turned {
				r.HandleOutcome(0, r.Next(0).Server, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Queued: true}, decide.Unhealthy)
			}
			step := r.Next(0)
			if queue := c.turned >= immediateAttempts; step.MayQueue != queue && tab.service(0, "s").gate.Calm(0) {
				t.Errorf("turned away %d times it may wait: %v", c.turned, step.MayQueue)
			}
			r.HandleOutcome(0, step.Server, &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: 200}, decide.Served)
			r.End(0)
		}
		if crowd := c.turned >= immediateAttempts; tab.service(0, "s").gate.Calm(0) == crowd {
			t.Errorf("all are turned away %d times, and the gate's pressure is %.2f", c.turned, tab.Pressure(0, "s"))
		}
	}
}

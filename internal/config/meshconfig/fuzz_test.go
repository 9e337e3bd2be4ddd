package meshconfig

import (
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// validBody returns an encoded valid configuration, after change has modified it and its route.
func validBody(t testing.TB, change func(m, route map[string]any)) []byte {
	route := map[string]any{"name": "r", "hostname": "h", "path_prefix": "/a/", "route_type": "idempotent", "timeout_ms": 1000,
		"target_latency_ms": 100, "priority": 1, "backend": "s", "max_attempts": 2}
	m := map[string]any{"revision": 1, "backend_table": []map[string]any{{"name": "s"}}, "route_table": []map[string]any{route}}
	if change != nil {
		change(m, route)
	}
	b, err := msgpack.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestErrorsHavePositions checks the error of each kind of invalid configuration.
func TestErrorsHavePositions(t *testing.T) {
	for want, change := range map[string]func(m, route map[string]any){
		"revision is 0":            func(m, _ map[string]any) { m["revision"] = 0 },
		"has no hostname":          func(_, r map[string]any) { r["hostname"] = "" },
		"does not start and end":   func(_, r map[string]any) { r["path_prefix"] = "a" },
		"route_type is":            func(_, r map[string]any) { r["route_type"] = "unknown" },
		"timeout_ms is 0":          func(_, r map[string]any) { r["timeout_ms"] = 0 },
		"a negative number":        func(_, r map[string]any) { r["priority"] = -1 },
		`no service "x"`:           func(_, r map[string]any) { r["backend"] = "x" },
		"weights add up to 0":      func(_, r map[string]any) { r["backend"] = "" },
		"both backend and":         func(_, r map[string]any) { r["weighted_backends"] = []map[string]any{{"backend": "s", "weight": 1}} },
		"is there twice":           func(m, _ map[string]any) { m["backend_table"] = []map[string]any{{"name": "s"}, {"name": "s"}} },
		"has no name":              func(m, _ map[string]any) { m["backend_table"] = []map[string]any{{"name": "s"}, {}} },
		"another route has host":   func(m, r map[string]any) { m["route_table"] = []map[string]any{r, r} },
		"not readable":             func(m, _ map[string]any) { m["route_table"] = 5 },
		"request_limits: a negati": func(m, _ map[string]any) { m["request_limits"] = map[string]any{"max_body_bytes": -1} },
	} {
		if _, err := Parse(validBody(t, change)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	if _, err := Parse(append(validBody(t, nil), 0xc0)); err == nil {
		t.Error("trailing bytes were accepted")
	}
}

// FuzzConfig checks that a route of any accepted configuration names existing services and is found by its host and prefix.
func FuzzConfig(f *testing.F) {
	f.Add(validBody(f, nil), "h", "/a/b")
	f.Add(validBody(f, func(m, r map[string]any) {
		r["backend"] = ""
		r["weighted_backends"] = []map[string]any{{"backend": "s", "weight": 0.5}, {"backend": "s", "weight": 0}}
	}), "h:80", "/")
	f.Add([]byte{0x80}, "", "")
	f.Fuzz(func(t *testing.T, data []byte, host, path string) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		known := map[string]bool{}
		for _, b := range c.Backends {
			known[b.Name] = true
		}
		for i := range c.Routes {
			r := c.Routes[i]
			for _, x := range []float64{0, 0.5, 0.999999} {
				if s := r.Service(x); !known[s] {
					t.Errorf("route %d selects %q, which is not a service", i, s)
				}
			}
			if got := c.Find(r.Host, r.Prefix); got == nil || !strings.HasPrefix(r.Prefix, got.Prefix) {
				t.Errorf("Find with the host and prefix of route %d returned %v", i, got)
			}
		}
		if r := c.Find(host, path); r != nil && !strings.HasPrefix(path, r.Prefix) {
			t.Errorf("host %q and path %q match prefix %q", host, path, r.Prefix)
		}
	})
}

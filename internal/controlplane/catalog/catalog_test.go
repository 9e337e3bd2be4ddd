package catalog

import (
	"bytes"
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

func config(t *testing.T, revision uint64, change func(map[string]any)) []byte {
	t.Helper()
	c := map[string]any{
		"revision": revision,
		"route_table": []map[string]any{{"name": "r", "hostname": "H.example", "path_prefix": "/a/", "route_type": "idempotent",
			"timeout_ms": 1000, "target_latency_ms": 200, "priority": 1, "backend": "s", "max_attempts": 2}},
		"backend_table":  []map[string]any{{"name": "s", "health_path": "/health", "max_connections": 9, "protocol": "h1"}},
		"request_limits": map[string]any{"max_header_bytes": 16384},
	}
	if change != nil {
		change(c)
	}
	body, err := msgpack.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func put(base uint64, body []byte) *wire.Command {
	return &wire.Command{Change: &wire.Command_Config{Config: &wire.PutConfig{Base: base, Body: body}}}
}

func TestAcceptConfig(t *testing.T) {
	c := New()
	three, seven := config(t, 3, nil), config(t, 7, nil)
	route := func(key string, value any) func(map[string]any) {
		return func(c map[string]any) { c["route_table"].([]map[string]any)[0][key] = value }
	}
	for _, step := range []struct {
		name string
		base uint64
		body []byte
		want string // taken, known, stale, invalid
	}{
		{"the first", 0, three, "taken"},
		{"the same again", 0, three, "known"},
		{"another on the same base", 0, config(t, 4, nil), "stale"},
		{"a later one", 3, seven, "taken"},
		{"the first again, long after", 0, three, "known"},
		{"an old revision", 7, config(t, 7, route("priority", 2)), "invalid"},
		{"cut short", 7, config(t, 9, nil)[:40], "invalid"},
		{"with more behind it", 7, append(config(t, 9, nil), 1), "invalid"},
		{"an unknown service", 7, config(t, 9, route("backend", "x")), "invalid"},
		{"no time", 7, config(t, 9, route("timeout_ms", 0)), "invalid"},
		{"no weight", 7, config(t, 9, func(c map[string]any) {
			r := c["route_table"].([]map[string]any)[0]
			delete(r, "backend")
			r["weighted_backends"] = []map[string]any{{"backend": "s", "weight": 0}}
		}), "invalid"},
		{"two routes in one place", 7, config(t, 9, func(c map[string]any) {
			r := c["route_table"].([]map[string]any)
			c["route_table"] = append(r, r[0])
		}), "invalid"},
		{"a good one after all", 7, config(t, 9, nil), "taken"},
	} {
		before := c.Index()
		changes, err := c.Apply(put(step.base, step.body))
		got := "known"
		switch {
		case errors.Is(err, ErrStale):
			got = "stale"
		case err != nil:
			got = "invalid"
		case changes != nil:
			got = "taken"
		}
		if got != step.want {
			t.Errorf("%s: %s (%v), want %s", step.name, got, err, step.want)
		}
		if (c.Index() != before) != (step.want == "taken") {
			t.Errorf("%s: the index went from %d to %d", step.name, before, c.Index())
		}
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	c := New()
	body := config(t, 3, nil)
	c.Apply(put(0, body))
	srv := &wire.Server{Member: "i-1", Service: "s", Node: "n", Slots: 4}
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: srv}})
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	d := New()
	if err := d.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(c.FullChanges(), d.FullChanges()) || d.Revision() != 3 || !bytes.Equal(d.Body(), body) {
		t.Errorf("%v and %v", c.FullChanges(), d.FullChanges())
	}
	if changes, err := d.Apply(put(0, body)); changes != nil || err != nil {
		t.Errorf("a resend after a snapshot: %v, %v", changes, err)
	}
	if err := New().Restore(data[:len(data)-3]); err == nil {
		t.Error("a torn snapshot was taken")
	}
}

package catalog

import (
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/wire"
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
	return &wire.Command{What: &wire.Command_Config{Config: &wire.PutConfig{Base: base, Body: body}}}
}

func TestVerdictsOnConfigurations(t *testing.T) {
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
		before := c.Number
		item, err := c.Apply(put(step.base, step.body))
		got := "known"
		switch {
		case errors.Is(err, ErrStale):
			got = "stale"
		case err != nil:
			got = "invalid"
		case item != nil:
			got = "taken"
		}
		if got != step.want {
			t.Errorf("%s: %s (%v), want %s", step.name, got, err, step.want)
		}
		if (c.Number != before) != (step.want == "taken") {
			t.Errorf("%s: news number went from %d to %d", step.name, before, c.Number)
		}
	}
}

func TestSnapshotsKeepAll(t *testing.T) {
	c := New()
	body := config(t, 3, nil)
	c.Apply(put(0, body))
	srv := &wire.Server{Member: "i-1", Service: "s", Node: "n", Slots: 4}
	c.Apply(&wire.Command{What: &wire.Command_Server{Server: srv}})
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	d := New()
	if err := d.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(c.State(), d.State()) || d.Revision() != 3 {
		t.Errorf("%v and %v", c.State(), d.State())
	}
	if item, err := d.Apply(put(0, body)); item != nil || err != nil {
		t.Errorf("a resend after a snapshot: %v, %v", item, err)
	}
	if err := New().Restore(data[:len(data)-3]); err == nil {
		t.Error("a torn snapshot was taken")
	}
}

func TestNewsWithGaps(t *testing.T) {
	c, v := New(), NewView()
	var news News
	for i := range 3 * leastNews {
		srv := &wire.Server{Member: "i", Slots: uint32(i)}
		item, _ := c.Apply(&wire.Command{What: &wire.Command_Server{Server: srv}})
		if item == nil {
			t.Fatal("no news of a change")
		}
		news.Add(item, 0)
	}
	if _, ok := news.Since(0, c.Number); ok {
		t.Error("news are kept without a bound")
	}
	v.Load(c.State())
	if v.Follow(&wire.Item{Number: c.Number}) || v.Follow(&wire.Item{Number: c.Number + 2}) || !v.Follow(&wire.Item{Number: c.Number + 1}) {
		t.Error("old news, or news behind a gap, were followed")
	}
	if items, ok := news.Since(c.Number-2, c.Number); !ok || len(items) != 2 || items[1].Number != c.Number {
		t.Errorf("%v, %v", items, ok)
	}
}

// TestNewsAreBounded: by their number and by their bytes; the newest always stays.
func TestNewsAreBounded(t *testing.T) {
	for _, c := range []struct{ items, bytes, most int }{{1000, 10, leastNews}, {40, 1 << 20, 16}, {3, 20 << 20, 1}} {
		var n News
		for i := range c.items {
			n.Add(&wire.Item{Number: uint64(i + 1), What: &wire.Item_Config{Config: make([]byte, c.bytes)}}, 0)
			sum := 0
			for _, item := range n.items {
				sum += proto.Size(item)
			}
			if len(n.items) > c.most || len(n.items) == 0 || sum != n.bytes {
				t.Fatalf("%d of %d bytes: %d are kept, %d bytes, %d booked", i+1, c.bytes, len(n.items), sum, n.bytes)
			}
		}
		newest := uint64(c.items)
		if items, ok := n.Since(newest-1, newest); !ok || len(items) != 1 || items[0].Number != newest {
			t.Errorf("the newest is not kept: %v", ok)
		}
	}
}

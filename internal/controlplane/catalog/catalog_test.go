package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

func encodeConfig(t *testing.T, revision uint64, change func(map[string]any)) []byte {
	t.Helper()
	fields := map[string]any{
		"revision": revision,
		"route_table": []map[string]any{{"name": "r", "hostname": "H.example", "path_prefix": "/a/", "route_type": "idempotent",
			"timeout_ms": 1000, "target_latency_ms": 200, "priority": 1, "backend": "s", "max_attempts": 2}},
		"backend_table":  []map[string]any{{"name": "s", "health_path": "/health", "max_connections": 9, "protocol": "h1"}},
		"request_limits": map[string]any{"max_header_bytes": 16384},
	}
	if change != nil {
		change(fields)
	}
	body, err := msgpack.Marshal(fields)
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
	three, seven := encodeConfig(t, 3, nil), encodeConfig(t, 7, nil)
	route := func(key string, value any) func(map[string]any) {
		return func(c map[string]any) { c["route_table"].([]map[string]any)[0][key] = value }
	}
	for _, step := range []struct {
		name string
		base uint64
		body []byte
		want string // accepted, duplicate, stale or invalid
	}{
		{"first change", 0, three, "accepted"},
		{"resent at once", 0, three, "duplicate"},
		{"another change on a stale base", 0, encodeConfig(t, 4, nil), "stale"},
		{"second change", 3, seven, "accepted"},
		{"first change resent after the second", 0, three, "duplicate"},
		{"current revision with another body", 7, encodeConfig(t, 7, route("priority", 2)), "invalid"},
		{"truncated", 7, encodeConfig(t, 9, nil)[:40], "invalid"},
		{"trailing byte", 7, append(encodeConfig(t, 9, nil), 1), "invalid"},
		{"unknown backend", 7, encodeConfig(t, 9, route("backend", "x")), "invalid"},
		{"zero timeout", 7, encodeConfig(t, 9, route("timeout_ms", 0)), "invalid"},
		{"zero weight", 7, encodeConfig(t, 9, func(c map[string]any) {
			r := c["route_table"].([]map[string]any)[0]
			delete(r, "backend")
			r["weighted_backends"] = []map[string]any{{"backend": "s", "weight": 0}}
		}), "invalid"},
		{"two routes with the same host and prefix", 7, encodeConfig(t, 9, func(c map[string]any) {
			r := c["route_table"].([]map[string]any)
			c["route_table"] = append(r, r[0])
		}), "invalid"},
		{"valid change after rejected ones", 7, encodeConfig(t, 9, nil), "accepted"},
	} {
		before := c.Index()
		changes, err := c.Apply(put(step.base, step.body))
		got := "duplicate"
		switch {
		case errors.Is(err, ErrStale):
			got = "stale"
		case err != nil:
			got = "invalid"
		case changes != nil:
			got = "accepted"
		}
		if got != step.want {
			t.Errorf("%s: %s (%v), want %s", step.name, got, err, step.want)
		}
		if (c.Index() != before) != (step.want == "accepted") {
			t.Errorf("%s: the index went from %d to %d", step.name, before, c.Index())
		}
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	c := New()
	body := encodeConfig(t, 3, nil)
	c.Apply(put(0, body))
	server := &wire.Server{Member: "i-1", Service: "s", Node: "n", Slots: 4}
	c.Apply(&wire.Command{Change: &wire.Command_Server{Server: server}})
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(c.FullChanges(), restored.FullChanges()) || restored.Revision() != 3 || !bytes.Equal(restored.Body(), body) {
		t.Errorf("state before the snapshot is %v, and %v after the restore", c.FullChanges(), restored.FullChanges())
	}
	if changes, err := restored.Apply(put(0, body)); changes != nil || err != nil {
		t.Errorf("resend after a restore: changes %v, error %v; want neither", changes, err)
	}
	if err := New().Restore(data[:len(data)-3]); err == nil {
		t.Error("truncated snapshot was restored")
	}
}

// TestDepartures guards against departures that are lost in a snapshot, revoked by an earlier phase, or kept without a bound.
func TestDepartures(t *testing.T) {
	c := New()
	record := func(member string, phase wire.Departure_Phase) {
		t.Helper()
		command := &wire.Command{Change: &wire.Command_Departures{Departures: &wire.Departures{Departures: []*wire.Departure{{Member: member, Phase: phase}}}}}
		if changes, err := c.Apply(command); changes != nil || err != nil {
			t.Fatalf("changes %v, error %v; want none, as departures are no resources", changes, err)
		}
	}
	record("first", wire.Departure_DRAINING)
	record("second", wire.Departure_DEREGISTERED)
	record("second", wire.Departure_DRAINING)
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if c, err = Decode(data); err != nil {
		t.Fatal(err)
	}
	if c.Departure("first") != wire.Departure_DRAINING || c.Departure("second") != wire.Departure_DEREGISTERED || c.Departure("third") != wire.Departure_NONE {
		t.Errorf("phases %v, %v and %v after a snapshot, want DRAINING, DEREGISTERED and NONE", c.Departure("first"), c.Departure("second"), c.Departure("third"))
	}
	for i := range maxDepartures {
		record(fmt.Sprint("i-", i), wire.Departure_DEREGISTERED)
	}
	last := fmt.Sprint("i-", maxDepartures-1)
	if c.Departure("first") != wire.Departure_NONE || c.Departure(last) != wire.Departure_DEREGISTERED || c.departures.Len() > maxDepartures {
		t.Errorf("with more than %d departures: %d kept, the oldest in phase %v, the newest in phase %v", maxDepartures, c.departures.Len(), c.Departure("first"), c.Departure(last))
	}
}

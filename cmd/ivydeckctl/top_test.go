package main

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/controlplane/server"
)

// TestRates: a node that has started anew between two looks counts from its start, not from what it was before.
func TestRates(t *testing.T) {
	before := server.Look{Nodes: []server.NodeLook{{Node: "a", Served: 100, Failed: 7, UpMs: 10_000}}}
	for _, c := range []struct {
		what           string
		now            server.NodeLook
		served, failed float64
	}{
		{"the same process", server.NodeLook{Node: "a", Served: 120, Failed: 9, UpMs: 12_000}, 10, 1},
		{"a new one", server.NodeLook{Node: "a", Served: 20, Failed: 1, UpMs: 1_000}, 20, 1},
		{"a new one that has done more", server.NodeLook{Node: "a", Served: 200, UpMs: 1_900}, 200 / 1.9, 0},
		{"one that was not there", server.NodeLook{Node: "b", Served: 20, UpMs: 4_000}, 5, 0},
	} {
		r := since(before, c.now, 2*time.Second)
		if math.Abs(r.served-c.served) > 1e-9 || math.Abs(r.failed-c.failed) > 1e-9 {
			t.Errorf("%s: %.2f served and %.2f failed a second, want %.2f and %.2f", c.what, r.served, r.failed, c.served, c.failed)
		}
	}
}

// TestTop: the worst come first, and servers without a fault are not shown.
func TestTop(t *testing.T) {
	now := server.Look{Asked: 3, Silent: 1, Nodes: []server.NodeLook{
		{Node: "well", Served: 50, UpMs: 1000, Services: []server.ServiceLook{{Service: "s", R: 0.4, Chances: []float64{1, 1}, Left: 3}},
			Servers: []server.ServerLook{{Server: "i-1", Service: "s", Running: 2, Slots: 4}}},
		{Node: "bad", Served: 10, Failed: 5, UpMs: 1000, Services: []server.ServiceLook{{Service: "s", R: 0.8, Chances: []float64{1, 0.25}, Left: 1}},
			Servers: []server.ServerLook{{Server: "i-2", Service: "s", Running: 4, Waiting: 2, Slots: 4, Out: []string{"*"}}}},
	}}
	var out bytes.Buffer
	(&topCmd{Rows: 1}).show(&out, server.Look{}, now, time.Hour)
	lines := strings.Split(out.String(), "\n")
	fields := func(i int) string { return strings.Join(strings.Fields(lines[i]), " ") }
	if !strings.Contains(lines[0], "3 nodes (1 silent): 60.0 served, 0.0 refused, 5.0 failed a second") ||
		fields(2) != "s 2 1 0 6 2 8 0.60 0.25 4" || fields(4) != "bad 10.0 0.0 5.0 0 0 0" || fields(6) != "i-2 s bad 4 2 4 * false" || len(lines) != 8 {
		t.Errorf("%s", out.String())
	}
}

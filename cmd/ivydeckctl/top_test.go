package main

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/controlplane/server"
)

// TestRates checks that the rates of a node that has restarted between two reports are computed from its start.
func TestRates(t *testing.T) {
	previous := server.NodeReports{Nodes: []server.NodeReport{{Node: "a", Served: 100, Failed: 7, UpMs: 10_000}}}
	for _, c := range []struct {
		name           string
		current        server.NodeReport
		served, failed float64
	}{
		{"the same process", server.NodeReport{Node: "a", Served: 120, Failed: 9, UpMs: 12_000}, 10, 1},
		{"a restarted process", server.NodeReport{Node: "a", Served: 20, Failed: 1, UpMs: 1_000}, 20, 1},
		{"a restarted process with a higher count", server.NodeReport{Node: "a", Served: 200, UpMs: 1_900}, 200 / 1.9, 0},
		{"a node without a previous report", server.NodeReport{Node: "b", Served: 20, UpMs: 4_000}, 5, 0},
	} {
		r := ratesSince(previous, c.current, 2*time.Second)
		if math.Abs(r.served-c.served) > 1e-9 || math.Abs(r.failed-c.failed) > 1e-9 {
			t.Errorf("%s: %.2f served and %.2f failed per second, want %.2f and %.2f", c.name, r.served, r.failed, c.served, c.failed)
		}
	}
}

// TestTop checks that the worst nodes come first, and that only servers that are ejected, draining or queueing are shown.
func TestTop(t *testing.T) {
	current := server.NodeReports{Queried: 3, Unresponsive: 1, Nodes: []server.NodeReport{
		{Node: "good", Served: 50, UpMs: 1000, Services: []server.ServiceReport{{Service: "s", NormalizedLatency: 0.4, AdmissionProbabilities: []float64{1, 1}, RetryBudgetLeft: 3}},
			Servers: []server.ServerReport{{Server: "i-1", Service: "s", Running: 2, Slots: 4}}},
		{Node: "bad", Served: 10, Failed: 5, UpMs: 1000, Services: []server.ServiceReport{{Service: "s", NormalizedLatency: 0.8, AdmissionProbabilities: []float64{1, 0.25}, RetryBudgetLeft: 1}},
			Servers: []server.ServerReport{{Server: "i-2", Service: "s", Running: 4, Queued: 2, Slots: 4, EjectedZones: []string{"*"}}}},
	}}
	var out bytes.Buffer
	(&topCmd{Rows: 1}).show(&out, server.NodeReports{}, current, time.Hour)
	lines := strings.Split(out.String(), "\n")
	fields := func(i int) string { return strings.Join(strings.Fields(lines[i]), " ") }
	if !strings.Contains(lines[0], "3 nodes (1 did not respond): 60.0 served, 0.0 refused, 5.0 failed per second") ||
		fields(2) != "s 2 1 0 6 2 8 0.60 0.25 4" || fields(4) != "bad 10.0 0.0 5.0 0 0 0" || fields(6) != "i-2 s bad 4 2 4 * false" || len(lines) != 8 {
		t.Errorf("unexpected output:\n%s", out.String())
	}
}

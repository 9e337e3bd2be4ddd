package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/dataplane/sidecar"
	"ivydeck/internal/program"
)

// TestMain runs one of the programs instead of the tests if the binary is started under the name of that program.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "ivydeck-control":
		program.Main("ivydeck-control", "", nodefile.QuorumMachine, server.Run)
	case "ivydeck-data":
		program.Main("ivydeck-data", "", nodefile.SidecarMachine, sidecar.Run)
	case "meshlab":
		if err := RunHollow(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// smallestOptions returns the options of a small run, with symlinks to the test binary as its programs.
func smallestOptions(t *testing.T) Options {
	t.Helper()
	dir := t.TempDir()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"ivydeck-control", "ivydeck-data", "meshlab"} {
		if err := os.Symlink(self, filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	return Options{
		Programs: dir, Self: filepath.Join(dir, "meshlab"), Nodes: 9, Real: 2, PerProcess: 4, Services: 5, Routes: 10, Zones: 4, Regions: 2,
		Quiet: time.Millisecond, Stream: time.Millisecond, Cut: time.Millisecond, Settle: time.Minute, Bound: 2 * time.Minute,
		Report: filepath.Join(dir, "report.json"), Plot: filepath.Join(dir, "plot.png"), Progress: t.Output(),
	}
}

// TestSmallestRun executes some events with real and hollow nodes and checks the report and the plot.
func TestSmallestRun(t *testing.T) {
	o := smallestOptions(t)
	o.Events = []string{"change", "restart"}
	if _, err := Run(context.Background(), o); err != nil {
		t.Fatal(err)
	}
	report, err := ReadReport(o.Report)
	if err != nil || len(report.Events) != 3 || report.Processes != 2 || report.Fault != "" {
		t.Fatalf("unexpected report %+v, or error %v", report, err)
	}
	for _, e := range report.Events {
		for _, name := range []string{"leader", "follower", "real", "hollow"} {
			if u := e.Roles[name]; u.Nodes == 0 || u.BytesOut <= 0 || u.MessagesIn <= 0 || u.Sockets < 1 || u.Goroutines <= 0 {
				t.Errorf("event %s, role %s: incomplete usage %+v", e.Name, name, u)
			}
		}
	}
	start, change, restart := report.Events[0], report.Events[1], report.Events[2]
	if start.ConvergedS == nil || restart.ConvergedS == nil || restart.Nodes != o.Nodes {
		t.Errorf("not converged: start %+v, restart %+v", start, restart)
	}
	if s := change.Propagation; s == nil || s.Changes != 1 || s.Missing != 0 || s.MaxMs < s.P50Ms || s.MaxMs <= 0 {
		t.Errorf("propagation of a change: %+v", s)
	}
	if plot, err := os.ReadFile(o.Plot); err != nil || !strings.HasPrefix(string(plot), "\x89PNG") {
		t.Errorf("the plot is not a PNG file, error %v", err)
	}
	text, err := os.ReadFile(o.Report)
	if err != nil || strings.Contains(string(text), o.Programs) {
		t.Errorf("the report contains a folder of this machine, or cannot be read: %v", err)
	}
}

// TestInvalidOptions checks that plan rejects invalid options with a one-line error, before a process is started.
func TestInvalidOptions(t *testing.T) {
	occupied, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	port := occupied.Addr().(*net.TCPAddr).Port
	for want, change := range map[string]func(o *Options){
		"the limit is 16 GB":                     func(o *Options) { o.Nodes, o.PerProcess = 10_000, 0 },
		"must be 2 to 60000":                     func(o *Options) { o.Nodes = 1 },
		"fewer than the 9 nodes":                 func(o *Options) { o.Real = 9 },
		"3 zones in 2 regions":                   func(o *Options) { o.Zones = 3 },
		"unknown event \"noise\"":                func(o *Options) { o.Events = []string{"noise"} },
		"is missing from the folder of programs": func(o *Options) { o.Programs = t.TempDir() },
		"this machine's limit is":                func(o *Options) { o.Nodes, o.PerProcess = 50_000, 40_000 },
		"the limit is 300":                       func(o *Options) { o.Nodes, o.PerProcess = 1000, 1 },
		fmt.Sprint("port ", port, " is"):         func(o *Options) { o.Port = port },
		"a bound of 1h0m0s":                      func(o *Options) { o.Bound = time.Hour },
	} {
		o := smallestOptions(t)
		change(&o)
		if _, err := plan(o); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error of one line with %q, got %v", want, err)
		}
	}
}

// sendAndReceive writes a word to a connection, closes it, and returns what the accepting side reads.
func sendAndReceive(t *testing.T, l net.Listener, nc net.Conn, word string) string {
	t.Helper()
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	nc.Write([]byte(word))
	nc.Close()
	all, _ := io.ReadAll(other)
	return string(all)
}

// TestPartition checks that bytes to and from a partitioned region are dropped without an error, also if only one side
// simulates the partition, and that new connections work after its end.
func TestPartition(t *testing.T) {
	j := &job{Network: 99, Real: 0, Zones: 4, Regions: 2}
	n := newNetwork(j)
	inside, outside := quorumSize, quorumSize
	for n.region(inside) != 1 {
		inside++
	}
	for n.region(outside) != 0 {
		outside++
	}
	plain, err := net.Listen("tcp", address(j.Network, outside)+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	wrapped, to := n.listener(outside, plain), plain.Addr().String()
	dial := func() net.Conn {
		t.Helper()
		nc, err := n.dialer(inside)(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		return nc
	}
	before := dial()
	n.setPartition(1)
	if got := sendAndReceive(t, plain, before, "lost"); got != "" {
		t.Errorf("received %q from a partitioned region, want nothing", got)
	}
	if _, err := n.dialer(inside)(t.Context(), to); !os.IsTimeout(err) {
		t.Errorf("a dial out of a partitioned region returned %v, want a timeout", err)
	}
	plainDialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(j.Network, inside))}} // dials like a process without a simulated partition
	unfiltered, err := plainDialer.DialContext(t.Context(), "tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	if got := sendAndReceive(t, wrapped, unfiltered, "lost"); got != "" {
		t.Errorf("the listener received %q from a partitioned region, want nothing", got)
	}
	n.setPartition(-1)
	if got := sendAndReceive(t, wrapped, dial(), "received"); got != "received" {
		t.Errorf("received %q after the end of the partition, want \"received\"", got)
	}
}

// TestLayout checks that machineAt inverts address, and that the last region has neither quorum members nor real nodes.
func TestLayout(t *testing.T) {
	const realNodes, zones, regions = 40, 12, 4
	seen := map[int]bool{}
	for machine := range 3000 {
		if back, ok := machineAt(77, address(77, machine)); !ok || back != machine {
			t.Fatalf("machineAt(77, %s) = %d, want %d", address(77, machine), back, machine)
		}
		region := zoneOf(machine, realNodes, zones, regions) / (zones / regions)
		if machine < quorumSize+realNodes && region == regions-1 {
			t.Errorf("machine %d is in the last region", machine)
		}
		if machine < quorumSize {
			seen[region] = true
		}
	}
	if len(seen) != quorumSize {
		t.Errorf("the quorum is in %d regions, want one region per member", len(seen))
	}
	if _, ok := machineAt(77, "127.0.0.1"); ok {
		t.Error("machineAt accepts an address of another network")
	}
}

// TestFits checks fits of series with known results, their confidence intervals, and the comparison with a budget.
func TestFits(t *testing.T) {
	s := &Series{Measure: "x", Budget: 10}
	for _, n := range []float64{100, 300, 1000, 3000} {
		s.Nodes, s.Values = append(s.Nodes, n), append(s.Values, 0.02*n*n)
	}
	l, ok := s.power()
	if y, halfWidth := l.At(math.Log(10_000)); !ok || math.Abs(l.Slope-2) > 1e-9 || math.Abs(math.Exp(y)/2e6-1) > 1e-9 || halfWidth > 1e-6 {
		t.Errorf("power fit of a quadratic series: %+v, %v", l, ok)
	}
	// y = 1 + 2x with residuals 1, -1, -1, 1. The residual standard error is sqrt(4/2). That of the slope is sqrt(4/2) / sqrt(5).
	l, ok = linearFit([]float64{0, 1, 2, 3}, []float64{2, 2, 4, 8})
	if want := 4.303 * math.Sqrt(2) / math.Sqrt(5); !ok || math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-1) > 1e-9 || math.Abs(l.SlopeError()-want) > 0.01 {
		t.Errorf("linear fit of y = 1 + 2x: %+v, slope ± %g", l, l.SlopeError())
	}
	if l, ok = linearFit([]float64{1, 2}, []float64{1, 2}); !ok || !math.IsInf(l.SlopeError(), 1) {
		t.Errorf("slope interval of two points is ± %g, want infinite", l.SlopeError())
	}
	if _, ok = linearFit([]float64{5, 5}, []float64{1, 2}); ok {
		t.Error("linearFit accepts points with a single x")
	}
	for want, bounds := range map[string][2]float64{"fits, by a factor of 2.00": {1, 5}, "does not fit, by a factor of 2.00": {20, 90}, "open": {5, 50}} {
		if got := compareWithBudget(bounds[0], bounds[1], 10); !strings.HasPrefix(got, want) {
			t.Errorf("range %v against a budget of 10: %q", bounds, got)
		}
	}
}

// TestHops runs the paired benchmark with chains of one and two calls, and checks that too long a chain is rejected.
func TestHops(t *testing.T) {
	o := HopOptions{Programs: smallestOptions(t).Programs, Depth: 2, Requests: 20, Workers: 2, Load: 200 * time.Millisecond, Bound: 2 * time.Minute, Progress: t.Output()}
	report, err := Hops(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Depths) != 2 || report.Load == nil || report.Load.Calls == 0 {
		t.Fatalf("incomplete report: %+v", report)
	}
	for i, d := range report.Depths {
		if d.Hops != i+1 || d.Requests != 20 || d.Failed != 0 || d.MeshP50Ms <= 0 || d.DirectP50Ms <= 0 || d.MeshP99Ms < d.MeshP50Ms {
			t.Errorf("unexpected result: %+v", d)
		}
	}
	o.Depth = maxDepth + 1
	if _, err := Hops(context.Background(), o); err == nil || !strings.Contains(err.Error(), "chains of 21 calls") {
		t.Errorf("a chain of 21 calls: %v", err)
	}
}

// TestState checks that a node's state grows with the mesh, and that the size of a single change does not.
func TestState(t *testing.T) {
	o := StateOptions{Nodes: []int{50, 500}, Services: 20, Routes: 40, Progress: t.Output()}
	report, err := MeasureState(o)
	if err != nil {
		t.Fatal(err)
	}
	small, large := report.Sizes[0], report.Sizes[1]
	if large.StateBytes < small.StateBytes+450*50 || large.MembersBytes < 9*small.MembersBytes {
		t.Errorf("full state and view do not grow with the mesh: %+v, then %+v", small, large)
	}
	const minGrowth = 450.0 * 200 / (1 << 20) // MB of heap for 450 servers
	if large.ServersHeapMB < small.ServersHeapMB+minGrowth || large.SourceHeapMB < small.SourceHeapMB+minGrowth {
		t.Errorf("live heap does not grow with the mesh: %+v, then %+v", small, large)
	}
	for _, s := range report.Sizes {
		if s.ServerChange < 50 || s.ServerChange > 200 || s.RouteChange < 50 || s.RouteChange > 400 || s.ServerMicros <= 0 || s.RouteMicros <= 0 || s.MemberMicros <= 0 {
			t.Errorf("single changes out of bounds: %+v", s)
		}
	}
	o.Nodes = []int{1}
	if _, err := MeasureState(o); err == nil || !strings.Contains(err.Error(), "2 to 60000 nodes") {
		t.Errorf("a mesh of one node was not rejected: %v", err)
	}
}

// Package scale measures the resource usage and convergence times of a mesh by its size. It starts real quorum members,
// some real nodes and many hollow nodes, which share processes. A hollow node runs the control-plane code of a node
// (package agent) over its own loopback sockets and carries no requests. A run executes a list of events, samples the
// usage of the processes before and after each, and writes a report.
package scale

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Limits of a run.
const (
	quorumSize            = 3
	maxReal               = 100
	maxProcesses          = 300
	maxMemory             = 16 << 30 // bytes
	maxNodes              = 60_000   // limited by the host numbers that address assigns
	maxBound              = 10 * time.Minute
	maxPerProcess         = 60
	reservedFiles         = 300 // descriptors of a process besides its nodes' connections
	connectionIdleSeconds = 60  // seconds until an idle connection is closed
	nodePorts             = 4   // listeners of a real node
)

// Memory estimates in bytes for the check before a run. A node's membership view grows with the number of nodes.
const (
	bytesPerProcess = 24 << 20
	bytesPerNode    = 8 << 20
	bytesPerPair    = 2000 // for one member in the view of one node, including garbage
)

// Options are the options of a run.
type Options struct {
	Programs   string // folder of ivydeck-data and ivydeck-control
	Self       string // program that calls RunHollow for the argument HollowCommand
	Nodes      int    // real and hollow nodes, without quorum members
	Real       int    // nodes that run in their own process
	PerProcess int    // hollow nodes per process; zero for as many as the descriptor limit allows
	Services   int
	Routes     int
	Zones      int
	Regions    int
	Port       int           // first of the consecutive listener ports; zero for any free ports
	Quiet      time.Duration // length of the quiet event
	Stream     time.Duration // length of each stream of changes
	Cut        time.Duration // length of the partition of a region
	MinEvent   time.Duration // minimum length of an event, which limits the effect of sampling on its measures
	Settle     time.Duration // timeout for convergence after an event
	Bound      time.Duration // time limit of the run
	Events     []string      // names of events besides the start; empty for all
	Report     string        // file of the JSON report; empty for none
	Plot       string        // file of the plot; empty for none
	Command    string        // command line, for the report
	Progress   io.Writer
}

// layout assigns addresses and zones to machines: quorum members first, then real nodes, then hollow ones.
type layout struct {
	Options
	network    int // second octet of all addresses
	ports      ports
	perProcess int
}

// ports holds the listener ports, which are the same on all machines.
type ports struct {
	Nodes, Control, Outbound, Readiness, Metrics, Server int
}

const firstHostNumber = 256 // host number of machine 0, so that the third octet of an address is not 0

// address returns the IP of a machine.
func address(network, machine int) string {
	host := firstHostNumber + machine
	return fmt.Sprintf("127.%d.%d.%d", network, host>>8, host&255)
}

// machineAt returns the machine of an IP; ok is false if the IP belongs to another network or to no machine.
func machineAt(network int, ip string) (machine int, ok bool) {
	parsed := net.ParseIP(ip).To4()
	if parsed == nil || parsed[0] != 127 || int(parsed[1]) != network {
		return 0, false
	}
	machine = int(parsed[2])<<8 + int(parsed[3]) - firstHostNumber
	return machine, machine >= 0
}

func (l *layout) ip(machine int) string { return address(l.network, machine) }

// zoneOf returns a machine's zone. Quorum members are spread over all regions but the last, and real nodes over their
// zones. The last region has only hollow nodes, which can be partitioned.
func zoneOf(machine, realNodes, zones, regions int) int {
	perRegion := zones / regions
	switch {
	case machine < quorumSize:
		return machine % max(1, regions-1) * perRegion
	case machine < quorumSize+realNodes:
		return machine % max(1, zones-perRegion)
	}
	return machine % zones
}

func (l *layout) zone(machine int) string {
	return zoneName(zoneOf(machine, l.Real, l.Zones, l.Regions), l.Zones, l.Regions)
}

// zoneName returns the name of a zone, such as r2-b.
func zoneName(zone, zones, regions int) string {
	perRegion := zones / regions
	return fmt.Sprintf("r%d-%c", zone/perRegion+1, 'a'+rune(zone%perRegion))
}

func (l *layout) hollowCount() int { return l.Nodes - l.Real }

// processCount returns the number of processes that run hollow nodes.
func (l *layout) processCount() int { return (l.hollowCount() + l.perProcess - 1) / l.perProcess }

// filesPerNode bounds the descriptors of a hollow node. It has a connection to and from each node that it probed, or that
// probed it, within connectionIdleSeconds, at two probes per second in each direction.
func filesPerNode(nodes int) int { return min(2*(nodes+quorumSize), 2*2*connectionIdleSeconds+40) }

// estimateMemory estimates the memory of a run in bytes.
func (l *layout) estimateMemory() int64 {
	nodes := int64(l.Nodes)
	return int64(l.processCount()+l.Real+quorumSize)*bytesPerProcess + nodes*bytesPerNode + nodes*nodes*bytesPerPair
}

// check returns a one-line error for invalid options.
func (o *Options) check() error {
	switch {
	case o.Nodes < 2 || o.Nodes > maxNodes:
		return fmt.Errorf("%d nodes: must be 2 to %d", o.Nodes, maxNodes)
	case o.Real < 0 || o.Real >= o.Nodes || o.Real > maxReal:
		return fmt.Errorf("%d real nodes: must be 0 to %d, and fewer than the %d nodes in total", o.Real, maxReal, o.Nodes)
	case o.Regions < 2 || o.Zones < o.Regions || o.Zones%o.Regions != 0 || o.Zones > 26:
		return fmt.Errorf("%d zones in %d regions: must be two or more regions with the same number of zones each, 26 zones at most", o.Zones, o.Regions)
	case o.Services < 1 || o.Routes < 1 || o.Routes > 100_000 || o.Services > 100_000:
		return fmt.Errorf("%d routes over %d services: must be 1 to 100000 each", o.Routes, o.Services)
	case o.Bound <= 0 || o.Bound > maxBound:
		return fmt.Errorf("a bound of %v: must be positive and at most %v", o.Bound, maxBound)
	case o.Port != 0 && (o.Port < 1024 || o.Port > 65000):
		return fmt.Errorf("port %d: must be 1024 to 65000, or 0 for any free ports", o.Port)
	}
	for _, name := range o.Events {
		if !slices.Contains(EventNames(), name) {
			return fmt.Errorf("unknown event %q; the events are %s", name, strings.Join(EventNames(), ", "))
		}
	}
	for _, name := range []string{"ivydeck-data", "ivydeck-control"} {
		if _, err := os.Stat(filepath.Join(o.Programs, name)); err != nil {
			return fmt.Errorf("%s is missing from the folder of programs; go build -o bin/ ./cmd/... builds all into one folder", name)
		}
	}
	return nil
}

// plan returns the layout of a run, or a one-line error.
func plan(o Options) (*layout, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return nil, fmt.Errorf("reading the descriptor limit: %w", err)
	}
	l := &layout{Options: o, network: 20 + rand.IntN(200)}
	capacity := (int(min(files.Cur, 1<<20)) - reservedFiles) / filesPerNode(o.Nodes)
	if l.perProcess = o.PerProcess; l.perProcess == 0 {
		l.perProcess = min(maxPerProcess, capacity)
	}
	if l.perProcess > capacity || l.perProcess < 1 {
		return nil, fmt.Errorf("%d hollow nodes per process need %d descriptors, and this machine's limit is %d",
			l.perProcess, max(1, l.perProcess)*filesPerNode(o.Nodes)+reservedFiles, files.Cur)
	}
	if n := l.processCount() + l.Real + quorumSize; n > maxProcesses {
		return nil, fmt.Errorf("%d nodes need %d processes, the limit is %d", o.Nodes, n, maxProcesses)
	}
	if need := l.estimateMemory(); need > maxMemory {
		return nil, fmt.Errorf("%d nodes need about %.1f GB of memory, the limit is %.0f GB", o.Nodes, gigabytes(need), gigabytes(maxMemory))
	}
	return l, l.findPorts()
}

func gigabytes(bytes int64) float64 { return float64(bytes) / (1 << 30) }

// findPorts assigns the listener ports: those from Port on, which must be free, or any free ports. It checks only the
// first machine's address.
func (l *layout) findPorts() error {
	all := []*int{&l.ports.Nodes, &l.ports.Control, &l.ports.Outbound, &l.ports.Readiness, &l.ports.Metrics, &l.ports.Server}
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			listener.Close()
		}
	}()
	for i, port := range all {
		wanted := 0
		if l.Port != 0 {
			wanted = l.Port + i
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", l.ip(0), wanted))
		if errors.Is(err, syscall.EADDRINUSE) {
			return fmt.Errorf("port %d is in use", wanted)
		}
		if err != nil {
			return fmt.Errorf("finding a free port: %w", err)
		}
		open = append(open, listener)
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

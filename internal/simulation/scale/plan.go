// Package scale measures what a mesh costs as it grows. It starts real quorum members and some real nodes beside hollow
// nodes, of which many share a process: a hollow node runs the code of a node's control plane (package agent) over
// loopback sockets of its own, and carries no requests. It runs some events, samples the usage of the processes, and writes
// a report.
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

// Bounds of a run.
const (
	quorumSize     = 3
	maxReal        = 100
	maxProcesses   = 300
	maxMemory      = 16 << 30 // half of the machine that the project is developed on
	maxNodes       = 60_000   // that the addresses have room for
	maxBound       = 10 * time.Minute
	maxPerProcess  = 60
	spareFiles     = 300 // descriptors of a process beside its nodes' connections
	connectionsFor = 60  // seconds for which an unused connection stays, at two probes a second and side
	nodePorts      = 4   // listeners of a real node
)

// Estimates for the check before a run. Hollow nodes used 4.1, 6.7 and 10.2 MB each at 100, 300 and 1,000 nodes
// (docs/capacity/after-*.json); their view of other nodes grows with the number of these.
const (
	bytesPerProcess = 24 << 20
	bytesPerNode    = 8 << 20
	bytesPerPair    = 2000 // of a node and one that it knows, with the collector's room
)

// Options are the options of a run.
type Options struct {
	Programs   string // folder of ivydeck-data and ivydeck-control
	Self       string // the program that runs hollow nodes, see HollowCommand
	Nodes      int    // in all, real and hollow
	Real       int    // of them in processes of their own
	PerProcess int    // hollow nodes that share a process; 0: as many as the descriptors allow
	Services   int
	Routes     int
	Zones      int
	Regions    int
	Port       int           // of the nodes' listeners, and those after it; 0: any that is free
	Quiet      time.Duration // length of the quiet event
	Stream     time.Duration // length of each stream of changes
	Cut        time.Duration // length of the cut of a region
	MinEvent   time.Duration // least length of an event, so that reading the figures is a small part of them
	Settle     time.Duration // patience for all to agree after an event
	Bound      time.Duration // of the whole run
	Events     []string      // names of events; nil: all
	Report     string        // file of the JSON report; empty: none
	Plot       string        // file of the plot; empty: none
	Command    string        // as it was given, for the report
	Progress   io.Writer
}

// layout assigns addresses and zones to machines: quorum members first, then real nodes, then hollow ones.
type layout struct {
	Options
	network    int // second number of all addresses
	ports      ports
	perProcess int
}

// ports are the same on all machines.
type ports struct {
	Nodes, Control, Outbound, Readiness, Metrics, Server int
}

const firstHost = 256 // machine numbers begin here, so that the third number of an address is not 0

// address returns the IP of a machine.
func address(network, machine int) string {
	host := firstHost + machine
	return fmt.Sprintf("127.%d.%d.%d", network, host>>8, host&255)
}

// machineAt returns the machine of an IP; ok is false for one of another network.
func machineAt(network int, ip string) (machine int, ok bool) {
	parsed := net.ParseIP(ip).To4()
	if parsed == nil || parsed[0] != 127 || int(parsed[1]) != network {
		return 0, false
	}
	machine = int(parsed[2])<<8 + int(parsed[3]) - firstHost
	return machine, machine >= 0
}

func (l *layout) ip(machine int) string { return address(l.network, machine) }

// zoneOf returns a machine's zone. Quorum members are in different regions. The last region has neither these nor real
// nodes, so that it can be partitioned.
func zoneOf(machine, real, zones, regions int) int {
	perRegion := zones / regions
	switch {
	case machine < quorumSize:
		return machine % max(1, regions-1) * perRegion
	case machine < quorumSize+real:
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

func (l *layout) hollow() int { return l.Nodes - l.Real }

// processes is the number of processes that hollow nodes share.
func (l *layout) processes() int { return (l.hollow() + l.perProcess - 1) / l.perProcess }

// filesPerNode bounds the descriptors of one hollow node: a connection to and from each node that it has probed,
// or was probed by, recently.
func filesPerNode(nodes int) int { return min(2*(nodes+quorumSize), 2*2*connectionsFor+40) }

// memoryOf estimates the memory of a run, in bytes.
func (l *layout) memoryOf() int64 {
	nodes := int64(l.Nodes)
	return int64(l.processes()+l.Real+quorumSize)*bytesPerProcess + nodes*bytesPerNode + nodes*nodes*bytesPerPair
}

// check returns an error of one line for invalid options.
func (o *Options) check() error {
	switch {
	case o.Nodes < 2 || o.Nodes > maxNodes:
		return fmt.Errorf("%d nodes: 2 to %d can be had", o.Nodes, maxNodes)
	case o.Real < 0 || o.Real >= o.Nodes || o.Real > maxReal:
		return fmt.Errorf("%d real nodes: at most %d, and fewer than the %d nodes in all", o.Real, maxReal, o.Nodes)
	case o.Regions < 2 || o.Zones < o.Regions || o.Zones%o.Regions != 0 || o.Zones > 26:
		return fmt.Errorf("%d zones in %d regions: each of two regions or more has to have as many zones", o.Zones, o.Regions)
	case o.Services < 1 || o.Routes < 1 || o.Routes > 100_000 || o.Services > 100_000:
		return fmt.Errorf("%d routes over %d services: 1 to 100000 each", o.Routes, o.Services)
	case o.Bound <= 0 || o.Bound > maxBound:
		return fmt.Errorf("a bound of %v: more than 0, and at most %v", o.Bound, maxBound)
	case o.Port != 0 && (o.Port < 1024 || o.Port > 65000):
		return fmt.Errorf("port %d: 1024 to 65000, or 0 for any", o.Port)
	}
	for _, name := range o.Events {
		if !slices.Contains(EventNames(), name) {
			return fmt.Errorf("no event %q; there are %s", name, strings.Join(EventNames(), ", "))
		}
	}
	for _, name := range []string{"ivydeck-data", "ivydeck-control"} {
		if _, err := os.Stat(filepath.Join(o.Programs, name)); err != nil {
			return fmt.Errorf("%s is not beside this program; go build -o bin/ ./cmd/... puts all in one folder", name)
		}
	}
	return nil
}

// plan returns the layout of a run, or an error of one line.
func plan(o Options) (*layout, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return nil, fmt.Errorf("the limit of descriptors: %w", err)
	}
	l := &layout{Options: o, network: 20 + rand.IntN(200)}
	capacity := (int(min(files.Cur, 1<<20)) - spareFiles) / filesPerNode(o.Nodes)
	if l.perProcess = o.PerProcess; l.perProcess == 0 {
		l.perProcess = min(maxPerProcess, capacity)
	}
	if l.perProcess > capacity || l.perProcess < 1 {
		return nil, fmt.Errorf("%d hollow nodes a process need %d descriptors, and this machine's limit is %d",
			l.perProcess, max(1, l.perProcess)*filesPerNode(o.Nodes)+spareFiles, files.Cur)
	}
	if n := l.processes() + l.Real + quorumSize; n > maxProcesses {
		return nil, fmt.Errorf("%d nodes need %d processes, at most %d are started", o.Nodes, n, maxProcesses)
	}
	if need := l.memoryOf(); need > maxMemory {
		return nil, fmt.Errorf("%d nodes take some %.1f GB, at most %.0f GB are used", o.Nodes, gigabytes(need), gigabytes(maxMemory))
	}
	return l, l.findPorts()
}

func gigabytes(bytes int64) float64 { return float64(bytes) / (1 << 30) }

// findPorts finds free ports, unless the options name them.
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
			return fmt.Errorf("no port: %w", err)
		}
		open = append(open, listener)
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// Package nodefile reads the settings file that the platform gives every process: lines of the form a.b=value, lists
// joined by commas. Unknown keys are ignored. It is the static configuration; the dynamic one is package meshconfig's.
package nodefile

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Variable names the environment variable that holds the file's path.
const Variable = "IVYDECK_NODE_FILE"

const (
	maxBytes         = 1 << 20 // of the file
	maxTraceCapacity = 1 << 20 // requests
)

// Class is a kind of machine, as the deploy file names it.
type Class string

// The classes of machines. Their names are the platform's.
const (
	SidecarMachine Class = "sidecar" // beside an application server
	QuorumMachine  Class = "core"    // with a disk, for a quorum member
)

// Settings are the settings of one process. The key in the file stands beside each field; fields without a remark are
// the platform's.
type Settings struct {
	Node  string // node_name: alike for all processes of a machine's life
	Class Class  // machine_class
	IP    string // ip_address
	Zone  string // zone

	// Addresses to listen to, HOST:PORT; empty: not served.
	Inbound   string // listeners.inbound: requests of other machines for the application server
	Outbound  string // listeners.outbound: requests of the clients on this machine
	Readiness string // listeners.readiness
	Control   string // listeners.control_plane: heartbeats of the server; operators' calls of a quorum member
	Metrics   string // metrics.address: an operator's own key

	// PEM files of the process's identity; all empty: connections between processes are not secured. An operator's own
	// keys: tls.cert, tls.key, tls.bundle, tls.operator and tls.metrics.
	Cert, Key, Bundle string
	SecureOperator    bool // the operators' interface asks for an identity as well
	SecureMetrics     bool // and so do the metrics

	TraceCapacity  int     // trace.keep: requests of which a node keeps its part; 0: none. An operator's own key
	AccessLogShare float64 // access.part: share of the requests that are logged; 0: none. An operator's own key

	Ports             [2]int        // internal_ports: free for connections between processes, first to last
	Seeds             []string      // seed_nodes: control plane addresses of quorum members
	Bootstrap         bool          // bootstrap: the system starts for the first time
	QuorumMember      bool          // quorum_member: its loss is counted against ToleratedLosses
	ToleratedLosses   int           // fault_tolerance.machines: quorum members that may be lost at a time
	MemoryMB          int           // request_limits.memory_mb
	MaxFDs            int           // request_limits.max_fds
	DataDir           string        // data_dir; empty on machines without a disk
	HeartbeatInterval time.Duration // heartbeat_ms: between two heartbeats of a server
	AppAddress        string        // app_address: of the application server
	Backend           string        // backend: the server's service
	Bounds            Bounds        // bounds.*
}

// Bounds are the figures of the platform's rules.
type Bounds struct {
	Drain       time.Duration // a server serves on for so long after its drain was acknowledged
	Grace       time.Duration // from SIGTERM to SIGKILL
	ConfigApply time.Duration // a configuration is in force everywhere after so long
	Contact     time.Duration // a machine has contact with the control plane so long after a partition
	Ack         time.Duration // an operator's change is acknowledged within this time
	AddrReuse   time.Duration // an address is given to another server after so long at the earliest
	SyncTime    time.Duration // a new quorum member has caught up after so long

	RetryRatio  float64       // retries for each request, over RetryWindow
	RetryWindow time.Duration // see RetryRatio
	RetrySlack  float64       // retries beyond the ratio in each window, of all nodes together
}

// Internal is the address on which the process listens to other processes of the mesh.
func (s *Settings) Internal() string { return s.IP + ":" + strconv.Itoa(s.Ports[0]) }

// SeedNodes are the internal addresses of the seeds: ports are alike on all machines.
func (s *Settings) SeedNodes() []string {
	nodes := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		ap, _ := netip.ParseAddrPort(seed) // checked when read
		nodes = append(nodes, ap.Addr().String()+":"+strconv.Itoa(s.Ports[0]))
	}
	return nodes
}

// Load reads and checks the file at a path. An error that is a Faults lists what is wrong in it.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fmt.Errorf("%s names no settings file", Variable)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("settings: %s has %d bytes, the maximum is %d", path, info.Size(), maxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Faults are all faults of a file.
type Faults []string

// Error is one line.
func (f Faults) Error() string { return strings.Join(f, "; ") }

// reader reads values, and collects what is wrong with them.
type reader struct {
	values map[string]string
	faults []string
}

// fault notes a fault.
func (r *reader) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// required reads a text that has to be there.
func (r *reader) required(key string) string {
	v := r.values[key]
	if v == "" {
		r.fault("%s is missing", key)
	}
	return v
}

// address reads an address, which may be absent unless it is required.
func (r *reader) address(key string, required bool) string {
	v := r.values[key]
	if v == "" {
		if required {
			r.fault("%s is missing", key)
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fault("%s is %q, not an address like 10.0.0.4:8080", key, v)
	}
	return v
}

// number reads a number that is at least min; an absent one is the fallback.
func (r *reader) number(key string, min, fallback float64) float64 {
	v := r.values[key]
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < min || n > 1e9 {
		r.fault("%s is %q, not a number of at least %g", key, v, min)
		return fallback
	}
	return n
}

func (r *reader) milliseconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, 0, fallback) * float64(time.Millisecond))
}

func (r *reader) seconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, 0, fallback) * float64(time.Second))
}

// flag reads true or false; an absent one is false.
func (r *reader) flag(key string) bool {
	v := r.values[key]
	if v != "" && v != "true" && v != "false" {
		r.fault("%s is %q, neither true nor false", key, v)
	}
	return v == "true"
}

// Parse reads the text of a settings file. The error is a Faults, with every fault of it.
func Parse(text string) (*Settings, error) {
	r := &reader{values: map[string]string{}}
	r.readLines(text)
	s := &Settings{
		Node:              r.required("node_name"),
		Class:             Class(r.required("machine_class")),
		IP:                r.required("ip_address"),
		Zone:              r.required("zone"),
		Bootstrap:         r.flag("bootstrap"),
		QuorumMember:      r.flag("quorum_member"),
		ToleratedLosses:   int(r.number("fault_tolerance.machines", 0, 1)),
		MemoryMB:          int(r.number("request_limits.memory_mb", 16, 256)),
		MaxFDs:            int(r.number("request_limits.max_fds", 64, 1024)),
		DataDir:           r.values["data_dir"],
		HeartbeatInterval: r.milliseconds("heartbeat_ms", 1500),
		Backend:           r.values["backend"],
		Bounds:            r.bounds(),
		Seeds:             r.seeds(),
	}
	if _, err := netip.ParseAddr(s.IP); s.IP != "" && err != nil {
		r.fault("ip_address is %q, not an IP address", s.IP)
	}
	r.readObservability(s)
	r.readTLS(s)
	r.readListeners(s)
	r.readPorts(s)
	if len(r.faults) > 0 {
		sort.Strings(r.faults)
		return nil, Faults(r.faults)
	}
	return s, nil
}

// readLines collects the values. Empty lines and comments are skipped.
func (r *reader) readLines(text string) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			r.fault("line %d has no '='", i+1)
			continue
		}
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if old, twice := r.values[key]; twice && old != value {
			r.fault("%s is given twice, as %q and %q", key, old, value)
		}
		r.values[key] = value
	}
}

func (r *reader) bounds() Bounds {
	return Bounds{
		Drain:       r.milliseconds("bounds.drain_ms", 2000),
		Grace:       r.seconds("bounds.grace_s", 6),
		ConfigApply: r.milliseconds("bounds.config_apply_ms", 2000),
		Contact:     r.milliseconds("bounds.contact_ms", 4000),
		Ack:         r.milliseconds("bounds.ack_ms", 5000),
		AddrReuse:   r.seconds("bounds.addr_reuse_s", 2),
		SyncTime:    r.seconds("bounds.sync_time_s", 4),
		RetryRatio:  r.number("bounds.retry_ratio", 0, 0.2),
		RetryWindow: r.seconds("bounds.retry_window_s", 10),
		RetrySlack:  r.number("bounds.retry_slack", 0, 0),
	}
}

// seeds reads the control plane's addresses of the seeds.
func (r *reader) seeds() (seeds []string) {
	for _, seed := range strings.Split(r.values["seed_nodes"], ",") {
		if seed = strings.TrimSpace(seed); seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.fault("seed_nodes holds %q, not an address like 10.0.0.4:8080", seed)
			continue
		}
		seeds = append(seeds, seed)
	}
	if len(seeds) == 0 {
		r.fault("seed_nodes names no node")
	}
	return seeds
}

// readObservability reads the operator's own keys for metrics, traces and the access log.
func (r *reader) readObservability(s *Settings) {
	s.Metrics = r.address("metrics.address", false)
	s.TraceCapacity = int(r.number("trace.keep", 0, 0))
	s.AccessLogShare = r.number("access.part", 0, 0)
	if s.TraceCapacity > maxTraceCapacity {
		r.fault("trace.keep is %d, at most %d are kept", s.TraceCapacity, maxTraceCapacity)
	}
	if s.AccessLogShare > 1 {
		r.fault("access.part is %g, at most 1 is a part", s.AccessLogShare)
	}
}

// readTLS reads the operator's own keys for identities.
func (r *reader) readTLS(s *Settings) {
	s.Cert, s.Key, s.Bundle = r.values["tls.cert"], r.values["tls.key"], r.values["tls.bundle"]
	s.SecureOperator, s.SecureMetrics = r.flag("tls.operator"), r.flag("tls.metrics")
	switch given := s.Cert != "" || s.Key != "" || s.Bundle != ""; {
	case given && (s.Cert == "" || s.Key == "" || s.Bundle == ""):
		r.fault("tls.cert, tls.key and tls.bundle come together")
	case !given && (s.SecureOperator || s.SecureMetrics):
		r.fault("tls.operator and tls.metrics need tls.cert, tls.key and tls.bundle")
	}
}

// readListeners reads the addresses that a machine of the class needs.
func (r *reader) readListeners(s *Settings) {
	switch s.Class {
	case SidecarMachine:
		s.Inbound = r.address("listeners.inbound", false)
		s.Outbound = r.address("listeners.outbound", true)
		s.Readiness = r.address("listeners.readiness", true)
		s.Control = r.address("listeners.control_plane", true)
		s.AppAddress = r.address("app_address", true)
		r.required("backend")
	case QuorumMachine:
		s.Control = r.address("listeners.control_plane", true)
		r.required("data_dir")
	case "": // a fault of its own
	default:
		r.fault("machine_class is %q, neither sidecar nor core", s.Class)
	}
}

// readPorts reads a range of ports, or a single one.
func (r *reader) readPorts(s *Settings) {
	first, last, ok := strings.Cut(r.required("internal_ports"), ",")
	if !ok {
		last = first
	}
	for i, v := range []string{first, last} {
		n, err := strconv.Atoi(v)
		if v != "" && (err != nil || n < 1 || n > 65535) {
			r.fault("internal_ports holds %q, not a port", v)
		}
		s.Ports[i] = n
	}
	if s.Ports[0] > s.Ports[1] {
		r.fault("internal_ports run from %d to %d", s.Ports[0], s.Ports[1])
	}
}

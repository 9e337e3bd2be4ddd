// Package nodefile reads the settings file that the platform provides to every process. It holds the static configuration;
// package meshconfig holds the dynamic one. Lines have the form a.b=value, and lists are separated by commas. Unknown keys
// are ignored.
package nodefile

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"ivydeck/internal/pkg/boundedfile"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "IVYDECK_NODE_FILE"

const (
	maxBytes         = 1 << 20 // maximum size of the file
	maxErrors        = 100     // maximum number of errors that are listed
	maxTraceCapacity = 1 << 20 // maximum value of trace.keep, in requests
)

// Class is a machine class of the deploy file.
type Class string

// The machine classes. The platform defines the values.
const (
	SidecarMachine Class = "sidecar" // runs beside an application server
	QuorumMachine  Class = "core"    // has a disk and runs a quorum member
)

// Settings are the settings of one process. The comment of each field names its key in the file. The platform sets all
// keys, except those marked as operator keys.
type Settings struct {
	Node  string // node_name: constant for the life of the machine
	Class Class  // machine_class
	IP    string // ip_address
	Zone  string // zone

	// Listen addresses, HOST:PORT. An empty address disables the listener.
	Inbound   string // listeners.inbound: requests from other machines to the application server
	Outbound  string // listeners.outbound: requests from clients on this machine
	Readiness string // listeners.readiness
	Control   string // listeners.control_plane: heartbeats of the server; on a quorum member, operator requests
	Metrics   string // metrics.address (operator key)

	// Paths of the PEM files of the process's identity: tls.cert, tls.key and tls.bundle (operator keys). If they are
	// empty, connections between processes are plain TCP.
	Cert, Key, Bundle string
	SecureOperator    bool // tls.operator: the operator interface requires TLS (operator key)
	SecureMetrics     bool // tls.metrics: the metrics endpoint requires TLS (operator key)

	TraceCapacity  int     // trace.keep: number of requests whose trace records a node keeps (operator key)
	AccessLogShare float64 // access.part: fraction of requests in the access log, 0 to 1 (operator key)

	Ports             [2]int        // internal_ports: first and last port available to processes of the mesh
	Seeds             []string      // seed_nodes: control plane addresses of quorum members
	Bootstrap         bool          // bootstrap: true at the first start of the system
	QuorumMember      bool          // quorum_member: the loss of this machine counts against ToleratedLosses
	ToleratedLosses   int           // fault_tolerance.machines: number of quorum members that may fail at the same time
	MemoryMB          int           // request_limits.memory_mb
	MaxFDs            int           // request_limits.max_fds
	DataDir           string        // data_dir: empty on machines without a disk
	HeartbeatInterval time.Duration // heartbeat_ms: interval between heartbeats of a server
	AppAddress        string        // app_address: address of the application server
	Backend           string        // backend: service of the application server
	Bounds            Bounds        // bounds.*
}

// Bounds are the bounds that the platform's rules set.
type Bounds struct {
	Drain       time.Duration // time for which a server keeps serving after its drain was acknowledged
	Grace       time.Duration // time from SIGTERM to SIGKILL
	ConfigApply time.Duration // maximum time until a configuration is active on all nodes
	Contact     time.Duration // maximum time until a machine reaches the control plane after a partition
	Ack         time.Duration // maximum time until an operator's change is acknowledged
	AddrReuse   time.Duration // minimum time before an address is assigned to another server
	SyncTime    time.Duration // maximum time for a new quorum member to catch up

	RetryRatio  float64       // maximum retries per request, over RetryWindow
	RetryWindow time.Duration // see RetryRatio
	RetrySlack  float64       // additional retries per window, for all nodes together
}

// Internal returns the address on which the process accepts connections from other processes of the mesh.
func (s *Settings) Internal() string { return s.IP + ":" + strconv.Itoa(s.Ports[0]) }

// SeedNodes returns the internal addresses of the seeds. All machines use the same internal port.
func (s *Settings) SeedNodes() []string {
	nodes := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		ap, _ := netip.ParseAddrPort(seed) // validated by Parse
		nodes = append(nodes, ap.Addr().String()+":"+strconv.Itoa(s.Ports[0]))
	}
	return nodes
}

// Load reads and validates the file at a path. If its content is invalid, the error wraps ParseErrors.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fmt.Errorf("settings: the path of the settings file is empty; set %s", PathVariable)
	}
	text, err := boundedfile.Read(path, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// ParseErrors lists the first errors in a settings file.
type ParseErrors []string

// Error returns the errors in one line.
func (e ParseErrors) Error() string { return strings.Join(e, "; ") }

// reader parses values and collects their errors.
type reader struct {
	values map[string]string // by key
	errors []string
}

func (r *reader) addError(format string, args ...any) {
	if len(r.errors) == maxErrors {
		return
	}
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// required returns the value of a key, and adds an error if it is missing.
func (r *reader) required(key string) string {
	v := r.values[key]
	if v == "" {
		r.addError("%s is missing", key)
	}
	return v
}

// address returns an IP address with a port. An empty value is an error only if the key is required.
func (r *reader) address(key string, required bool) string {
	v := r.values[key]
	if v == "" {
		if required {
			r.addError("%s is missing", key)
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addError("%s is %q, not an address like 10.0.0.4:8080", key, v)
	}
	return v
}

// number returns a number between minimum and 1e9, or fallback if the key is missing.
func (r *reader) number(key string, minimum, fallback float64) float64 {
	v := r.values[key]
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < minimum || n > 1e9 {
		r.addError("%s is %q, not a number of at least %g", key, v, minimum)
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

// flag returns a boolean, which is false if the key is missing.
func (r *reader) flag(key string) bool {
	v := r.values[key]
	if v != "" && v != "true" && v != "false" {
		r.addError("%s is %q, neither true nor false", key, v)
	}
	return v == "true"
}

// Parse parses and validates the text of a settings file. The error is of type ParseErrors.
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
		r.addError("ip_address is %q, not an IP address", s.IP)
	}
	r.readObservability(s)
	r.readTLS(s)
	r.readListeners(s)
	r.readPorts(s)
	if len(r.errors) > 0 {
		sort.Strings(r.errors)
		return nil, ParseErrors(r.errors)
	}
	return s, nil
}

// readLines splits the lines into keys and values. It skips empty lines and comments.
func (r *reader) readLines(text string) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			r.addError("line %d has no '='", i+1)
			continue
		}
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if old, duplicate := r.values[key]; duplicate && old != value {
			r.addError("%s has two values, %q and %q", key, old, value)
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

// seeds returns the control plane addresses of the seeds.
func (r *reader) seeds() (seeds []string) {
	for _, seed := range strings.Split(r.values["seed_nodes"], ",") {
		if seed = strings.TrimSpace(seed); seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.addError("seed_nodes holds %q, not an address like 10.0.0.4:8080", seed)
			continue
		}
		seeds = append(seeds, seed)
	}
	if len(seeds) == 0 {
		r.addError("seed_nodes holds no address")
	}
	return seeds
}

// readObservability reads the operator keys for metrics, traces and the access log.
func (r *reader) readObservability(s *Settings) {
	s.Metrics = r.address("metrics.address", false)
	s.TraceCapacity = int(r.number("trace.keep", 0, 0))
	s.AccessLogShare = r.number("access.part", 0, 0)
	if s.TraceCapacity > maxTraceCapacity {
		r.addError("trace.keep is %d, the maximum is %d", s.TraceCapacity, maxTraceCapacity)
	}
	if s.AccessLogShare > 1 {
		r.addError("access.part is %g, the maximum is 1", s.AccessLogShare)
	}
}

// readTLS reads the operator keys for the identity.
func (r *reader) readTLS(s *Settings) {
	s.Cert, s.Key, s.Bundle = r.values["tls.cert"], r.values["tls.key"], r.values["tls.bundle"]
	s.SecureOperator, s.SecureMetrics = r.flag("tls.operator"), r.flag("tls.metrics")
	switch hasFiles := s.Cert != "" || s.Key != "" || s.Bundle != ""; {
	case hasFiles && (s.Cert == "" || s.Key == "" || s.Bundle == ""):
		r.addError("tls.cert, tls.key and tls.bundle must be set together")
	case !hasFiles && (s.SecureOperator || s.SecureMetrics):
		r.addError("tls.operator and tls.metrics require tls.cert, tls.key and tls.bundle")
	}
}

// readListeners reads the keys that depend on the machine class: listen addresses, and what the class requires.
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
	case "": // reported by required
	default:
		r.addError("machine_class is %q, neither sidecar nor core", s.Class)
	}
}

// readPorts reads a port range, which may be a single port.
func (r *reader) readPorts(s *Settings) {
	first, last, ok := strings.Cut(r.required("internal_ports"), ",")
	if !ok {
		last = first
	}
	for i, v := range []string{first, last} {
		n, err := strconv.Atoi(v)
		if v != "" && (err != nil || n < 1 || n > 65535) {
			r.addError("internal_ports holds %q, not a port", v)
		}
		s.Ports[i] = n
	}
	if s.Ports[0] > s.Ports[1] {
		r.addError("internal_ports is %d to %d, the first port is above the last", s.Ports[0], s.Ports[1])
	}
}

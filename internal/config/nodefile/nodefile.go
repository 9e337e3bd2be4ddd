// Package nodefile reads the settings file that the platform gives every
// process: lines of the form a.b=value, lists joined by commas. Unknown keys
// are passed over.
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

// maxBytes bounds the file.
const maxBytes = 1 << 20

const maxTrace = 1 << 20

// Class is a kind of machine.
type Class string

// The classes of machines.
const (
	Sidecar Class = "sidecar"
	Core    Class = "core"
)

// Settings are what a process is told at its start.
type Settings struct {
	Node  string
	Class Class
	IP    string
	Zone  string

	Inbound, Outbound, Readiness, Control string // addresses; empty: not served
	Metrics                               string // the same; not the platform's, but the operator's own key

	// Where the process finds its identity, in PEM; empty: connections between nodes are not secured. The operator's
	// own keys, as that for figures is.
	Cert, Key, Bundle string
	SecureOperator    bool // the operator's interface of a quorum member asks for an identity, too
	SecureMetrics     bool // and so do the figures

	Trace     int     // requests of which a node keeps its part, to be asked for; 0: none
	LogPart   float64 // part of the requests that are logged; 0: none
	Ports     [2]int  // free for nodes, first to last
	Seeds     []string
	Bootstrap bool
	Quorum    bool // its loss is counted against Tolerated
	Tolerated int  // machines that may be lost at one time
	MemoryMB  int
	MaxFDs    int
	DataDir   string
	Heartbeat time.Duration // between a server's beats
	App       string
	Backend   string
	Bounds    Bounds
}

// Bounds are the figures of the rules.
type Bounds struct {
	Drain, Grace, ConfigApply, Contact, Ack, AddrReuse, SyncTime time.Duration
	RetryRatio                                                   float64 // repeats for each request
	RetryWindow                                                  time.Duration
	RetrySlack                                                   float64 // repeats that are free in each window, over all nodes
}

// Internal is the address on which the process listens to other nodes.
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

// Load reads and checks the file at a path.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fmt.Errorf("%s names no settings file", Variable)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("settings: %s has %d bytes, at most %d are allowed", path, info.Size(), maxBytes)
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

// Faults are all that is wrong with a file.
type Faults []string

// Error is one line.
func (f Faults) Error() string { return strings.Join(f, "; ") }

// reader collects what is wrong with the values.
type reader struct {
	values map[string]string
	faults []string
}

func (r *reader) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *reader) need(key string) string {
	v := r.values[key]
	if v == "" {
		r.fault("%s is missing", key)
	}
	return v
}

func (r *reader) address(key string, need bool) string {
	v := r.values[key]
	if v == "" {
		if need {
			r.fault("%s is missing", key)
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fault("%s is %q, not an address like 10.0.0.4:8080", key, v)
	}
	return v
}

// number reads a number that is at least low; an absent one is the default.
func (r *reader) number(key string, low, usual float64) float64 {
	v := r.values[key]
	if v == "" {
		return usual
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < low || n > 1e9 {
		r.fault("%s is %q, not a number of at least %g", key, v, low)
		return usual
	}
	return n
}

func (r *reader) flag(key string) bool {
	v := r.values[key]
	if v != "" && v != "true" && v != "false" {
		r.fault("%s is %q, neither true nor false", key, v)
	}
	return v == "true"
}

// Parse reads the text of a settings file. The error names every fault.
func Parse(text string) (*Settings, error) {
	r := &reader{values: map[string]string{}}
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
		key = strings.TrimSpace(key)
		if old, twice := r.values[key]; twice && old != strings.TrimSpace(value) {
			r.fault("%s is given twice, as %q and %q", key, old, strings.TrimSpace(value))
		}
		r.values[key] = strings.TrimSpace(value)
	}
	ms := func(key string, usual float64) time.Duration {
		return time.Duration(r.number(key, 0, usual) * float64(time.Millisecond))
	}
	sec := func(key string, usual float64) time.Duration {
		return time.Duration(r.number(key, 0, usual) * float64(time.Second))
	}
	s := &Settings{
		Node: r.need("node_name"), Class: Class(r.need("machine_class")), IP: r.need("ip_address"), Zone: r.need("zone"),
		Bootstrap: r.flag("bootstrap"), Quorum: r.flag("quorum_member"),
		Tolerated: int(r.number("fault_tolerance.machines", 0, 1)),
		MemoryMB:  int(r.number("request_limits.memory_mb", 16, 256)),
		MaxFDs:    int(r.number("request_limits.max_fds", 64, 1024)),
		DataDir:   r.values["data_dir"],
		Heartbeat: ms("heartbeat_ms", 1500),
		Backend:   r.values["backend"],
		Bounds: Bounds{
			Drain: ms("bounds.drain_ms", 2000), Grace: sec("bounds.grace_s", 6),
			ConfigApply: ms("bounds.config_apply_ms", 2000), Contact: ms("bounds.contact_ms", 4000),
			Ack: ms("bounds.ack_ms", 5000), AddrReuse: sec("bounds.addr_reuse_s", 2), SyncTime: sec("bounds.sync_time_s", 4),
			RetryRatio: r.number("bounds.retry_ratio", 0, 0.2), RetryWindow: sec("bounds.retry_window_s", 10),
			RetrySlack: r.number("bounds.retry_slack", 0, 0),
		},
	}
	s.Metrics = r.address("metrics.address", false)
	s.Trace, s.LogPart = int(r.number("trace.keep", 0, 0)), r.number("access.part", 0, 0)
	if s.Trace > maxTrace {
		r.fault("trace.keep is %d, at most %d are kept", s.Trace, maxTrace)
	}
	if s.LogPart > 1 {
		r.fault("access.part is %g, at most 1 is a part", s.LogPart)
	}
	s.Cert, s.Key, s.Bundle = r.values["tls.cert"], r.values["tls.key"], r.values["tls.bundle"]
	s.SecureOperator, s.SecureMetrics = r.flag("tls.operator"), r.flag("tls.metrics")
	switch given := s.Cert != "" || s.Key != "" || s.Bundle != ""; {
	case given && (s.Cert == "" || s.Key == "" || s.Bundle == ""):
		r.fault("tls.cert, tls.key and tls.bundle come together")
	case !given && (s.SecureOperator || s.SecureMetrics):
		r.fault("tls.operator and tls.metrics need tls.cert, tls.key and tls.bundle")
	}
	if _, err := netip.ParseAddr(s.IP); s.IP != "" && err != nil {
		r.fault("ip_address is %q, not an IP address", s.IP)
	}
	switch s.Class {
	case Sidecar:
		s.Inbound = r.address("listeners.inbound", false)
		s.Outbound = r.address("listeners.outbound", true)
		s.Readiness = r.address("listeners.readiness", true)
		s.Control = r.address("listeners.control_plane", true)
		s.App = r.address("app_address", true)
		r.need("backend")
	case Core:
		s.Control = r.address("listeners.control_plane", true)
		r.need("data_dir")
	case "":
	default:
		r.fault("machine_class is %q, neither sidecar nor core", s.Class)
	}
	first, last, ok := strings.Cut(r.need("internal_ports"), ",")
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
	for _, seed := range strings.Split(r.values["seed_nodes"], ",") {
		if seed = strings.TrimSpace(seed); seed == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.fault("seed_nodes holds %q, not an address like 10.0.0.4:8080", seed)
			continue
		}
		s.Seeds = append(s.Seeds, seed)
	}
	if len(s.Seeds) == 0 {
		r.fault("seed_nodes names no node")
	}
	if len(r.faults) > 0 {
		sort.Strings(r.faults)
		return nil, Faults(r.faults)
	}
	return s, nil
}

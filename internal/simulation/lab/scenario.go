// Package lab simulates whole meshes in simulated time. The real code of the control
// plane, membership, relays, router and local servers runs among models of application
// servers, clients, operators, the network and disks. The same scenario and seed give
// the same run, event for event. A run injects faults, checks invariants as it goes,
// and measures what the mesh is worth to its clients.
//
// A Scenario (scenario.go, validate.go, fault.go) is read from TOML; Run plays it
// (sim.go on engine.go and network.go) and returns a Result. Sweep plays many, Compare
// pairs them by seed, Shrink looks for a smaller scenario that still violates an
// invariant, Report draws them. cmd/meshlab is the command line.
package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
)

// Scenario describes a mesh, its workload and the faults that are injected. Names of
// durations end in their unit.
type Scenario struct {
	Name          string  `toml:"name"`
	Seconds       float64 `toml:"seconds"` // of simulated time
	Zones         int     `toml:"zones"`
	QuorumMembers int     `toml:"cores"`        // quorum members, spread over the zones in turn
	Nodes         int     `toml:"nodes"`        // sidecar machines, spread in the same way; the first have an application server each
	Steady        bool    `toml:"steady"`       // the nodes know each other from the start
	SyncMs        float64 `toml:"sync_ms"`      // mean duration of a disk's sync
	DrainMs       float64 `toml:"drain_ms"`     // in which a draining server may still get requests
	HeartbeatMs   float64 `toml:"heartbeat_ms"` // between heartbeats of an application server

	Net      Net       `toml:"net"`
	Retry    Retry     `toml:"retry"`
	Operator Operator  `toml:"operator"`
	Clients  Clients   `toml:"clients"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Faults   []Fault   `toml:"trouble"`
	Chaos    Chaos     `toml:"chaos"`
}

// Chaos injects random faults. All have ended eight seconds before the end.
type Chaos struct {
	EveryS float64     `toml:"every_s"` // mean time between faults; 0: none
	ForS   float64     `toml:"for_s"`   // at most
	Kinds  []FaultKind `toml:"kinds"`   // empty: all
}

// Net is the network between machines.
type Net struct {
	LinkMs   float64 `toml:"link_ms"`   // one way, within a zone
	ZoneMs   float64 `toml:"zone_ms"`   // added between zones
	JitterMs float64 `toml:"jitter_ms"` // maximum added to each message
	Loss     float64 `toml:"loss"`      // share of segments; each costs a retransmission timeout of 200 ms
	MBps     float64 `toml:"mbps"`      // megabytes a second out of one machine; 0: no bound
}

// Retry is the retry budget that all nodes share.
type Retry struct {
	Ratio   float64 `toml:"ratio"`
	WindowS float64 `toml:"window_s"`
	Slack   float64 `toml:"slack"`
}

// Operator is the operator, who sends configurations.
type Operator struct {
	EveryS float64 `toml:"every_s"` // 0: one configuration, at the start
	Routes int     `toml:"routes"`  // unused ones, to make the configuration larger
}

// Clients is how clients react to refusals.
type Clients struct {
	MaxAttempts int `toml:"tries"` // of one request, each after a refusal that promises that it has not run
}

// Service is a service and its application servers.
type Service struct {
	Name        string  `toml:"name"`
	Servers     int     `toml:"servers"`
	Slots       int     `toml:"slots"`
	WorkMs      float64 `toml:"work_ms"` // mean of an exponential distribution, without calls of other services
	LostAnswers float64 `toml:"broken"`  // share of the runs of which the answer is lost
	Rejects     float64 `toml:"balk"`    // share of the requests that are rejected before they run

	Speeds          []float64 `toml:"speeds"` // factors on the work at each server in turn; empty: 1
	Tail            float64   `toml:"tail"`   // share of the runs that take far longer, ...
	TailFactor      float64   `toml:"tail_x"` // ... by this factor
	Errors          float64   `toml:"errors"` // share of the runs that the application answers with an error
	SlowStartS      float64   `toml:"cold_s"` // for this long from its start a server takes longer, ...
	SlowStartFactor float64   `toml:"cold_x"` // ... by this factor
}

// Route is a route and its workload.
type Route struct {
	Name            string  `toml:"name"`
	Service         string  `toml:"service"`
	NonIdempotent   bool    `toml:"once"` // must not run twice
	Priority        int     `toml:"priority"`
	TargetLatencyMs float64 `toml:"aim_ms"`
	TimeoutMs       float64 `toml:"timeout_ms"`
	MaxAttempts     int     `toml:"max_attempts"`
	Rate            float64 `toml:"rate"` // requests a second, at all nodes together
	Calls           []Call  `toml:"calls"`
}

// Call is a call of another service that a run makes, one after another.
type Call struct {
	Route string  `toml:"route"`
	Times float64 `toml:"times"` // mean number a run
}

// Load reads a scenario from a file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	w, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", path, err)
	}
	return w, nil
}

// defaults is a scenario with the values of keys that a file need not have.
func defaults() *Scenario {
	return &Scenario{
		Seconds:       30,
		Zones:         3,
		QuorumMembers: 3,
		Nodes:         6,
		SyncMs:        2,
		DrainMs:       2000,
		HeartbeatMs:   1000,
		Net:           Net{LinkMs: 0.5, ZoneMs: 1, JitterMs: 0.5},
		Retry:         Retry{Ratio: 0.2, WindowS: 10, Slack: 20},
		Clients:       Clients{MaxAttempts: 3},
	}
}

// Parse reads a scenario. The error names everything that is wrong, one a line.
func Parse(text string) (*Scenario, error) {
	s := defaults()
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	for i := range s.Routes {
		s.Routes[i].MaxAttempts = max(1, s.Routes[i].MaxAttempts)
	}
	if s.Chaos.EveryS > 0 && s.Chaos.ForS == 0 {
		s.Chaos.ForS = defaultChaosForS
	}
	v := &validator{scenario: s}
	for _, key := range meta.Undecoded() {
		v.add("%s is no key", key)
	}
	v.validate()
	return s, errors.Join(v.errors...)
}

// Text returns the scenario as TOML.
func (s *Scenario) Text() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(s); err != nil {
		return "", fmt.Errorf("scenario: %w", err)
	}
	return b.String(), nil
}

const host = "lab.example" // of all routes

// config is the operator's configuration of a revision, as msgpack.
func (s *Scenario) config(revision uint64) ([]byte, error) {
	c := meshconfig.Config{Revision: revision}
	for _, s := range s.Services {
		c.Backends = append(c.Backends, meshconfig.Backend{Name: s.Name})
	}
	add := func(r Route) {
		kind := meshconfig.Idempotent
		if r.NonIdempotent {
			kind = meshconfig.NonIdempotent
		}
		c.Routes = append(c.Routes, &meshconfig.Route{Name: r.Name, Host: host, Prefix: "/" + r.Name + "/", Kind: kind,
			TimeoutMs: r.TimeoutMs, TargetLatencyMs: r.TargetLatencyMs, Priority: r.Priority, Backend: r.Service, MaxAttempts: r.MaxAttempts})
	}
	for _, r := range s.Routes {
		add(r)
	}
	for i := range s.Operator.Routes {
		r := s.Routes[i%len(s.Routes)]
		r.Name = fmt.Sprintf("unused-%d", i)
		if uint64(i) == revision%uint64(s.Operator.Routes) { // the one that this revision changes
			r.TimeoutMs += float64(revision)
		}
		add(r)
	}
	return msgpack.Marshal(&c)
}

func ms(x float64) time.Duration  { return time.Duration(x * float64(time.Millisecond)) }
func sec(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

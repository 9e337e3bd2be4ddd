// Package lab simulates whole meshes in simulated time. The real code of the control
// plane, membership, relays, router and local servers runs with models of application
// servers, clients, operators, the network and disks. Runs of the same scenario and seed
// execute the same events. A run injects faults, checks invariants, and measures the
// outcomes of requests, the update lag and the bytes sent.
//
// A Scenario (scenario.go, validate.go, fault.go) is read from TOML. Run simulates it
// (sim.go, engine.go, network.go) and returns a Result. Sweep runs many scenarios and
// seeds, Compare pairs results by seed, Report writes a page about results, and Shrink
// reduces a scenario that violates an invariant. cmd/meshlab is the command line.
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

// Scenario describes a mesh, its workload and the faults to inject. Names of durations end
// in their unit.
type Scenario struct {
	Name          string  `toml:"name"`
	Seconds       float64 `toml:"seconds"` // duration in simulated time
	Zones         int     `toml:"zones"`
	QuorumMembers int     `toml:"cores"`        // spread over the zones in turn
	Nodes         int     `toml:"nodes"`        // sidecar machines, spread over the zones in turn; the first ones run an application server each
	Steady        bool    `toml:"steady"`       // all machines start with the full membership list
	SyncMs        float64 `toml:"sync_ms"`      // mean duration of a disk's sync
	DrainMs       float64 `toml:"drain_ms"`     // how long a draining server may still receive requests
	HeartbeatMs   float64 `toml:"heartbeat_ms"` // interval of an application server's heartbeats

	Net      Net       `toml:"net"`
	Retry    Retry     `toml:"retry"`
	Operator Operator  `toml:"operator"`
	Clients  Clients   `toml:"clients"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Faults   []Fault   `toml:"trouble"`
	Chaos    Chaos     `toml:"chaos"`
}

// Chaos configures random faults, all of which end at least eight seconds before the run
// does.
type Chaos struct {
	EveryS float64     `toml:"every_s"` // mean time between faults; 0 injects none
	ForS   float64     `toml:"for_s"`   // faults last between 0.3 s and 0.3 s + ForS; 0 selects 4 s
	Kinds  []FaultKind `toml:"kinds"`   // all kinds if empty
}

// Net is the network between machines.
type Net struct {
	LinkMs   float64 `toml:"link_ms"`   // one-way latency within a zone
	ZoneMs   float64 `toml:"zone_ms"`   // latency added between zones
	JitterMs float64 `toml:"jitter_ms"` // maximum of the random latency added to each message
	Loss     float64 `toml:"loss"`      // share of segments lost; each costs a retransmission timeout of 200 ms
	MBps     float64 `toml:"mbps"`      // megabytes a second that a machine can send; 0 is unlimited
}

// Retry is the retry budget of each service over all nodes: within a window, there may be at
// most Slack retries plus Ratio times the number of requests.
type Retry struct {
	Ratio   float64 `toml:"ratio"`
	WindowS float64 `toml:"window_s"`
	Slack   float64 `toml:"slack"`
}

// Operator describes the configurations that the operator sends.
type Operator struct {
	EveryS float64 `toml:"every_s"` // interval; 0 sends one configuration at the start
	Routes int     `toml:"routes"`  // unused routes that enlarge the configuration
}

// Clients describes how clients retry refused requests.
type Clients struct {
	MaxAttempts int `toml:"tries"` // maximum per request; a client retries only if a response states that the request did not run
}

// Service is a service and its application servers.
type Service struct {
	Name        string  `toml:"name"`
	Servers     int     `toml:"servers"`
	Slots       int     `toml:"slots"`
	WorkMs      float64 `toml:"work_ms"` // mean duration of a run without its calls to other services; exponentially distributed
	LostAnswers float64 `toml:"broken"`  // share of the runs whose response is lost
	Rejects     float64 `toml:"balk"`    // share of the requests that are rejected before they run

	Speeds          []float64 `toml:"speeds"` // factors on WorkMs, assigned to servers in turn; 1 if empty
	Tail            float64   `toml:"tail"`   // share of the runs that take TailFactor times as long
	TailFactor      float64   `toml:"tail_x"`
	Errors          float64   `toml:"errors"` // share of the runs that end with status 500
	SlowStartS      float64   `toml:"cold_s"` // time after its start in which a server takes SlowStartFactor times as long
	SlowStartFactor float64   `toml:"cold_x"`
}

// Route is a route and the requests that clients send to it.
type Route struct {
	Name            string  `toml:"name"`
	Service         string  `toml:"service"`
	NonIdempotent   bool    `toml:"once"` // must not run twice
	Priority        int     `toml:"priority"`
	TargetLatencyMs float64 `toml:"aim_ms"`
	TimeoutMs       float64 `toml:"timeout_ms"`
	MaxAttempts     int     `toml:"max_attempts"`
	Rate            float64 `toml:"rate"` // requests a second, over all nodes
	Calls           []Call  `toml:"calls"`
}

// Call describes the calls that a run makes to another route, one after another.
type Call struct {
	Route string  `toml:"route"`
	Times float64 `toml:"times"` // mean number per run
}

// Load reads a scenario from a file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: read file: %w", err)
	}
	scenario, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", path, err)
	}
	return scenario, nil
}

// defaults returns a scenario with the default values of optional keys.
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

// Parse parses and validates a scenario. The error has a line for each invalid setting.
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
		v.add("unknown key %s", key)
	}
	v.validate()
	return s, errors.Join(v.errors...)
}

// Text returns the scenario as TOML.
func (s *Scenario) Text() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(s); err != nil {
		return "", fmt.Errorf("scenario: encode: %w", err)
	}
	return b.String(), nil
}

const host = "lab.example" // host of all routes

// config returns the operator's configuration with the given revision, encoded as msgpack.
func (s *Scenario) config(revision uint64) ([]byte, error) {
	config := meshconfig.Config{Revision: revision}
	for _, service := range s.Services {
		config.Backends = append(config.Backends, meshconfig.Backend{Name: service.Name})
	}
	add := func(r Route) {
		kind := meshconfig.Idempotent
		if r.NonIdempotent {
			kind = meshconfig.NonIdempotent
		}
		config.Routes = append(config.Routes, &meshconfig.Route{Name: r.Name, Host: host, Prefix: "/" + r.Name + "/", Kind: kind,
			TimeoutMs: r.TimeoutMs, TargetLatencyMs: r.TargetLatencyMs, Priority: r.Priority, Backend: r.Service, MaxAttempts: r.MaxAttempts})
	}
	for _, r := range s.Routes {
		add(r)
	}
	for i := range s.Operator.Routes {
		r := s.Routes[i%len(s.Routes)]
		r.Name = fmt.Sprintf("unused-%d", i)
		if uint64(i) == revision%uint64(s.Operator.Routes) { // this revision changes this route
			r.TimeoutMs += float64(revision)
		}
		add(r)
	}
	return msgpack.Marshal(&config)
}

func ms(x float64) time.Duration  { return time.Duration(x * float64(time.Millisecond)) }
func sec(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Package lab simulates whole meshes in simulated time: the project's own cores by
// their real code, among models of servers, clients, operators, the network and
// disks. A run repeats bit for bit by its seed. It checks what must never happen
// as it goes, and measures what the mesh is worth to its clients.
package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
)

// Scenario describes a mesh and what happens to it. Times end in their unit.
type Scenario struct {
	Name    string  `toml:"name"`
	Seconds float64 `toml:"seconds"` // of simulated time
	Zones   int     `toml:"zones"`
	Cores   int     `toml:"cores"`  // quorum members, in zones by turns
	Nodes   int     `toml:"nodes"`  // sidecar machines, the same; the first have a server each
	Steady  bool    `toml:"steady"` // the nodes know each other from the start
	SyncMs  float64 `toml:"sync_ms"`
	DrainMs float64 `toml:"drain_ms"`
	BeatMs  float64 `toml:"heartbeat_ms"`

	Net      Net       `toml:"net"`
	Retry    Retry     `toml:"retry"`
	Operator Operator  `toml:"operator"`
	Clients  Clients   `toml:"clients"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	Troubles []Trouble `toml:"trouble"`
	Chaos    Chaos     `toml:"chaos"`
}

// Chaos draws troubles by the seed; all have ended eight seconds before the end.
type Chaos struct {
	EveryS float64  `toml:"every_s"` // on average; 0: none
	ForS   float64  `toml:"for_s"`   // at most
	Kinds  []string `toml:"kinds"`   // empty: all
}

// Net is what lies between machines.
type Net struct {
	LinkMs   float64 `toml:"link_ms"`   // one way, within a zone
	ZoneMs   float64 `toml:"zone_ms"`   // more of it between zones
	JitterMs float64 `toml:"jitter_ms"` // up to so much more
	Loss     float64 `toml:"loss"`      // of segments; each costs a time-out of 200 ms
	MBps     float64 `toml:"mbps"`      // megabytes a second out of one machine; 0: no bound
}

// Retry is the budget that all nodes share.
type Retry struct {
	Ratio   float64 `toml:"ratio"`
	WindowS float64 `toml:"window_s"`
	Slack   float64 `toml:"slack"`
}

// Operator sends configurations.
type Operator struct {
	EveryS float64 `toml:"every_s"` // 0: one, at the start
	Routes int     `toml:"routes"`  // more of them than are used, for size
}

// Clients says how those behave that are refused.
type Clients struct {
	Tries int `toml:"tries"` // of one request, as long as a promise says that it has not run
}

// Service is a kind of server.
type Service struct {
	Name    string  `toml:"name"`
	Servers int     `toml:"servers"`
	Slots   int     `toml:"slots"`
	WorkMs  float64 `toml:"work_ms"` // mean, exponential; calls of others not counted
	Broken  float64 `toml:"broken"`  // part of the runs whose answer is lost
	Balk    float64 `toml:"balk"`    // part of the arrivals that are turned away unrun

	Speeds []float64 `toml:"speeds"` // times that work takes at one server after another, by turns; empty: 1
	Tail   float64   `toml:"tail"`   // part of the runs that take far longer ...
	TailX  float64   `toml:"tail_x"` // ... by this factor
	Errors float64   `toml:"errors"` // part of the runs that the application itself fails
	ColdS  float64   `toml:"cold_s"` // for so long from its start a server ...
	ColdX  float64   `toml:"cold_x"` // ... takes so many times as long
}

// Route is a kind of request.
type Route struct {
	Name        string  `toml:"name"`
	Service     string  `toml:"service"`
	Once        bool    `toml:"once"` // it must not run twice
	Priority    int     `toml:"priority"`
	AimMs       float64 `toml:"aim_ms"`
	TimeoutMs   float64 `toml:"timeout_ms"`
	MaxAttempts int     `toml:"max_attempts"`
	Rate        float64 `toml:"rate"` // new ones a second, at all nodes together
	Calls       []Call  `toml:"calls"`
}

// Call is a request that a run makes, one after another.
type Call struct {
	Route string  `toml:"route"`
	Times float64 `toml:"times"` // a run, on average
}

// Trouble is something that fails.
type Trouble struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"` // "leader", "core 1", "node 4", "server ledger 2", "zone 1", "route pay"
	Factor float64 `toml:"factor"`
	Share  float64 `toml:"share"` // of a service's servers, in the place of one: target "server ledger"
	How    string  `toml:"how"`   // of grey servers: error, hang, reset, shed or slow
	From   string  `toml:"from"`  // grey for callers of this zone alone, such as z1
}

// hows are the ways in which a grey server fails.
var hows = []string{"error", "hang", "reset", "shed", "slow"}

// kinds of troubles, and what they befall.
var kinds = map[string]string{
	"crash": "leader core node server", "power": "leader core node zone all", "wipe": "leader core",
	"slow": "server", "stall": "server leader core", "drain": "server", "grey": "server", "flap": "server", "cut": "leader core node zone",
	"loss": "all", "burst": "route",
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

// Parse reads a scenario. The error names every fault, one a line.
func Parse(text string) (*Scenario, error) {
	w := &Scenario{
		Seconds: 30, Zones: 3, Cores: 3, Nodes: 6, SyncMs: 2, DrainMs: 2000, BeatMs: 1000,
		Net: Net{LinkMs: 0.5, ZoneMs: 1, JitterMs: 0.5}, Retry: Retry{0.2, 10, 20}, Clients: Clients{Tries: 3},
	}
	meta, err := toml.Decode(text, w)
	if err != nil {
		return nil, err
	}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for _, key := range meta.Undecoded() {
		fault("%s is no key", key)
	}
	if w.Seconds <= 0 || w.Seconds > 7*86400 || w.Zones < 1 || w.Cores < 1 || w.Nodes < 1 || w.Nodes > 20000 {
		fault("seconds, zones, cores and nodes have to be positive, and at most a week and 20000 nodes")
	}
	if w.Net.LinkMs <= 0 || w.SyncMs <= 0 || w.BeatMs <= 0 || w.DrainMs <= 0 || w.Retry.WindowS <= 0 {
		fault("net.link_ms, sync_ms, heartbeat_ms, drain_ms and retry.window_s have to be positive")
	}
	if w.Net.Loss < 0 || w.Net.Loss > 0.5 {
		fault("net.loss is %g, not between 0 and 0.5", w.Net.Loss)
	}
	services, servers := map[string]int{}, 0
	for i, s := range w.Services {
		if s.Name == "" || s.Servers < 0 || s.Slots < 1 || s.WorkMs <= 0 {
			fault("service %d (%s) needs a name, servers, slots and work_ms", i, s.Name)
		}
		if s.Tail < 0 || s.Tail > 1 || s.Errors < 0 || s.Errors > 1 || s.ColdS < 0 || slices.ContainsFunc(s.Speeds, func(x float64) bool { return x <= 0 }) {
			fault("service %d (%s): tail and errors are parts of 1, cold_s and speeds positive", i, s.Name)
		}
		if _, twice := services[s.Name]; twice {
			fault("service %s is there twice", s.Name)
		}
		services[s.Name] = s.Servers
		servers += s.Servers
	}
	if servers > w.Nodes {
		fault("%d servers do not fit on %d nodes, one each", servers, w.Nodes)
	}
	routes := map[string]bool{}
	for i := range w.Routes {
		r := &w.Routes[i]
		if _, ok := services[r.Service]; !ok || r.Name == "" || routes[r.Name] {
			fault("route %d (%s) needs a name of its own and a known service", i, r.Name)
		}
		routes[r.Name] = true
		if r.AimMs <= 0 || r.TimeoutMs <= 0 || r.Rate < 0 || r.Priority < 0 {
			fault("route %s needs aim_ms and timeout_ms, and no negative number", r.Name)
		}
		r.MaxAttempts = max(1, r.MaxAttempts)
	}
	for _, r := range w.Routes {
		for _, c := range r.Calls {
			if !routes[c.Route] || c.Route == r.Name {
				fault("route %s calls %q, which is no other route", r.Name, c.Route)
			}
		}
	}
	for i, t := range w.Troubles {
		what, _, _ := strings.Cut(t.Target, " ")
		switch befalls, ok := kinds[t.Kind]; {
		case !ok:
			fault("trouble %d: no kind %q", i, t.Kind)
		case !strings.Contains(befalls, what) || what == "":
			fault("trouble %d: %s befalls %s, not %q", i, t.Kind, befalls, t.Target)
		case w.find(t) < 0:
			fault("trouble %d: no %q", i, t.Target)
		}
		if t.Kind == "grey" && (!slices.Contains(hows, t.How) || t.Factor < 0 || t.Factor > 1) {
			fault("trouble %d: grey needs a how of %s, and a factor between 0 and 1", i, strings.Join(hows, ", "))
		}
		if t.Share < 0 || t.Share > 1 {
			fault("trouble %d: share is %g, not between 0 and 1", i, t.Share)
		}
		if t.AtS < 0 || t.ForS <= 0 {
			fault("trouble %d: at_s and for_s have to be given", i)
		}
	}
	if c := &w.Chaos; c.EveryS < 0 || c.ForS < 0 {
		fault("chaos: a negative number")
	} else if c.EveryS > 0 && c.ForS == 0 {
		c.ForS = 4
	}
	for _, k := range w.Chaos.Kinds {
		if kinds[k] == "" {
			fault("chaos: no kind %q", k)
		}
	}
	return w, errors.Join(faults...)
}

// find returns the number of what a trouble befalls: of a machine of its kind, of a
// route or a zone; -1: there is none.
func (w *Scenario) find(t Trouble) int {
	what, rest, _ := strings.Cut(t.Target, " ")
	n, least := -1, 0
	switch what {
	case "leader", "all":
		return 0
	case "route":
		for i, r := range w.Routes {
			if r.Name == rest {
				return i
			}
		}
		return -1
	case "server":
		name, at, one := strings.Cut(rest, " ")
		first := 0
		for _, s := range w.Services {
			if s.Name == name {
				if t.Share > 0 && !one && s.Servers > 0 {
					return first
				}
				if _, err := fmt.Sscan(at, &n); err != nil || n < 0 || n >= s.Servers {
					return -1
				}
				return first + n
			}
			first += s.Servers
		}
		return -1
	case "core":
		least = w.Cores
	case "node":
		least = w.Nodes
	case "zone":
		least = w.Zones
	}
	if _, err := fmt.Sscan(rest, &n); err != nil || n < 0 || n >= least {
		return -1
	}
	return n
}

// Text returns the scenario as TOML.
func (w *Scenario) Text() (string, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(w); err != nil {
		return "", fmt.Errorf("scenario: %w", err)
	}
	return b.String(), nil
}

// Vary returns the scenario with one key set anew, such as nodes=12, net.loss=0.01 or
// route.0.rate=400.
func (w *Scenario) Vary(key, value string) (*Scenario, error) {
	text, err := w.Text()
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	var set struct{ X any }
	if _, err := toml.Decode("X = "+value, &set); err != nil {
		if _, err := toml.Decode(fmt.Sprintf("X = %q", value), &set); err != nil {
			return nil, fmt.Errorf("scenario: %s is no value: %w", value, err)
		}
	}
	parts := strings.Split(key, ".")
	at := tree
	for len(parts) > 1 {
		switch next := at[parts[0]].(type) {
		case map[string]any:
			at, parts = next, parts[1:]
		case []map[string]any:
			i := -1
			if _, err := fmt.Sscan(parts[1], &i); err != nil || i < 0 || i >= len(next) || len(parts) < 3 {
				return nil, fmt.Errorf("scenario: %s is no key", key)
			}
			at, parts = next[i], parts[2:]
		default:
			return nil, fmt.Errorf("scenario: %s is no key", key)
		}
	}
	old, known := at[parts[0]]
	if !known {
		return nil, fmt.Errorf("scenario: %s is no key", key)
	}
	if _, float := old.(float64); float {
		if n, ok := set.X.(int64); ok {
			set.X = float64(n)
		}
	}
	at[parts[0]] = set.X
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(tree); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(b.String())
}

const host = "lab.example" // of all routes

// config is the operator's configuration with a revision.
func (w *Scenario) config(revision uint64) ([]byte, error) {
	c := meshconfig.Config{Revision: revision}
	for _, s := range w.Services {
		c.Backends = append(c.Backends, meshconfig.Backend{Name: s.Name})
	}
	add := func(r Route) {
		kind := meshconfig.Idempotent
		if r.Once {
			kind = meshconfig.NonIdempotent
		}
		c.Routes = append(c.Routes, &meshconfig.Route{Name: r.Name, Host: host, Prefix: "/" + r.Name + "/", Kind: kind,
			TimeoutMs: r.TimeoutMs, TargetLatencyMs: r.AimMs, Priority: r.Priority, Backend: r.Service, MaxAttempts: r.MaxAttempts})
	}
	for _, r := range w.Routes {
		add(r)
	}
	for i := range w.Operator.Routes {
		r := w.Routes[i%len(w.Routes)]
		r.Name = fmt.Sprintf("unused-%d", i)
		if uint64(i) == revision%uint64(w.Operator.Routes) { // what this revision changes
			r.TimeoutMs += float64(revision)
		}
		add(r)
	}
	return msgpack.Marshal(&c)
}

func ms(x float64) time.Duration  { return time.Duration(x * float64(time.Millisecond)) }
func sec(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Package entry decides for the node at which a request begins: whether a new
// call graph is admitted, which servers are asked for it and how often, and what
// its final answer is. The curves and the pick are package decide's, the meter of
// repeats is package budget's.
//
// Table and Request are pure state machines: they take the time and an event, and
// return what the driver has to do. Times are durations since a moment of the
// driver's choice. They are not for use by several goroutines.
package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/budget"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/wire"
)

const (
	graphGain    = 0.05 // weight of the newest run in the averages of calls
	usualGain    = 0.03 // the same in that of their times
	graphLeast   = 0.1  // calls a run below which a service is not counted as called
	mostServices = 4096
)

// World is what a node has been told: a configuration and the servers. It is
// not changed once made.
type World struct {
	Config  *meshconfig.Config
	Servers map[string]*wire.Server // by member, those that may be sent to
	Nodes   map[string][]string     // sidecar machines that are there, by zone
}

// NewWorld is the world as the news and the members have it: servers that drain,
// or whose machines are not alive, are not sent to. gone tells of a machine that
// it has died or left.
func NewWorld(config *meshconfig.Config, news *wire.State, members []*wire.Member, gone func(node string) bool) *World {
	silent := map[string]bool{}
	w := &World{Config: config, Servers: make(map[string]*wire.Server, len(news.Servers)), Nodes: map[string][]string{}}
	for _, m := range members {
		switch {
		case m.State != wire.Member_ALIVE:
			silent[m.Name] = true
		case !m.Core:
			w.Nodes[m.Zone] = append(w.Nodes[m.Zone], m.Name)
		}
	}
	for _, s := range news.Servers {
		if !s.Draining && !s.Leaving && !silent[s.Node] && !gone(s.Node) {
			w.Servers[s.Member] = s
		}
	}
	return w
}

// Options are what a node knows of itself.
type Options struct {
	Node, Zone string
	Ratio      float64       // retry_ratio: repeats a request, of all nodes together
	Window     time.Duration // in which that holds
	Seed       uint64
}

// Table is what a node keeps for all requests that begin at it.
type Table struct {
	opt      Options
	rng      *rand.Rand
	world    *World
	services map[string]*service
	graphs   map[string]map[string]float64 // calls that a run makes, by route and service, averaged
	usual    map[string]time.Duration      // how long a run takes, by route, averaged
	slack    float64                       // this node's part of the retry slack
}

// service is what a node keeps for each service.
type service struct {
	gate   *decide.Gate
	picker *decide.Picker
	budget *budget.Budget
	hedges float64 // second tries of slow requests that may be made
}

// NewTable returns a Table that has been told nothing.
func NewTable(opt Options) *Table {
	return &Table{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), world: &World{},
		services: map[string]*service{}, graphs: map[string]map[string]float64{},
		usual: map[string]time.Duration{},
	}
}

// World returns what the node was last told.
func (t *Table) World() *World { return t.world }

// Share sets this node's part of the retry slack.
func (t *Table) Share(slack float64) {
	t.slack = slack
	for _, s := range t.services {
		s.budget.Share(slack)
	}
}

// Update takes news of the world.
func (t *Table) Update(now time.Duration, w *World) {
	t.world = w
	if w.Config == nil {
		return
	}
	lists, place := map[string][]decide.Target{}, decide.Place(t.opt.Node, w.Nodes[t.opt.Zone])
	for _, s := range w.Servers {
		lists[s.Service] = append(lists[s.Service], decide.Target{ID: s.Member, Near: s.Zone == t.opt.Zone})
	}
	var priorities []int
	for i := range w.Config.Routes {
		priorities = append(priorities, w.Config.Routes[i].Priority)
	}
	for _, b := range w.Config.Backends {
		s := t.services[b.Name]
		if s == nil && len(t.services) < mostServices {
			s = &service{
				gate: decide.NewGate(t.rng.Uint64(), now), picker: decide.NewPicker(t.rng.Uint64()),
				budget: budget.New(t.opt.Ratio, t.opt.Window), hedges: hedgeSaved,
			}
			s.budget.Share(t.slack)
			t.services[b.Name] = s
		}
		if s == nil {
			continue
		}
		s.gate.Priorities(priorities)
		s.picker.List(now, lists[b.Name], place)
	}
	dropped := func(name string) bool {
		return !slices.ContainsFunc(w.Config.Routes, func(r meshconfig.Route) bool { return r.Name == name })
	}
	maps.DeleteFunc(t.graphs, func(name string, _ map[string]float64) bool { return dropped(name) })
	maps.DeleteFunc(t.usual, func(name string, _ time.Duration) bool { return dropped(name) })
	for name := range t.services {
		if !slices.ContainsFunc(w.Config.Backends, func(b meshconfig.Backend) bool { return b.Name == name }) {
			delete(t.services, name)
		}
	}
}

// learn notes how long a run of a route has taken, and which services it has called.
func (t *Table) learn(now time.Duration, route string, out *wire.Outcome) {
	called := out.Called
	if took := time.Duration(out.TookMs) * time.Millisecond; took > 0 && out.Status < 500 {
		if t.usual[route] == 0 {
			t.usual[route] = took
		}
		t.usual[route] += time.Duration(usualGain * float64(took-t.usual[route]))
	}
	g := t.graphs[route]
	if g == nil {
		if len(called) == 0 {
			return
		}
		g = map[string]float64{}
		t.graphs[route] = g
	}
	for name := range g {
		g[name] *= 1 - graphGain
	}
	for _, c := range called {
		s := t.services[c.Service]
		if _, known := g[c.Service]; known || s != nil {
			g[c.Service] += float64(c.Times) * graphGain
		}
		if s != nil {
			s.gate.Told(now, c.Pressure)
		}
	}
}

// behind returns the gates of the services that a route's graphs call. A graph
// that would crowd them is kept out at its entry, by its own priority: inside,
// its calls pass without a verdict.
func (t *Table) behind(route *meshconfig.Route) []*decide.Gate {
	var gates []*decide.Gate
	for name, times := range t.graphs[route.Name] {
		if s := t.services[name]; s != nil && times >= graphLeast {
			gates = append(gates, s.gate)
		}
	}
	return gates
}

// Pressure is what the calls that begin at this node meet at a service; 0: the
// service is not known.
func (t *Table) Pressure(now time.Duration, service string) float64 {
	if s := t.services[service]; s != nil {
		return s.gate.Pressure(now)
	}
	return 0
}

// Reading is what a node knows of one service.
type Reading struct {
	Service string
	R       float64 // in aims
	Chances []float64
	Left    float64 // repeats that the budget has left
}

// Readings returns the state of all services by name, with the chances of the
// priorities 0 to priorities-1.
func (t *Table) Readings(now time.Duration, priorities int) []Reading {
	var list []Reading
	for name, s := range t.services {
		r := Reading{Service: name, R: s.gate.Reading(), Left: s.budget.Left(now)}
		for p := range priorities {
			r.Chances = append(r.Chances, s.gate.Chance(now, p))
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Reading) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return list
}

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
	"math/rand/v2"
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/budget"
	"ivydeck/internal/transport/wire"
)

const (
	graphGain   = 0.05 // weight of the newest run in the averages of calls
	usualGain   = 0.03 // the same in that of their times
	minCalls    = 0.1  // calls a run below which a service is not counted as called
	maxServices = 4096
)

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
	cluster  *ClusterState
	config   *meshconfig.Config            // that the services are those of; nil: none yet
	backends map[string]bool               // the services of the configuration
	services map[string]*service           // those of them that were used: most nodes use few of many
	listed   map[string][]decide.Target    // servers that may be sent to, by service, also of services that no route has
	place    float64                       // where the subsets begin
	levels   map[int]int                   // routes of each priority
	routes   map[string]int                // routes of each name
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
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), cluster: &ClusterState{},
		services: map[string]*service{}, graphs: map[string]map[string]float64{},
		usual: map[string]time.Duration{}, listed: map[string][]decide.Target{}, levels: map[int]int{}, routes: map[string]int{},
	}
}

// ClusterState returns what the node was last told.
func (t *Table) ClusterState() *ClusterState { return t.cluster }

// service returns what is kept of a service of the configuration, from its first use on; nil: there is no such service.
func (t *Table) service(now time.Duration, name string) *service {
	if s := t.services[name]; s != nil {
		return s
	}
	if !t.backends[name] || len(t.services) >= maxServices {
		return nil
	}
	s := t.newService(now, name)
	t.services[name] = s
	return s
}

// Share sets this node's part of the retry slack.
func (t *Table) Share(slack float64) {
	t.slack = slack
	for _, s := range t.services {
		s.budget.Share(slack)
	}
}

// learn notes how long a run of a route has taken, and which services it has called.
func (t *Table) learn(now time.Duration, route string, out *wire.ForwardResponse) {
	called := out.Calls
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
		s := t.service(now, c.Service)
		if _, known := g[c.Service]; known || s != nil {
			g[c.Service] += float64(c.Count) * graphGain
		}
		if s != nil {
			s.gate.ReportPressure(now, c.Pressure)
		}
	}
}

// behind returns the gates of the services that a route's graphs call. A graph
// that would crowd them is kept out at its entry, by its own priority: inside,
// its calls pass without a verdict.
func (t *Table) behind(now time.Duration, route *meshconfig.Route) []*decide.Gate {
	var gates []*decide.Gate
	for name, times := range t.graphs[route.Name] {
		if times < minCalls {
			continue
		}
		if s := t.service(now, name); s != nil {
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
	Service  string
	R        float64 // in aims
	Pressure float64 // the same, or what stands in for it while requests find no room
	Servers  int     // that may be sent to
	Chances  []float64
	Left     float64 // repeats that the budget has left
}

// Reading returns the state of one service; see Readings.
func (t *Table) Reading(now time.Duration, service string, priorities int) (r Reading, ok bool) {
	s := t.services[service]
	if s == nil {
		return r, false
	}
	return t.reading(now, service, s, priorities), true
}

func (t *Table) reading(now time.Duration, name string, s *service, priorities int) Reading {
	r := Reading{Service: name, R: s.gate.NormalizedLatency(), Pressure: s.gate.Pressure(now), Left: s.budget.Left(now), Servers: len(t.listed[name])}
	for p := range priorities {
		r.Chances = append(r.Chances, s.gate.Probability(now, p))
	}
	return r
}

// Readings returns the state of all services that were used, by name, with the chances of the
// priorities 0 to priorities-1.
func (t *Table) Readings(now time.Duration, priorities int) []Reading {
	var list []Reading
	for name, s := range t.services {
		list = append(list, t.reading(now, name, s, priorities))
	}
	slices.SortFunc(list, func(a, b Reading) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return list
}

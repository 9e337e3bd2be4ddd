// Package router decides on the requests that enter the mesh at this node: whether a new call graph is admitted, which
// servers receive it and how often, when it is hedged, and what its final answer is. The admission curves and the choice of
// a server are package decide's, the retry budget is package budget's. Package proxy drives it.
//
//	table.go          Table: what is kept for all requests; typical latencies, calls of each route
//	request.go        Request: admission, next attempt, wait
//	outcome.go        what an attempt's outcome means for the request
//	retry.go          when a request is retried or given up; Retry-After
//	hedge.go          second attempts of slow requests
//	cluster.go        ClusterState: the servers that may receive requests
//	update.go         a Table's update to another ClusterState
//	service_state.go  what is shown of a service
//
// Table and Request are pure state machines: they take the time and an event, and return what the driver has to do. Times
// are durations since a moment of the driver's choice. They belong to one goroutine, or to the holder of a lock.
package router

import (
	"math/rand/v2"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/budget"
	"ivydeck/internal/transport/wire"
)

const (
	callCountGain      = 0.05 // weight of the newest run in the mean calls of a route
	typicalLatencyGain = 0.03 // the same in its mean time
	minCallCount       = 0.1  // calls a run, below which a service does not count as downstream
	maxServices        = 4096
)

// Options configure a Table.
type Options struct {
	Node, Zone  string
	RetryRatio  float64       // retry_ratio: retries for each request, of all nodes together
	RetryWindow time.Duration // over which the ratio is kept
	Seed        uint64
}

// Table is the state that all requests of a node share.
type Table struct {
	options        Options
	rng            *rand.Rand
	cluster        *ClusterState
	config         *meshconfig.Config            // of services and levels; nil: none yet
	backends       map[string]bool               // services of the configuration
	services       map[string]*service           // that were used: most nodes use few of many
	targets        map[string][]decide.Target    // servers by service, also of services without a route
	subsetPosition float64                       // see decide.SubsetPosition
	levels         map[int]int                   // routes of each priority
	routes         map[string]int                // routes of each name
	graphs         map[string]map[string]float64 // mean calls of a run, by route and service
	typicalLatency map[string]time.Duration      // mean time of a run, by route
	retrySlack     float64                       // this node's share of the retry slack
}

// service is the state of one service.
type service struct {
	gate        *decide.Gate
	picker      *decide.Picker
	budget      *budget.Budget
	hedgeTokens float64 // hedged requests that may be sent
}

// NewTable returns a Table with an empty ClusterState.
func NewTable(opt Options) *Table {
	return &Table{
		options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), cluster: &ClusterState{},
		services: map[string]*service{}, graphs: map[string]map[string]float64{},
		typicalLatency: map[string]time.Duration{}, targets: map[string][]decide.Target{}, levels: map[int]int{}, routes: map[string]int{},
	}
}

// ClusterState returns the ClusterState of the last Update.
func (t *Table) ClusterState() *ClusterState { return t.cluster }

// service returns the state of a service, which begins with its first use; nil: the configuration has no such service.
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

// SetRetrySlack sets this node's share of the retry slack.
func (t *Table) SetRetrySlack(slack float64) {
	t.retrySlack = slack
	for _, s := range t.services {
		s.budget.SetSlack(slack)
	}
}

// recordRun takes the time of a run of a route, and the calls that it made.
func (t *Table) recordRun(now time.Duration, route string, outcome *wire.ForwardResponse) {
	calls := outcome.Calls
	if took := time.Duration(outcome.TookMs) * time.Millisecond; took > 0 && outcome.Status < 500 {
		if t.typicalLatency[route] == 0 {
			t.typicalLatency[route] = took
		}
		t.typicalLatency[route] += time.Duration(typicalLatencyGain * float64(took-t.typicalLatency[route]))
	}
	graph := t.graphs[route]
	if graph == nil {
		if len(calls) == 0 {
			return
		}
		graph = map[string]float64{}
		t.graphs[route] = graph
	}
	for name := range graph {
		graph[name] *= 1 - callCountGain
	}
	for _, c := range calls {
		s := t.service(now, c.Service)
		if _, known := graph[c.Service]; known || s != nil {
			graph[c.Service] += float64(c.Count) * callCountGain
		}
		if s != nil {
			s.gate.ReportPressure(now, c.Pressure)
		}
	}
}

// downstreamGates returns the gates of the services that a route's graphs call. A graph that would overload them is refused
// at its entry, by its own priority: further inside, its calls pass without a decision.
func (t *Table) downstreamGates(now time.Duration, route *meshconfig.Route) []*decide.Gate {
	var gates []*decide.Gate
	for name, calls := range t.graphs[route.Name] {
		if calls < minCallCount {
			continue
		}
		if s := t.service(now, name); s != nil {
			gates = append(gates, s.gate)
		}
	}
	return gates
}

// Package router routes the requests that enter the mesh at this node. It admits or refuses new call graphs, picks the server
// of each attempt, retries and hedges requests, and decides on the final response. Package decide provides the admission
// curves and the choice of a server, package budget the retry budget. Package proxy performs the I/O.
//
//	table.go          Table: state shared by all requests; typical latencies and call counts of routes
//	request.go        Request: admission, next attempt, waiting
//	outcome.go        handling of an attempt's outcome
//	retry.go          retry conditions, giving up, Retry-After
//	hedge.go          hedged attempts of slow requests
//	cluster.go        ClusterState: the configuration and the servers that may receive requests
//	update.go         update of a Table to a new ClusterState
//	service_state.go  state of services for logs, metrics and status pages
//
// Table and Request are pure state machines: they take the time and an event, and return the action to perform. Times are
// durations since an epoch chosen by the driver. They are not safe for concurrent use.
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
	callCountGain      = 0.05 // weight of the newest run in the moving average of a route's calls
	typicalLatencyGain = 0.03 // weight of the newest run in the moving average of a route's latency
	minCallCount       = 0.1  // calls per run below which a service does not count as downstream
	maxServices        = 4096 // maximum number of services with state
)

// Options configure a Table.
type Options struct {
	Node, Zone  string
	RetryRatio  float64       // retries per request, over all nodes (setting retry_ratio)
	RetryWindow time.Duration // window in which RetryRatio holds
	Seed        uint64        // seed of the random number generator
}

// Table is the state shared by all requests of a node.
type Table struct {
	options           Options
	rng               *rand.Rand
	cluster           *ClusterState
	config            *meshconfig.Config            // configuration applied last; nil before the first
	backends          map[string]bool               // names of the configured services
	services          map[string]*service           // created on first use, as most nodes use only a few services
	targets           map[string][]decide.Target    // servers by service, including services without a route
	subsetPosition    float64                       // see decide.SubsetPosition
	routesPerPriority map[int]int                   // number of routes by priority
	routesPerName     map[string]int                // number of routes by name
	meanCalls         map[string]map[string]float64 // mean calls per run, by route and service
	typicalLatency    map[string]time.Duration      // mean latency of a run, by route
	retrySlack        float64                       // this node's share of the retry slack
}

// service is the state of one service.
type service struct {
	gate        *decide.Gate
	picker      *decide.Picker
	budget      *budget.Budget
	hedgeTokens float64 // hedged attempts that may be sent; see hedgeShare
}

// NewTable returns a Table with an empty ClusterState.
func NewTable(opt Options) *Table {
	return &Table{
		options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), cluster: &ClusterState{},
		services: map[string]*service{}, meanCalls: map[string]map[string]float64{},
		typicalLatency: map[string]time.Duration{}, targets: map[string][]decide.Target{}, routesPerPriority: map[int]int{}, routesPerName: map[string]int{},
	}
}

// ClusterState returns the ClusterState of the last Update.
func (t *Table) ClusterState() *ClusterState { return t.cluster }

// service returns the state of a service, and creates it on first use. It returns nil if the service is not configured or
// maxServices is reached.
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

// SetRetrySlack sets this node's share of the retry slack for each service; see budget.Shares.
func (t *Table) SetRetrySlack(slack float64) {
	t.retrySlack = slack
	for _, s := range t.services {
		s.budget.SetSlack(slack)
	}
}

// recordRun updates the typical latency and the call counts of a route, and passes the reported pressures to the gates of the
// called services.
func (t *Table) recordRun(now time.Duration, route string, outcome *wire.ForwardResponse) {
	calls := outcome.Calls
	if took := time.Duration(outcome.TookMs) * time.Millisecond; took > 0 && outcome.Status < 500 {
		if t.typicalLatency[route] == 0 {
			t.typicalLatency[route] = took
		}
		t.typicalLatency[route] += time.Duration(typicalLatencyGain * float64(took-t.typicalLatency[route]))
	}
	meanCalls := t.meanCalls[route]
	if meanCalls == nil {
		if len(calls) == 0 {
			return
		}
		meanCalls = map[string]float64{}
		t.meanCalls[route] = meanCalls
	}
	for name := range meanCalls {
		meanCalls[name] *= 1 - callCountGain
	}
	for _, c := range calls {
		s := t.service(now, c.Service)
		if _, known := meanCalls[c.Service]; known || s != nil {
			meanCalls[c.Service] += float64(c.Count) * callCountGain
		}
		if s != nil {
			s.gate.ReportPressure(now, c.Pressure)
		}
	}
}

// downstreamGates returns the gates of the services that a route's call graphs call. A graph that would overload one of them
// is refused at its entry, depending on its priority, because its inner calls are always admitted.
func (t *Table) downstreamGates(now time.Duration, route *meshconfig.Route) []*decide.Gate {
	var gates []*decide.Gate
	for name, calls := range t.meanCalls[route.Name] {
		if calls < minCallCount {
			continue
		}
		if s := t.service(now, name); s != nil {
			gates = append(gates, s.gate)
		}
	}
	return gates
}

package proxy

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/metrics"
	"ivydeck/internal/transport/rpc"
)

const (
	answerMargin = 15 * time.Millisecond // before its time is up a request gets its answer
	maxBudgetMs  = 3_600_000
	noTimeBudget = time.Duration(math.MaxInt64) // of a client that gives none: the timeout of the route alone

	maxPriorities      = 16                     // that are shown
	loggedPriorities   = 3                      // the highest, with a refusal
	configWait         = 300 * time.Millisecond // for the first configuration of a process ...
	noConfigRetryAfter = 500 * time.Millisecond // ... and the advice where it has not come
)

// ClusterState is what a node has been told.
type ClusterState = router.ClusterState

// Outbound answers the requests that begin on this machine. It is the driver of
// package entry.
type Outbound struct {
	Node, Zone, Backend string
	Ratio               float64 // retry_ratio
	Window              time.Duration
	Pool                *rpc.Pool
	Log                 *slog.Logger
	Metrics             *metrics.Set
	Graph               func(attempt, service string) (inner, repeat bool) // see localserver.Admission.Graph
	CallFailed          func(attempt string)                               // see localserver.Admission.CallFailed
	Trace               func(trace.Record)                                 // nil: no traces are kept; for each request that begins here
	served              atomic.Uint64
	refused             atomic.Uint64
	failed              atomic.Uint64
	began               time.Time
	ready               chan struct{} // closed with the first configuration

	lateAttempts sync.WaitGroup // in flight after the response
	mu           sync.Mutex
	table        *router.Table
	refusals     map[string]*refusals // by service; guarded by mu
}

// Start makes an Outbound ready for Update. The seed sets its random numbers.
func (o *Outbound) Start(seed uint64) {
	o.began = time.Now()
	o.ready = make(chan struct{})
	o.refusals = map[string]*refusals{}
	o.table = router.NewTable(router.Options{Node: o.Node, Zone: o.Zone, RetryRatio: o.Ratio, RetryWindow: o.Window, Seed: seed})
}

func (o *Outbound) now() time.Duration { return time.Since(o.began) }

// Counts are the responses since the start: of servers, refusals with Retry-After, and others of the
// mesh's own.
func (o *Outbound) Counts() (served, refused, failed uint64) {
	return o.served.Load(), o.refused.Load(), o.failed.Load()
}

// Since returns the time from a moment to the zero time of its records.
func (o *Outbound) Since(t time.Time) time.Duration { return o.began.Sub(t) }

// SetRetrySlack sets this node's part of the retry slack.
func (o *Outbound) SetRetrySlack(slack float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetRetrySlack(slack)
}

// ServiceStates returns the state of each service at this node, for status and metrics.
func (o *Outbound) ServiceStates(priorities int) []router.ServiceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.ServiceStates(o.now(), priorities)
}

// Priorities is how many there are in the configuration.
func (o *Outbound) Priorities() int {
	highest := 0
	if config := o.cluster().Config; config != nil {
		for _, r := range config.Routes {
			highest = max(highest, r.Priority+1)
		}
	}
	return min(highest, maxPriorities)
}

// Pressure is what calls that begin here meet at a service.
func (o *Outbound) Pressure(service string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Pressure(o.now(), service)
}

// Update takes a newer version of the cluster.
func (o *Outbound) Update(w *ClusterState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.Config != nil && o.table.ClusterState().Config == nil {
		close(o.ready)
	}
	o.table.Update(o.now(), w)
}

// cluster is what the node was last told.
func (o *Outbound) cluster() *ClusterState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.ClusterState()
}

// Bounds are what the configuration lets clients do.
func (o *Outbound) Bounds() Bounds {
	b := Bounds{Limits: http1.Limits{Head: 16 << 10, Body: 64 << 20}, HeadWait: 3 * time.Second, Idle: 15 * time.Second}
	if c := o.cluster().Config; c != nil {
		if c.Limits.HeaderBytes > 0 {
			b.Head = c.Limits.HeaderBytes
		}
		if c.Limits.BodyBytes > 0 {
			b.Body = c.Limits.BodyBytes
		}
		if c.Limits.HeaderMs > 0 {
			b.HeadWait = time.Duration(c.Limits.HeaderMs * float64(time.Millisecond))
		}
		if c.Limits.IdleMs > 0 {
			b.Idle = time.Duration(c.Limits.IdleMs * float64(time.Millisecond))
		}
	}
	return b
}

func textAnswer(status int, reason string) *Answer {
	return &Answer{Status: status, Fields: []byte("Content-Type: text/plain\r\n"), Body: []byte(reason + "\n"), Own: true}
}

// generatedAnswer is a response of the node itself.
func generatedAnswer(f *router.Response) *Answer {
	a := textAnswer(f.Status, f.Reason)
	if f.RetryAfter > 0 {
		a.Fields = http1.AppendField(a.Fields, "Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
		a.NotExecuted = true
	}
	return a
}

// Handle answers a request.
func (o *Outbound) Handle(ctx context.Context, c *Call) *Answer {
	rec := trace.Record{Entry: true}
	a := o.handle(ctx, c, &rec)
	switch {
	case !a.Own:
		o.served.Add(1)
	case a.NotExecuted:
		o.refused.Add(1)
	default:
		o.failed.Add(1)
	}
	rec.Status, rec.Took = a.Status, time.Since(c.Arrived)
	o.Metrics.Request(rec.Route, a.Status, a.NotExecuted, rec.Took)
	if o.Trace != nil {
		rec.Attempt, rec.Began = c.Headers.Get("Attempt-Id"), c.Arrived.Sub(o.began)
		if a.Own {
			rec.Reason = strings.TrimSpace(string(a.Body))
		}
		o.Trace(rec)
	}
	return a
}

// handle is Handle, and notes in rec which route, service and servers had a part.
func (o *Outbound) handle(ctx context.Context, c *Call, rec *trace.Record) *Answer {
	o.awaitConfig(ctx)
	cluster := o.cluster()
	if cluster.Config == nil {
		return generatedAnswer(&router.Response{Status: 503, Reason: "no configuration yet", RetryAfter: noConfigRetryAfter})
	}
	route := cluster.Config.Find(c.Host, c.Path())
	if route == nil {
		return textAnswer(404, "no route")
	}
	rec.Route = route.Name
	wait, invalid := timeBudget(c)
	if invalid != nil {
		return invalid
	}
	arrival := o.newArrival(c, route, min(wait, route.Timeout()))
	rec.Service = arrival.Service
	o.mu.Lock()
	r, refused := o.table.Admit(o.now(), arrival)
	o.mu.Unlock()
	if refused != nil {
		o.logRefusal(arrival.Service, false)
		return generatedAnswer(refused)
	}
	a := o.serve(ctx, c, cluster, r)
	if a.NotExecuted {
		o.logRefusal(arrival.Service, true)
	}
	if arrival.Inner && o.CallFailed != nil && a.Status >= 400 {
		o.CallFailed(c.Headers.Get("Attempt-Id"))
	}
	o.mu.Lock()
	rec.Attempts = r.Attempts()
	r.End(o.now())
	o.mu.Unlock()
	return a
}

// awaitConfig waits for a configuration, which in a process that has just started may come at any moment.
func (o *Outbound) awaitConfig(ctx context.Context) {
	if o.cluster().Config != nil {
		return
	}
	timer := time.NewTimer(configWait)
	defer timer.Stop()
	select {
	case <-o.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// timeBudget checks the headers of the protocol, and returns the time that the client waits for the answer; invalid is the
// answer to a request whose headers are not proper.
func timeBudget(c *Call) (wait time.Duration, invalid *Answer) {
	if c.Headers.Count("Attempt-Id") != 1 || c.Headers.Get("Attempt-Id") == "" {
		return 0, textAnswer(400, "not exactly one Attempt-Id")
	}
	switch c.Headers.Count("Time-Budget") {
	case 0:
		return noTimeBudget, nil
	case 1:
		ms, err := strconv.ParseFloat(c.Headers.Get("Time-Budget"), 64)
		if err != nil || !(ms >= 0) || ms > maxBudgetMs { // NaN is no number either
			return 0, textAnswer(400, "Time-Budget is no number of milliseconds")
		}
		return time.Duration(ms * float64(time.Millisecond)), nil
	}
	return 0, textAnswer(400, "more than one Time-Budget")
}

// newArrival is the request as the router takes it, with its service drawn and its place in a call graph.
func (o *Outbound) newArrival(c *Call, route *meshconfig.Route, wait time.Duration) router.Arrival {
	arrival := router.Arrival{Route: route, At: c.Arrived.Sub(o.began)}
	arrival.Deadline = arrival.At + wait - answerMargin
	o.mu.Lock()
	arrival.Service = o.table.ChooseService(route)
	o.mu.Unlock()
	if o.Graph != nil {
		arrival.Inner, arrival.OfRetry = o.Graph(c.Headers.Get("Attempt-Id"), arrival.Service)
	}
	return arrival
}

// logRefusal counts a refusal, and logs the state of the service from time to time.
func (o *Outbound) logRefusal(service string, admitted bool) {
	o.mu.Lock()
	r := o.refusals[service]
	if r == nil {
		r = new(refusals)
		o.refusals[service] = r
	}
	counts, due := r.count(o.now(), admitted)
	reading, known := router.ServiceState{}, false
	if due {
		reading, known = o.table.ServiceState(o.now(), service, loggedPriorities)
	}
	o.mu.Unlock()
	if known {
		counts.log(o.Log, reading)
	}
}

// Wait returns once no attempt is in flight. Attempts may outlast their requests, but not their deadlines.
func (o *Outbound) Wait() { o.lateAttempts.Wait() }

package proxy

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/metrics"
	"ivydeck/internal/transport/rpc"
)

const (
	answerMargin = 15 * time.Millisecond // before its time is up a request gets its answer
	maxBudgetMs  = 3_600_000

	maxPriorities    = 16                     // that are shown
	loggedPriorities = 3                      // the highest, with a refusal
	configWait       = 300 * time.Millisecond // for the first configuration of a process
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
	Trace               func(trace.Record)                                 // nil: nobody asks; for each request that begins here
	served              atomic.Uint64
	refused             atomic.Uint64
	failed              atomic.Uint64
	began               time.Time
	ready               chan struct{} // closed with the first configuration

	strays   sync.WaitGroup // tries
	mu       sync.Mutex
	table    *router.Table
	refusing map[string]*refusals // by service; guarded by mu
}

// Start makes an Outbound ready for Update. The seed sets its random numbers.
func (o *Outbound) Start(seed uint64) {
	o.began = time.Now()
	o.ready = make(chan struct{})
	o.refusing = map[string]*refusals{}
	o.table = router.NewTable(router.Options{Node: o.Node, Zone: o.Zone, RetryRatio: o.Ratio, RetryWindow: o.Window, Seed: seed})
}

func (o *Outbound) now() time.Duration { return time.Since(o.began) }

// Counts are the final answers since the start: of servers, refusals that say when to come back, and others of the
// mesh's own.
func (o *Outbound) Counts() (served, refused, failed uint64) {
	return o.served.Load(), o.refused.Load(), o.failed.Load()
}

// Since tells how long after a moment the times of its records begin.
func (o *Outbound) Since(t time.Time) time.Duration { return o.began.Sub(t) }

// Share sets this node's part of the retry slack.
func (o *Outbound) Share(slack float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetRetrySlack(slack)
}

// Readings are what the node knows of its services, for those who look on.
func (o *Outbound) Readings(priorities int) []router.ServiceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.ServiceStates(o.now(), priorities)
}

// Priorities is how many there are in the configuration.
func (o *Outbound) Priorities() int {
	most := 0
	if config := o.cluster().Config; config != nil {
		for _, r := range config.Routes {
			most = max(most, r.Priority+1)
		}
	}
	return min(most, maxPriorities)
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

func text(status int, why string) *Answer {
	return &Answer{Status: status, Fields: []byte("Content-Type: text/plain\r\n"), Body: []byte(why + "\n"), Own: true}
}

// say makes an answer of a final one of the node's own.
func say(f *router.Response) *Answer {
	a := text(f.Status, f.Reason)
	if f.RetryAfter > 0 {
		a.Fields = http1.AppendField(a.Fields, "Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
		a.Back = true
	}
	return a
}

// Handle gives one request its final answer.
func (o *Outbound) Handle(ctx context.Context, c *Call) *Answer {
	rec := trace.Record{Entry: true}
	a := o.handle(ctx, c, &rec)
	switch {
	case !a.Own:
		o.served.Add(1)
	case a.Back:
		o.refused.Add(1)
	default:
		o.failed.Add(1)
	}
	rec.Status, rec.Took = a.Status, time.Since(c.Arrived)
	o.Metrics.Request(rec.Route, a.Status, a.Back, rec.Took)
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
	if o.cluster().Config == nil { // in a process that has just started it may come at any moment
		timer := time.NewTimer(configWait)
		select {
		case <-o.ready:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	cluster := o.cluster()
	if cluster.Config == nil {
		return say(&router.Response{Status: 503, Reason: "no configuration yet", RetryAfter: 500 * time.Millisecond})
	}
	route := cluster.Config.Find(c.Host, c.Path())
	if route == nil {
		return text(404, "no route")
	}
	rec.Route = route.Name
	if c.Headers.Count("Attempt-Id") != 1 || c.Headers.Get("Attempt-Id") == "" {
		return text(400, "not exactly one Attempt-Id")
	}
	wait := route.Timeout()
	switch c.Headers.Count("Time-Budget") {
	case 0:
	case 1:
		ms, err := strconv.ParseFloat(c.Headers.Get("Time-Budget"), 64)
		if err != nil || !(ms >= 0) || ms > maxBudgetMs {
			return text(400, "Time-Budget is no number of milliseconds")
		}
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	default:
		return text(400, "more than one Time-Budget")
	}
	e := router.Arrival{Route: route, At: c.Arrived.Sub(o.began)}
	e.Deadline = e.At + wait - answerMargin
	o.mu.Lock()
	e.Service = o.table.ChooseService(route)
	o.mu.Unlock()
	rec.Service = e.Service
	if o.Graph != nil {
		e.Inner, e.OfRetry = o.Graph(c.Headers.Get("Attempt-Id"), e.Service)
	}
	o.mu.Lock()
	r, refused := o.table.Admit(o.now(), e)
	o.mu.Unlock()
	if refused != nil {
		o.logRefusal(e.Service, false)
		return say(refused)
	}
	a := o.serve(ctx, c, cluster, r)
	if a.Back {
		o.logRefusal(e.Service, true)
	}
	if e.Inner && o.CallFailed != nil && a.Status >= 400 {
		o.CallFailed(c.Headers.Get("Attempt-Id"))
	}
	o.mu.Lock()
	rec.Attempts = r.Attempts()
	r.End(o.now())
	o.mu.Unlock()
	return a
}

// logRefusal counts a refusal, and logs how the service stands from time to time.
func (o *Outbound) logRefusal(service string, admitted bool) {
	o.mu.Lock()
	r := o.refusing[service]
	if r == nil {
		r = new(refusals)
		o.refusing[service] = r
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

// Wait returns once no try is under way. Tries may outlast the requests that they are of, but not their time.
func (o *Outbound) Wait() { o.strays.Wait() }

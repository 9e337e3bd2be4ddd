package proxy

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
	"curlewring/internal/http1"
	"curlewring/internal/meshconfig"
	"curlewring/internal/rpc"
	"curlewring/internal/wire"
)

const (
	answerMargin  = 15 * time.Millisecond // before its time is up a request gets its answer
	fullPause     = 15 * time.Millisecond // between looks for a server with room
	graphGain     = 0.05                  // weight of the newest run in the averages of calls
	graphLeast    = 0.1                   // calls a run below which a service is not counted as called
	patiencePart  = 5                     // a request without a server is given up after this part of its aim
	innerPatience = 5                     // the same of a call of a graph
	leastPatience = 30 * time.Millisecond
	mostTurned    = 12 // servers asked that turned one request away
	mostBudgetMs  = 3_600_000
	mostServices  = 4096
)

// World is what a node has been told: a configuration and the servers. It is
// not changed once made.
type World struct {
	Config  *meshconfig.Config
	Servers map[string]*wire.Server // by member, those that may be sent to
}

// Outbound answers the requests that begin on this machine.
type Outbound struct {
	Node, Zone, Backend string
	Ratio               float64 // retry_ratio
	Window              time.Duration
	Pool                *rpc.Pool
	Log                 *slog.Logger
	Graph               func(attempt, service string) (inner, repeat bool) // see Inbound.Graph
	began               time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	world    *World
	services map[string]*service
	graphs   map[string]map[string]float64 // calls that a run makes, by route and service, averaged
	slack    float64                       // this node's part of the retry slack
}

// service is what a node keeps for each service.
type service struct {
	gate   *decide.Gate
	picker *decide.Picker
	budget *budget.Budget
}

// Start makes an Outbound ready for Update. The seed sets its random numbers.
func (o *Outbound) Start(seed uint64) {
	o.began = time.Now()
	o.rng = rand.New(rand.NewPCG(seed, 1))
	o.services = map[string]*service{}
	o.graphs = map[string]map[string]float64{}
	o.world = &World{}
}

func (o *Outbound) now() time.Duration { return time.Since(o.began) }

// Share sets this node's part of the retry slack.
func (o *Outbound) Share(slack float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slack = slack
	for _, s := range o.services {
		s.budget.Share(slack)
	}
}

// Update takes news of the world.
func (o *Outbound) Update(w *World) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world = w
	if w.Config == nil {
		return
	}
	lists := map[string][]decide.Target{}
	for _, s := range w.Servers {
		lists[s.Service] = append(lists[s.Service], decide.Target{ID: s.Member, Near: s.Zone == o.Zone})
	}
	var priorities []int
	for i := range w.Config.Routes {
		priorities = append(priorities, w.Config.Routes[i].Priority)
	}
	for _, b := range w.Config.Backends {
		s := o.services[b.Name]
		if s == nil && len(o.services) < mostServices {
			s = &service{
				gate: decide.NewGate(o.rng.Uint64(), o.now()), picker: decide.NewPicker(o.Node, o.rng.Uint64()),
				budget: budget.New(o.Ratio, o.Window),
			}
			s.budget.Share(o.slack)
			o.services[b.Name] = s
		}
		if s == nil {
			continue
		}
		s.gate.Priorities(priorities)
		s.picker.List(lists[b.Name])
	}
	for name := range o.graphs {
		if !slices.ContainsFunc(w.Config.Routes, func(r meshconfig.Route) bool { return r.Name == name }) {
			delete(o.graphs, name)
		}
	}
	for name := range o.services {
		if !slices.ContainsFunc(w.Config.Backends, func(b meshconfig.Backend) bool { return b.Name == name }) {
			delete(o.services, name)
		}
	}
}

// learn notes which services a run of a route has called.
func (o *Outbound) learn(route string, called []*wire.Called) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.graphs[route]
	if g == nil {
		if len(called) == 0 {
			return
		}
		g = map[string]float64{}
		o.graphs[route] = g
	}
	for name := range g {
		g[name] *= 1 - graphGain
	}
	for _, c := range called {
		if _, known := g[c.Service]; known || o.services[c.Service] != nil {
			g[c.Service] += float64(c.Times) * graphGain
		}
	}
}

// behind returns the gates of the services that a route's graphs call. A graph
// that would crowd them is kept out at its entry, by its own priority: inside,
// its calls pass without a verdict.
func (o *Outbound) behind(route *meshconfig.Route) []*decide.Gate {
	var gates []*decide.Gate
	for name, times := range o.graphs[route.Name] {
		if s := o.services[name]; s != nil && times >= graphLeast {
			gates = append(gates, s.gate)
		}
	}
	return gates
}

// Bounds are what the configuration lets clients do.
func (o *Outbound) Bounds() Bounds {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := Bounds{Limits: http1.Limits{Head: 16 << 10, Body: 64 << 20}, HeadWait: 3 * time.Second, Idle: 15 * time.Second}
	if c := o.world.Config; c != nil {
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
	return &Answer{Status: status, Headers: http1.Headers{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte(why + "\n")}
}

// refuse promises that the request has not run and never will.
func refuse(why string, after time.Duration) *Answer {
	a := text(503, why)
	a.Headers = append(a.Headers, http1.Header{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	return a
}

// request is one request on its way.
type request struct {
	o       *Outbound
	call    *Call
	route   *meshconfig.Route
	world   *World
	name    string // of the service
	service *service
	until   time.Time
	inner   bool     // a call of a graph that was admitted
	rank    uint32   // its place in the queues of servers; 0 is the highest
	reached []string // servers that it has arrived at
	ran     bool     // it may have run
	tried   []string // servers not to be asked again
	turned  int
	crowded bool // at some moment no server had room
}

// Handle gives one request its final answer.
func (o *Outbound) Handle(ctx context.Context, c *Call) *Answer {
	o.mu.Lock()
	world := o.world
	o.mu.Unlock()
	if world.Config == nil {
		return refuse("no configuration yet", 500*time.Millisecond)
	}
	route := world.Config.Find(c.Host, c.Path())
	if route == nil {
		return text(404, "no route")
	}
	if c.Headers.Count("Attempt-Id") != 1 || c.Headers.Get("Attempt-Id") == "" {
		return text(400, "not exactly one Attempt-Id")
	}
	wait := route.Timeout()
	switch c.Headers.Count("Time-Budget") {
	case 0:
	case 1:
		ms, err := strconv.ParseFloat(c.Headers.Get("Time-Budget"), 64)
		if err != nil || !(ms >= 0) || ms > mostBudgetMs {
			return text(400, "Time-Budget is no number of milliseconds")
		}
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	default:
		return text(400, "more than one Time-Budget")
	}
	r := &request{o: o, call: c, route: route, rank: uint32(route.Priority), world: world, until: c.Arrived.Add(wait - answerMargin)}

	o.mu.Lock()
	r.name = route.Service(o.rng.Float64())
	r.service = o.services[r.name]
	if r.service == nil {
		o.mu.Unlock()
		return refuse("no such service", 500*time.Millisecond)
	}
	s := r.service
	s.budget.Request(o.now())
	again := false
	if o.Graph != nil {
		r.inner, again = o.Graph(c.Headers.Get("Attempt-Id"), r.name)
	}
	if again { // calls of a repeat are repeats at the service that is called
		s.budget.Charge(o.now(), 1)
	}
	if !r.inner && !s.gate.Admit(o.now(), route.Priority, o.behind(route)...) {
		after := s.gate.RetryAfter(route.Aim())
		o.mu.Unlock()
		return refuse("overload", after)
	}
	s.gate.Begin(o.now())
	o.mu.Unlock()

	a := r.serve(ctx)

	o.mu.Lock()
	aim := route.Aim()
	if r.inner { // its time is part of its graph's
		aim = 0
	}
	if len(r.reached) == 0 && !r.ran { // no server had a part in its time
		aim = 0
	}
	s.gate.Done(o.now(), time.Since(c.Arrived), aim)
	o.mu.Unlock()
	return a
}

// serve makes attempts until there is a final answer.
func (r *request) serve(ctx context.Context) *Answer {
	ctx, cancel := context.WithDeadline(ctx, r.until)
	defer cancel()
	patience := max(leastPatience, r.route.Aim()/patiencePart)
	if r.inner {
		// Its graph is lost with it, but one that waits holds a slot of its caller.
		patience = max(leastPatience, r.route.Aim()/innerPatience)
	}
	since := r.call.Arrived // of the wait for a server
	for {
		id, ok := r.pick()
		if !ok {
			// Nobody has room at this moment. Longer waits belong to the client.
			if !r.crowded {
				r.crowded = true
				r.o.mu.Lock()
				r.service.gate.Room(false)
				r.o.mu.Unlock()
			}
			if time.Since(since) > patience {
				return r.giveUp("no server has room")
			}
			r.tried = append(r.tried[:0], r.reached...) // those that turned it away may have room by now
			select {
			case <-time.After(fullPause):
				continue
			case <-ctx.Done():
				return r.giveUp("no server in time")
			}
		}
		out, result := r.attempt(ctx, id)
		r.o.mu.Lock()
		r.service.picker.End(r.o.now(), id, result, out.Waiting)
		if len(r.reached) == 0 && !r.crowded && out.Fate != wire.Outcome_UNSENT {
			r.service.gate.Room(true)
		}
		r.o.mu.Unlock()
		switch out.Fate {
		case wire.Outcome_ANSWERED:
			r.reach(id)
			r.o.learn(r.route.Name, out.Called)
			if a := r.final(out); a != nil {
				return a
			}
			since = time.Now()
		case wire.Outcome_UNSENT:
			r.turned++
			r.tried = append(r.tried, id)
			if ctx.Err() != nil {
				return r.giveUp("no time left")
			}
			if time.Since(since) > patience && r.turned >= mostTurned {
				return r.giveUp("no server has room")
			}
			continue
		case wire.Outcome_UNRUN:
			r.reach(id)
			since = time.Now()
			if !r.mayRepeat() {
				return r.giveUp("the servers have no room")
			}
		case wire.Outcome_BROKEN, wire.Outcome_LATE:
			r.reach(id)
			r.ran = true
			since = time.Now()
			if ctx.Err() != nil {
				return text(504, "no answer in time")
			}
			if r.route.Kind != meshconfig.Repeatable || !r.mayRepeat() {
				if out.Fate == wire.Outcome_LATE {
					return text(504, "no answer in time")
				}
				return text(502, "the server gave no proper answer")
			}
		}
	}
}

// reach books a server that the request has arrived at: it gets no second try.
func (r *request) reach(id string) {
	r.reached = append(r.reached, id)
	r.tried = append(r.tried, id)
}

// giveUp is the answer to a request for which there is no further attempt.
func (r *request) giveUp(why string) *Answer {
	if r.ran {
		return text(502, why)
	}
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	return refuse(why, r.service.gate.RetryAfter(r.route.Aim()))
}

func (r *request) pick() (string, bool) {
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	id, ok := r.service.picker.Pick(r.o.now(), r.tried)
	if ok {
		r.service.picker.Begin(id)
	}
	return id, ok
}

// mayRepeat tells whether the request may reach one more server, and pays for it.
// Where the gate has begun to refuse its like, repeats would only add to the load.
func (r *request) mayRepeat() bool {
	if len(r.reached) >= max(1, r.route.MaxAttempts) {
		return false
	}
	r.o.mu.Lock()
	defer r.o.mu.Unlock()
	return r.service.gate.Chance(r.route.Priority) == 1 && r.service.budget.Spend(r.o.now())
}

// attempt asks the node beside a server to pass the request on.
func (r *request) attempt(ctx context.Context, id string) (*wire.Outcome, decide.Result) {
	server := r.world.Servers[id]
	if server == nil { // the list is newer than the request's
		r.o.mu.Lock()
		server = r.o.world.Servers[id]
		r.o.mu.Unlock()
	}
	if server == nil {
		return unsent(true, "not listed"), decide.NotSent
	}
	c := r.call
	q := &wire.Forward{
		Member: id, Service: r.name, Method: c.Method, Target: c.Target, Body: c.Body, Caller: r.o.Backend,
		Priority: r.rank, Attempt: c.Headers.Get("Attempt-Id"), Repeat: r.ran,
		LeftMs: uint32(max(1, time.Until(r.until).Milliseconds())),
	}
	for _, h := range http1.EndToEnd(c.Headers, "time-budget", "target-instance", "caller-service") {
		q.Headers = append(q.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	out := new(wire.Outcome)
	err := r.o.Pool.Live(ctx, server.Address)
	if err == nil {
		err = r.o.Pool.Call(ctx, server.Address, "forward", q, out)
	}
	if err != nil {
		switch {
		case errors.Is(err, rpc.ErrUnsent):
			return unsent(false, "%v", err), decide.Unconnected
		case ctx.Err() != nil:
			return &wire.Outcome{Fate: wire.Outcome_LATE, Why: "no answer in time"}, decide.TimedOut
		}
		r.o.Log.Debug("request.broken", "attempt", q.Attempt, "server", id, "err", err)
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: err.Error()}, decide.Broken
	}
	switch out.Fate {
	case wire.Outcome_ANSWERED:
		if out.Status >= 500 {
			return out, decide.Errored
		}
		return out, decide.Served
	case wire.Outcome_UNSENT:
		if out.Gone {
			return out, decide.NotSent
		}
		return out, decide.Full
	case wire.Outcome_UNRUN:
		return out, decide.Full
	case wire.Outcome_LATE:
		return out, decide.TimedOut
	}
	return out, decide.Broken
}

// final makes the client's answer of a server's, or nil where another attempt is
// better.
func (r *request) final(out *wire.Outcome) *Answer {
	status := int(out.Status)
	if status >= 500 && status != 504 && r.route.Kind == meshconfig.Repeatable {
		r.ran = true
		if r.mayRepeat() {
			return nil
		}
	}
	switch status {
	case 408, 421, 429, 503: // as the client reads them, these promise that it has not run
		return text(502, "the server failed")
	}
	a := &Answer{Status: status, Body: out.Body}
	for _, h := range out.Headers {
		a.Headers = append(a.Headers, http1.Header{Name: h.Name, Value: h.Value})
	}
	return a
}

package proxy

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/decide"
	"ivydeck/internal/entry"
	"ivydeck/internal/http1"
	"ivydeck/internal/metrics"
	"ivydeck/internal/rpc"
	"ivydeck/internal/station"
	"ivydeck/internal/timers"
	"ivydeck/internal/trace"
	"ivydeck/internal/wire"
)

const (
	answerMargin = 15 * time.Millisecond // before its time is up a request gets its answer
	mostBudgetMs = 3_600_000

	mostPriorities   = 16                     // that are shown
	loggedPriorities = 3                      // the highest, with a refusal
	configWait       = 300 * time.Millisecond // for the first configuration of a process
)

// World is what a node has been told.
type World = entry.World

// Outbound answers the requests that begin on this machine. It is the driver of
// package entry.
type Outbound struct {
	Node, Zone, Backend string
	Ratio               float64 // retry_ratio
	Window              time.Duration
	Pool                *rpc.Pool
	Log                 *slog.Logger
	Metrics             *metrics.Set
	Graph               func(attempt, service string) (inner, repeat bool) // see station.Station.Graph
	CallFailed          func(attempt string)                               // see station.Station.CallFailed
	Trace               func(trace.Record)                                 // nil: nobody asks; for each request that begins here
	served              atomic.Uint64
	refused             atomic.Uint64
	failed              atomic.Uint64
	began               time.Time
	ready               chan struct{} // closed with the first configuration

	strays   sync.WaitGroup // tries
	mu       sync.Mutex
	table    *entry.Table
	refusing map[string]*refusals // by service; guarded by mu
}

// Start makes an Outbound ready for Update. The seed sets its random numbers.
func (o *Outbound) Start(seed uint64) {
	o.began = time.Now()
	o.ready = make(chan struct{})
	o.refusing = map[string]*refusals{}
	o.table = entry.NewTable(entry.Options{Node: o.Node, Zone: o.Zone, Ratio: o.Ratio, Window: o.Window, Seed: seed})
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
	o.table.Share(slack)
}

// Readings are what the node knows of its services, for those who look on.
func (o *Outbound) Readings(priorities int) []entry.Reading {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Readings(o.now(), priorities)
}

// Priorities is how many there are in the configuration.
func (o *Outbound) Priorities() int {
	most := 0
	if config := o.world().Config; config != nil {
		for _, r := range config.Routes {
			most = max(most, r.Priority+1)
		}
	}
	return min(most, mostPriorities)
}

// Pressure is what calls that begin here meet at a service.
func (o *Outbound) Pressure(service string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Pressure(o.now(), service)
}

// Update takes a newer version of the world.
func (o *Outbound) Update(w *World) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.Config != nil && o.table.World().Config == nil {
		close(o.ready)
	}
	o.table.Update(o.now(), w)
}

// world is what the node was last told.
func (o *Outbound) world() *World {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.World()
}

// Bounds are what the configuration lets clients do.
func (o *Outbound) Bounds() Bounds {
	b := Bounds{Limits: http1.Limits{Head: 16 << 10, Body: 64 << 20}, HeadWait: 3 * time.Second, Idle: 15 * time.Second}
	if c := o.world().Config; c != nil {
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
func say(f *entry.Final) *Answer {
	a := text(f.Status, f.Why)
	if f.After > 0 {
		a.Fields = http1.AppendField(a.Fields, "Retry-After", strconv.FormatFloat(f.After.Seconds(), 'f', 3, 64))
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
			rec.Why = strings.TrimSpace(string(a.Body))
		}
		o.Trace(rec)
	}
	return a
}

// handle is Handle, and notes in rec which route, service and servers had a part.
func (o *Outbound) handle(ctx context.Context, c *Call, rec *trace.Record) *Answer {
	if o.world().Config == nil { // in a process that has just started it may come at any moment
		timer := time.NewTimer(configWait)
		select {
		case <-o.ready:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	world := o.world()
	if world.Config == nil {
		return say(&entry.Final{Status: 503, Why: "no configuration yet", After: 500 * time.Millisecond})
	}
	route := world.Config.Find(c.Host, c.Path())
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
		if err != nil || !(ms >= 0) || ms > mostBudgetMs {
			return text(400, "Time-Budget is no number of milliseconds")
		}
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	default:
		return text(400, "more than one Time-Budget")
	}
	e := entry.Entrant{Route: route, Arrived: c.Arrived.Sub(o.began)}
	e.Until = e.Arrived + wait - answerMargin
	o.mu.Lock()
	e.Service = o.table.Choose(route)
	o.mu.Unlock()
	rec.Service = e.Service
	if o.Graph != nil {
		e.Inner, e.Again = o.Graph(c.Headers.Get("Attempt-Id"), e.Service)
	}
	o.mu.Lock()
	r, refused := o.table.Enter(o.now(), e)
	o.mu.Unlock()
	if refused != nil {
		o.logRefusal(e.Service, false)
		return say(refused)
	}
	a := o.serve(ctx, c, world, r)
	if a.Back {
		o.logRefusal(e.Service, true)
	}
	if e.Inner && o.CallFailed != nil && a.Status >= 400 {
		o.CallFailed(c.Headers.Get("Attempt-Id"))
	}
	o.mu.Lock()
	rec.Tries = r.Tries()
	r.Leave(o.now())
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
	reading, known := entry.Reading{}, false
	if due {
		reading, known = o.table.Reading(o.now(), service, loggedPriorities)
	}
	o.mu.Unlock()
	if known {
		counts.log(o.Log, reading)
	}
}

// try is one, with its end where it has ended.
type try struct {
	server string
	out    *wire.Outcome
	result decide.Result
}

// serve makes tries until there is a final answer.
func (o *Outbound) serve(client context.Context, c *Call, world *World, r *entry.Request) *Answer {
	for {
		o.mu.Lock()
		step := r.Next(o.now())
		o.mu.Unlock()
		if a := o.take(client, c, world, r, step); a != nil {
			return a
		}
		if client.Err() != nil {
			return text(504, leftText)
		}
	}
}

// leftText is for a client that has left, and reads no answer.
const leftText = "called off"

// take does what a step says, and returns the final answer where that brings it.
func (o *Outbound) take(client context.Context, c *Call, world *World, r *entry.Request, step entry.Step) *Answer {
	switch {
	case step.Final != nil:
		return say(step.Final)
	case step.Server == "":
		timer := timers.Get(step.Wait)
		defer timers.Put(timer)
		select {
		case <-timer.C:
		case <-client.Done():
		}
		return nil
	case r.Once():
		return o.done(c, r, o.attempt(client, c, world, r, step))
	}
	// What a server works on when the answer is there goes on: its work would be lost, not saved.
	call, t := o.begin(client, context.Background(), c, world, r, step)
	if call == nil {
		return o.done(c, r, t)
	}
	return o.race(client, c, world, r, call, t)
}

// race waits for a try that is under way, with a second one beside it where it takes far longer than its like. It
// returns the final answer; nil: there is none yet, and no try is left.
func (o *Outbound) race(client context.Context, c *Call, world *World, r *entry.Request, call *rpc.Stream, first try) (final *Answer) {
	o.mu.Lock()
	hedge := r.HedgeAfter()
	o.mu.Unlock()
	until := o.began.Add(r.Until)
	wait := time.Until(until)
	if hedge > 0 {
		wait = min(wait, hedge)
	}
	timer := timers.Get(wait)
	defer timers.Put(timer)
	woken := call.Woken()      // nil: the first has ended
	var second chan try        // nil: there is none
	var off context.CancelFunc // calls the second off
	for final == nil && (woken != nil || second != nil) {
		over := false // the first's answer, or its time
		select {
		case <-woken:
			over = true
		case t := <-second:
			second = nil
			final = o.done(c, r, t)
		case <-client.Done():
			final = text(504, leftText)
		case <-timer.C:
			if over = time.Until(until) <= 0; !over {
				timer.Reset(time.Until(until))
			}
			if hedge > 0 && !over {
				hedge = 0 // once
				o.mu.Lock()
				step, ok := r.Hedge(o.now())
				o.mu.Unlock()
				if ok {
					second = make(chan try, 1)
					off = o.aside(c, world, r, step, second)
				}
			}
		}
		if over && woken != nil { // it returns at once
			woken = nil
			final = o.done(c, r, o.end(context.Background(), c, call, first))
		}
	}
	left := client.Err() != nil
	switch {
	case woken == nil:
	case left:
		call.Close()
		first.out, first.result = noAnswer(), decide.TimedOut
		o.late(r, first)
	default:
		o.strays.Go(func() { o.late(r, o.end(context.Background(), c, call, first)) })
	}
	if second != nil {
		if left {
			off()
		}
		o.strays.Go(func() { o.late(r, <-second) })
	}
	return final
}

// aside makes a second try beside the first, and returns what calls it off.
func (o *Outbound) aside(c *Call, world *World, r *entry.Request, step entry.Step, end chan<- try) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	o.strays.Go(func() {
		defer cancel()
		end <- o.attempt(ctx, c, world, r, step)
	})
	return cancel
}

// done books the end of a try, and returns the final answer where it is one.
func (o *Outbound) done(c *Call, r *entry.Request, t try) *Answer {
	o.mu.Lock()
	final, pass := r.Done(o.now(), t.server, t.out, t.result)
	o.mu.Unlock()
	switch {
	case final != nil:
		return say(final)
	case pass:
		return served(t.out, c.Headers.Get("Attempt-Id"))
	}
	return nil
}

// late books the end of a try after the final answer.
func (o *Outbound) late(r *entry.Request, t try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Late(o.now(), t.server, t.out, t.result)
}

// Wait returns once no try is under way. Tries may outlast the requests that they are of, but not their time.
func (o *Outbound) Wait() { o.strays.Wait() }

// attempt asks the node beside a server to pass the request on, and waits for what becomes of it.
func (o *Outbound) attempt(ctx context.Context, c *Call, world *World, r *entry.Request, step entry.Step) try {
	call, t := o.begin(ctx, ctx, c, world, r, step)
	if call == nil {
		return t
	}
	return o.end(ctx, c, call, t)
}

var forwards = sync.Pool{New: func() any { return new(wire.Forward) }}

// begin asks the node beside a server to pass the request on. Where there is no call then, the try has ended. dial is
// the context of the way there, ctx that of the call.
func (o *Outbound) begin(dial, ctx context.Context, c *Call, world *World, r *entry.Request, step entry.Step) (*rpc.Stream, try) {
	t := try{server: step.Server}
	server, _ := world.Servers.Get(t.server)
	if server == nil { // the list is newer than the request's
		server, _ = o.world().Servers.Get(t.server)
	}
	if server == nil {
		t.out, t.result = unsent(true, "not listed"), decide.NotSent
		return nil, t
	}
	until := o.began.Add(r.Until)
	peer, err := o.Pool.Live(dial, until, server.Address)
	if err == nil {
		q := forwards.Get().(*wire.Forward)
		fields := messages.Get().(*[]byte)
		q.Member, q.Service, q.Method, q.Target, q.Body, q.Caller = t.server, r.Service, c.Method, c.Target, c.Body, o.Backend
		q.Priority, q.Attempt, q.Repeat = r.Rank, c.Headers.Get("Attempt-Id"), step.Repeat
		q.LeftMs = uint32(max(1, (r.Until - o.now()).Milliseconds()))
		q.Zone, q.Once, q.UsualMs, q.Insist, q.Wait = o.Zone, r.Once(), uint32(step.Usual.Milliseconds()), step.Insist, step.Queue
		q.Fields = http1.AppendEndToEnd((*fields)[:0], c.Headers, "Attempt-Id", "Time-Budget", "Target-Instance", "Caller-Service")
		line := q.Fields
		if server.Speaks < station.SpeaksFields {
			q.Headers, q.Fields = spell(q.Fields, q.Attempt), nil
		}
		var call *rpc.Stream
		call, err = peer.Begin(ctx, until, "forward", q)
		recycle(fields, line)
		proto.Reset(q)
		forwards.Put(q)
		if err == nil {
			return call, t
		}
	}
	if errors.Is(err, rpc.ErrUnsent) { // only the beginning of a call can prove that
		t.out, t.result = unsent(false, "%v", err), decide.Unconnected
		return nil, t
	}
	return nil, o.lost(ctx, c, t, err)
}

// end waits for what becomes of a call.
func (o *Outbound) end(ctx context.Context, c *Call, call *rpc.Stream, t try) try {
	out := new(wire.Outcome)
	if err := call.Answer(out); err != nil {
		return o.lost(ctx, c, t, err)
	}
	t.out, t.result = out, entry.Result(out)
	return t
}

func noAnswer() *wire.Outcome {
	return &wire.Outcome{Fate: wire.Outcome_LATE, Why: "no answer in time"}
}

// lost is a try that may have arrived and has brought no word of what has become of it: whatever the error says, it
// may have run.
func (o *Outbound) lost(ctx context.Context, c *Call, t try, err error) try {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		t.out, t.result = noAnswer(), decide.TimedOut
	default:
		o.Log.Debug("request.broken", "attempt", c.Headers.Get("Attempt-Id"), "server", t.server, "err", err)
		t.out, t.result = &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: err.Error()}, decide.Broken
	}
	return t
}

// served is a server's answer to the request with this id as the client gets it.
func served(out *wire.Outcome, attempt string) *Answer {
	a := &Answer{Status: int(out.Status), Fields: out.Fields, Body: out.Body}
	if len(out.Headers) > 0 {
		a.Fields = lines(out.Headers)
	}
	a.Fields = http1.AppendField(a.Fields, "Attempt-Id", attempt)
	return a
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"time"

	"ivydeck/internal/health"
	"ivydeck/internal/http1"
	"ivydeck/internal/rpc"
	"ivydeck/internal/station"
	"ivydeck/internal/timers"
	"ivydeck/internal/trace"
	"ivydeck/internal/wire"
)

const (
	serverHead = 64 << 10
	serverBody = 64 << 20
	dialServer = 300 * time.Millisecond
	leastLeft  = 5 * time.Millisecond // below this a request is not begun
)

// Beat is what a server says of itself.
type Beat = station.Beat

// ticket is a request that may have to wait; its verdict comes once.
type ticket struct{ verdict chan bool }

// Inbound stands beside a server. It alone speaks to it, so it knows what the
// server holds, and can turn a request away before the server has seen it. It is
// the driver of package station.
type Inbound struct {
	Log *slog.Logger
	// Pressure is what calls that begin here meet at a service; nil: not known.
	Pressure func(service string) float64
	// Trace takes each run at a server here; nil: nobody asks.
	Trace func(trace.Record)

	began   time.Time
	changed chan struct{} // has room for one: what Servers returns has changed

	mu      sync.Mutex
	station *station.Station[*ticket]
	spare   *ticket         // of a request that had no need to wait
	apps    map[string]*app // by member, those in service
}

// app is where a life of a server is reached.
type app struct {
	in      *Inbound
	address string
	slots   int
	idle    []*appConn
	closed  bool
	load    serverLoad // guarded by in.mu
}

// NewInbound returns an Inbound without servers. After drain from the
// acknowledgement of a drain mark nothing arrives; servers speak every heartbeat.
func NewInbound(drain, heartbeat time.Duration, log *slog.Logger) *Inbound {
	return &Inbound{
		Log: log, began: time.Now(), changed: make(chan struct{}, 1),
		station: station.New[*ticket](drain, heartbeat), apps: map[string]*app{},
	}
}

// Changed tells when Servers may return something else.
func (in *Inbound) Changed() <-chan struct{} { return in.changed }

func (in *Inbound) now() time.Duration { return time.Since(in.began) }

// Since tells how long after a moment the times of its records begin.
func (in *Inbound) Since(t time.Time) time.Duration { return in.began.Sub(t) }

// tell hands out verdicts. Each ticket gets one, for which it has room.
func tell(verdicts []station.Verdict[*ticket]) {
	for _, v := range verdicts {
		v.Ticket.verdict <- v.Go
	}
}

// open keeps an app for a life in service. Called with mu held.
func (in *Inbound) open(b Beat) {
	a := in.apps[b.ID]
	if a == nil {
		a = &app{in: in}
		in.apps[b.ID] = a
	}
	if server, ok := in.station.Server(b.ID); ok {
		a.address, a.slots = server.Address, server.Slots
	}
}

// shut closes the connections to a life that has ended. Called with mu held.
func (in *Inbound) shut(id string) {
	if a := in.apps[id]; a != nil {
		delete(in.apps, id)
		a.closed = true
		for _, c := range a.idle {
			c.nc.Close()
		}
		a.idle = nil
	}
}

// Beat takes a server's word. It reports false for one of a life that has ended.
func (in *Inbound) Beat(b Beat, now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	h := in.station.Beat(now.Sub(in.began), b)
	tell(h.Verdicts)
	for _, id := range h.Ended {
		in.shut(id)
	}
	if h.New {
		in.Log.Info("server.new", "member", b.ID, "service", b.Service, "address", b.Address)
	}
	if h.Back {
		in.Log.Info("server.back", "member", b.ID)
	}
	if h.Drains {
		in.Log.Info("server.draining", "member", b.ID)
	}
	if h.OK {
		in.open(b)
		in.Poke()
	}
	return h.OK
}

// Adopt takes over a server that the list has for this machine; see station.
func (in *Inbound) Adopt(b Beat, now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.station.Adopt(now.Sub(in.began), b) {
		in.open(b)
		in.Log.Info("server.adopted", "member", b.ID)
	}
}

// Deregister takes a server's last word.
func (in *Inbound) Deregister(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	ended, verdicts := in.station.Deregister(id)
	tell(verdicts)
	if ended {
		in.shut(id)
		in.Log.Info("server.left", "member", id)
	}
	in.Poke()
}

// Poke makes Changed tell.
func (in *Inbound) Poke() {
	select {
	case in.changed <- struct{}{}:
	default:
	}
}

// Sweep takes servers that have been silent for long for gone, and closes
// connections that have been idle for long.
func (in *Inbound) Sweep(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	silent, verdicts := in.station.Sweep(now.Sub(in.began))
	tell(verdicts)
	for _, id := range silent {
		in.Log.Warn("server.silent", "member", id)
		in.shut(id)
		in.Poke()
	}
	for _, a := range in.apps {
		keep := a.idle[:0]
		for _, c := range a.idle {
			if now.Before(c.until) {
				keep = append(keep, c)
			} else {
				c.nc.Close()
			}
		}
		a.idle = keep
	}
}

// Servers returns the servers of this machine as they should be registered.
func (in *Inbound) Servers() []Beat {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.station.Servers()
}

// Load is the number of requests at each server here, and of those that wait for
// it, in the order of Servers.
func (in *Inbound) Load() (servers []Beat, inflight, waiting []int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	servers = in.station.Servers()
	for _, b := range servers {
		i, w := in.station.Load(b.ID)
		inflight, waiting = append(inflight, i), append(waiting, w)
	}
	return servers, inflight, waiting
}

// Sick tells, by server here, for the callers of which zones it is out for its failures; see health.
func (in *Inbound) Sick() map[string][]string {
	in.mu.Lock()
	defer in.mu.Unlock()
	sick := map[string][]string{}
	for _, b := range in.station.Servers() {
		sick[b.ID] = in.station.Sick(b.ID)
	}
	return sick
}

// Busy is the number of requests that servers here hold.
func (in *Inbound) Busy() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.station.Busy()
}

// Graph tells whether a request is a call of a run in flight here; see station.
func (in *Inbound) Graph(attempt, service string) (inner, repeat bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.station.Graph(attempt, service)
}

// CallFailed notes that a call of a run here has failed; see station.
func (in *Inbound) CallFailed(attempt string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.station.CallFailed(attempt)
}

func unsent(gone bool, format string, args ...any) *wire.Outcome {
	return &wire.Outcome{Fate: wire.Outcome_UNSENT, Gone: gone, Why: fmt.Sprintf(format, args...)}
}

// Forward passes a request to the server that it names, or turns it away.
func (in *Inbound) Forward(ctx context.Context, q *wire.Forward) (*wire.Outcome, error) {
	until := time.Now().Add(time.Duration(q.LeftMs) * time.Millisecond)
	ask := station.Ask{
		Member: q.Member, Service: q.Service, Attempt: q.Attempt, Priority: q.Priority, Repeat: q.Repeat, Wait: q.Wait,
		Call: health.Call{Zone: q.Zone, Usual: time.Duration(q.UsualMs) * time.Millisecond, Once: q.Once, Insist: q.Insist},
	}
	in.mu.Lock()
	t := in.spare
	if in.spare = nil; t == nil {
		t = new(ticket)
	}
	place, why, verdicts := in.station.Arrive(in.now(), ask, t)
	if place == station.Queue { // the verdict can't come before mu is free again
		t.verdict = make(chan bool, 1)
	} else {
		in.spare = t
	}
	tell(verdicts)
	a := in.apps[q.Member]
	var load serverLoad
	due := false
	if place == station.Full && a != nil {
		load, due = a.load.turnAway(in.now())
	}
	in.mu.Unlock()
	if due {
		load.log(in.Log, in.now(), q.Member, a.slots)
	}
	switch place {
	case station.Gone:
		return unsent(true, "%s", why), nil
	case station.Hangs:
		return unsent(false, "%s", why), nil
	case station.Sick:
		return &wire.Outcome{Fate: wire.Outcome_UNSENT, Why: why, Sick: true}, nil
	case station.Full:
		return &wire.Outcome{Fate: wire.Outcome_UNSENT, Why: why, Waiting: true}, nil
	case station.Queue:
		if why := in.await(ctx, ask, t, until); why != "" {
			return unsent(false, "%s", why), nil
		}
	}
	began := in.now()
	out := a.send(ctx, q, until)
	end := station.EndOf(out)
	if out.Why == calledOff {
		end = health.Void
	}
	in.mu.Lock()
	now := in.now()
	f := in.station.Finish(now, q.Member, q.Attempt, end)
	tell(f.Verdicts)
	a.load.busy += now - began
	in.mu.Unlock()
	out.Waiting, out.Pace, out.Fill = f.Waiting, float32(f.Pace), float32(f.Fill)
	out.TookMs = uint32((now - began).Milliseconds())
	if in.Trace != nil {
		in.Trace(trace.Record{Attempt: q.Attempt, Began: began, Took: now - began, Service: q.Service, Server: q.Member, Status: int(out.Status), Why: out.Why})
	}
	if f.Out {
		in.Log.Warn("server.sick", "member", q.Member, "zone", q.Zone, "last", out.Fate.String(), "status", out.Status, "why", out.Why)
	}
	if f.Back {
		in.Log.Info("server.well", "member", q.Member, "zone", q.Zone)
	}
	for _, c := range f.Called {
		w := &wire.Called{Service: c.Service, Times: c.Times}
		if in.Pressure != nil {
			w.Pressure = in.Pressure(c.Service)
		}
		out.Called = append(out.Called, w)
	}
	return out, nil
}

// calledOff is the end of a request that its sender no longer wants.
const calledOff = "called off"

// await waits for a slot; it says why there is none.
func (in *Inbound) await(ctx context.Context, ask station.Ask, t *ticket, until time.Time) (why string) {
	timer := timers.Get(time.Until(until) - leastLeft)
	defer timers.Put(timer)
	select {
	case ok := <-t.verdict:
		if !ok {
			return "no room"
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		in.station.Run(in.now(), ask)
		return ""
	case <-ctx.Done():
		why = calledOff
	case <-timer.C:
		why = "no slot in time"
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.station.Leave(ask.Member, t) && <-t.verdict { // the slot came at the same moment
		tell(in.station.Release(in.now(), ask.Member))
	}
	return why
}

// send makes one attempt at the server.
func (a *app) send(ctx context.Context, q *wire.Forward, until time.Time) *wire.Outcome {
	c, err := a.connect(ctx, until)
	left := time.Until(until)
	if left < leastLeft || ctx.Err() != nil {
		if err == nil {
			a.keep(c)
		}
		return unsent(false, calledOff)
	}
	if err != nil {
		return unsent(false, "connecting: %v", err)
	}
	buf := messages.Get().(*[]byte)
	message := appendForward((*buf)[:0], q, left)
	whole := len(message)
	c.nc.SetDeadline(until)
	stop := atEnd(ctx, c.interrupt)
	n, err := c.nc.Write(message)
	recycle(buf, message)
	if err != nil {
		stop()
		c.nc.Close()
		if n < whole {
			// Its end never left, but what a server makes of a part is its own affair.
			return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "writing: " + err.Error()}
		}
	}
	body, err := c.read(q.Method, q.Attempt)
	clean := stop()
	if err != nil {
		c.nc.Close()
		out := &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: err.Error()}
		switch {
		case ctx.Err() != nil:
			out.Why = calledOff
		case errors.Is(err, os.ErrDeadlineExceeded):
			out.Fate = wire.Outcome_LATE
		}
		return out
	}
	out := judge(q, &c.resp, body, c.used)
	if clean && !c.resp.Close && !c.surplus && c.r.Buffered() == 0 {
		c.answered()
		a.keep(c) // nothing of it is ours any more
	} else {
		c.nc.Close()
	}
	return out
}

// atEnd has f called at the end of a context, unless the stop that it returns comes before: then that reports true.
// A call's own context is a stream, which needs no help for it.
func atEnd(ctx context.Context, f func()) (stop func() bool) {
	if s, ok := ctx.(*rpc.Stream); ok {
		s.OnEnd(f)
		return s.Clear
	}
	return context.AfterFunc(ctx, f)
}

// appendForward writes a request as its server gets it.
func appendForward(dst []byte, q *wire.Forward, left time.Duration) []byte {
	dst = http1.AppendRequestLine(dst, q.Method, q.Target)
	if len(q.Headers) > 0 {
		dst = append(dst, lines(q.Headers)...)
	} else {
		dst = append(dst, q.Fields...)
	}
	dst = http1.AppendField(dst, "Attempt-Id", q.Attempt)
	dst = append(dst, "Time-Budget: "...)
	dst = strconv.AppendInt(dst, max(1, left.Milliseconds()), 10)
	dst = append(dst, "\r\n"...)
	dst = http1.AppendField(dst, "Target-Instance", q.Member)
	dst = http1.AppendField(dst, "Caller-Service", q.Caller)
	return http1.AppendRequestBody(dst, q.Method, q.Body)
}

// judge tells what an answer means. used says that the connection has carried a request before, so that an answer
// may be a surplus one to it. Only its id tells whose an answer is, and nothing that it says is believed before
// that: a promise that another request has not run, or another's body, must not become this one's.
func judge(q *wire.Forward, resp *http1.Response, body []byte, used bool) *wire.Outcome {
	unrun := resp.Headers.Count("Not-Executed") > 0 || resp.Status == 421
	switch id := resp.Headers.Get("Attempt-Id"); {
	case id == q.Attempt:
	case id != "":
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "the answer to another request"}
	case !unrun || used: // a server may turn a request away before it has read whose it is
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "an answer without an id"}
	}
	if unrun {
		return &wire.Outcome{Fate: wire.Outcome_UNRUN, Status: int32(resp.Status), Gone: resp.Status == 421}
	}
	if resp.Status/100 == 2 && (resp.Headers.Get("Server-Seal") == "" || resp.Headers.Count("Content-Encoding") > 0) {
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "not the server's own body"}
	}
	out := &wire.Outcome{Fate: wire.Outcome_ANSWERED, Status: int32(resp.Status), Body: body}
	out.Fields = http1.AppendEndToEnd(make([]byte, 0, 256), resp.Headers, "Attempt-Id")
	if len(q.Headers) > 0 {
		out.Headers, out.Fields = spell(out.Fields, q.Attempt), nil
	}
	return out
}

package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewring/internal/http1"
	"curlewring/internal/wire"
)

const (
	queueFactor  = 1                      // requests that wait for each slot, at most
	stallAfter   = 700 * time.Millisecond // without any answer, with several under way, a server hangs
	stallCalls   = 3
	trialEvery   = 500 * time.Millisecond
	failsOut     = 3  // in a row, after which only trials go to a server
	beatsMissed  = 3  // after which a server is taken for gone
	mostCalled   = 16 // services that are told apart in the calls of one run
	serverHead   = 64 << 10
	serverBody   = 64 << 20
	dialServer   = 300 * time.Millisecond
	innerRank    = 0                    // Forward.priority of inner calls; others have theirs and one
	leastLeft    = 5 * time.Millisecond // below this a request is not begun
	defaultSlots = 8
)

// Beat is what a server says of itself.
type Beat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Seq                        uint64
}

// Inbound stands beside a server. It alone speaks to it, so it knows what the
// server holds, and can turn a request away before the server has seen it.
type Inbound struct {
	Drain     time.Duration // from the acknowledgement of a drain mark on nothing may arrive
	Heartbeat time.Duration
	Log       *slog.Logger

	mu      sync.Mutex
	members map[string]*local
	runs    map[string]*run // by the Attempt-Ids at servers here
	changed chan struct{}   // has room for one: what Servers returns has changed
}

// NewInbound returns an Inbound without servers.
func NewInbound(drain, heartbeat time.Duration, log *slog.Logger) *Inbound {
	return &Inbound{Drain: drain, Heartbeat: heartbeat, Log: log, members: map[string]*local{}, runs: map[string]*run{}, changed: make(chan struct{}, 1)}
}

// Changed tells when Servers may return something else.
func (in *Inbound) Changed() <-chan struct{} { return in.changed }

// local is one life of a server on this machine.
type local struct {
	Beat
	in      *Inbound
	beatAt  time.Time
	drained time.Time // when its drain mark was first acknowledged
	gone    bool

	inflight int
	queue    []*waiter // in the order in which they are to be served
	many     time.Time // since when several are under way
	answered time.Time // when it last answered anything
	fails    int
	trialAt  time.Time
	idle     []*appConn
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority uint32
	verdict  chan bool // true: go
}

// Beat takes a server's word. It reports false for one that came late.
func (in *Inbound) Beat(b Beat, now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	m := in.members[b.ID]
	if m == nil {
		if len(in.members) >= 64 {
			return false
		}
		m = &local{in: in, answered: now}
		in.members[b.ID] = m
		in.Log.Info("server.new", "member", b.ID, "service", b.Service, "address", b.Address)
		// A new life at the same address has ended the one before.
		for id, old := range in.members {
			if id != b.ID && old.Address == b.Address && !old.gone {
				old.end()
			}
		}
	} else if b.Seq < m.Seq || m.gone {
		return !m.gone
	}
	if b.Slots <= 0 {
		b.Slots = defaultSlots
	}
	if m.Draining && !b.Draining {
		b.Draining = true // it never comes back from that
	}
	m.Beat, m.beatAt = b, now
	if b.Draining && m.drained.IsZero() {
		m.drained = now
		in.Log.Info("server.draining", "member", b.ID)
	}
	in.Poke()
	return true
}

// Adopt takes over a server that the list has for this machine, until it speaks
// for itself: a process that starts anew need not wait for the next beat. What it
// is sent names the life that is meant, so that another at its address turns it away.
func (in *Inbound) Adopt(b Beat, now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.members[b.ID] == nil && len(in.members) == 0 && b.Slots > 0 {
		in.members[b.ID] = &local{in: in, Beat: b, beatAt: now, answered: now}
		in.Log.Info("server.adopted", "member", b.ID)
	}
}

// Deregister takes a server's last word.
func (in *Inbound) Deregister(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if m := in.members[id]; m != nil && !m.gone {
		m.end()
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

// end takes a life out of service. Called with mu held.
func (m *local) end() {
	m.gone = true
	for _, w := range m.queue {
		w.verdict <- false
	}
	m.queue = nil
	for _, c := range m.idle {
		c.nc.Close()
	}
	m.idle = nil
}

// Sweep takes servers that have been silent for long for gone, and forgets
// lives that ended.
func (in *Inbound) Sweep(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for id, m := range in.members {
		silent := now.Sub(m.beatAt)
		if m.gone && silent > 2*time.Minute {
			delete(in.members, id)
		}
		if !m.gone && silent > beatsMissed*in.Heartbeat+time.Second && now.Sub(m.answered) > in.Heartbeat {
			in.Log.Warn("server.silent", "member", id, "for", silent)
			m.end()
			in.Poke()
		}
		keep := m.idle[:0]
		for _, c := range m.idle {
			if now.Before(c.until) {
				keep = append(keep, c)
			} else {
				c.nc.Close()
			}
		}
		m.idle = keep
	}
}

// Servers returns the servers of this machine as they should be registered.
func (in *Inbound) Servers() []Beat {
	in.mu.Lock()
	defer in.mu.Unlock()
	var list []Beat
	for _, m := range in.members {
		if !m.gone {
			list = append(list, m.Beat)
		}
	}
	slices.SortFunc(list, func(a, b Beat) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Busy is the number of requests that servers here hold.
func (in *Inbound) Busy() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := 0
	for _, m := range in.members {
		n += m.inflight + len(m.queue)
	}
	return n
}

// run is a request that a server here works on.
type run struct {
	repeat bool
	called []*wire.Called
}

// Graph tells whether a request with this Attempt-Id is a call that a run on this
// machine makes, and whether that run is a repeat; the call is booked for the
// run. Servers give their calls ids that begin with the id of the run; whoever
// can name a run that is in flight here has been admitted with it. One who makes
// up an id is a new entry.
func (in *Inbound) Graph(attempt, service string) (inner, repeat bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for i := len(attempt) - 1; i > 0; i-- {
		c := attempt[i]
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			continue
		}
		r := in.runs[attempt[:i]]
		if r == nil {
			continue
		}
		at := slices.IndexFunc(r.called, func(c *wire.Called) bool { return c.Service == service })
		if at < 0 && len(r.called) < mostCalled {
			at = len(r.called)
			r.called = append(r.called, &wire.Called{Service: service})
		}
		if at >= 0 {
			r.called[at].Times++
		}
		return true, r.repeat
	}
	return false, false
}

func unsent(gone bool, format string, args ...any) *wire.Outcome {
	return &wire.Outcome{Fate: wire.Outcome_UNSENT, Gone: gone, Why: fmt.Sprintf(format, args...)}
}

// Forward passes a request to the server that it names, or turns it away.
func (in *Inbound) Forward(ctx context.Context, q *wire.Forward) (*wire.Outcome, error) {
	until := time.Now().Add(time.Duration(q.LeftMs) * time.Millisecond)
	in.mu.Lock()
	m := in.members[q.Member]
	if refusal := m.takes(q, time.Now()); refusal != nil {
		in.mu.Unlock()
		return refusal, nil
	}
	if m.inflight < m.Slots && len(m.queue) == 0 {
		m.begin(time.Now())
		in.mu.Unlock()
	} else {
		w := m.enqueue(q.Priority)
		in.mu.Unlock()
		if w == nil {
			return &wire.Outcome{Fate: wire.Outcome_UNSENT, Why: "no room", Waiting: true}, nil
		}
		if refusal := m.await(ctx, w, until); refusal != nil {
			return refusal, nil
		}
	}
	in.mu.Lock()
	in.runs[q.Attempt] = &run{repeat: q.Repeat}
	in.mu.Unlock()
	out := m.send(ctx, q, until)
	in.mu.Lock()
	if r := in.runs[q.Attempt]; r != nil {
		out.Called = r.called
		delete(in.runs, q.Attempt)
	}
	m.finish(out, time.Now())
	out.Waiting = len(m.queue) > 0 || m.inflight >= m.Slots
	in.mu.Unlock()
	return out, nil
}

// takes tells why a life may not be sent a request; nil: it may. Called with mu held.
func (m *local) takes(q *wire.Forward, now time.Time) *wire.Outcome {
	switch {
	case m == nil || m.gone:
		return unsent(true, "no server %s here", q.Member)
	case m.Service != q.Service:
		return unsent(true, "%s serves %s", q.Member, m.Service)
	case !m.drained.IsZero() && now.Sub(m.drained) > m.in.Drain/2:
		// Its last requests stay well within the bound, which runs from the
		// acknowledgement to the arrival.
		return unsent(true, "%s is draining", q.Member)
	case m.hangs(now):
		if now.Sub(m.trialAt) < trialEvery {
			return unsent(false, "%s does not answer", q.Member)
		}
		m.trialAt = now
	}
	return nil
}

// hangs tells whether a server has stopped answering.
func (m *local) hangs(now time.Time) bool {
	if m.fails >= failsOut {
		return true
	}
	since := m.answered
	if m.many.After(since) {
		since = m.many
	}
	return m.inflight >= stallCalls && now.Sub(since) > stallAfter
}

func (m *local) begin(now time.Time) {
	m.inflight++
	if m.inflight == stallCalls {
		m.many = now
	}
}

// enqueue gives a request a place behind those of its priority and above. Where
// there is none, the last in the queue loses its own to a higher one.
func (m *local) enqueue(priority uint32) *waiter {
	if len(m.queue) >= m.Slots*queueFactor {
		last := m.queue[len(m.queue)-1]
		if last.priority <= priority {
			return nil
		}
		m.queue = m.queue[:len(m.queue)-1]
		last.verdict <- false
	}
	w := &waiter{priority: priority, verdict: make(chan bool, 1)}
	at, _ := slices.BinarySearchFunc(m.queue, priority, func(q *waiter, p uint32) int {
		return cmp.Or(cmp.Compare(q.priority, p), -1)
	})
	m.queue = slices.Insert(m.queue, at, w)
	return w
}

// await waits for a slot.
func (m *local) await(ctx context.Context, w *waiter, until time.Time) *wire.Outcome {
	timer := time.NewTimer(time.Until(until) - leastLeft)
	defer timer.Stop()
	why := "no room"
	select {
	case ok := <-w.verdict:
		if ok {
			return nil
		}
		return unsent(false, "%s", why)
	case <-ctx.Done():
		why = "called off"
	case <-timer.C:
		why = "no slot in time"
	}
	m.in.mu.Lock()
	defer m.in.mu.Unlock()
	if at := slices.Index(m.queue, w); at >= 0 {
		m.queue = slices.Delete(m.queue, at, at+1)
	} else if ok := <-w.verdict; ok { // it came at the same moment
		m.next(time.Now())
	}
	return unsent(false, "%s", why)
}

// next gives a slot that has become free to the first in the queue. Called with mu held.
func (m *local) next(now time.Time) {
	m.inflight--
	for len(m.queue) > 0 && m.inflight < m.Slots {
		w := m.queue[0]
		m.queue = m.queue[1:]
		if m.gone || !m.drained.IsZero() && now.Sub(m.drained) > m.in.Drain*3/4 {
			w.verdict <- false
			continue
		}
		m.begin(now)
		w.verdict <- true
	}
}

// finish books what became of a request. Called with mu held.
func (m *local) finish(out *wire.Outcome, now time.Time) {
	switch out.Fate {
	case wire.Outcome_ANSWERED, wire.Outcome_UNRUN:
		m.answered, m.fails = now, 0
	case wire.Outcome_BROKEN, wire.Outcome_LATE, wire.Outcome_UNSENT:
		if out.Why != "called off" {
			m.fails++
		}
	}
	m.next(now)
	if m.hangs(now) { // those who wait are better served elsewhere
		for _, w := range m.queue {
			w.verdict <- false
		}
		m.queue = nil
	}
}

// send makes one attempt at the server.
func (m *local) send(ctx context.Context, q *wire.Forward, until time.Time) *wire.Outcome {
	c, err := m.connect(ctx, until)
	if err != nil {
		return unsent(false, "connecting: %v", err)
	}
	left := time.Until(until)
	if left < leastLeft || ctx.Err() != nil {
		m.keep(c)
		return unsent(false, "called off")
	}
	headers := make(http1.Headers, 0, len(q.Headers)+3)
	for _, h := range q.Headers {
		headers = append(headers, http1.Header{Name: h.Name, Value: h.Value})
	}
	headers = append(headers,
		http1.Header{Name: "Time-Budget", Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		http1.Header{Name: "Target-Instance", Value: q.Member},
		http1.Header{Name: "Caller-Service", Value: q.Caller})
	message := http1.AppendRequest(make([]byte, 0, 512+len(q.Body)), q.Method, q.Target, headers, q.Body)
	c.nc.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { c.nc.SetDeadline(time.Unix(1, 0)) })
	n, err := c.nc.Write(message)
	if err != nil {
		stop()
		c.nc.Close()
		if n < len(message) {
			// Its end never left, but what a server makes of a part is its own affair.
			return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "writing: " + err.Error()}
		}
	}
	resp, body, err := c.read(q.Method)
	clean := stop()
	if err != nil {
		c.nc.Close()
		out := &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: err.Error()}
		switch {
		case ctx.Err() != nil:
			out.Why = "called off"
		case errors.Is(err, os.ErrDeadlineExceeded):
			out.Fate = wire.Outcome_LATE
		}
		return out
	}
	if clean && !resp.Close && c.r.Buffered() == 0 {
		c.answered(resp)
		m.keep(c)
	} else {
		c.nc.Close()
	}
	return judge(q, resp, body)
}

// judge tells what an answer means.
func judge(q *wire.Forward, resp *http1.Response, body []byte) *wire.Outcome {
	if resp.Headers.Count("Not-Executed") > 0 || resp.Status == 421 {
		return &wire.Outcome{Fate: wire.Outcome_UNRUN, Status: int32(resp.Status), Gone: resp.Status == 421}
	}
	if id := resp.Headers.Get("Attempt-Id"); id != "" && id != q.Attempt {
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "the answer to another request"}
	}
	if resp.Status/100 == 2 && (resp.Headers.Get("Server-Seal") == "" || resp.Headers.Count("Content-Encoding") > 0) {
		return &wire.Outcome{Fate: wire.Outcome_BROKEN, Why: "not the server's own body"}
	}
	out := &wire.Outcome{Fate: wire.Outcome_ANSWERED, Status: int32(resp.Status), Body: body}
	for _, h := range http1.EndToEnd(resp.Headers) {
		out.Headers = append(out.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

package proxy

import (
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/trace"
)

const (
	serverHead  = 64 << 10
	serverBody  = 64 << 20
	dialTimeout = 300 * time.Millisecond
	minTimeLeft = 5 * time.Millisecond // below this a request is not begun
)

// Heartbeat is what a server says of itself.
type Heartbeat = localserver.Heartbeat

// ticket is a request that may have to wait; its verdict comes once.
type ticket struct{ verdict chan bool }

// Inbound is the node's side beside a server. All requests to it pass here, so it knows what the
// server holds, and can turn a request away before the server has seen it. It is
// the driver of package admission.
type Inbound struct {
	Log *slog.Logger
	// Pressure is what calls that begin here meet at a service; nil: not known.
	Pressure func(service string) float64
	// Trace takes each run at a server here; nil: no traces are kept.
	Trace func(trace.Record)

	began   time.Time
	changed chan struct{} // has room for one: what Servers returns has changed

	mu        sync.Mutex
	admission *localserver.Registry[*ticket]
	spare     *ticket                // of a request that had no need to wait
	apps      map[string]*serverPool // by member, those in service
}

// serverPool is where an incarnation of a server is reached.
type serverPool struct {
	in      *Inbound
	address string
	slots   int
	idle    []*serverConn
	closed  bool
	load    serverLoad // guarded by in.mu
}

// NewInbound returns an Inbound without servers. After drain from the
// acknowledgement of a draining status nothing arrives; servers speak every heartbeat.
func NewInbound(drain, heartbeat time.Duration, log *slog.Logger) *Inbound {
	return &Inbound{
		Log: log, began: time.Now(), changed: make(chan struct{}, 1),
		admission: localserver.New[*ticket](drain, heartbeat), apps: map[string]*serverPool{},
	}
}

// Changed is signalled when the result of Servers may have changed.
func (in *Inbound) Changed() <-chan struct{} { return in.changed }

func (in *Inbound) now() time.Duration { return time.Since(in.began) }

// Since returns the time from a moment to the zero time of its records.
func (in *Inbound) Since(t time.Time) time.Duration { return in.began.Sub(t) }

// deliver hands out verdicts. Each ticket gets one, for which it has room.
func deliver(verdicts []localserver.SlotGrant[*ticket]) {
	for _, v := range verdicts {
		v.Ticket.verdict <- v.Granted
	}
}

// addServer keeps an app for an incarnation in service. Called with mu held.
func (in *Inbound) addServer(b Heartbeat) {
	a := in.apps[b.ID]
	if a == nil {
		a = &serverPool{in: in}
		in.apps[b.ID] = a
	}
	if server, ok := in.admission.Server(b.ID); ok {
		a.address, a.slots = server.Address, server.Slots
	}
}

// removeServer closes the connections to an incarnation that has ended. Called with mu held.
func (in *Inbound) removeServer(id string) {
	if a := in.apps[id]; a != nil {
		delete(in.apps, id)
		a.closed = true
		for _, c := range a.idle {
			c.nc.Close()
		}
		a.idle = nil
	}
}

// Heartbeat takes a server's word. It reports false for one of an incarnation that has ended.
func (in *Inbound) Heartbeat(b Heartbeat, now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	h := in.admission.Heartbeat(now.Sub(in.began), b)
	deliver(h.Verdicts)
	for _, id := range h.Ended {
		in.removeServer(id)
	}
	if h.New {
		in.Log.Info("server.registered", "member", b.ID, "service", b.Service, "address", b.Address)
	}
	if h.Recovered {
		in.Log.Info("server.recovered", "member", b.ID)
	}
	if h.Drains {
		in.Log.Info("server.draining", "member", b.ID)
	}
	if h.OK {
		in.addServer(b)
		in.Wake()
	}
	return h.OK
}

// Adopt adds a server that the registry has for this machine; see localserver.
func (in *Inbound) Adopt(b Heartbeat, now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.admission.Adopt(now.Sub(in.began), b) {
		in.addServer(b)
		in.Log.Info("server.adopted", "member", b.ID)
	}
}

// Deregister ends a server at its own request.
func (in *Inbound) Deregister(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	ended, verdicts := in.admission.Deregister(id)
	deliver(verdicts)
	if ended {
		in.removeServer(id)
		in.Log.Info("server.deregistered", "member", id)
	}
	in.Wake()
}

// Wake makes Changed fire.
func (in *Inbound) Wake() {
	select {
	case in.changed <- struct{}{}:
	default:
	}
}

// Sweep terminates servers without a heartbeat for too long, and closes
// connections that have been idle for long.
func (in *Inbound) Sweep(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	unresponsive, verdicts := in.admission.Sweep(now.Sub(in.began))
	deliver(verdicts)
	for _, id := range unresponsive {
		in.Log.Warn("server.heartbeat_lost", "member", id)
		in.removeServer(id)
		in.Wake()
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
func (in *Inbound) Servers() []Heartbeat {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.admission.Servers()
}

// Load is the number of requests at each server here, and of those that wait for
// it, in the order of Servers.
func (in *Inbound) Load() (servers []Heartbeat, inflight, queued []int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	servers = in.admission.Servers()
	for _, b := range servers {
		i, w := in.admission.Load(b.ID)
		inflight, queued = append(inflight, i), append(queued, w)
	}
	return servers, inflight, queued
}

// Unhealthy returns, by local server, the zones for whose callers it is ejected; see health.
func (in *Inbound) Unhealthy() map[string][]string {
	in.mu.Lock()
	defer in.mu.Unlock()
	unhealthy := map[string][]string{}
	for _, b := range in.admission.Servers() {
		unhealthy[b.ID] = in.admission.Unhealthy(b.ID)
	}
	return unhealthy
}

// Busy is the number of requests that servers here hold.
func (in *Inbound) Busy() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.admission.Busy()
}

// Graph reports whether a request is a call of a run in flight here; see admission.
func (in *Inbound) Graph(attempt, service string) (inner, repeat bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.admission.Graph(attempt, service)
}

// CallFailed notes that a call of a run here has failed; see admission.
func (in *Inbound) CallFailed(attempt string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.admission.CallFailed(attempt)
}

package proxy

import (
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/trace"
)

const (
	maxServerHead = 64 << 10 // maximum head of a response, in bytes
	maxServerBody = 64 << 20 // maximum body of a response, in bytes
	dialTimeout   = 300 * time.Millisecond
	minTimeLeft   = 5 * time.Millisecond // requests with less time left are not sent
)

// Heartbeat is the state that a server reports to the sidecar on its machine.
type Heartbeat = localserver.Heartbeat

// ticket identifies a request that may be queued for a slot. If it is queued, granted receives the decision, unless the request
// is dequeued first.
type ticket struct{ granted chan bool }

// Inbound forwards requests to the servers on this machine. As all requests to them pass through it, it counts those in
// flight and can reject a request before the server receives it. The decisions are those of a localserver.Registry.
type Inbound struct {
	Log *slog.Logger
	// Pressure returns the pressure of a service as seen by calls from this node. It may be nil.
	Pressure func(service string) float64
	// Trace receives a record of each request that a server here has run. It may be nil.
	Trace func(trace.Record)

	start   time.Time
	changed chan struct{} // buffered, see Changed

	mu         sync.Mutex
	registry   *localserver.Registry[*ticket]
	freeTicket *ticket                // ticket of a request that was not queued, for reuse
	pools      map[string]*serverPool // by member
	replaced   []string               // see TakeReplaced
}

// serverPool holds the idle connections to an incarnation of a server.
type serverPool struct {
	inbound *Inbound
	address string
	slots   int
	idle    []*serverConn // most recently used last
	closed  bool
	load    serverLoad // guarded by inbound.mu
}

// NewInbound returns an Inbound without servers. A server receives no request later than drain after the acknowledgement of
// its draining status. heartbeat is the interval at which servers send heartbeats.
func NewInbound(drain, heartbeat time.Duration, log *slog.Logger) *Inbound {
	return &Inbound{
		Log: log, start: time.Now(), changed: make(chan struct{}, 1),
		registry: localserver.New[*ticket](drain, heartbeat), pools: map[string]*serverPool{},
	}
}

// Changed returns a channel that receives a value when the result of Servers may have changed.
func (i *Inbound) Changed() <-chan struct{} { return i.changed }

func (i *Inbound) now() time.Duration { return time.Since(i.start) }

// StartOffset returns the duration from t to the zero time of the trace records.
func (i *Inbound) StartOffset(t time.Time) time.Duration { return i.start.Sub(t) }

// deliverGrants delivers grants to queued requests. It does not block: each ticket receives at most one grant, and its channel
// has a buffer for it.
func deliverGrants(grants []localserver.SlotGrant[*ticket]) {
	for _, grant := range grants {
		grant.Ticket.granted <- grant.Granted
	}
}

// addServer creates or updates the pool of an incarnation. It must be called with mu held.
func (i *Inbound) addServer(heartbeat Heartbeat) {
	pool := i.pools[heartbeat.ID]
	if pool == nil {
		pool = &serverPool{inbound: i}
		i.pools[heartbeat.ID] = pool
	}
	if server, ok := i.registry.Server(heartbeat.ID); ok {
		pool.address, pool.slots = server.Address, server.Slots
	}
}

// removeServer removes the pool of an incarnation that has ended, and closes its idle connections. It must be called with mu
// held.
func (i *Inbound) removeServer(id string) {
	if pool := i.pools[id]; pool != nil {
		delete(i.pools, id)
		pool.closed = true
		for _, conn := range pool.idle {
			conn.netConn.Close()
		}
		pool.idle = nil
	}
}

// Heartbeat processes a heartbeat of a server. It returns false if the incarnation has ended or can't be added.
func (i *Inbound) Heartbeat(heartbeat Heartbeat, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	result := i.registry.Heartbeat(now.Sub(i.start), heartbeat)
	deliverGrants(result.Grants)
	for _, id := range result.Ended {
		i.removeServer(id)
	}
	i.replaced = append(i.replaced, result.Replaced...)
	if result.New {
		i.Log.Info("server.registered", "member", heartbeat.ID, "service", heartbeat.Service, "address", heartbeat.Address)
	}
	if result.Recovered {
		i.Log.Info("server.recovered", "member", heartbeat.ID)
	}
	if result.DrainStarted {
		i.Log.Info("server.draining", "member", heartbeat.ID)
	}
	if result.OK {
		i.addServer(heartbeat)
		i.Wake()
	}
	return result.OK
}

// Adopt adds a server that is registered for this machine but has not yet sent a heartbeat to this process. If another server
// is running, that one has replaced it.
func (i *Inbound) Adopt(heartbeat Heartbeat, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.registry.Adopt(now.Sub(i.start), heartbeat):
		i.addServer(heartbeat)
		i.Log.Info("server.adopted", "member", heartbeat.ID)
	case !i.registry.Known(heartbeat.ID) && len(i.registry.Servers()) > 0:
		i.replaced = append(i.replaced, heartbeat.ID)
	}
}

// TakeReplaced returns the servers that have been replaced by others at their addresses since the last call. They have ended,
// although they have not said so.
func (i *Inbound) TakeReplaced() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	replaced := i.replaced
	i.replaced = nil
	return replaced
}

// Known reports whether this process remembers a server, which may have ended.
func (i *Inbound) Known(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registry.Known(id)
}

// Departed reports whether a server is known to have deregistered.
func (i *Inbound) Departed(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registry.Departed(id)
}

// Deregister removes a server at its own request.
func (i *Inbound) Deregister(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ended, grants := i.registry.Deregister(i.now(), id)
	deliverGrants(grants)
	if ended {
		i.removeServer(id)
		i.Log.Info("server.deregistered", "member", id)
	}
	i.Wake()
}

// Wake signals the channel of Changed.
func (i *Inbound) Wake() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// Sweep removes servers whose heartbeats are overdue, and closes connections that have exceeded their idle timeout.
func (i *Inbound) Sweep(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	unresponsive, grants := i.registry.Sweep(now.Sub(i.start))
	deliverGrants(grants)
	for _, id := range unresponsive {
		i.Log.Warn("server.heartbeat_lost", "member", id)
		i.removeServer(id)
		i.Wake()
	}
	for _, pool := range i.pools {
		kept := pool.idle[:0]
		for _, conn := range pool.idle {
			if now.Before(conn.idleDeadline) {
				kept = append(kept, conn)
			} else {
				conn.netConn.Close()
			}
		}
		pool.idle = kept
	}
}

// Servers returns the servers that should be registered for this machine.
func (i *Inbound) Servers() []Heartbeat {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registry.Servers()
}

// Load returns the servers with the numbers of requests that each has in flight and queued.
func (i *Inbound) Load() (servers []Heartbeat, inflight, queued []int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	servers = i.registry.Servers()
	for _, server := range servers {
		running, waiting := i.registry.Load(server.ID)
		inflight, queued = append(inflight, running), append(queued, waiting)
	}
	return servers, inflight, queued
}

// Unhealthy returns, by member, the zones for whose callers the server is ejected; see package health.
func (i *Inbound) Unhealthy() map[string][]string {
	i.mu.Lock()
	defer i.mu.Unlock()
	unhealthy := map[string][]string{}
	for _, server := range i.registry.Servers() {
		unhealthy[server.ID] = i.registry.Unhealthy(server.ID)
	}
	return unhealthy
}

// Busy returns the number of requests that are in flight or queued at the servers here.
func (i *Inbound) Busy() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registry.Busy()
}

// RecordCall counts a request that is a call made by a run in flight here; see localserver.Registry.RecordCall.
func (i *Inbound) RecordCall(attempt, service string) (inner, retry bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registry.RecordCall(attempt, service)
}

// CallFailed records that a call made by a run here has failed; see localserver.Registry.CallFailed.
func (i *Inbound) CallFailed(attempt string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.registry.CallFailed(attempt)
}

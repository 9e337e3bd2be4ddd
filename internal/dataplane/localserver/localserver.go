// Package localserver manages the servers on a node's machine, to which only that
// node sends requests. It tracks the incarnations of servers and their health,
// assigns slots, queues requests, and rejects requests before any byte is sent to
// the server.
//
// Registry is a pure state machine: it takes the time and an event, and returns
// the action to perform. Times are durations since an epoch chosen by the driver.
// It is not safe for concurrent use.
package localserver

import (
	"slices"
	"strings"
	"time"

	"ivydeck/internal/dataplane/health"
)

const (
	maxQueuePerSlot     = 0.5             // maximum queue length per slot; a longer queue keeps no slot busier
	minQueueLimit       = 2               // lower bound of the maximum queue length
	maxMissedHeartbeats = 3               // missed heartbeats after which a server is terminated
	forgetAfter         = 2 * time.Minute // retention of terminated incarnations, since their last heartbeat
	maxIncarnations     = 64              // including terminated ones
	maxCalledServices   = 16              // distinct services counted in the calls of one run
	defaultSlots        = 8               // slots of a server that does not report their number
)

// Heartbeat is the state that a server reports to its node.
type Heartbeat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	WarmupLeft                 time.Duration // remaining time of the slow start
	Seq                        uint64        // heartbeats with a lower number than the last one are ignored
}

// Decision is the result of Arrive.
type Decision int

// The decisions. A rejected request has not reached the server.
const (
	Slot       Decision = iota // the request is sent to the server at once
	Queue                      // the request is queued; a SlotGrant for its ticket follows
	Full                       // no free slot, and no place in the queue
	Hangs                      // the server does not respond
	Unhealthy                  // the server is ejected
	Terminated                 // the incarnation does not exist, has ended, is draining, or belongs to another service
)

// Registry is the state of the servers on one machine. T identifies a queued
// request to the driver.
type Registry[T comparable] struct {
	drain, heartbeat time.Duration
	incarnations     map[string]*incarnation[T]
	runs             map[string]*run // requests at local servers, by Attempt-Id
	freeRuns         []*run          // free list
}

// incarnation holds the last heartbeat, the health and the queue of one incarnation of a server.
type incarnation[T comparable] struct {
	Heartbeat
	heartbeatAt    time.Duration
	heartbeatSeen  bool // the server has sent a heartbeat to this process
	drainStarted   bool
	drainStartedAt time.Duration // time of the first heartbeat with the draining status
	terminated     bool
	unresponsive   bool // terminated by Sweep; a further heartbeat restores it
	deregistered   bool // terminated at the server's own request

	inflight    int
	queue       []queuedRequest[T] // by priority, then in order of arrival
	respondedAt time.Duration      // time of the last response
	health      *health.Server
}

// New returns a Registry without servers. No request may arrive at a server later
// than drain after its draining status was acknowledged. Servers send a heartbeat
// every heartbeat interval.
func New[T comparable](drain, heartbeat time.Duration) *Registry[T] {
	return &Registry[T]{drain: drain, heartbeat: heartbeat, incarnations: map[string]*incarnation[T]{}, runs: map[string]*run{}}
}

// HeartbeatResult is the result of Registry.Heartbeat.
type HeartbeatResult[T comparable] struct {
	OK           bool     // false if the incarnation has ended, or maxIncarnations is reached
	New          bool     // the incarnation was unknown
	Recovered    bool     // the incarnation had been terminated by Sweep
	DrainStarted bool     // this is the first heartbeat with the draining status
	Ended        []string // running incarnations at the same address, which this one has replaced
	Replaced     []string // Ended, and the unresponsive incarnations at the same address, which no longer return
	Grants       []SlotGrant[T]
}

// Heartbeat handles a heartbeat of a server.
func (s *Registry[T]) Heartbeat(now time.Duration, heartbeat Heartbeat) (result HeartbeatResult[T]) {
	server := s.incarnations[heartbeat.ID]
	if server == nil {
		if len(s.incarnations) >= maxIncarnations {
			return result
		}
		result.New = true
		server = &incarnation[T]{respondedAt: now, health: health.New(now)}
		s.incarnations[heartbeat.ID] = server
		// A new incarnation replaces all earlier ones at its address.
		for _, id := range s.ids() {
			old := s.incarnations[id]
			if id == heartbeat.ID || old.Address != heartbeat.Address {
				continue
			}
			if !old.terminated || old.unresponsive {
				result.Replaced = append(result.Replaced, id)
			}
			old.unresponsive = false
			if !old.terminated {
				result.Ended = append(result.Ended, id)
				result.Grants = append(result.Grants, old.end()...)
			}
		}
	} else if heartbeat.Seq < server.Seq || server.terminated && !server.unresponsive {
		result.OK = !server.terminated
		return result
	} else if server.unresponsive { // the same incarnation sends heartbeats again
		result.Recovered = true
		server.terminated, server.unresponsive, server.respondedAt, server.health = false, false, now, health.New(now)
	}
	if heartbeat.Slots <= 0 {
		heartbeat.Slots = defaultSlots
	}
	heartbeat.Draining = heartbeat.Draining || server.Draining // draining is never revoked
	server.Heartbeat, server.heartbeatAt = heartbeat, now
	server.health.SetWarmup(now, heartbeat.WarmupLeft)
	if heartbeat.Draining && !server.drainStarted {
		server.drainStarted, server.drainStartedAt, result.DrainStarted = true, now, true
		if !server.heartbeatSeen {
			// An earlier process of this node may have acknowledged the draining status at an unknown time. Assume that the
			// drain time is over.
			server.drainStartedAt = now - s.drain
		}
	}
	server.heartbeatSeen, result.OK = true, true
	return result
}

// Adopt adds a server that is registered for this machine before its first
// heartbeat to this process, so that a restarted process can serve at once. It
// returns false if another server is running, if this incarnation is known, or if
// registered has no slots. The caller has looked up that the server has not departed.
// Requests name their incarnation, so another incarnation at the address rejects them.
func (s *Registry[T]) Adopt(now time.Duration, registered Heartbeat) bool {
	if s.Known(registered.ID) || registered.Slots <= 0 || len(s.incarnations) >= maxIncarnations {
		return false
	}
	for _, other := range s.incarnations {
		if !other.terminated {
			return false
		}
	}
	s.incarnations[registered.ID] = &incarnation[T]{Heartbeat: registered, heartbeatAt: now, respondedAt: now, health: health.New(now)}
	return true
}

// Known reports whether this process remembers an incarnation, which may be terminated.
func (s *Registry[T]) Known(id string) bool { return s.incarnations[id] != nil }

// Deregister terminates a server at its own request. It reports false if the server is
// unknown or already terminated. An unknown server is remembered as terminated, because
// an earlier process may have registered it.
func (s *Registry[T]) Deregister(now time.Duration, id string) (ended bool, grants []SlotGrant[T]) {
	server := s.incarnations[id]
	if server == nil {
		if len(s.incarnations) < maxIncarnations {
			s.incarnations[id] = &incarnation[T]{Heartbeat: Heartbeat{ID: id}, heartbeatAt: now, terminated: true, deregistered: true}
		}
		return false, nil
	}
	server.deregistered = true
	server.unresponsive = false
	if server.terminated {
		return false, nil
	}
	return true, server.end()
}

// Departed reports whether a server is known to have deregistered.
func (s *Registry[T]) Departed(id string) bool {
	server := s.incarnations[id]
	return server != nil && server.deregistered
}

// end terminates an incarnation and rejects its queued requests.
func (m *incarnation[T]) end() (grants []SlotGrant[T]) {
	m.terminated = true
	return m.clear()
}

// clear rejects all queued requests.
func (m *incarnation[T]) clear() (grants []SlotGrant[T]) {
	for _, queued := range m.queue {
		grants = append(grants, SlotGrant[T]{queued.ticket, false})
	}
	m.queue = nil
	return grants
}

// ids returns the IDs of all incarnations in sorted order, so that simulations are deterministic.
func (s *Registry[T]) ids() []string {
	list := make([]string, 0, len(s.incarnations))
	for id := range s.incarnations {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Sweep terminates servers that have sent neither heartbeats nor responses for too
// long, and returns their IDs. It drops incarnations that were terminated long ago.
func (s *Registry[T]) Sweep(now time.Duration) (unresponsive []string, grants []SlotGrant[T]) {
	for _, id := range s.ids() {
		server := s.incarnations[id]
		age := now - server.heartbeatAt
		if server.terminated && age > forgetAfter {
			delete(s.incarnations, id)
		}
		if !server.terminated && age > maxMissedHeartbeats*s.heartbeat+time.Second && now-server.respondedAt > s.heartbeat {
			unresponsive = append(unresponsive, id)
			grants = append(grants, server.end()...)
			server.unresponsive = true
		}
	}
	return unresponsive, grants
}

// Servers returns the servers of this machine as they should be registered, sorted by ID.
func (s *Registry[T]) Servers() []Heartbeat {
	var list []Heartbeat
	for _, server := range s.incarnations {
		if !server.terminated {
			list = append(list, server.Heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Busy returns the number of running and queued requests of all local servers.
func (s *Registry[T]) Busy() int {
	n := 0
	for _, server := range s.incarnations {
		n += server.inflight + len(server.queue)
	}
	return n
}

// Load returns the number of running and of queued requests of a server.
func (s *Registry[T]) Load(id string) (inflight, queued int) {
	if server := s.incarnations[id]; server != nil {
		return server.inflight, len(server.queue)
	}
	return 0, 0
}

// Unhealthy returns the zones for whose callers a server is ejected; see health.Server.Ejected.
func (s *Registry[T]) Unhealthy(id string) []string {
	if server := s.incarnations[id]; server != nil {
		return server.health.Ejected()
	}
	return nil
}

// Server returns the last heartbeat of an incarnation; ok is false if it is unknown or terminated.
func (s *Registry[T]) Server(id string) (heartbeat Heartbeat, ok bool) {
	if server := s.incarnations[id]; server != nil && !server.terminated {
		return server.Heartbeat, true
	}
	return heartbeat, false
}

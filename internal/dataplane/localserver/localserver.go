// Package localserver decides for the node that stands beside a server, and is the
// only one that speaks to it: which incarnations of servers there are, when one has
// drained or hangs, who has a slot, who is queued, and who is rejected before the
// server has seen a byte.
//
// Admission is a pure state machine: it takes the time and an event, and returns
// what the driver has to do. Times are durations since a moment of the driver's
// choice. It is not for use by several goroutines.
package localserver

import (
	"slices"
	"strings"
	"time"

	"ivydeck/internal/dataplane/health"
)

const (
	maxQueuePerSlot     = 0.5             // requests that wait, by slots, at most: a longer queue keeps no slot busier ...
	minQueueLimit       = 2               // ... but so many may
	maxMissedHeartbeats = 3               // after which a server is taken for gone
	forgetAfter         = 2 * time.Minute // incarnations that ended are remembered for as long
	maxIncarnations     = 64              // remembered at a time
	maxCalledServices   = 16              // distinct services that are counted in the calls of one run
	defaultSlots        = 8
)

// Heartbeat is what a server says of itself.
type Heartbeat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	WarmupLeft                 time.Duration // for so much longer it is slow from its start
	Seq                        uint64
}

// Decision is what a request gets on its arrival.
type Decision int

// The decisions. A request that is rejected has not reached the server.
const (
	Slot       Decision = iota // it goes to the server at once
	Queue                      // a Verdict on its ticket follows
	Full                       // no room
	Hangs                      // the server does not answer
	Unhealthy                  // it fails too many
	Terminated                 // that incarnation of the server takes nothing any more
)

// Registry is the state beside the servers of one machine. T names a request to
// its driver.
type Registry[T comparable] struct {
	drain, heartbeat time.Duration
	incarnations     map[string]*incarnation[T]
	runs             map[string]*run // by the Attempt-Ids at servers here
	freeRuns         []*run          // that have ended, for those to come
}

// incarnation is one incarnation of a server.
type incarnation[T comparable] struct {
	Heartbeat
	heartbeatAt   time.Duration
	lastHeartbeat bool // it has spoken for itself to this process
	drained       bool
	drainedAt     time.Duration // when its draining status was first acknowledged
	terminated    bool
	unresponsive  bool // it has missed its heartbeats; the next one ends that

	inflight int
	queue    []queuedRequest[T] // in the order in which they are to be served
	answered time.Duration      // when it last answered anything
	health   *health.Server
}

// New returns an Admission without servers. After drain from the acknowledgement of
// a draining status nothing may arrive; servers speak every heartbeat.
func New[T comparable](drain, heartbeat time.Duration) *Registry[T] {
	return &Registry[T]{drain: drain, heartbeat: heartbeat, incarnations: map[string]*incarnation[T]{}, runs: map[string]*run{}}
}

// HeartbeatResult is what a heartbeat meant.
type HeartbeatResult[T comparable] struct {
	OK        bool     // false: the incarnation has ended, or the heartbeat came late
	New       bool     // an incarnation that was not known
	Recovered bool     // an incarnation that was taken for gone, for its silence
	Drains    bool     // its draining status is new
	Ended     []string // incarnations that this one has ended, having their address
	Verdicts  []SlotGrant[T]
}

// Heartbeat takes a server's word.
func (s *Registry[T]) Heartbeat(now time.Duration, b Heartbeat) (h HeartbeatResult[T]) {
	m := s.incarnations[b.ID]
	if m == nil {
		if len(s.incarnations) >= maxIncarnations {
			return h
		}
		h.New = true
		m = &incarnation[T]{answered: now, health: health.New(now)}
		s.incarnations[b.ID] = m
		// A new incarnation at the same address has ended the one before.
		for _, id := range s.ids() {
			old := s.incarnations[id]
			if id == b.ID || old.Address != b.Address {
				continue
			}
			old.unresponsive = false
			if !old.terminated {
				h.Ended = append(h.Ended, id)
				h.Verdicts = append(h.Verdicts, old.end()...)
			}
		}
	} else if b.Seq < m.Seq || m.terminated && !m.unresponsive {
		h.OK = !m.terminated
		return h
	} else if m.unresponsive { // it had stalled, and is still the same incarnation
		h.Recovered = true
		m.terminated, m.unresponsive, m.answered, m.health = false, false, now, health.New(now)
	}
	if b.Slots <= 0 {
		b.Slots = defaultSlots
	}
	b.Draining = b.Draining || m.Draining // which is final
	m.Heartbeat, m.heartbeatAt = b, now
	m.health.SetWarmup(now, b.WarmupLeft)
	if b.Draining && !m.drained {
		m.drained, m.drainedAt, h.Drains = true, now, true
		if !m.lastHeartbeat {
			// The draining status may have been acknowledged by an earlier process of this node, at an unknown time, which
			// counts as past.
			m.drainedAt = now - s.drain
		}
	}
	m.lastHeartbeat, h.OK = true, true
	return h
}

// Adopt adds a server that the registry has for this machine, until it sends a heartbeat
// itself: a process that restarts need not wait for that. What it
// is sent names the incarnation, so that another at its address rejects it.
func (s *Registry[T]) Adopt(now time.Duration, b Heartbeat) bool {
	if len(s.incarnations) > 0 || b.Slots <= 0 {
		return false
	}
	s.incarnations[b.ID] = &incarnation[T]{Heartbeat: b, heartbeatAt: now, answered: now, health: health.New(now)}
	return true
}

// Deregister ends a server at its own request.
func (s *Registry[T]) Deregister(id string) (ended bool, v []SlotGrant[T]) {
	m := s.incarnations[id]
	if m == nil {
		return false, nil
	}
	m.unresponsive = false
	if m.terminated {
		return false, nil
	}
	return true, m.end()
}

// end takes an incarnation out of service.
func (m *incarnation[T]) end() (v []SlotGrant[T]) {
	m.terminated = true
	return m.clear()
}

// clear rejects all queued requests.
func (m *incarnation[T]) clear() (v []SlotGrant[T]) {
	for _, w := range m.queue {
		v = append(v, SlotGrant[T]{w.ticket, false})
	}
	m.queue = nil
	return v
}

// ids are the incarnations in a fixed order, so that simulations repeat.
func (s *Registry[T]) ids() []string {
	list := make([]string, 0, len(s.incarnations))
	for id := range s.incarnations {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Sweep terminates servers without a heartbeat for too long, and forgets incarnations
// that ended. It returns the ids of those that it ended.
func (s *Registry[T]) Sweep(now time.Duration) (unresponsive []string, v []SlotGrant[T]) {
	for _, id := range s.ids() {
		m := s.incarnations[id]
		age := now - m.heartbeatAt
		if m.terminated && age > forgetAfter {
			delete(s.incarnations, id)
		}
		if !m.terminated && age > maxMissedHeartbeats*s.heartbeat+time.Second && now-m.answered > s.heartbeat {
			unresponsive = append(unresponsive, id)
			v = append(v, m.end()...)
			m.unresponsive = true
		}
	}
	return unresponsive, v
}

// Servers returns the servers of this machine as they should be registered.
func (s *Registry[T]) Servers() []Heartbeat {
	var list []Heartbeat
	for _, m := range s.incarnations {
		if !m.terminated {
			list = append(list, m.Heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Busy is the number of requests that servers here hold, or that wait for them.
func (s *Registry[T]) Busy() int {
	n := 0
	for _, m := range s.incarnations {
		n += m.inflight + len(m.queue)
	}
	return n
}

// Load is the number of requests at one server, and of those that wait for it.
func (s *Registry[T]) Load(id string) (inflight, queued int) {
	if m := s.incarnations[id]; m != nil {
		return m.inflight, len(m.queue)
	}
	return 0, 0
}

// Unhealthy returns the zones for whose callers a server is ejected; see health.
func (s *Registry[T]) Unhealthy(id string) []string {
	if m := s.incarnations[id]; m != nil {
		return m.health.Ejected()
	}
	return nil
}

// Server returns what is known of an incarnation; ok is false where it has ended.
func (s *Registry[T]) Server(id string) (b Heartbeat, ok bool) {
	if m := s.incarnations[id]; m != nil && !m.terminated {
		return m.Heartbeat, true
	}
	return b, false
}

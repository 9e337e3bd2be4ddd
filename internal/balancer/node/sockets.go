package node

import "sync/atomic"

const (
	ownSockets   = 24 // listener, discovery, standard streams, the runtime's own
	spareSockets = 32 // for clients over the budget, until they have their refusal
)

// sockets counts the connections of a node against its budget of file descriptors, so
// that accepting one never fails for want of a descriptor.
type sockets struct {
	budget int64
	open   atomic.Int64
	evict  func() bool // closes a connection that can be spared, if there is one
}

func newSockets(limit int) *sockets {
	return &sockets{budget: int64(max(1, limit-ownSockets-spareSockets))}
}

// acquire counts a new connection, unless the budget is spent.
func (s *sockets) acquire() bool {
	if s.open.Add(1) <= s.budget {
		return true
	}
	s.open.Add(-1)
	return false
}

// acquireOverBudget counts a connection that is open already.
func (s *sockets) acquireOverBudget() { s.open.Add(1) }

func (s *sockets) release() { s.open.Add(-1) }

// overBudget reports whether more is open than the budget allows.
func (s *sockets) overBudget() bool { return s.open.Load() > s.budget }

// exhausted reports whether the spare descriptors are gone too.
func (s *sockets) exhausted() bool { return s.open.Load() >= s.budget+spareSockets }

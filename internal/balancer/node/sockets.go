package node

import "sync/atomic"

const (
	internalSockets = 24 // listener, discovery, standard streams and the Go runtime
	reservedSockets = 32 // for clients accepted over the budget until they are refused
)

// sockets counts a node's connections against its budget of file descriptors, so that
// accept never fails for lack of a descriptor.
type sockets struct {
	budget int64
	open   atomic.Int64
	evict  func() bool // closes an idle connection and reports whether there was one
}

func newSockets(limit int) *sockets {
	return &sockets{budget: int64(max(1, limit-internalSockets-reservedSockets))}
}

// acquire counts a new connection. It returns false if the budget is exhausted.
func (s *sockets) acquire() bool {
	if s.open.Add(1) <= s.budget {
		return true
	}
	s.open.Add(-1)
	return false
}

// acquireOverBudget counts a connection that is already open, regardless of the budget.
func (s *sockets) acquireOverBudget() { s.open.Add(1) }

func (s *sockets) release() { s.open.Add(-1) }

// overBudget reports whether more connections are open than the budget allows.
func (s *sockets) overBudget() bool { return s.open.Load() > s.budget }

// exhausted reports whether the reserved descriptors are in use too.
func (s *sockets) exhausted() bool { return s.open.Load() >= s.budget+reservedSockets }

package localserver

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/dataplane/health"
)

// Request is a request for a server here.
type Request struct {
	Member, Service, Attempt string
	Priority                 uint32 // 0 is the highest
	Repeat                   bool   // an earlier try of it may have run
	Wait                     bool   // it may wait for a slot
	health.Call
}

// SlotGrant is the answer to a queued request: it may run, or is rejected.
type SlotGrant[T comparable] struct {
	Ticket T
	Go     bool
}

type queuedRequest[T comparable] struct {
	ticket   T
	priority uint32
}

// Arrive gives a request its place; why says what was against it. A higher
// request may replace the last one in the queue, which is rejected.
func (s *Registry[T]) Arrive(now time.Duration, q Request, ticket T) (decision Decision, reason string, v []SlotGrant[T]) {
	m := s.incarnations[q.Member]
	if decision, reason = s.rejection(now, m, q); reason != "" {
		return decision, reason, nil
	}
	if m.inflight < m.Slots && len(m.queue) == 0 {
		m.inflight++
		s.Run(now, q)
		return Slot, "", nil
	}
	if !q.Wait { // another server may have a slot, and a further hop is shorter than any wait
		return Full, "no slot", nil
	}
	if len(m.queue) >= max(minQueueLimit, int(maxQueuePerSlot*float64(m.Slots))) {
		last := m.queue[len(m.queue)-1]
		if last.priority <= q.Priority {
			return Full, "no room", nil
		}
		m.queue = m.queue[:len(m.queue)-1]
		v = append(v, SlotGrant[T]{last.ticket, false})
	}
	at, _ := slices.BinarySearchFunc(m.queue, q.Priority, func(w queuedRequest[T], p uint32) int {
		return cmp.Or(cmp.Compare(w.priority, p), -1)
	})
	m.queue = slices.Insert(m.queue, at, queuedRequest[T]{ticket, q.Priority})
	return Queue, "", v
}

// rejection returns why an incarnation may not get a request; without a reason: it may.
func (s *Registry[T]) rejection(now time.Duration, m *incarnation[T], q Request) (Decision, string) {
	switch {
	case m == nil || m.terminated:
		return Terminated, "no such server here"
	case m.Service != q.Service:
		return Terminated, "it serves " + m.Service
	case m.drained && now-m.drainedAt > s.drain/2:
		// Its last requests stay well within the bound, which runs from the
		// acknowledgement to the arrival.
		return Terminated, "it is draining"
	}
	switch m.health.Check(now, q.Call) {
	case health.Hangs:
		return Hangs, "it does not answer"
	case health.Unhealthy:
		return Unhealthy, "it fails too many"
	}
	return Slot, ""
}

// Dequeue takes a request out of the queue. It reports false where it is no longer
// in it: its Verdict has been given.
func (s *Registry[T]) Dequeue(member string, ticket T) bool {
	m := s.incarnations[member]
	if m == nil {
		return false
	}
	at := slices.IndexFunc(m.queue, func(w queuedRequest[T]) bool { return w.ticket == ticket })
	if at < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, at, at+1)
	return true
}

// Release gives back a slot that was given to a request that has left meanwhile.
func (s *Registry[T]) Release(now time.Duration, member string) []SlotGrant[T] {
	if m := s.incarnations[member]; m != nil {
		return s.grantSlots(now, m)
	}
	return nil
}

// grantSlots gives a slot that has become free to the first in the queue.
func (s *Registry[T]) grantSlots(now time.Duration, m *incarnation[T]) (v []SlotGrant[T]) {
	m.inflight--
	for len(m.queue) > 0 && m.inflight < m.Slots {
		w := m.queue[0]
		m.queue = m.queue[1:]
		pass := !m.terminated && !(m.drained && now-m.drainedAt > s.drain*3/4)
		if pass {
			m.inflight++
		}
		v = append(v, SlotGrant[T]{w.ticket, pass})
	}
	return v
}

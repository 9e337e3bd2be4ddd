package localserver

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/dataplane/health"
)

// Ask is a request for a server here.
type Ask struct {
	Member, Service, Attempt string
	Priority                 uint32 // 0 is the highest
	Repeat                   bool   // an earlier try of it may have run
	Wait                     bool   // it may wait for a slot
	health.Call
}

// Verdict is the answer to a request that waited: it may go, or is turned away.
type Verdict[T comparable] struct {
	Ticket T
	Go     bool
}

type waiter[T comparable] struct {
	ticket   T
	priority uint32
}

// Arrive gives a request its place; why says what was against it. A higher
// request may take the place of the last in the queue, which is turned away.
func (s *Admission[T]) Arrive(now time.Duration, q Ask, ticket T) (place Place, why string, v []Verdict[T]) {
	m := s.incarnations[q.Member]
	if place, why = s.against(now, m, q); why != "" {
		return place, why, nil
	}
	if m.inflight < m.Slots && len(m.queue) == 0 {
		m.inflight++
		s.Run(now, q)
		return Slot, "", nil
	}
	if !q.Wait { // another server may have a slot, and a further hop is shorter than any wait
		return Full, "no slot", nil
	}
	if len(m.queue) >= max(queueLeast, int(queuePart*float64(m.Slots))) {
		last := m.queue[len(m.queue)-1]
		if last.priority <= q.Priority {
			return Full, "no room", nil
		}
		m.queue = m.queue[:len(m.queue)-1]
		v = append(v, Verdict[T]{last.ticket, false})
	}
	at, _ := slices.BinarySearchFunc(m.queue, q.Priority, func(w waiter[T], p uint32) int {
		return cmp.Or(cmp.Compare(w.priority, p), -1)
	})
	m.queue = slices.Insert(m.queue, at, waiter[T]{ticket, q.Priority})
	return Queue, "", v
}

// against tells why an incarnation may not be sent a request; no why: it may.
func (s *Admission[T]) against(now time.Duration, m *incarnation[T], q Ask) (Place, string) {
	switch {
	case m == nil || m.gone:
		return Gone, "no such server here"
	case m.Service != q.Service:
		return Gone, "it serves " + m.Service
	case m.drained && now-m.drainedAt > s.drain/2:
		// Its last requests stay well within the bound, which runs from the
		// acknowledgement to the arrival.
		return Gone, "it is draining"
	}
	switch m.health.Judge(now, q.Call) {
	case health.Hangs:
		return Hangs, "it does not answer"
	case health.Unhealthy:
		return Unhealthy, "it fails too many"
	}
	return Slot, ""
}

// Leave takes a request out of the queue. It reports false where it is no longer
// in it: its Verdict has been given.
func (s *Admission[T]) Leave(member string, ticket T) bool {
	m := s.incarnations[member]
	if m == nil {
		return false
	}
	at := slices.IndexFunc(m.queue, func(w waiter[T]) bool { return w.ticket == ticket })
	if at < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, at, at+1)
	return true
}

// Release gives back a slot that was given to a request that has left meanwhile.
func (s *Admission[T]) Release(now time.Duration, member string) []Verdict[T] {
	if m := s.incarnations[member]; m != nil {
		return s.next(now, m)
	}
	return nil
}

// next gives a slot that has become free to the first in the queue.
func (s *Admission[T]) next(now time.Duration, m *incarnation[T]) (v []Verdict[T]) {
	m.inflight--
	for len(m.queue) > 0 && m.inflight < m.Slots {
		w := m.queue[0]
		m.queue = m.queue[1:]
		pass := !m.gone && !(m.drained && now-m.drainedAt > s.drain*3/4)
		if pass {
			m.inflight++
		}
		v = append(v, Verdict[T]{w.ticket, pass})
	}
	return v
}

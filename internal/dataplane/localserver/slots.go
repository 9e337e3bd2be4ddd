package localserver

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/dataplane/health"
)

// Request is a request to a local server.
type Request struct {
	Member, Service, Attempt string
	Priority                 uint32 // 0 is the highest
	Retry                    bool   // an earlier attempt may have run
	MayQueue                 bool   // the request may be queued for a slot
	health.Call
}

// SlotGrant is the decision on a queued request. There is exactly one for each queued request, unless it is dequeued first.
type SlotGrant[T comparable] struct {
	Ticket  T
	Granted bool // false if the request is rejected
}

// queuedRequest is a request in the queue of a server.
type queuedRequest[T comparable] struct {
	ticket   T
	priority uint32
}

// Arrive decides whether a request gets a slot, is queued, or is rejected; reason is set
// if it is rejected. If the queue is full, a request of higher priority replaces the last
// one in the queue, which is rejected in grants.
func (s *Registry[T]) Arrive(now time.Duration, request Request, ticket T) (decision Decision, reason string, grants []SlotGrant[T]) {
	server := s.incarnations[request.Member]
	if decision, reason = s.rejection(now, server, request); reason != "" {
		return decision, reason, nil
	}
	if server.inflight < server.Slots && len(server.queue) == 0 {
		server.inflight++
		s.Run(now, request)
		return Slot, "", nil
	}
	if !request.MayQueue { // another server may have a free slot, and an attempt there takes less time than waiting
		return Full, "no slot", nil
	}
	if len(server.queue) >= max(minQueueLimit, int(maxQueuePerSlot*float64(server.Slots))) {
		last := server.queue[len(server.queue)-1]
		if last.priority <= request.Priority {
			return Full, "no room", nil
		}
		server.queue = server.queue[:len(server.queue)-1]
		grants = append(grants, SlotGrant[T]{last.ticket, false})
	}
	i, _ := slices.BinarySearchFunc(server.queue, request.Priority, func(queued queuedRequest[T], priority uint32) int {
		return cmp.Or(cmp.Compare(queued.priority, priority), -1)
	})
	server.queue = slices.Insert(server.queue, i, queuedRequest[T]{ticket, request.Priority})
	return Queue, "", grants
}

// rejection returns the decision and the reason if an incarnation must not receive a request, and an empty reason otherwise.
func (s *Registry[T]) rejection(now time.Duration, server *incarnation[T], request Request) (Decision, string) {
	switch {
	case server == nil || server.terminated:
		return Terminated, "no such server here"
	case server.Service != request.Service:
		return Terminated, "it serves " + server.Service
	case server.drainStarted && now-server.drainStartedAt > s.drain/2:
		// The other half of the drain time is a margin for requests to arrive.
		return Terminated, "it is draining"
	}
	switch server.health.Check(now, request.Call) {
	case health.Hangs:
		return Hangs, "it does not answer"
	case health.Unhealthy:
		return Unhealthy, "it fails too many"
	}
	return Slot, ""
}

// Dequeue removes a request from the queue. It reports false if the request is not in
// the queue, in which case its SlotGrant has been returned already.
func (s *Registry[T]) Dequeue(member string, ticket T) bool {
	server := s.incarnations[member]
	if server == nil {
		return false
	}
	i := slices.IndexFunc(server.queue, func(queued queuedRequest[T]) bool { return queued.ticket == ticket })
	if i < 0 {
		return false
	}
	server.queue = slices.Delete(server.queue, i, i+1)
	return true
}

// Release frees a slot that was granted to a request whose caller no longer waits for it.
func (s *Registry[T]) Release(now time.Duration, member string) []SlotGrant[T] {
	if server := s.incarnations[member]; server != nil {
		return s.grantSlots(now, server)
	}
	return nil
}

// grantSlots frees one slot, and grants free slots to the queued requests in order. Late in the drain time, it rejects them
// instead.
func (s *Registry[T]) grantSlots(now time.Duration, server *incarnation[T]) (grants []SlotGrant[T]) {
	server.inflight--
	for len(server.queue) > 0 && server.inflight < server.Slots {
		next := server.queue[0]
		server.queue = server.queue[1:]
		granted := !server.terminated && !(server.drainStarted && now-server.drainStartedAt > s.drain*3/4)
		if granted {
			server.inflight++
		}
		grants = append(grants, SlotGrant[T]{next.ticket, granted})
	}
	return grants
}

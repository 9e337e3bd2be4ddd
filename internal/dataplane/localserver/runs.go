package localserver

import (
	"slices"
	"time"

	"ivydeck/internal/dataplane/health"
	"ivydeck/internal/transport/wire"
)

// CallCount counts the calls that a run made to a service.
type CallCount struct {
	Service string
	Times   uint32
}

// run is a request that a server here works on.
type run struct {
	repeat bool
	called []CallCount
	failed bool // a call that it made
}

// Graph reports whether a request with this Attempt-Id is a call that a run on this
// machine makes, and whether that run is a repeat; the call is booked for the
// run. Servers give their calls ids that begin with the id of the run; whoever
// can name a run that is in flight here has been admitted with it. One who makes
// up an id is a new entry.
func (s *Registry[T]) Graph(attempt, service string) (inner, repeat bool) {
	r := s.caller(attempt)
	if r == nil {
		return false, false
	}
	at := slices.IndexFunc(r.called, func(c CallCount) bool { return c.Service == service })
	if at < 0 && len(r.called) < maxCalledServices {
		at = len(r.called)
		r.called = append(r.called, CallCount{Service: service})
	}
	if at >= 0 {
		r.called[at].Times++
	}
	return true, r.repeat
}

// caller is the run here whose call has this Attempt-Id; nil: there is none.
func (s *Registry[T]) caller(attempt string) *run {
	for i := len(attempt) - 1; i > 0; i-- {
		c := attempt[i]
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			continue
		}
		if r := s.runs[attempt[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// Run records that a queued request is sent to its server.
func (s *Registry[T]) Run(now time.Duration, q Request) {
	r := new(run)
	if n := len(s.freeRuns); n > 0 {
		r, s.freeRuns = s.freeRuns[n-1], s.freeRuns[:n-1]
	}
	*r = run{repeat: q.Repeat}
	s.runs[q.Attempt] = r
	if m := s.incarnations[q.Member]; m != nil {
		m.health.Begin(now, q.Attempt, q.Call)
	}
}

// CallFailed notes that a call of a run here has failed: what the run comes to is not its server's fault then.
func (s *Registry[T]) CallFailed(attempt string) {
	if r := s.caller(attempt); r != nil {
		r.failed = true
	}
}

// ResultOf says what an outcome shows of the server. Its own 504 says that the time was up, which may be its callers' or
// its calls' doing; runs that take far too long are counted while they last.
func ResultOf(response *wire.ForwardResponse) health.Outcome {
	switch response.Result {
	case wire.ForwardResponse_ANSWERED:
		if response.Status == 504 {
			return health.Void
		}
		if response.Status >= 500 {
			return health.Erred
		}
		return health.Served
	case wire.ForwardResponse_NOT_RUN: // it has rejected a request that it had a slot for
		if response.Terminated {
			return health.Void
		}
		return health.Erred
	case wire.ForwardResponse_DEADLINE_EXCEEDED:
		return health.Late
	}
	return health.Broken
}

// Finished is what the end of a run means.
type Finished[T comparable] struct {
	Called          []CallCount // by the run
	Queued          bool        // the server has no slot left
	RelativeLatency float64     // time that a request takes there, in the usual time of its like
	Utilization     float64     // requests that it has and that wait for it, by its slots
	Ejected         bool        // its server was ejected for its failures, for some callers at least ...
	Restored        bool        // ... or has work again
	Verdicts        []SlotGrant[T]
}

// Finish records the end of a run, and passes its slot to the next request.
func (s *Registry[T]) Finish(now time.Duration, member, attempt string, how health.Outcome) (f Finished[T]) {
	if r := s.runs[attempt]; r != nil {
		f.Called = r.called
		if r.failed && how == health.Erred {
			how = health.Void
		}
		delete(s.runs, attempt)
		s.freeRuns = append(s.freeRuns, r)
	}
	m := s.incarnations[member]
	if m == nil {
		return f
	}
	if how == health.Served || how == health.Erred {
		m.answered = now
	}
	f.Ejected, f.Restored = m.health.End(now, attempt, how)
	f.Verdicts = s.grantSlots(now, m)
	if f.Ejected || m.health.Hangs(now) { // those who wait are better served elsewhere
		f.Verdicts = append(f.Verdicts, m.clear()...)
	}
	f.Queued = len(m.queue) > 0 || m.inflight >= m.Slots
	f.RelativeLatency, f.Utilization = m.health.RelativeLatency(), float64(m.inflight+len(m.queue))/float64(m.Slots)
	return f
}

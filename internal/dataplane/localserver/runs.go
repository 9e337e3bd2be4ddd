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
	Count   uint32
}

// run is a request that a local server is running.
type run struct {
	retry      bool
	calls      []CallCount
	callFailed bool // a call made by the run has failed
}

// RecordCall reports whether the request with this Attempt-Id is a call made by a run on
// this machine, and whether that run is a retry. It counts such a call for the run. The
// call graph of the run has already been admitted. Any other request starts a new one.
func (s *Registry[T]) RecordCall(attempt, service string) (inner, retry bool) {
	r := s.caller(attempt)
	if r == nil {
		return false, false
	}
	i := slices.IndexFunc(r.calls, func(c CallCount) bool { return c.Service == service })
	if i < 0 && len(r.calls) < maxCalledServices {
		i = len(r.calls)
		r.calls = append(r.calls, CallCount{Service: service})
	}
	if i >= 0 {
		r.calls[i].Count++
	}
	return true, r.retry
}

// caller returns the run on this machine that made the call with this Attempt-Id, or nil. The Attempt-Id is that of the run,
// followed by a character other than a letter or a digit, and a suffix.
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

// Run records that a request with a slot is sent to its server. Arrive calls it for requests that are not queued.
func (s *Registry[T]) Run(now time.Duration, request Request) {
	r := new(run)
	if n := len(s.freeRuns); n > 0 {
		r, s.freeRuns = s.freeRuns[n-1], s.freeRuns[:n-1]
	}
	*r = run{retry: request.Retry}
	s.runs[request.Attempt] = r
	if server := s.incarnations[request.Member]; server != nil {
		server.health.Begin(now, request.Attempt, request.Call)
	}
}

// CallFailed records that a call made by a run on this machine has failed. An error response of that run then does not count
// against its server.
func (s *Registry[T]) CallFailed(attempt string) {
	if r := s.caller(attempt); r != nil {
		r.callFailed = true
	}
}

// OutcomeOf returns the outcome of a response for outlier detection. A 504 response of the server is ignored, as its callers
// or the calls that it made may have used up the time; overdue requests are detected while they run.
func OutcomeOf(response *wire.ForwardResponse) health.Outcome {
	switch response.Result {
	case wire.ForwardResponse_ANSWERED:
		if response.Status == 504 {
			return health.Ignored
		}
		if response.Status >= 500 {
			return health.Errored
		}
		return health.Served
	case wire.ForwardResponse_NOT_RUN: // the server rejected a request although it had a free slot
		if response.Terminated {
			return health.Ignored
		}
		return health.Errored
	case wire.ForwardResponse_DEADLINE_EXCEEDED:
		return health.TimedOut
	}
	return health.Broken
}

// FinishResult is the result of Finish.
type FinishResult[T comparable] struct {
	Calls           []CallCount // calls made by the run
	Queued          bool        // the server has no free slot
	RelativeLatency float64     // see health.Server.RelativeLatency
	Utilization     float64     // running and queued requests per slot
	Ejected         bool        // the outcome ejected the server for all callers or those of one zone
	Restored        bool        // the outcome restored the server
	Grants          []SlotGrant[T]
}

// Finish records the outcome of a run, and passes its slot to the next queued request.
func (s *Registry[T]) Finish(now time.Duration, member, attempt string, outcome health.Outcome) (result FinishResult[T]) {
	if r := s.runs[attempt]; r != nil {
		result.Calls = r.calls
		if r.callFailed && outcome == health.Errored {
			outcome = health.Ignored
		}
		delete(s.runs, attempt)
		s.freeRuns = append(s.freeRuns, r)
	}
	server := s.incarnations[member]
	if server == nil {
		return result
	}
	if outcome == health.Served || outcome == health.Errored {
		server.respondedAt = now
	}
	result.Ejected, result.Restored = server.health.End(now, attempt, outcome)
	result.Grants = s.grantSlots(now, server)
	if result.Ejected || server.health.Hangs(now) { // queued requests are retried at other servers
		result.Grants = append(result.Grants, server.clear()...)
	}
	result.Queued = len(server.queue) > 0 || server.inflight >= server.Slots
	result.RelativeLatency, result.Utilization = server.health.RelativeLatency(), float64(server.inflight+len(server.queue))/float64(server.Slots)
	return result
}

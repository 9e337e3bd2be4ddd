// Package health is passive outlier detection: it judges one server by the outcomes of the requests that it receives, for all
// callers together and by their zone, and measures its relative latency. It sends no health checks, which may be wrong and
// would take a slot: requests tell more. Package localserver drives it. It is pure.
package health

import (
	"math"
	"slices"
	"time"
)

// Outlier detection by the share of failures.
const (
	outcomeWindow          = 2 * time.Second // over which outcomes fade
	confidence             = 1.64            // z value, one-sided 95 %: the share of failures is surely ...
	maxFailureShare        = 0.1             // ... over this if a server is ejected
	minFailures            = 1.5             // fading failures: two recent ones eject, one never does
	maxConsecutiveFailures = 3               // eject whatever was before
)

// Ejection and return.
const (
	baseEjectionTime        = 800 * time.Millisecond  // doubled with each further ejection ...
	maxEjectionTime         = 6 * time.Second         // ... up to this ...
	ejectionResetAfter      = 20 * time.Second        // ... until the server has been healthy for so long
	maxEjectionDoublings    = 4                       // of baseEjectionTime
	probeInterval           = 120 * time.Millisecond  // between probes of an ejected server
	probesToRestore         = 4                       // successful probes in a row that restore it
	nonIdempotentProbeAfter = 1500 * time.Millisecond // such a request is a probe only if no other came for so long
)

// Servers that hang, and requests that are overdue.
const (
	hangTimeout          = 700 * time.Millisecond // without any answer, with several requests running, a server hangs
	minHangingCalls      = 3                      // running requests of a server that hangs
	hangProbeInterval    = 500 * time.Millisecond
	overdueLatencyFactor = 6 // typical latencies after which a running request counts as failed ...
	minOverdueTime       = 600 * time.Millisecond
	lateLatencyFactor    = 3 // typical latencies that a server must have had before a deadline counts as its failure
)

// The relative latency of a server.
const (
	relativeLatencyGain = 0.05 // weight of the newest run; the first ones have more
	relearnRuns         = 3    // runs that the latency of a slow start counts for after it
	minRelativeLatency  = 0.4
	maxRelativeLatency  = 4
)

const (
	maxZones   = 16   // of callers that are distinguished
	maxRunning = 4096 // requests that are tracked
)

// Call is a request for a server.
type Call struct {
	Zone           string        // where its call graph entered the mesh: some faults affect one zone alone
	TypicalLatency time.Duration // of its route at all servers, as its entry observes it; 0: not known
	NonIdempotent  bool          // it must not run twice
	IgnoreEjection bool          // the node where it entered has no better server
}

// Verdict says whether a server may receive a request.
type Verdict int

// The verdicts.
const (
	Healthy   Verdict = iota
	Unhealthy         // ejected
	Hangs             // it answers nothing
)

// Outcome is how a request has ended.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota // an answer that is no failure
	Erred                 // a failure of the server itself, or a rejection although it had a free slot
	Broken                // no complete answer, or one that was not the server's own
	Late                  // the deadline
	Void                  // cancelled, or no free slot: it says nothing of the server
)

// Server is the state of one incarnation of a server.
type Server struct {
	all             record
	zones           map[string]*record
	running         map[string]*run
	spare           []*run // ended ones, to be reused
	relativeLatency float64
	latencyRuns     int           // runs in relativeLatency
	warmAt          time.Duration // end of its slow start
	answered        time.Duration // last answer
	severalSince    time.Duration // since when minHangingCalls are running
	probedAt        time.Duration // while it hangs
	checkedAt       time.Duration // last check for overdue requests
}

// run is a running request.
type run struct {
	Call
	began   time.Duration
	overdue bool      // it was counted
	probes  []*record // for which it is a probe
}

// record is the outlier detection for some callers.
type record struct {
	failures, total     float64 // fading
	consecutiveFailures int     // in a row
	at                  time.Duration
	ejected             bool
	ejectedUntil        time.Duration // no probe before
	probedAt            time.Duration // last probe
	probing             int           // probes in flight
	goodProbes          int           // successful probes in a row
	ejections           int
	restoredAt          time.Duration
}

// New returns a server without history.
func New(now time.Duration) *Server {
	return &Server{
		zones: map[string]*record{}, running: map[string]*run{}, relativeLatency: 1, answered: now, probedAt: now - hangProbeInterval,
	}
}

// SetWarmup says how much longer the server is slow from its start. What its pace was until then says little of later.
func (s *Server) SetWarmup(now, left time.Duration) {
	if left > 0 {
		s.warmAt = now + left
	} else if s.warmAt > 0 {
		s.warmAt, s.latencyRuns = 0, min(s.latencyRuns, relearnRuns)
	}
}

// RelativeLatency is how long the server takes for a request, in the time that others take for its like.
func (s *Server) RelativeLatency() float64 { return s.relativeLatency }

// Everywhere means all zones in the result of Ejected.
const Everywhere = "*"

// Ejected returns the zones for whose callers the server is ejected, in order.
func (s *Server) Ejected() (zones []string) {
	if s.all.ejected {
		return []string{Everywhere}
	}
	for name, r := range s.zones {
		if r.ejected {
			zones = append(zones, name)
		}
	}
	slices.Sort(zones)
	return zones
}

// Check returns whether the server may get a request. If it is Healthy and sent, call Begin.
func (s *Server) Check(now time.Duration, c Call) Verdict {
	s.overdue(now)
	if s.Hangs(now) {
		if now-s.probedAt < hangProbeInterval {
			return Hangs
		}
		s.probedAt = now
		return Healthy
	}
	if c.IgnoreEjection {
		return Healthy
	}
	zone := s.zones[c.Zone]
	if !s.all.accepts(now, c) || !zone.accepts(now, c) {
		return Unhealthy
	}
	s.all.probedAt = now
	if zone != nil {
		zone.probedAt = now
	}
	return Healthy
}

// Hangs reports whether the server has stopped answering.
func (s *Server) Hangs(now time.Duration) bool {
	return len(s.running) >= minHangingCalls && now-max(s.answered, s.severalSince) > hangTimeout
}

// Begin notes a request that is given to the server, by its id.
func (s *Server) Begin(now time.Duration, id string, c Call) {
	if len(s.running) >= maxRunning {
		return
	}
	if twin := s.running[id]; twin != nil { // two clients have given their requests one id: only one of them is watched
		twin.recordTime()
	}
	r := s.fresh()
	r.Call, r.began, r.overdue = c, now, false
	for _, rec := range []*record{&s.all, s.zones[c.Zone]} {
		if rec != nil && rec.ejected && now >= rec.ejectedUntil {
			rec.probing++
			r.probes = append(r.probes, rec)
		}
	}
	s.running[id] = r
	if len(s.running) == minHangingCalls {
		s.severalSince = now
	}
}

// End records the end of a request. It reports whether that ejected the server, or restored it.
func (s *Server) End(now time.Duration, id string, how Outcome) (ejected, restored bool) {
	r := s.running[id]
	delete(s.running, id)
	if how == Served || how == Erred {
		s.answered = now
	}
	if r == nil {
		return false, false
	}
	defer func() { s.spare = append(s.spare, r) }()
	r.recordTime()
	// One that came with little time left would have been late anywhere.
	if how == Late && r.TypicalLatency > 0 && now-r.began < lateLatencyFactor*r.TypicalLatency {
		how = Void
	}
	if r.overdue || how == Void {
		return false, false
	}
	if how == Served && r.TypicalLatency > 0 {
		ratio := min(maxRelativeLatency, float64(now-r.began)/float64(r.TypicalLatency))
		s.latencyRuns++
		s.relativeLatency = max(minRelativeLatency, s.relativeLatency+(ratio-s.relativeLatency)*max(relativeLatencyGain, 1/float64(s.latencyRuns+1)))
	}
	return s.recordOutcome(now, r, how == Served)
}

// recordTime ends a probe.
func (r *run) recordTime() {
	for _, rec := range r.probes {
		rec.probing--
	}
	r.probes = r.probes[:0]
}

// fresh returns room for a request. What is kept is no more than what has run at once.
func (s *Server) fresh() *run {
	n := len(s.spare)
	if n == 0 {
		return new(run)
	}
	r := s.spare[n-1]
	s.spare = s.spare[:n-1]
	return r
}

// recordOutcome records an outcome for the callers of its zone, and for all callers unless only that zone is affected.
func (s *Server) recordOutcome(now time.Duration, r *run, good bool) (ejected, restored bool) {
	if !s.all.ejected {
		z := s.zones[r.Zone]
		if z == nil && len(s.zones) < maxZones {
			z = &record{}
			s.zones[r.Zone] = z
		}
		if z != nil {
			if ejected, restored = z.recordOutcome(now, r.began, good); z.ejected || restored {
				return ejected, restored
			}
		}
	}
	ejected, restored = s.all.recordOutcome(now, r.began, good)
	if ejected {
		clear(s.zones) // it is everybody's
	}
	return ejected, restored
}

// overdue counts requests that run for too long as failed, before their end: one that hangs ends with its caller's
// patience, and until then the server would go on being sent others.
func (s *Server) overdue(now time.Duration) {
	if now-s.checkedAt < minOverdueTime/8 {
		return
	}
	s.checkedAt = now
	for _, r := range s.running {
		if !r.overdue && r.TypicalLatency > 0 && now-r.began > max(minOverdueTime, overdueLatencyFactor*r.TypicalLatency) {
			r.overdue = true
			r.recordTime()
			s.recordOutcome(now, r, false)
		}
	}
}

// accepts reports whether a request may be sent; to an ejected server, only a few may, as probes.
func (r *record) accepts(now time.Duration, c Call) bool {
	if r == nil || !r.ejected {
		return true
	}
	return r.probing == 0 && now >= r.ejectedUntil && now-r.probedAt >= probeInterval && !(c.NonIdempotent && now-max(r.ejectedUntil, r.probedAt) < nonIdempotentProbeAfter)
}

// recordOutcome records one outcome.
func (r *record) recordOutcome(now, began time.Duration, good bool) (ejected, restored bool) {
	fade := math.Exp(-float64(now-r.at) / float64(outcomeWindow))
	r.failures, r.total, r.at = r.failures*fade, r.total*fade+1, now
	r.consecutiveFailures++
	if good {
		r.consecutiveFailures = 0
	} else {
		r.failures++
	}
	if !r.ejected {
		if now-r.restoredAt > ejectionResetAfter {
			r.ejections = 0
		}
		if !good && (r.consecutiveFailures >= maxConsecutiveFailures || r.failures > minFailures && lowerBound(r.failures, r.total) > maxFailureShare) {
			r.eject(now)
			return true, false
		}
		return false, false
	}
	switch {
	case began < r.ejectedUntil: // sent before the ejection
	case !good:
		r.eject(now)
	default:
		if r.goodProbes++; r.goodProbes >= probesToRestore {
			r.ejected, r.restoredAt, r.failures, r.total, r.consecutiveFailures = false, now, 0, 0, 0
			return false, true
		}
	}
	return false, false
}

// eject ejects the server for the callers of this record, each time for longer.
func (r *record) eject(now time.Duration) {
	r.ejected, r.goodProbes = true, 0
	r.ejectedUntil = now + min(maxEjectionTime, baseEjectionTime<<min(r.ejections, maxEjectionDoublings))
	r.ejections++
}

// lowerBound is the lower bound of the Wilson score interval of a share (Wilson, 1927).
func lowerBound(bad, total float64) float64 {
	const z = confidence
	p := bad / total
	return (p + z*z/(2*total) - z*math.Sqrt(p*(1-p)/total+z*z/(4*total*total))) / (1 + z*z/total)
}

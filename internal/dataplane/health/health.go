// Package health implements passive outlier detection. It ejects a server, for all callers or for those of one zone, by the
// outcomes of its requests, and measures its relative latency. It does not use active health checks: these would occupy slots,
// and may succeed although requests fail. It does no I/O; package localserver drives it. Times are durations since an epoch
// chosen by the driver.
package health

import (
	"math"
	"slices"
	"time"
)

// Outlier detection by the share of failures.
const (
	outcomeWindow          = 2 * time.Second // time constant of the exponential decay of outcomes
	confidence             = 1.64            // z value of the one-sided 95 % lower bound of the share of failures
	maxFailureShare        = 0.1             // a server is ejected if the lower bound of its share of failures exceeds this
	minFailures            = 1.5             // decayed failures required for an ejection; one failure never suffices
	maxConsecutiveFailures = 3               // failures in a row that eject a server at any share of failures
)

// Ejection and restoration.
const (
	baseEjectionTime        = 800 * time.Millisecond  // doubled with each further ejection
	maxEjectionTime         = 6 * time.Second         // maximum after doubling
	ejectionResetAfter      = 20 * time.Second        // healthy time after which the ejection time is reset
	maxEjectionDoublings    = 4                       // maximum number of doublings of baseEjectionTime
	probeInterval           = 120 * time.Millisecond  // minimum time between probes of an ejected server
	probesToRestore         = 4                       // successful probes in a row that restore it
	nonIdempotentProbeAfter = 1500 * time.Millisecond // time without a probe after which a non-idempotent request may be one
)

// Hanging servers and overdue requests.
const (
	hangTimeout          = 700 * time.Millisecond // time without a response after which a server counts as hanging
	minHangingCalls      = 3                      // minimum number of running requests of a hanging server
	hangProbeInterval    = 500 * time.Millisecond // minimum time between probes of a hanging server
	overdueLatencyFactor = 6                      // multiple of the typical latency after which a running request counts as failed
	minOverdueTime       = 600 * time.Millisecond // lower bound of that time
	lateLatencyFactor    = 3                      // timeouts before this multiple of the typical latency are ignored: too little time was left at any server
)

// Relative latency of a server.
const (
	relativeLatencyGain = 0.05 // minimum weight of the newest run in the moving average; the first runs weigh more
	relearnRuns         = 3    // maximum weight of the average when the warmup ends, in runs
	minRelativeLatency  = 0.4
	maxRelativeLatency  = 4
)

const (
	maxZones   = 16   // maximum number of zones with a record
	maxRunning = 4096 // maximum number of running requests that are tracked
)

// Call describes a request to a server.
type Call struct {
	Zone           string        // zone in which its call graph entered the mesh; some faults affect a single zone
	TypicalLatency time.Duration // mean latency of its route over all servers, measured by the entry node; 0 if unknown
	NonIdempotent  bool          // the request must not run twice
	IgnoreEjection bool          // the entry node has no better server
}

// Verdict is the result of Check: whether the server may receive a request.
type Verdict int

// The verdicts.
const (
	Healthy   Verdict = iota
	Unhealthy         // ejected
	Hangs             // does not respond to any request
)

// Outcome is the result of a request.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota // a response other than a failure
	Errored                 // a failure response, or a rejection of a request that had a slot
	Broken                  // an incomplete response, or one that does not belong to the request
	TimedOut                // the deadline was exceeded
	Ignored                 // not counted, such as a cancelled request
)

// Server is the state of one incarnation of a server. It is not safe for concurrent use.
type Server struct {
	all             record             // outcomes for all callers
	zones           map[string]*record // outcomes by zone of the callers
	running         map[string]*run    // by request ID
	freeRuns        []*run             // free list
	relativeLatency float64
	latencyRuns     int           // weight of relativeLatency, in runs
	warmupEnd       time.Duration // 0 if the server is not warming up
	respondedAt     time.Duration // time of the last response
	minCallsAt      time.Duration // when the number of running requests last rose to minHangingCalls
	probedAt        time.Duration // time of the last probe while hanging
	checkedAt       time.Duration // time of the last check for overdue requests
}

// run is a running request.
type run struct {
	Call
	startedAt time.Duration
	overdue   bool      // counted as failed already
	probes    []*record // ejected records that the request probes
}

// record is the state of outlier detection for a group of callers.
type record struct {
	failures, total     float64 // decayed counts of outcomes
	consecutiveFailures int
	updatedAt           time.Duration // time of the last outcome
	ejected             bool
	ejectedUntil        time.Duration // no probes are sent before this time
	probedAt            time.Duration // time of the last probe
	probing             int           // probes in flight
	successfulProbes    int           // consecutive successful probes
	ejections           int           // number of ejections since the last reset; see ejectionResetAfter
	restoredAt          time.Duration // time of the last restoration
}

// New returns the state of a server without history.
func New(now time.Duration) *Server {
	return &Server{
		zones: map[string]*record{}, running: map[string]*run{}, relativeLatency: 1, respondedAt: now, probedAt: now - hangProbeInterval,
	}
}

// SetWarmup sets the remaining warmup time. When the warmup ends, it limits the weight of the relative latency measured so far
// to relearnRuns, because a server's speed during its warmup says little about its later speed.
func (s *Server) SetWarmup(now, left time.Duration) {
	if left > 0 {
		s.warmupEnd = now + left
	} else if s.warmupEnd > 0 {
		s.warmupEnd, s.latencyRuns = 0, min(s.latencyRuns, relearnRuns)
	}
}

// RelativeLatency returns the mean latency of the server in multiples of the typical latency of its requests.
func (s *Server) RelativeLatency() float64 { return s.relativeLatency }

// AllZones means all zones in the result of Ejected.
const AllZones = "*"

// Ejected returns the zones for whose callers the server is ejected, sorted by name.
func (s *Server) Ejected() (zones []string) {
	if s.all.ejected {
		return []string{AllZones}
	}
	for name, r := range s.zones {
		if r.ejected {
			zones = append(zones, name)
		}
	}
	slices.Sort(zones)
	return zones
}

// Check returns whether the server may receive a request. If the result is Healthy and the request is sent, the caller calls
// Begin.
func (s *Server) Check(now time.Duration, call Call) Verdict {
	s.failOverdue(now)
	if s.Hangs(now) {
		if now-s.probedAt < hangProbeInterval {
			return Hangs
		}
		s.probedAt = now
		return Healthy
	}
	if call.IgnoreEjection {
		return Healthy
	}
	zone := s.zones[call.Zone]
	if !s.all.accepts(now, call) || !zone.accepts(now, call) {
		return Unhealthy
	}
	s.all.probedAt = now
	if zone != nil {
		zone.probedAt = now
	}
	return Healthy
}

// Hangs reports whether the server has stopped responding.
func (s *Server) Hangs(now time.Duration) bool {
	return len(s.running) >= minHangingCalls && now-max(s.respondedAt, s.minCallsAt) > hangTimeout
}

// Begin records that a request is sent to the server. Requests beyond maxRunning are not tracked.
func (s *Server) Begin(now time.Duration, id string, call Call) {
	if len(s.running) >= maxRunning {
		return
	}
	if replaced := s.running[id]; replaced != nil { // two clients have used the same ID; only the newer request is tracked
		replaced.endProbes()
	}
	r := s.allocRun()
	r.Call, r.startedAt, r.overdue = call, now, false
	for _, rec := range []*record{&s.all, s.zones[call.Zone]} {
		if rec != nil && rec.ejected && now >= rec.ejectedUntil {
			rec.probing++
			r.probes = append(r.probes, rec)
		}
	}
	s.running[id] = r
	if len(s.running) == minHangingCalls {
		s.minCallsAt = now
	}
}

// End records the outcome of a request. It reports whether this ejected or restored the server.
func (s *Server) End(now time.Duration, id string, outcome Outcome) (ejected, restored bool) {
	r := s.running[id]
	delete(s.running, id)
	if outcome == Served || outcome == Errored {
		s.respondedAt = now
	}
	if r == nil {
		return false, false
	}
	defer func() { s.freeRuns = append(s.freeRuns, r) }()
	r.endProbes()
	// A request that arrived shortly before its deadline would have timed out at any server.
	if outcome == TimedOut && r.TypicalLatency > 0 && now-r.startedAt < lateLatencyFactor*r.TypicalLatency {
		outcome = Ignored
	}
	if r.overdue || outcome == Ignored {
		return false, false
	}
	if outcome == Served && r.TypicalLatency > 0 {
		ratio := min(maxRelativeLatency, float64(now-r.startedAt)/float64(r.TypicalLatency))
		s.latencyRuns++
		s.relativeLatency = max(minRelativeLatency, s.relativeLatency+(ratio-s.relativeLatency)*max(relativeLatencyGain, 1/float64(s.latencyRuns+1)))
	}
	return s.recordOutcome(now, r, outcome == Served)
}

// endProbes ends the probes that the request is counted as.
func (r *run) endProbes() {
	for _, rec := range r.probes {
		rec.probing--
	}
	r.probes = r.probes[:0]
}

// allocRun returns a run from the free list, or a new one. The list is bounded by the maximum number of concurrent requests.
func (s *Server) allocRun() *run {
	n := len(s.freeRuns)
	if n == 0 {
		return new(run)
	}
	r := s.freeRuns[n-1]
	s.freeRuns = s.freeRuns[:n-1]
	return r
}

// recordOutcome records an outcome in the record of its zone, and in that of all callers unless the server is ejected for the
// zone or has just been restored for it.
func (s *Server) recordOutcome(now time.Duration, r *run, success bool) (ejected, restored bool) {
	if !s.all.ejected {
		zone := s.zones[r.Zone]
		if zone == nil && len(s.zones) < maxZones {
			zone = &record{}
			s.zones[r.Zone] = zone
		}
		if zone != nil {
			if ejected, restored = zone.recordOutcome(now, r.startedAt, success); zone.ejected || restored {
				return ejected, restored
			}
		}
	}
	ejected, restored = s.all.recordOutcome(now, r.startedAt, success)
	if ejected {
		clear(s.zones) // the ejection applies to all zones
	}
	return ejected, restored
}

// failOverdue counts requests that have been running for too long as failures. Waiting for their end would detect a hanging
// server only when the callers time out, and it would receive further requests until then.
func (s *Server) failOverdue(now time.Duration) {
	if now-s.checkedAt < minOverdueTime/8 {
		return
	}
	s.checkedAt = now
	for _, r := range s.running {
		if !r.overdue && r.TypicalLatency > 0 && now-r.startedAt > max(minOverdueTime, overdueLatencyFactor*r.TypicalLatency) {
			r.overdue = true
			r.endProbes()
			s.recordOutcome(now, r, false)
		}
	}
}

// accepts reports whether a request may be sent. An ejected server only receives probes.
func (r *record) accepts(now time.Duration, call Call) bool {
	if r == nil || !r.ejected {
		return true
	}
	return r.probing == 0 && now >= r.ejectedUntil && now-r.probedAt >= probeInterval && !(call.NonIdempotent && now-max(r.ejectedUntil, r.probedAt) < nonIdempotentProbeAfter)
}

// recordOutcome records the outcome of a request that was started at startedAt, and ejects or restores the server.
func (r *record) recordOutcome(now, startedAt time.Duration, success bool) (ejected, restored bool) {
	decay := math.Exp(-float64(now-r.updatedAt) / float64(outcomeWindow))
	r.failures, r.total, r.updatedAt = r.failures*decay, r.total*decay+1, now
	r.consecutiveFailures++
	if success {
		r.consecutiveFailures = 0
	} else {
		r.failures++
	}
	if !r.ejected {
		if now-r.restoredAt > ejectionResetAfter {
			r.ejections = 0
		}
		if !success && (r.consecutiveFailures >= maxConsecutiveFailures || r.failures > minFailures && lowerBound(r.failures, r.total) > maxFailureShare) {
			r.eject(now)
			return true, false
		}
		return false, false
	}
	switch {
	case startedAt < r.ejectedUntil: // the request is not a probe
	case !success:
		r.eject(now)
	default:
		if r.successfulProbes++; r.successfulProbes >= probesToRestore {
			r.ejected, r.restoredAt, r.failures, r.total, r.consecutiveFailures = false, now, 0, 0, 0
			return false, true
		}
	}
	return false, false
}

// eject ejects the server for the callers of this record, for longer with each ejection.
func (r *record) eject(now time.Duration) {
	r.ejected, r.successfulProbes = true, 0
	r.ejectedUntil = now + min(maxEjectionTime, baseEjectionTime<<min(r.ejections, maxEjectionDoublings))
	r.ejections++
}

// lowerBound returns the lower bound of the Wilson score interval of the share of failures (Wilson, 1927).
func lowerBound(failures, total float64) float64 {
	const z = confidence
	p := failures / total
	return (p + z*z/(2*total) - z*math.Sqrt(p*(1-p)/total+z*z/(4*total*total))) / (1 + z*z/total)
}

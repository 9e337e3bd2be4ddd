package decide

import (
	"math"
	"time"
)

// Outlier detection by consecutive failures, for servers and for zones.
const (
	maxConsecutiveFailures = 3               // consecutive failures that eject a server
	baseEjectionTime       = time.Second     // doubled with each ejection since the last success
	maxEjectionDoublings   = 3               // limit of the doublings
	serviceRateWindow      = 5 * time.Second // time constant of the smoothing of serviceRate
)

// outlierState is the outlier detection state of a server or a zone.
type outlierState struct {
	inflight            int
	consecutiveFailures int
	ejections           int // number of ejections since the last success
	ejectedUntil        time.Duration
}

// recordFailure counts a failure, and ejects the server or zone after maxFailures consecutive ones. The
// ejection time grows with each ejection.
func (h *outlierState) recordFailure(now time.Duration, maxFailures int) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= maxFailures {
		h.ejectedUntil = now + baseEjectionTime<<min(h.ejections, maxEjectionDoublings)
		h.consecutiveFailures = maxFailures - 1 // after the ejection, one more failure is enough
		h.ejections++
	}
}

// recordSuccess clears all failures and ejections.
func (h *outlierState) recordSuccess() {
	h.consecutiveFailures, h.ejections, h.ejectedUntil = 0, 0, 0
}

// shouldAvoid reports whether no call should be sent. After an ejection, one call at a time is allowed until
// one succeeds: otherwise a server that hangs would receive its full share of calls after each ejection.
func (h *outlierState) shouldAvoid(now time.Duration) bool {
	return h.ejectedUntil > now || h.ejections > 0 && h.inflight > 0
}

// recordResult updates the outlier detection of a server and of its zone. A zone is ejected as a whole after
// failures of several servers: it is probably down or partitioned from this node, and ejecting its servers
// one by one would cost many calls.
func (b *Balancer) recordResult(s *server, r Result) {
	switch r {
	case Served:
		window := serviceRateWindow.Seconds()
		b.serviceRate = b.serviceRate*math.Exp(-(b.now-b.serviceRateAt).Seconds()/window) + 1/window
		b.serviceRateAt = b.now
		s.recordSuccess()
		s.zone.recordSuccess()
	case TimedOut, Unconnected, Broken:
		// Count a single failing server once against its zone, unless the zone was ejected before.
		if s.consecutiveFailures == 0 || s.zone.ejections > 0 {
			zoneFailures := min(2*maxConsecutiveFailures, max(maxConsecutiveFailures, s.zone.members))
			s.zone.recordFailure(b.now, zoneFailures)
		}
		s.recordFailure(b.now, maxConsecutiveFailures)
	}
}

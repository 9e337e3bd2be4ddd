package decide

import (
	"math"
	"time"
)

// Outlier detection by consecutive failures: of a server, and of a whole zone as seen from here.
const (
	maxConsecutiveFailures = 3           // failures in a row that eject a server
	baseEjectionTime       = time.Second // doubled with each further ejection ...
	maxEjectionDoublings   = 3           // ... so many times
	serviceRateWindow      = 5 * time.Second
)

// outlierState is what is known of the health of a server or a zone.
type outlierState struct {
	inflight            int
	consecutiveFailures int
	ejections           int // since the last success
	ejectedUntil        time.Duration
}

// recordFailure counts a failure, and ejects after a number of them in a row, each time for longer.
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

// avoid reports whether nothing should be sent. After an ejection there is one call at a time until one has
// succeeded: a server that hangs would else swallow its full share of calls at each return.
func (h *outlierState) avoid(now time.Duration) bool {
	return h.ejectedUntil > now || h.ejections > 0 && h.inflight > 0
}

// recordResult ejects a server that fails repeatedly, and a whole zone where all of its servers do: it is
// lost, or partitioned from here, and to find that out server by server would take many calls.
func (b *Balancer) recordResult(s *server, r Result) {
	switch r {
	case Served:
		window := serviceRateWindow.Seconds()
		b.serviceRate = b.serviceRate*math.Exp(-(b.now-b.serviceRateAt).Seconds()/window) + 1/window
		b.serviceRateAt = b.now
		s.recordSuccess()
		s.zone.recordSuccess()
	case TimedOut, Unconnected, Broken:
		if s.consecutiveFailures == 0 || s.zone.ejections > 0 { // a single bad server counts once
			zoneFailures := min(2*maxConsecutiveFailures, max(maxConsecutiveFailures, s.zone.members))
			s.zone.recordFailure(b.now, zoneFailures)
		}
		s.recordFailure(b.now, maxConsecutiveFailures)
	}
}

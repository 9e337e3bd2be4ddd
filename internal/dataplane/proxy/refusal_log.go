package proxy

import (
	"log/slog"
	"time"

	"ivydeck/internal/dataplane/router"
)

// rejectionLogInterval is the minimum time between two log records of rejections for the same service or server.
const rejectionLogInterval = 2 * time.Second

// rejections counts the requests for a service that were rejected since the last log record.
type rejections struct {
	since      time.Duration // time of the last log record
	gates      int           // requests refused by the gate of the service or of a downstream service
	noCapacity int           // admitted requests for which no server had capacity
}

// count counts a rejection. It returns and resets the counts if they are due to be logged.
func (r *rejections) count(now time.Duration, admitted bool) (counts rejections, logDue bool) {
	if admitted {
		r.noCapacity++
	} else {
		r.gates++
	}
	if now-r.since < rejectionLogInterval {
		return counts, false
	}
	counts = *r
	*r = rejections{since: now}
	return counts, true
}

// log logs the counts and the state of the service.
func (r rejections) log(logger *slog.Logger, state router.ServiceState) {
	logger.Info("admission.rejecting", "service", state.Service, "gates", r.gates, "no_capacity", r.noCapacity,
		"normalized_latency", state.NormalizedLatency, "pressure", state.Pressure, "servers", state.Servers, "probabilities", state.Probabilities)
}

// serverLoad sums up the load of a server on this machine since the last log record of rejections for lack of a slot.
type serverLoad struct {
	since    time.Duration // time of the last log record
	busy     time.Duration // total duration of the runs that have ended
	rejected int
}

// countRejection counts a request that found no free slot. It returns and resets the sums if they are due to be logged.
func (l *serverLoad) countRejection(now time.Duration) (sums serverLoad, logDue bool) {
	l.rejected++
	if now-l.since < rejectionLogInterval {
		return sums, false
	}
	sums = *l
	*l = serverLoad{since: now}
	return sums, true
}

// log logs the load. The utilization may exceed 1, as runs that began before the interval count in full.
func (l serverLoad) log(logger *slog.Logger, now time.Duration, member string, slots int) {
	utilization := l.busy.Seconds() / ((now - l.since).Seconds() * float64(max(1, slots)))
	logger.Info("server.saturated", "member", member, "slots", slots, "utilization", utilization, "rejected", l.rejected)
}

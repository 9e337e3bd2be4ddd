package proxy

import (
	"log/slog"
	"time"

	"ivydeck/internal/dataplane/router"
)

// pressureEvery is the shortest time between two records of refusals for one service or by one server.
const pressureEvery = 2 * time.Second

// refusals sums up what was refused for one service, so that a log says why without a line for each request.
type refusals struct {
	since      time.Duration
	gates      int // requests that its gate, or that of a service behind it, did not admit
	noCapacity int // requests that were admitted and found no server with room
}

// count counts a refusal, and returns the counts if they are to be logged now.
func (r *refusals) count(now time.Duration, admitted bool) (counts refusals, due bool) {
	if admitted {
		r.noCapacity++
	} else {
		r.gates++
	}
	if now-r.since < pressureEvery {
		return counts, false
	}
	counts = *r
	*r = refusals{since: now}
	return counts, true
}

// log logs the refusals with the state of the service.
func (r refusals) log(log *slog.Logger, now router.ServiceState) {
	log.Info("admission.rejecting", "service", now.Service, "gates", r.gates, "no_capacity", r.noCapacity,
		"normalized_latency", now.NormalizedLatency, "pressure", now.Pressure, "servers", now.Servers, "probabilities", now.Probabilities)
}

// serverLoad sums up how busy a server beside the node was between two records of requests that it had no room for.
type serverLoad struct {
	since    time.Duration
	busy     time.Duration // time of its runs, added up
	rejected int
}

// countRejection counts a request without a free slot, and returns the sums if they are to be logged now.
func (l *serverLoad) countRejection(now time.Duration) (sums serverLoad, due bool) {
	l.rejected++
	if now-l.since < pressureEvery {
		return sums, false
	}
	sums = *l
	*l = serverLoad{since: now}
	return sums, true
}

// log writes how much of its slots' time the server was busy; over 1 is rounding.
func (l serverLoad) log(log *slog.Logger, now time.Duration, member string, slots int) {
	utilization := l.busy.Seconds() / ((now - l.since).Seconds() * float64(max(1, slots)))
	log.Info("server.saturated", "member", member, "slots", slots, "utilization", utilization, "rejected", l.rejected)
}

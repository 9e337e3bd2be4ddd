package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Server selection by the power of two choices (Mitzenmacher, 2001). The load of a server is the number of
// calls in flight, weighted by its relative latency.
const (
	latencyGain           = 0.25            // weight of the latest response time in the latency of a server
	meanLatencyGain       = latencyGain / 8 // weight of the latest response time in the mean of all servers
	serverLatencyWindow   = 2 * time.Second // time constant of the decay of a server's excess latency
	maxConnectFailureRate = 0.1             // above it, servers with an idle connection are preferred
	minLatencyDivisor     = 1e-6            // avoids a division by zero before the first response
	minRemoteSaving       = 1e-3            // avoids a division by zero in remoteLoadFactor
)

// latencies holds statistics of the responses of all servers.
type latencies struct {
	meanLatency   float64       // mean latency of attempts, in multiples of the latency target
	serviceRate   float64       // smoothed number of answers per second
	serviceRateAt time.Duration // time of the last update of serviceRate
}

// pick returns the less loaded of two random servers of the local subset, or the less loaded of two of the
// remote subset if its load is lower even after multiplication by remoteLoadFactor. For a keyed call that may
// have run, whose group is a zone or cell, it considers all members of the group instead. It returns nil if
// no server is usable. If at least half of the subset is ejected, the servers are probably not the cause, and
// ejections are ignored.
func (b *Balancer) pick(c *call) *server {
	class := &b.settings.Classes[c.Class]
	if c.mayHaveRun && class.Effect == Keyed && class.Group != GroupAll {
		if s := b.pickOfTwo(b.usable(c, b.members, true)); s != nil {
			return s
		}
		return b.pickOfTwo(b.usable(c, b.members, false))
	}
	ejected, total := 0, len(b.localSubset)+len(b.remoteSubset)
	for i := range total {
		if s := b.subset(i); s.ejectedUntil > b.now || s.zone.ejectedUntil > b.now {
			ejected++
		}
	}
	avoidEjected := 2*ejected < total
	local := b.pickOfTwo(b.usable(c, b.localSubset, avoidEjected))
	remote := b.pickOfTwo(b.usable(c, b.remoteSubset, avoidEjected))
	if local == nil || remote != nil && b.remoteLoadFactor()*b.load(remote) < b.load(local) {
		return remote
	}
	return local
}

// remoteLoadFactor returns the factor on the load of a server in another zone. A call with the mean latency
// m, in latency targets, saves m*(1-1/x) at a server that is x times less loaded. The factor is the x at
// which the saving equals the price of crossing zones, if one latency target is valued like one request.
func (b *Balancer) remoteLoadFactor() float64 {
	return 1 / max(minRemoteSaving, 1-b.settings.Prices.CrossZone/max(b.meanLatency, minLatencyDivisor))
}

// pickOfTwo returns the less loaded of two random servers of a list.
func (b *Balancer) pickOfTwo(list []*server) *server { return lessLoaded(b.rng, list, b.load) }

// lessLoaded returns the less loaded of two random elements of a list, or nil if the list is empty.
func lessLoaded[T any](rng *rand.Rand, list []*T, load func(*T) float64) *T {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i := rng.IntN(len(list))
	j := (i + 1 + rng.IntN(len(list)-1)) % len(list)
	if load(list[j]) < load(list[i]) {
		i = j
	}
	return list[i]
}

// load returns the number of this node's calls in flight at a server, weighted by its relative latency. Most
// servers of a large fleet have one call in flight or none, so the number alone does not distinguish them.
func (b *Balancer) load(s *server) float64 {
	return float64(s.inflight+1) * b.relativeLatency(s)
}

// relativeLatency returns the response time of a server relative to the mean of all: the value expected from
// its weight, plus the observed excess, which decays.
func (b *Balancer) relativeLatency(s *server) float64 {
	expected := b.meanWeight / (s.weight * b.slowStartShare(s))
	return expected + s.excessLatency*math.Exp(-float64(b.now-s.excessLatencyAt)/float64(serverLatencyWindow))
}

// recordLatency records the response time of an attempt, in multiples of the latency target.
func (b *Balancer) recordLatency(s *server, normalized float64) {
	b.meanLatency += (normalized - b.meanLatency) * meanLatencyGain
	estimate := b.relativeLatency(s)
	s.excessLatency *= math.Exp(-float64(b.now-s.excessLatencyAt) / float64(serverLatencyWindow))
	s.excessLatency += (normalized/max(b.meanLatency, minLatencyDivisor) - estimate) * latencyGain
	s.excessLatencyAt = b.now
}

// usable returns the servers of a list that may receive a call. If avoidEjected is set, it excludes ejected
// servers and the one of the previous attempt. The next call overwrites the result.
func (b *Balancer) usable(c *call, list []*server, avoidEjected bool) []*server {
	b.candidates = b.candidates[:0]
	for _, s := range list {
		ejected := s.shouldAvoid(b.now) || s.zone.shouldAvoid(b.now)
		if avoidEjected && ejected || !b.inGroup(c, s) || !b.withinSlowStart(s) {
			continue
		}
		// Exclude the server of the previous attempt, unless it is the only one of the list: the call would
		// otherwise wait until its deadline.
		n := len(c.attempts)
		if avoidEjected && n > 0 && c.attempts[n-1].server == s && len(list) > 1 {
			continue
		}
		b.candidates = append(b.candidates, s)
	}
	// If many connection attempts fail, prefer servers with an idle connection.
	idle := func(s *server) bool { return len(s.idle) > 0 }
	if b.connectFailureRate > maxConnectFailureRate && slices.ContainsFunc(b.candidates, idle) {
		return slices.DeleteFunc(b.candidates, func(s *server) bool { return !idle(s) })
	}
	return b.candidates
}

// inGroup reports whether a server drops repeats of a keyed call that may have run.
func (b *Balancer) inGroup(c *call, s *server) bool {
	class := &b.settings.Classes[c.Class]
	if !c.mayHaveRun || class.Effect != Keyed {
		return true
	}
	switch class.Group {
	case GroupAll:
		return true
	case GroupZone:
		return s.Zone == c.mayHaveRunOn.Zone
	case GroupCell:
		return s.Cell == c.mayHaveRunOn.Cell
	}
	return false
}

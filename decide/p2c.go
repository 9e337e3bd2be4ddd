package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The choice of a server: the power of two choices (Mitzenmacher, 2001) on the calls in flight, weighed by
// the relative latency of each server.
const (
	latencyGain           = 0.25            // weight of a server's newest response time
	meanLatencyGain       = latencyGain / 8 // the same in the mean of all servers
	serverLatencyWindow   = 2 * time.Second // over which a server's excess latency fades
	maxConnectFailureRate = 0.1             // above it, servers with an idle connection are preferred
	minLatencyDivisor     = 1e-6            // keeps quotients finite before the first response
	minRemoteSaving       = 1e-3            // the same for remoteLoadFactor
)

// latencies are the response times of the servers.
type latencies struct {
	meanLatency   float64 // of attempts, in multiples of the latency target
	serviceRate   float64 // answers a second, smoothed
	serviceRateAt time.Duration
}

// pick returns the less loaded of two random servers of the local subset, or of the remote one if that is
// less loaded by remoteLoadFactor; nil: none is usable. If half the subset is ejected, the fault is hardly
// the servers', and ejections are ignored.
func (b *Balancer) pick(c *call) *server {
	class := &b.settings.Classes[c.Class]
	if c.mayHaveRun && class.Effect == Keyed && class.Group != GroupAll {
		if s := b.pickOfTwo(b.usable(c, b.members, true)); s != nil {
			return s
		}
		return b.pickOfTwo(b.usable(c, b.members, false))
	}
	ejected, all := 0, len(b.localSubset)+len(b.remoteSubset)
	for i := range all {
		if s := b.subset(i); s.ejectedUntil > b.now || s.zone.ejectedUntil > b.now {
			ejected++
		}
	}
	avoidEjected := 2*ejected < all
	local := b.pickOfTwo(b.usable(c, b.localSubset, avoidEjected))
	remote := b.pickOfTwo(b.usable(c, b.remoteSubset, avoidEjected))
	if local == nil || remote != nil && b.remoteLoadFactor()*b.load(remote) < b.load(local) {
		return remote
	}
	return local
}

// remoteLoadFactor is the factor on the load of a server in another zone. A call of m mean latencies saves
// m*(1-1/x) at a server x times less loaded; a saved latency target is taken to be worth a request, and must
// exceed the price of crossing zones.
func (b *Balancer) remoteLoadFactor() float64 {
	return 1 / max(minRemoteSaving, 1-b.settings.Prices.CrossZone/max(b.meanLatency, minLatencyDivisor))
}

// pickOfTwo returns the less loaded of two random servers of a list.
func (b *Balancer) pickOfTwo(list []*server) *server { return lessLoaded(b.rng, list, b.load) }

// lessLoaded returns the less loaded of two random elements of a list; nil: it is empty.
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

// load is this node's calls in flight at a server, weighed by its relative latency: with one call or none, as
// on most servers of a large fleet, the count alone says nothing.
func (b *Balancer) load(s *server) float64 {
	return float64(s.inflight+1) * b.relativeLatency(s)
}

// relativeLatency is a server's response time relative to that of all: what its weight explains, and what was
// observed beyond that, which fades.
func (b *Balancer) relativeLatency(s *server) float64 {
	expected := b.meanWeight / (s.weight * b.slowStartShare(s))
	return expected + s.excessLatency*math.Exp(-float64(b.now-s.excessLatencyAt)/float64(serverLatencyWindow))
}

// recordLatency takes the response time of an attempt, in multiples of the latency target.
func (b *Balancer) recordLatency(s *server, normalized float64) {
	b.meanLatency += (normalized - b.meanLatency) * meanLatencyGain
	before := b.relativeLatency(s)
	s.excessLatency *= math.Exp(-float64(b.now-s.excessLatencyAt) / float64(serverLatencyWindow))
	s.excessLatency += (normalized/max(b.meanLatency, minLatencyDivisor) - before) * latencyGain
	s.excessLatencyAt = b.now
}

// usable lists the servers that may receive a call, without ejected ones if those are to be avoided.
func (b *Balancer) usable(c *call, list []*server, avoidEjected bool) []*server {
	b.candidates = b.candidates[:0]
	for _, s := range list {
		ejected := s.avoid(b.now) || s.zone.avoid(b.now)
		if avoidEjected && ejected || !b.inGroup(c, s) || !b.withinSlowStart(s) {
			continue
		}
		// Not the server that just failed, unless a keyed call has no other: it would wait in vain.
		n := len(c.attempts)
		if avoidEjected && n > 0 && c.attempts[n-1].server == s && len(list) > 1 {
			continue
		}
		b.candidates = append(b.candidates, s)
	}
	// Where many servers accept no connection, or too slowly, those with an idle one are preferred.
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

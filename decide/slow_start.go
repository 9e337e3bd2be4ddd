package decide

// slowStartSafety is the share of the permitted load that the nodes send to a starting server.
const slowStartSafety = 0.5

// slowStartShare returns the guaranteed share of a server's capacity. It is 1 after the slow start.
func (b *Balancer) slowStartShare(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	minShare := b.settings.SlowStartMinShare
	return minShare + (1-minShare)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// withinSlowStart reports whether a server may receive another call; during the slow start, a token bucket
// limits its calls. All nodes together may send less than OverloadFactor times its current capacity, and each
// node uses a fixed part of that. The capacity is estimated from the rate of answers: the rate of sends would
// count an overload as capacity.
func (b *Balancer) withinSlowStart(s *server) bool {
	share := b.slowStartShare(s)
	if share == 1 {
		return true
	}
	subset := float64(max(1, len(b.localSubset)+len(b.remoteSubset)))
	members := float64(max(1, len(b.members)))
	nodes := max(1, float64(b.settings.Nodes)*subset/members) // mean number of nodes per server
	overload := b.settings.OverloadDuration.Seconds()
	rate := max(b.serviceRate/subset*slowStartSafety*b.settings.OverloadFactor*share, 1/nodes/overload)
	s.slowStartTokens = min(s.slowStartTokens+rate*(b.now-s.tokensFilledAt).Seconds(), 1+rate*overload/4)
	s.tokensFilledAt = b.now
	return s.slowStartTokens >= 1
}

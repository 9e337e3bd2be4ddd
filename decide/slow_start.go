package decide

// slowStartSafety is the share of a starting server's capacity that is used at all.
const slowStartSafety = 0.5

// slowStartShare is the share of its capacity that a server surely has; 1 after its slow start.
func (b *Balancer) slowStartShare(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	minShare := b.settings.SlowStartMinShare
	return minShare + (1-minShare)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// withinSlowStart reports whether a server may receive another call, by a token bucket during its slow
// start. All nodes together may send FallMultiple times what it can do; each takes a fixed part, measured by
// what its servers answer: by what they are sent, a storm would count as capacity.
func (b *Balancer) withinSlowStart(s *server) bool {
	share := b.slowStartShare(s)
	if share == 1 {
		return true
	}
	subset := float64(max(1, len(b.localSubset)+len(b.remoteSubset)))
	members := float64(max(1, len(b.members)))
	nodes := max(1, float64(b.settings.Nodes)*subset/members) // that know the server
	fall := b.settings.FallFor.Seconds()
	rate := max(b.serviceRate/subset*slowStartSafety*b.settings.FallMultiple*share, 1/nodes/fall)
	s.slowStartTokens = min(s.slowStartTokens+rate*(b.now-s.tokensFilledAt).Seconds(), 1+rate*fall/4)
	s.tokensFilledAt = b.now
	return s.slowStartTokens >= 1
}

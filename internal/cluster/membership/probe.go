package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Probe is a request that the driver sends to Address: a direct probe of Target, an indirect probe of Target through Via
// or, if Target is empty, a push/pull. The driver passes the result to HandleProbeResult.
type Probe struct {
	Target  string
	Via     string
	Address string // address of the receiver
	Request *wire.ProbeRequest
}

// Timeout returns how long the driver waits for the response.
func (p Probe) Timeout() time.Duration {
	switch {
	case p.Target == "":
		return pushPullTimeout
	case p.Via != "":
		return 2 * ProbeTimeout
	}
	return ProbeTimeout
}

// NextTick returns the time at which Tick is due.
func (l *Memberlist) NextTick() time.Duration { return l.nextTickAt }

// Tick starts the next probe, expires suspect and dead members, and starts a push/pull if one is due. It returns the probes
// to send. seeds are the addresses of the seed nodes.
func (l *Memberlist) Tick(now time.Duration, seeds []string) []Probe {
	l.now = now
	l.expireSuspicions()
	if now < l.nextTickAt {
		return nil
	}
	l.nextTickAt = now + ProbeInterval
	var probes []Probe
	if m := l.nextProbeTarget(); m != nil {
		m.probing, m.pendingIndirect = true, 0
		request := &wire.ProbeRequest{From: l.self, Updates: l.nextBroadcasts()}
		probes = append(probes, Probe{Target: m.Name, Address: m.Address, Request: request})
	}
	return append(probes, l.pushPull(seeds)...)
}

// nextProbeTarget returns the next member to probe. Each round covers every member once, in random order. It returns nil if
// no member can be probed.
func (l *Memberlist) nextProbeTarget() *member {
	for range 2 {
		for len(l.probeRound) > 0 {
			m := l.probeRound[0]
			l.probeRound = l.probeRound[1:]
			if !m.probing && reachable(m.State) {
				return m
			}
		}
		l.probeRound = slices.Clone(l.sorted()) // a member that is removed during the round is unreachable, and skipped
		l.rng.Shuffle(len(l.probeRound), func(i, j int) { l.probeRound[i], l.probeRound[j] = l.probeRound[j], l.probeRound[i] })
	}
	return nil
}

// HandleProbeResult processes the response to a probe, or nil if the probe timed out, and returns the follow-up probes. The
// caller must first pass the updates in the response to Merge.
func (l *Memberlist) HandleProbeResult(now time.Duration, probe Probe, response *wire.ProbeResponse) []Probe {
	l.now = now
	if probe.Target == "" {
		return l.handlePushPull(probe, response)
	}
	m := l.members[probe.Target]
	if m == nil || !m.probing {
		return nil
	}
	if response != nil && response.Reached {
		m.probing = false
		if m.State == wire.Member_SUSPECT { // the response proves it alive; don't wait for its refutation
			l.setState(m, wire.Member_ALIVE)
		}
		return nil
	}
	if probe.Via == "" {
		if probes := l.indirectProbes(m); len(probes) > 0 {
			m.pendingIndirect = uint8(len(probes))
			return probes
		}
	} else if m.pendingIndirect--; m.pendingIndirect > 0 {
		return nil
	}
	m.probing = false
	if m.State == wire.Member_ALIVE {
		l.setState(m, wire.Member_SUSPECT)
	}
	return nil
}

// indirectProbes returns probes of m through other members.
func (l *Memberlist) indirectProbes(m *member) (probes []Probe) {
	for _, via := range l.randomAliveMembers(m.Name) {
		request := &wire.ProbeRequest{Target: m.Member, From: l.self, Updates: l.nextBroadcasts()}
		probes = append(probes, Probe{Target: m.Name, Via: via.Name, Address: via.Address, Request: request})
	}
	return probes
}

// randomAliveMembers returns up to indirectProbeCount random members that are alive, excluding the one named
// except.
func (l *Memberlist) randomAliveMembers(except string) []*member {
	all := l.sorted()
	var list []*member
	for range 8 * indirectProbeCount { // enough draws unless most members are unreachable
		m := all[l.rng.IntN(len(all))]
		if m.Name != except && m.State == wire.Member_ALIVE && !slices.Contains(list, m) {
			if list = append(list, m); len(list) == indirectProbeCount {
				break
			}
		}
	}
	return list
}

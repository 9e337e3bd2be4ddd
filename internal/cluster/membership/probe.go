package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Probe is a request that the driver has to send to Address: a direct probe of Target, an indirect one of Target through
// Via, or, without a target, a push/pull. The driver answers with HandleProbeResult.
type Probe struct {
	Target  string
	Via     string
	Address string // where to
	Request *wire.ProbeRequest
}

// Timeout is how long the driver waits for the answer.
func (a Probe) Timeout() time.Duration {
	switch {
	case a.Target == "":
		return pushPullTimeout
	case a.Via != "":
		return 2 * ProbeTimeout
	}
	return ProbeTimeout
}

// NextTick is the time at which Tick is due.
func (l *Memberlist) NextTick() time.Duration { return l.nextTickAt }

// Tick begins the next probe, ends suspicions that were not refuted in time, forgets the dead, and exchanges views with
// others when that is due. seeds are addresses of nodes that may be members.
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

// nextProbeTarget returns the next member of a round, in which each is probed once, in random order.
func (l *Memberlist) nextProbeTarget() *member {
	for range 2 {
		for len(l.probeRound) > 0 {
			m := l.probeRound[0]
			l.probeRound = l.probeRound[1:]
			if !m.probing && reachable(m.State) {
				return m
			}
		}
		l.probeRound = slices.Clone(l.sorted()) // a member that was forgotten meanwhile is not reachable
		l.rng.Shuffle(len(l.probeRound), func(i, j int) { l.probeRound[i], l.probeRound[j] = l.probeRound[j], l.probeRound[i] })
	}
	return nil
}

// HandleProbeResult takes the answer to a probe (nil: none came in time) and returns the probes that follow. The updates
// in the answer have to be passed to Merge before.
func (l *Memberlist) HandleProbeResult(now time.Duration, probe Probe, answer *wire.ProbeResponse) []Probe {
	l.now = now
	if probe.Target == "" {
		return l.handlePushPull(probe, answer)
	}
	m := l.members[probe.Target]
	if m == nil || !m.probing {
		return nil
	}
	if answer != nil && answer.Reached {
		m.probing = false
		if m.State == wire.Member_SUSPECT { // it will refute the suspicion itself; this only saves the time until then
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

// indirectProbes asks other members to probe one that has not answered.
func (l *Memberlist) indirectProbes(m *member) (probes []Probe) {
	for _, via := range l.randomAliveMembers(m.Name) {
		request := &wire.ProbeRequest{Target: m.Member, From: l.self, Updates: l.nextBroadcasts()}
		probes = append(probes, Probe{Target: m.Name, Via: via.Name, Address: via.Address, Request: request})
	}
	return probes
}

// randomAliveMembers draws a few members that are alive, without one of them.
func (l *Memberlist) randomAliveMembers(except string) []*member {
	all := l.sorted()
	var list []*member
	for range 8 * indirectProbes { // enough, unless most are unreachable
		m := all[l.rng.IntN(len(all))]
		if m.Name != except && m.State == wire.Member_ALIVE && !slices.Contains(list, m) {
			if list = append(list, m); len(list) == indirectProbes {
				break
			}
		}
	}
	return list
}

package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Probe is a probe to send: to Helper about Target where a helper is set, to
// Target itself, or with neither only to compare views. The driver answers with
// Probed.
type Probe struct {
	Target  string
	Via  string
	Address string // where to
	Request   *wire.ProbeRequest
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

// NextTick is when Tick is due.
func (l *Memberlist) NextTick() time.Duration { return l.nextTickAt }

// Tick begins the next probe, ends suspicions that nobody has refuted, and at
// times asks seeds, given by address, for what they know.
func (l *Memberlist) Tick(now time.Duration, seeds []string) []Probe {
	l.now = now
	kept := l.unreachable[:0]
	for _, m := range l.unreachable {
		switch {
		case m.State == wire.Member_SUSPECT && now-m.stateChangedAt >= suspicionTimeout:
			l.setState(m, wire.Member_DEAD)
			kept = append(kept, m)
		case !reachable(m.State) && now-m.stateChangedAt >= deadRetention:
			delete(l.members, m.Name)
			l.sortedMembers = slices.DeleteFunc(l.sortedMembers, func(x *member) bool { return x == m })
			m.unreachable = false
		case m.State == wire.Member_ALIVE:
			m.unreachable = false
		default:
			kept = append(kept, m)
		}
	}
	clear(l.unreachable[len(kept):])
	l.unreachable = kept
	if now < l.nextTickAt {
		return nil
	}
	l.nextTickAt = now + ProbeInterval
	var probes []Probe
	if m := l.nextProbeTarget(); m != nil {
		m.probing, m.pendingIndirect = true, 0
		probes = append(probes, Probe{Target: m.Name, Address: m.Address, Request: &wire.ProbeRequest{From: l.self, Updates: l.nextBroadcasts()}})
	}
	return append(probes, l.pushPull(seeds)...)
}

// pushPull begins to compare views, once it is time.
func (l *Memberlist) pushPull(seeds []string) (probes []Probe) {
	alone := len(l.members) == 0
	if alone {
		l.nextTickAt = min(l.nextTickAt, l.now+joinInterval)
	} else if l.now < l.nextPushPullAt {
		return nil
	}
	l.pushPullInterval = min(max(2*l.pushPullInterval, l.minPushPullInterval()), l.maxPushPullInterval())
	l.lastPushPullAt, l.nextPushPullAt = l.now, l.now+l.pushPullInterval
	for _, address := range l.pushPullTargets(seeds) {
		probes = append(probes, l.pushPullProbe(address, rangesFor(len(l.members))))
	}
	return probes
}

// nextProbeTarget returns the next member of a round in random order.
func (l *Memberlist) nextProbeTarget() *member {
	for range 2 {
		for len(l.probeRound) > 0 {
			m := l.probeRound[0]
			l.probeRound = l.probeRound[1:]
			if !m.probing && reachable(m.State) {
				return m
			}
		}
		l.probeRound = slices.Clone(l.sorted()) // one that is forgotten meanwhile is not up
		l.rng.Shuffle(len(l.probeRound), func(i, j int) { l.probeRound[i], l.probeRound[j] = l.probeRound[j], l.probeRound[i] })
	}
	return nil
}

// HandleProbeResult takes the answer to an action; nil: none came. What it says of others goes to
// Merge first.
func (l *Memberlist) HandleProbeResult(now time.Duration, probe Probe, answer *wire.ProbeResponse) []Probe {
	l.now = now
	if probe.Target == "" {
		return l.handlePushPull(probe, answer)
	}
	reached := answer != nil && answer.Reached
	m := l.members[probe.Target]
	if m == nil || !m.probing {
		return nil
	}
	if reached {
		m.probing = false
		if m.State == wire.Member_SUSPECT { // it refutes by itself; this only saves the time until then
			l.setState(m, wire.Member_ALIVE)
		}
		return nil
	}
	if probe.Via == "" {
		var probes []Probe
		for _, h := range l.randomAliveMembers(probe.Target) {
			probes = append(probes, Probe{Target: m.Name, Via: h.Name, Address: h.Address,
				Request: &wire.ProbeRequest{Target: m.Member, From: l.self, Updates: l.nextBroadcasts()}})
		}
		if m.pendingIndirect = uint8(len(probes)); m.pendingIndirect > 0 {
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

// randomAliveMembers draws third parties.
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

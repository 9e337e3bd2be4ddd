package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// In a push/pull two nodes compare their views by digests of ranges, so that its cost follows the difference and not the
// number of members: the node that begins gets the digests of the other's ranges, and then the members of the ranges that
// differ. It sends none of its own, since a node that was partitioned would bring back the dead that all others have
// forgotten. A member belongs to a range by the hash of its name; a range of a coarser division is the union of
// neighbouring ones of a finer.
const (
	maxRanges          = 1024 // a power of two
	membersPerRange    = 16   // wanted, about
	maxFullViewMembers = 64   // smaller views are sent whole, which saves a round trip
)

// membersOf returns the members of some of n ranges, the dead among them.
func (l *Memberlist) membersOf(n uint32, wanted []uint32) (list []*wire.Member) {
	width := uint16(maxRanges / n)
	var in [maxRanges]bool
	for _, r := range wanted {
		if r < n {
			in[r] = true
		}
	}
	for _, m := range l.sorted() {
		if in[m.finestRange/width] {
			list = append(list, m.Member)
		}
	}
	return list
}

// HandleProbe returns the answer to a probe: updates or, for a push/pull that finds a difference, what the other node needs
// to compare the views. The updates in the probe have to be passed to Merge before.
func (l *Memberlist) HandleProbe(p *wire.ProbeRequest) *wire.ProbeResponse {
	if !p.FullView || p.Digest == l.Digest() {
		return &wire.ProbeResponse{Updates: l.nextBroadcasts()}
	}
	if len(p.Differing) == 0 {
		l.schedulePushPull()
	}
	switch {
	case !validRanges(p.Ranges):
		return &wire.ProbeResponse{Updates: l.fullView()}
	case len(p.Differing) == 0:
		return &wire.ProbeResponse{Updates: l.nextBroadcasts(), RangeDigests: l.digestsOf(p.Ranges)}
	}
	return &wire.ProbeResponse{Updates: append([]*wire.Member{l.self}, l.membersOf(p.Ranges, p.Differing)...)}
}

// fullView is the view with the dead.
func (l *Memberlist) fullView() []*wire.Member {
	view := []*wire.Member{l.self}
	for _, m := range l.sorted() {
		view = append(view, m.Member)
	}
	return view
}

// handlePushPull takes the answer to a push/pull. If it brings digests, the members of the ranges that differ are requested
// next, or the full view if most differ.
func (l *Memberlist) handlePushPull(probe Probe, answer *wire.ProbeResponse) []Probe {
	n := probe.Request.Ranges
	if answer == nil || !validRanges(n) || len(answer.RangeDigests) != int(n) {
		return nil
	}
	var differing []uint32
	for i, d := range l.digestsOf(n) {
		if d != answer.RangeDigests[i] {
			differing = append(differing, uint32(i))
		}
	}
	switch {
	case len(differing) == 0:
		return nil
	case len(differing) > int(n/2):
		return []Probe{l.pushPullProbe(probe.Address, 0)}
	}
	next := l.pushPullProbe(probe.Address, n)
	next.Request.Differing = differing
	return []Probe{next}
}

// pushPullProbe begins to compare views by so many ranges; 0: it requests the full view.
func (l *Memberlist) pushPullProbe(address string, ranges uint32) Probe {
	return Probe{Address: address, Request: &wire.ProbeRequest{From: l.self, FullView: true, Digest: l.Digest(), Ranges: ranges}}
}

// minPushPullInterval bounds the cost of push/pulls while views change.
func (l *Memberlist) minPushPullInterval() time.Duration {
	const digestBytes = 8
	bytes := digestBytes * rangesFor(len(l.members))
	return max(minPushPullInterval, time.Duration(bytes)*time.Second/maxPushPullBytesPerSecond)
}

// maxPushPullInterval bounds how long a difference lasts that no node has noticed.
func (l *Memberlist) maxPushPullInterval() time.Duration {
	inProportion := pushPullInterval * time.Duration(1+len(l.members)/pushPullScale)
	return max(min(maxPushPullInterval, inProportion), l.minPushPullInterval())
}

// schedulePushPull brings the next push/pull forward, as the view has changed or differs from that of a node that has begun
// one. A node that has missed a change is thus asked soon by one that has it, and then begins one as well.
func (l *Memberlist) schedulePushPull() {
	shortest := l.minPushPullInterval()
	l.pushPullInterval = shortest / 2                      // which the next comparison doubles
	spread := time.Duration(l.rng.Int64N(int64(shortest))) // a change reaches many nodes at about the same time
	l.nextPushPullAt = min(l.nextPushPullAt, max(l.now+shortest/2+spread, l.lastPushPullAt+shortest))
}

// pushPullTargets returns the addresses of the next push/pull. In a large cluster that is most often a random member: the
// seeds, which join what was partitioned, would have to answer all nodes.
func (l *Memberlist) pushPullTargets(seeds []string) []string {
	l.pushPulls++
	if len(l.members) > pushPullScale && l.pushPulls%pushPullsPerSeedPushPull != 1 {
		if helpers := l.randomAliveMembers(""); len(helpers) > 0 {
			return []string{helpers[0].Address}
		}
	}
	return l.randomSeeds(seeds)
}

// randomSeeds returns two random seeds: one may be unreachable.
func (l *Memberlist) randomSeeds(seeds []string) (drawn []string) {
	if len(seeds) == 0 {
		return nil
	}
	at := l.rng.IntN(len(seeds))
	for i := range seeds {
		address := seeds[(at+i)%len(seeds)]
		if address != l.self.Address && len(drawn) < 2 && !slices.Contains(drawn, address) {
			drawn = append(drawn, address)
		}
	}
	return drawn
}

// pushPull begins a push/pull, once it is due.
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

package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Two nodes compare their views by digests of ranges, so that what a comparison costs follows what differs and not how many
// nodes there are: the one that asks gets the digests of the other's ranges, and then the members of the ranges that differ. It
// sends none of its own: one that was cut off would bring back the dead that all others have forgotten. A member belongs to a range by the hash of its name. A range of many is the union of neighbouring ones of more.
const (
	maxRanges       = 1024 // a power of two
	membersPerRange  = 16   // some as many are wanted in each
	maxFullViewMembers = 64   // views of so few members are sent whole, which saves a round trip
)

// rangeDigests are the digests of the members that are not dead, by their range of maxRanges.
type rangeDigests [maxRanges]uint64

// nameHash is alike on all nodes.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// digestOfHash mixes a name's hash with a generation.
func digestOfHash(hash, generation uint64) uint64 {
	return (hash ^ generation*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
}

// finestRange is a member's range of maxRanges, by the hash of its name.
func finestRange(hash uint64) uint16 {
	return uint16(digestOfHash(hash, 0) >> 54) // the upper ten bits
}

// digest of a member; 0: it is dead or has left.
func digest(m *wire.Member) uint64 {
	if !reachable(m.State) {
		return 0
	}
	return digestOfHash(nameHash(m.Name), m.Generation)
}

// toggleDigest takes a member into the digests, or out of them.
func (l *Memberlist) toggleDigest(m *wire.Member) {
	if !reachable(m.State) {
		return
	}
	hash := nameHash(m.Name)
	d := digestOfHash(hash, m.Generation)
	l.digest ^= d
	l.ranges[finestRange(hash)] ^= d
}

// rangesFor returns into how many ranges a view of so many members is divided for a comparison; 0: it is sent whole.
func rangesFor(members int) uint32 {
	if members <= maxFullViewMembers {
		return 0
	}
	n := uint32(1)
	for int(n)*membersPerRange < members && n < maxRanges {
		n *= 2
	}
	return n
}

// validRanges reports whether another node may ask for so many.
func validRanges(n uint32) bool { return n > 0 && n <= maxRanges && n&(n-1) == 0 }

// digestsOf returns the digests of n ranges, this node's own entry among them.
func (l *Memberlist) digestsOf(n uint32) []uint64 {
	merged := make([]uint64, n)
	width := maxRanges / n
	for i, d := range l.ranges {
		merged[uint32(i)/width] ^= d
	}
	merged[uint32(finestRange(nameHash(l.self.Name)))/width] ^= digest(l.self)
	return merged
}

// membersOf returns what is known of the members of some of n ranges, the dead among them.
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

// HandleProbe returns what goes back to a node that has sent a probe: updates, or what it needs to compare its view with this
// one, where that is asked for and the two differ. What the probe says of others goes to Merge first.
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

// fullView is all that is known.
func (l *Memberlist) fullView() []*wire.Member {
	view := []*wire.Member{l.self}
	for _, m := range l.sorted() {
		view = append(view, m.Member)
	}
	return view
}

// handlePushPull takes the answer to a comparison: where it brings digests of ranges, the members of those that differ are
// asked for next, or the whole view, if most do.
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

// pushPullProbe is the question that begins to compare views by so many ranges; 0: it asks for the whole view.
func (l *Memberlist) pushPullProbe(address string, ranges uint32) Probe {
	return Probe{Address: address, Request: &wire.ProbeRequest{From: l.self, FullView: true, Digest: l.Digest(), Ranges: ranges}}
}

// minPushPullInterval bounds what comparisons cost while views change.
func (l *Memberlist) minPushPullInterval() time.Duration {
	const digestBytes = 8
	bytes := digestBytes * rangesFor(len(l.members))
	return max(minPushPullInterval, time.Duration(bytes)*time.Second/maxPushPullBytesPerSecond)
}

// maxPushPullInterval bounds how long a difference lasts that nobody has noticed.
func (l *Memberlist) maxPushPullInterval() time.Duration {
	inProportion := pushPullInterval * time.Duration(1+len(l.members)/pushPullScale)
	return max(min(maxPushPullInterval, inProportion), l.minPushPullInterval())
}

// schedulePushPull has this node compare its view with another before long, as the view has changed, or differs from that of a
// node that has asked. Who has missed a change that all others know of is asked soon by one of them, and then asks as well.
func (l *Memberlist) schedulePushPull() {
	shortest := l.minPushPullInterval()
	l.pushPullInterval = shortest / 2                           // which the next comparison doubles
	spread := time.Duration(l.rng.Int64N(int64(shortest))) // a change reaches many nodes at about the same time
	l.nextPushPullAt = min(l.nextPushPullAt, max(l.now+shortest/2+spread, l.lastPushPullAt+shortest))
}

// pushPullTargets returns the addresses of those with whom this node compares its view now. In a large mesh that is most
// often another node, drawn by lot: the seeds, which join what was partitioned, would have to answer all of them.
func (l *Memberlist) pushPullTargets(seeds []string) []string {
	l.pushPulls++
	if len(l.members) > pushPullScale && l.pushPulls%pushPullsPerSeedPushPull != 1 {
		if helpers := l.randomAliveMembers(""); len(helpers) > 0 {
			return []string{helpers[0].Address}
		}
	}
	return l.randomSeeds(seeds)
}

// randomSeeds returns two of the seeds, drawn by lot: one may be unreachable.
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

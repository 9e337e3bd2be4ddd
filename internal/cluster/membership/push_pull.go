package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// In a push/pull two nodes compare their views by digests of ranges of members, so that the cost depends on the difference
// and not on the number of members. The initiator requests the digests of the peer's ranges, and then the members of the
// ranges that differ. It sends no members itself: after a partition it would revive dead members that all others have
// removed. The hash of a member's name determines its range. A range of a coarser division is the union of adjacent ranges
// of a finer one.
const (
	maxRanges          = 1024 // a power of two
	membersPerRange    = 16   // target average
	maxFullViewMembers = 64   // smaller views are sent whole, which saves a round trip
)

// membersOf returns the members of the wanted ranges out of rangeCount, including dead ones. It ignores ranges out of bounds.
func (l *Memberlist) membersOf(rangeCount uint32, wanted []uint32) (list []*wire.Member) {
	width := uint16(maxRanges / rangeCount)
	var selected [maxRanges]bool
	for _, r := range wanted {
		if r < rangeCount {
			selected[r] = true
		}
	}
	for _, m := range l.sorted() {
		if selected[m.finestRange/width] {
			list = append(list, m.Member)
		}
	}
	return list
}

// HandleProbe returns the response to a probe: piggybacked updates or, for a push/pull between different views, range
// digests or members. The caller must first pass the updates in the request to Merge.
func (l *Memberlist) HandleProbe(request *wire.ProbeRequest) *wire.ProbeResponse {
	if !request.FullView || request.Digest == l.Digest() {
		return &wire.ProbeResponse{Updates: l.nextBroadcasts()}
	}
	if len(request.Differing) == 0 {
		l.schedulePushPull()
	}
	switch {
	case !validRanges(request.Ranges):
		return &wire.ProbeResponse{Updates: l.fullView()}
	case len(request.Differing) == 0:
		return &wire.ProbeResponse{Updates: l.nextBroadcasts(), RangeDigests: l.digestsOf(request.Ranges)}
	}
	return &wire.ProbeResponse{Updates: append([]*wire.Member{l.self}, l.membersOf(request.Ranges, request.Differing)...)}
}

// fullView returns the entries of this node and all others, including dead ones.
func (l *Memberlist) fullView() []*wire.Member {
	view := []*wire.Member{l.self}
	for _, m := range l.sorted() {
		view = append(view, m.Member)
	}
	return view
}

// handlePushPull processes the response to a push/pull. If it contains digests, the next probe requests the members of the
// ranges that differ, or the full view if more than half differ.
func (l *Memberlist) handlePushPull(probe Probe, response *wire.ProbeResponse) []Probe {
	rangeCount := probe.Request.Ranges
	if response == nil || !validRanges(rangeCount) || len(response.RangeDigests) != int(rangeCount) {
		return nil
	}
	var differing []uint32
	for i, d := range l.digestsOf(rangeCount) {
		if d != response.RangeDigests[i] {
			differing = append(differing, uint32(i))
		}
	}
	switch {
	case len(differing) == 0:
		return nil
	case len(differing) > int(rangeCount/2):
		return []Probe{l.pushPullProbe(probe.Address, 0)}
	}
	next := l.pushPullProbe(probe.Address, rangeCount)
	next.Request.Differing = differing
	return []Probe{next}
}

// pushPullProbe returns a push/pull request for the digests of the given number of ranges. Zero requests the full view.
func (l *Memberlist) pushPullProbe(address string, ranges uint32) Probe {
	return Probe{Address: address, Request: &wire.ProbeRequest{From: l.self, FullView: true, Digest: l.Digest(), Ranges: ranges}}
}

// shortestPushPullInterval returns the shortest interval between push/pulls, which bounds their traffic while views change.
func (l *Memberlist) shortestPushPullInterval() time.Duration {
	const digestBytes = 8
	bytes := digestBytes * rangesFor(len(l.members))
	return max(minPushPullInterval, time.Duration(bytes)*time.Second/maxPushPullBytesPerSecond)
}

// longestPushPullInterval returns the longest interval between push/pulls, which bounds how long a difference goes undetected.
func (l *Memberlist) longestPushPullInterval() time.Duration {
	scaled := pushPullBaseInterval * time.Duration(1+len(l.members)/pushPullScale)
	return max(min(maxPushPullInterval, scaled), l.shortestPushPullInterval())
}

// schedulePushPull moves the next push/pull forward, after a change of the view or a push/pull from a node with a different
// view. A node that missed a change thus soon receives a push/pull from an up-to-date node, and then starts its own.
func (l *Memberlist) schedulePushPull() {
	shortest := l.shortestPushPullInterval()
	l.pushPullInterval = shortest / 2 // doubled by the next push/pull
	// A change reaches many nodes at about the same time: jitter keeps their push/pulls apart.
	jitter := time.Duration(l.rng.Int64N(int64(shortest)))
	l.nextPushPullAt = min(l.nextPushPullAt, max(l.now+shortest/2+jitter, l.lastPushPullAt+shortest))
}

// pushPullTargets returns the addresses for the next push/pull. In a large cluster most push/pulls go to a random member, as
// the seeds could not serve all nodes. The others go to seeds, to rejoin a cluster that was partitioned.
func (l *Memberlist) pushPullTargets(seeds []string) []string {
	l.pushPulls++
	if len(l.members) > pushPullScale && l.pushPulls%pushPullsPerSeedPushPull != 1 {
		if peers := l.randomAliveMembers(""); len(peers) > 0 {
			return []string{peers[0].Address}
		}
	}
	return l.randomSeeds(seeds)
}

// randomSeeds returns up to two random seeds other than this node, in case one is unreachable.
func (l *Memberlist) randomSeeds(seeds []string) (selected []string) {
	if len(seeds) == 0 {
		return nil
	}
	start := l.rng.IntN(len(seeds))
	for i := range seeds {
		address := seeds[(start+i)%len(seeds)]
		if address != l.self.Address && len(selected) < 2 && !slices.Contains(selected, address) {
			selected = append(selected, address)
		}
	}
	return selected
}

// pushPull starts a push/pull if one is due. While the list has no other member, one is due at every tick.
func (l *Memberlist) pushPull(seeds []string) (probes []Probe) {
	alone := len(l.members) == 0
	if alone {
		l.nextTickAt = min(l.nextTickAt, l.now+joinInterval)
	} else if l.now < l.nextPushPullAt {
		return nil
	}
	l.pushPullInterval = min(max(2*l.pushPullInterval, l.shortestPushPullInterval()), l.longestPushPullInterval())
	l.lastPushPullAt, l.nextPushPullAt = l.now, l.now+l.pushPullInterval
	for _, address := range l.pushPullTargets(seeds) {
		probes = append(probes, l.pushPullProbe(address, rangesFor(len(l.members))))
	}
	return probes
}

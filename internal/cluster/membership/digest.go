package membership

import (
	"hash/fnv"

	"ivydeck/internal/transport/wire"
)

// rangeDigests holds, for each of maxRanges ranges, the XOR of the digests of its reachable members.
type rangeDigests [maxRanges]uint64

// nameHash returns the FNV-1a hash of a name. All nodes must compute the same value.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// digestOfHash combines the hash of a member's name with its generation.
func digestOfHash(hash, generation uint64) uint64 {
	return (hash ^ generation*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
}

// finestRange returns a member's range out of maxRanges, given the hash of its name.
func finestRange(hash uint64) uint16 {
	return uint16(digestOfHash(hash, 0) >> 54) // the upper log2(maxRanges) = 10 bits
}

// digest returns the digest of a member, or zero if the member is dead or has left.
func digest(m *wire.Member) uint64 {
	if !reachable(m.State) {
		return 0
	}
	return digestOfHash(nameHash(m.Name), m.Generation)
}

// toggleDigest adds a reachable member to the digests, or removes it if they include it.
func (l *Memberlist) toggleDigest(m *wire.Member) {
	if !reachable(m.State) {
		return
	}
	hash := nameHash(m.Name)
	d := digestOfHash(hash, m.Generation)
	l.digest ^= d
	l.ranges[finestRange(hash)] ^= d
}

// rangesFor returns the number of ranges for a view of the given size. It returns zero if the view is sent whole.
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

// validRanges reports whether n, the number of ranges in another node's request, is a power of two up to maxRanges.
func validRanges(n uint32) bool { return n > 0 && n <= maxRanges && n&(n-1) == 0 }

// digestsOf returns the digests of rangeCount ranges, including this node's own entry.
func (l *Memberlist) digestsOf(rangeCount uint32) []uint64 {
	merged := make([]uint64, rangeCount)
	width := maxRanges / rangeCount
	for i, d := range l.ranges {
		merged[uint32(i)/width] ^= d
	}
	merged[uint32(finestRange(nameHash(l.self.Name)))/width] ^= digest(l.self)
	return merged
}

// Digest returns the digest of the reachable members, including this node. It is equal on nodes that list the same names
// and generations.
func (l *Memberlist) Digest() uint64 { return l.digest ^ digest(l.self) }

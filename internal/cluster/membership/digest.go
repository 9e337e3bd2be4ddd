package membership

import (
	"hash/fnv"

	"ivydeck/internal/transport/wire"
)

// rangeDigests are the digests of the reachable members, by range of the finest division.
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

// digest is the digest of a member; 0: it is dead or has left.
func digest(m *wire.Member) uint64 {
	if !reachable(m.State) {
		return 0
	}
	return digestOfHash(nameHash(m.Name), m.Generation)
}

// toggleDigest adds a member to the digests, or removes it from them.
func (l *Memberlist) toggleDigest(m *wire.Member) {
	if !reachable(m.State) {
		return
	}
	hash := nameHash(m.Name)
	d := digestOfHash(hash, m.Generation)
	l.digest ^= d
	l.ranges[finestRange(hash)] ^= d
}

// rangesFor returns into how many ranges a view of so many members is divided; 0: it is sent whole.
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

// validRanges reports whether another node may request so many ranges.
func validRanges(n uint32) bool { return n > 0 && n <= maxRanges && n&(n-1) == 0 }

// digestsOf returns the digests of n ranges, with this node's own entry.
func (l *Memberlist) digestsOf(n uint32) []uint64 {
	merged := make([]uint64, n)
	width := maxRanges / n
	for i, d := range l.ranges {
		merged[uint32(i)/width] ^= d
	}
	merged[uint32(finestRange(nameHash(l.self.Name)))/width] ^= digest(l.self)
	return merged
}

// Digest is equal at two nodes with the same view, generations included.
func (l *Memberlist) Digest() uint64 { return l.digest ^ digest(l.self) }

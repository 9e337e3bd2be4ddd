package raft

import (
	"cmp"
	"slices"

	"ivydeck/internal/transport/wire"
)

// electable reports whether this member is a voter of the newest membership or of one that may yet turn out to be in
// force. A member whose removal is not committed may have entries that all others lack, and has to lead until it is
// (thesis, 4.2.2); its own vote does not count then.
func (n *Node) electable() bool {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if slices.ContainsFunc(n.memberships[i].peers, func(p *wire.Peer) bool { return p.Id == n.id && p.Voter }) {
			return true
		}
		if n.memberships[i].index <= n.committed {
			break
		}
	}
	return false
}

// quorumValue returns the largest value that a majority of the voters has reached, by their progress; own is this
// member's.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, p := range n.Peers() {
		switch {
		case !p.Voter:
		case p.Id == n.id:
			values = append(values, own)
		case n.progress[p.Id] != nil:
			values = append(values, of(n.progress[p.Id]))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

// Voters counts the voters of a membership.
func Voters(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// WantedVoters is the number of voters that elect and commit in spite of so many tolerated losses, or the number of
// seeds where there are fewer.
func WantedVoters(tolerated, seeds int) int { return min(2*tolerated+1, seeds) }

// MinAckVoters is the number of voters below which a leader must not acknowledge: a majority of them is one more than
// the tolerated losses. It is one below WantedVoters, for the moment between the two steps of a replacement.
func MinAckVoters(tolerated, seeds int) int { return min(max(1, 2*tolerated), seeds) }

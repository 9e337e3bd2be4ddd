package raft

import (
	"cmp"
	"slices"

	"ivydeck/internal/transport/wire"
)

// electable reports whether this member is a voter in the last committed membership or in a newer one. A member whose
// removal is not committed may have entries that all others lack, so it must be able to lead until the removal is
// committed (thesis, 4.2.2). Its own vote does not count then.
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

// quorumValue returns the largest value that a majority of the voters has reached. ownValue is this member's value, and
// valueOf returns the value of another member.
func (n *Node) quorumValue(ownValue uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, p := range n.Peers() {
		switch {
		case !p.Voter:
		case p.Id == n.id:
			values = append(values, ownValue)
		case n.progress[p.Id] != nil:
			values = append(values, valueOf(n.progress[p.Id]))
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

// Voters returns the number of voters in a membership.
func Voters(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// WantedVoters returns the number of voters that can elect a leader and commit entries despite the given number of lost
// voters, limited to the number of seeds.
func WantedVoters(tolerated, seeds int) int { return min(2*tolerated+1, seeds) }

// MinAckVoters returns the number of voters below which a leader must not acknowledge changes. A majority of that number
// is one more than the tolerated losses. It is at most one less than WantedVoters, since a replacement removes the old voter
// before it promotes the new one. It is limited to the number of seeds.
func MinAckVoters(tolerated, seeds int) int { return min(max(1, 2*tolerated), seeds) }

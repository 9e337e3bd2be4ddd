package raft

import (
	"cmp"
	"slices"

	"ivydeck/internal/transport/wire"
)

// electable tells whether this member votes, in the newest set of members or in one
// that may yet turn out to be in force. One that has been voted out by an entry
// which is not committed may hold what all others lack, and has to lead until it is
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

// quorumValue returns the largest value that a majority of voters has reached; own
// stands for this member.
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

// Voters counts the members that vote.
func Voters(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// WantedVoters is the number of voters that stay able to elect and commit over the loss of some, where as many seeds
// are there at least.
func WantedVoters(tolerated, seeds int) int { return min(2*tolerated+1, seeds) }

// MinAckVoters is the number of voters below which a leader must not acknowledge: a majority of as many is one more
// than the losses to be borne. It is one below WantedVoters, for the moment of a replacement.
func MinAckVoters(tolerated, seeds int) int { return min(max(1, 2*tolerated), seeds) }

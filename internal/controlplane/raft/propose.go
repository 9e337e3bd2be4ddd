package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Propose appends a command to the log. It is committed once an entry with this index and term is; another leader may
// replace it before. The error is ErrNotLeader or ErrProposalDropped.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.state != stateLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leadTransferee != noID { // the transferee has to catch up with the log
		return 0, 0, ErrProposalDropped
	}
	if n.last()-n.committed > maxUncommitted {
		return 0, 0, ErrProposalDropped
	}
	e := &wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	n.append(e)
	n.proposed = true // the next Ready sends it, with all others that are proposed until then
	return e.Index, e.Term, nil
}

// ProposeMembership proposes another membership, which may differ by one voter (thesis, 4.1). The error is ErrNotLeader
// or ErrMembershipChanging; any other means that the membership itself is invalid.
func (n *Node) ProposeMembership(now time.Duration, peers []*wire.Peer) error {
	n.now = now
	if n.state != stateLeader {
		return ErrNotLeader
	}
	if n.leadTransferee != noID {
		return ErrMembershipChanging
	}
	// Before it has committed an entry of its own term, a leader may not know of a change that its predecessor has
	// committed, and two changes of the same membership may have majorities without a common member.
	if !n.MembershipCommitted() || !n.committedInTerm() {
		return ErrMembershipChanging
	}
	if voterDistance(n.Peers(), peers) > 1 || len(peers) == 0 {
		return errMoreThanOneVoter
	}
	data, err := proto.Marshal(&wire.Peers{Peers: peers})
	if err != nil {
		return err
	}
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_MEMBERSHIP, Data: data})
	n.resetProgress()
	n.replicateAll()
	return nil
}

// voterDistance counts the voters that are in one of two memberships only.
func voterDistance(a, b []*wire.Peer) int {
	diff := map[uint64]int{}
	for _, p := range a {
		if p.Voter {
			diff[p.Id]++
		}
	}
	for _, p := range b {
		if p.Voter {
			diff[p.Id]--
		}
	}
	distance := 0
	for _, d := range diff {
		if d != 0 {
			distance++
		}
	}
	return distance
}

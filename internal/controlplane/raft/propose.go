package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Propose appends a command to the log. The command is committed once the entry with this index and term is committed.
// Until then, another leader may replace the entry. The error is ErrNotLeader or ErrProposalDropped.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.state != stateLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != noID { // appending more entries would delay the transfer
		return 0, 0, ErrProposalDropped
	}
	if n.last()-n.committed > maxUncommitted {
		return 0, 0, ErrProposalDropped
	}
	e := &wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	n.append(e)
	n.hasUnsentProposals = true // the next Ready sends all proposals since the last one
	return e.Index, e.Term, nil
}

// ProposeMembership proposes a membership that may differ from the newest one by at most one voter (thesis, 4.1). The
// error is ErrNotLeader or ErrMembershipChanging; any other error means that the membership is invalid.
func (n *Node) ProposeMembership(now time.Duration, peers []*wire.Peer) error {
	n.now = now
	if n.state != stateLeader {
		return ErrNotLeader
	}
	if n.transferee != noID {
		return ErrMembershipChanging
	}
	// Until the leader has committed an entry of its own term, a predecessor's change that is not in its log may
	// still be committed. Two changes of the same membership could then have disjoint majorities.
	if !n.MembershipCommitted() || !n.committedInTerm() {
		return ErrMembershipChanging
	}
	if voterDistance(n.Peers(), peers) > 1 || len(peers) == 0 {
		return errInvalidMembership
	}
	data, err := proto.Marshal(&wire.Peers{Peers: peers})
	if err != nil {
		return err
	}
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_MEMBERSHIP, Data: data})
	n.updateProgress()
	n.replicateAll()
	return nil
}

// voterDistance returns the number of voters that are in only one of two memberships.
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

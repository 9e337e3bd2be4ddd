package raft

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Propose adds a command to the log. It is committed once an entry with this
// index and term is; another leader may replace it before.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.state != stateLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leadTransferee != 0 { // what is taken now would keep the transfer target from having all
		return 0, 0, ErrProposalDropped
	}
	if n.last()-n.committed > 4*maxEntries {
		return 0, 0, ErrProposalDropped
	}
	e := &wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	n.append(e)
	n.proposed = true // sent with all others that are proposed before the next output
	return e.Index, e.Term, nil
}

// Propose proposes another set of members, which may differ by one voter.
func (n *Node) ProposeMembership(now time.Duration, peers []*wire.Peer) error {
	n.now = now
	if n.state != stateLeader {
		return ErrNotLeader
	}
	if n.leadTransferee != 0 {
		return ErrMembershipChanging
	}
	// Without an entry of its own term, a leader may not know of a change that
	// the one before it committed, and two changes from one set may share no
	// majority.
	if t, _ := n.term(n.committed); !n.MembershipCommitted() || t != n.hardState.Term {
		return ErrMembershipChanging
	}
	if voterDistance(n.Peers(), peers) > 1 || len(peers) == 0 {
		return errors.New("raft: more than one voter changes")
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

// voterDistance counts the voters that are in one set alone.
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
	n := 0
	for _, d := range diff {
		if d != 0 {
			n++
		}
	}
	return n
}

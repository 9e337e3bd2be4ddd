package raft

import (
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestLeaderIsForgottenWithoutContact: a learner, which never campaigns, as well as a voter.
func TestLeaderIsForgottenWithoutContact(t *testing.T) {
	peers := voters(3)
	peers.Peers = append(peers.Peers, &wire.Peer{Id: 4})
	for _, id := range []uint64{1, 4} {
		member := New(id, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, lateNow)
		member.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: id, Term: 1, Index: 1, LogTerm: 1, Commit: 1})
		if member.Leader() != 2 {
			t.Fatalf("member %d: %d leads", id, member.Leader())
		}
		member.Tick(lateNow + minElectionTimeout - 1)
		if member.Leader() != 2 {
			t.Errorf("member %d has forgotten its leader too soon", id)
		}
		member.Tick(lateNow + maxElectionTimeout)
		if member.Leader() != 0 {
			t.Errorf("member %d still names %d", id, member.Leader())
		}
	}
}

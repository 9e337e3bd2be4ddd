package raft

import (
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestLeaderContactTimeout checks that a member without contact with its leader for an election timeout reports
// no leader. This includes learners, which never campaign.
func TestLeaderContactTimeout(t *testing.T) {
	peers := newPeers(3)
	peers.Peers = append(peers.Peers, &wire.Peer{Id: 4})
	for _, id := range []uint64{1, 4} {
		member := New(id, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, afterElectionTimeout)
		member.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: id, Term: 1, Index: 1, LogTerm: 1, Commit: 1})
		if member.Leader() != 2 {
			t.Fatalf("member %d reports leader %d, want 2", id, member.Leader())
		}
		member.Tick(afterElectionTimeout + minElectionTimeout - 1)
		if member.Leader() != 2 {
			t.Errorf("member %d reports no leader before the minimum election timeout", id)
		}
		member.Tick(afterElectionTimeout + maxElectionTimeout)
		if member.Leader() != 0 {
			t.Errorf("member %d still reports leader %d after the maximum election timeout", id, member.Leader())
		}
	}
}

package raft

import (
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestReadsShareHeartbeatRound checks that reads share a heartbeat round until its messages are sent, and that a later read
// starts another round.
func TestReadsShareHeartbeatRound(t *testing.T) {
	leader := newLeader(t)
	respondToRound := func(round uint64) {
		leader.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: round})
	}
	respondToRound(leader.heartbeatRound)
	processReady(leader)
	const burst = 200
	for token := range uint64(burst) {
		leader.ReadIndex(afterElectionTimeout, token)
	}
	round := leader.heartbeatRound
	if got := processReady(leader).Messages; len(got) != 2 {
		t.Errorf("%d messages for concurrent reads, want 2", len(got))
	}
	leader.ReadIndex(afterElectionTimeout, burst)
	processReady(leader)
	respondToRound(round)
	if got := processReady(leader).ReadStates; len(got) != burst {
		t.Errorf("%d reads are confirmed by the first round, want %d", len(got), burst)
	}
	respondToRound(leader.heartbeatRound)
	if got := processReady(leader).ReadStates; len(got) != 1 || got[0].Token != burst || !got[0].OK {
		t.Errorf("read states %v after the second round, want the last read only", got)
	}
}

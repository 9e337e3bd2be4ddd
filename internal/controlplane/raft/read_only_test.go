package raft

import (
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestReadsShareHeartbeatRound: reads that come before a round's messages go out need no round of their own; one that comes
// later does.
func TestReadsShareHeartbeatRound(t *testing.T) {
	c := leading(t)
	answer := func(round uint64) {
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: round})
	}
	answer(c.heartbeatRound)
	settle(c)
	const burst = 200
	for token := range uint64(burst) {
		c.ReadIndex(lateNow, token)
	}
	round := c.heartbeatRound
	if got := settle(c).Messages; len(got) != 2 {
		t.Errorf("%d messages for reads that come together", len(got))
	}
	c.ReadIndex(lateNow, burst)
	settle(c)
	answer(round)
	if got := settle(c).ReadStates; len(got) != burst {
		t.Errorf("%d reads are confirmed by the round that began with the first, want %d", len(got), burst)
	}
	answer(c.heartbeatRound)
	if got := settle(c).ReadStates; len(got) != 1 || got[0].Token != burst || !got[0].OK {
		t.Errorf("%v is confirmed by the next round", got)
	}
}

package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// proposeInBursts proposes count entries in bursts on a leader of three voters, and returns the number of messages that it
// sends and their total size.
func proposeInBursts(t testing.TB, leader *Node, count, burst, entryBytes int) (messages, bytesSent int) {
	t.Helper()
	for done := 0; done < count; {
		for range min(burst, count-done) {
			if _, _, err := leader.Propose(leader.now, make([]byte, entryBytes)); err != nil {
				t.Fatal(err)
			}
			done++
		}
		for range 2 { // first the proposals, then the effects of the responses
			for _, m := range processReady(leader).Messages {
				messages++
				bytesSent += proto.Size(m)
			}
			for _, id := range []uint64{2, 3} {
				leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: 1, Term: 4, Index: leader.last(), HeartbeatRound: leader.heartbeatRound})
			}
		}
	}
	return messages, bytesSent
}

// TestPendingProposalsShareMessages checks that the proposals before a Ready are sent in full batches.
func TestPendingProposalsShareMessages(t *testing.T) {
	leader := newLeader(t)
	processReady(leader)
	const burst = 3 * maxMessageEntries
	entries := 0
	for range burst {
		if _, _, err := leader.Propose(leader.now, []byte("registration")); err != nil {
			t.Fatal(err)
		}
	}
	appends := messagesTo(processReady(leader), 2, wire.RaftMessage_APPEND_ENTRIES)
	for _, m := range appends {
		entries += len(m.Entries)
	}
	if len(appends) != 3 || entries != burst {
		t.Errorf("%d entries are sent in %d messages, want all of them in 3 messages", entries, len(appends))
	}
}

// BenchmarkColdStart counts the messages and bytes that a leader of three voters sends while 28,000 servers register, in
// bursts of 500.
func BenchmarkColdStart(b *testing.B) {
	for b.Loop() {
		messages, bytes := proposeInBursts(b, newLeader(b), 28000, 500, 100)
		b.ReportMetric(float64(messages), "messages")
		b.ReportMetric(float64(bytes), "bytes")
	}
}

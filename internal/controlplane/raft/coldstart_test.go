package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// registerAll has a leader of three take registrations in bursts, as they wait for its loop, and counts what goes out.
func registerAll(t testing.TB, c *Node, count, burst, bytes int) (messages, sent int) {
	t.Helper()
	for done := 0; done < count; {
		for range min(burst, count-done) {
			if _, _, err := c.Propose(c.now, make([]byte, bytes)); err != nil {
				t.Fatal(err)
			}
			done++
		}
		for range 2 { // what is proposed, and what the answers to it bring about
			for _, m := range settle(c).Messages {
				messages++
				sent += proto.Size(m)
			}
			for _, id := range []uint64{2, 3} {
				c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: 1, Term: 4, Index: c.last(), HeartbeatRound: c.heartbeatRound})
			}
		}
	}
	return messages, sent
}

// TestPendingProposalsShareMessages: those that are taken before the next output go out together.
func TestPendingProposalsShareMessages(t *testing.T) {
	c := leading(t)
	settle(c)
	const burst = 3 * maxMessageEntries
	entries := 0
	for range burst {
		if _, _, err := c.Propose(c.now, []byte("registration")); err != nil {
			t.Fatal(err)
		}
	}
	appends := sentTo(settle(c), 2, wire.RaftMessage_APPEND_ENTRIES)
	for _, m := range appends {
		entries += len(m.Entries)
	}
	if len(appends) != 3 || entries != burst {
		t.Errorf("%d entries go out in %d messages", entries, len(appends))
	}
}

// BenchmarkColdStart is what the leader of a quorum of three sends while 28,000 servers register, 500 at a time.
func BenchmarkColdStart(b *testing.B) {
	for b.Loop() {
		messages, bytes := registerAll(b, leading(b), 28000, 500, 100)
		b.ReportMetric(float64(messages), "messages")
		b.ReportMetric(float64(bytes), "bytes")
	}
}

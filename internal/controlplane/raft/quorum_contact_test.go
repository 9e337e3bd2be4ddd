package raft

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestContactUsesReceiverClock checks the quorum contact age that a follower computes from its own stamp and the contact age
// in a leader's message.
func TestContactUsesReceiverClock(t *testing.T) {
	const ownProcess, earlierProcess = 7, 8
	now := 10 * time.Second
	for _, test := range []struct {
		name   string
		stamp  *wire.Stamp
		age    time.Duration // age of the leader's quorum contact when it received the stamp
		commit uint64        // the leader's commit index
		want   time.Duration // contact age at the follower; MaxContactAge if there was no contact
	}{
		{"stamp of three seconds ago", &wire.Stamp{Process: ownProcess, AtNs: uint64(7 * time.Second)}, 500 * time.Millisecond, 1, 3500 * time.Millisecond},
		{"no stamp", nil, 0, 1, MaxContactAge},
		{"stamp of an earlier process", &wire.Stamp{Process: earlierProcess, AtNs: uint64(7 * time.Second)}, 0, 1, MaxContactAge},
		{"stamp in the future", &wire.Stamp{Process: ownProcess, AtNs: uint64(11 * time.Second)}, 0, 1, MaxContactAge},
		{"commit index behind the leader's", &wire.Stamp{Process: ownProcess, AtNs: uint64(7 * time.Second)}, 0, 2, MaxContactAge},
	} {
		follower := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, nil, ownProcess, now)
		follower.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1, Commit: test.commit,
			Stamp: test.stamp, ContactAgeNs: uint64(test.age)})
		if got := follower.QuorumContactAge(now); got != test.want {
			t.Errorf("%s: quorum contact age is %v, want %v", test.name, got, test.want)
		}
	}
}

// TestLeaderReturnsNewestStamp checks that a leader returns a member's newest stamp, with the quorum contact age at its
// receipt. It returns none before an entry of its own term is committed.
func TestLeaderReturnsNewestStamp(t *testing.T) {
	leader := newLeader(t)
	now := afterElectionTimeout
	nextHeartbeat := func() *wire.RaftMessage {
		leader.Tick(now)
		var newest *wire.RaftMessage
		for _, m := range processReady(leader).Messages {
			if m.Kind == wire.RaftMessage_APPEND_ENTRIES && m.To == 2 {
				newest = m
			}
		}
		return newest
	}
	now += Heartbeat
	if m := nextHeartbeat(); m == nil || m.Stamp != nil {
		t.Fatalf("message %v before an entry of the term is committed, want one without a stamp", m)
	}
	respondWithStamp := func(at uint64) {
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: leader.heartbeatRound, Stamp: &wire.Stamp{Process: 9, AtNs: at}})
		processReady(leader)
	}
	now += 30 * time.Millisecond
	respondWithStamp(500)
	respondWithStamp(400) // delayed, and older than the last one
	now += Heartbeat
	if m := nextHeartbeat(); m.GetStamp().GetAtNs() != 500 || time.Duration(m.ContactAgeNs) != 30*time.Millisecond {
		t.Errorf("stamp %v with contact age %v, want time 500 and 30ms", m.GetStamp(), time.Duration(m.GetContactAgeNs()))
	}
	if got := leader.QuorumContactAge(now); got != 30*time.Millisecond+Heartbeat {
		t.Errorf("the leader's own quorum contact age is %v, want 30ms and a heartbeat interval", got)
	}
}

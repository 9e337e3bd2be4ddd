package raft

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestContactUsesReceiverClock: what a follower makes of its leader's word on the quorum.
func TestContactUsesReceiverClock(t *testing.T) {
	const process, other = 7, 8
	now := 10 * time.Second
	for _, c := range []struct {
		name   string
		stamp  *wire.Stamp
		age    time.Duration // of the quorum's contact at the leader when it received the stamp
		commit uint64        // of the leader
		want   time.Duration // age at the follower; MaxContactAge: not known
	}{
		{"a stamp of three seconds ago", &wire.Stamp{Process: process, AtNs: uint64(7 * time.Second)}, 500 * time.Millisecond, 1, 3500 * time.Millisecond},
		{"no stamp", nil, 0, 1, MaxContactAge},
		{"a stamp of the process before this", &wire.Stamp{Process: other, AtNs: uint64(7 * time.Second)}, 0, 1, MaxContactAge},
		{"a stamp from the future", &wire.Stamp{Process: process, AtNs: uint64(11 * time.Second)}, 0, 1, MaxContactAge},
		{"a state that is behind the leader's", &wire.Stamp{Process: process, AtNs: uint64(7 * time.Second)}, 0, 2, MaxContactAge},
	} {
		follower := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, nil, process, now)
		follower.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1, Commit: c.commit,
			Stamp: c.stamp, ContactAgeNs: uint64(c.age)})
		if got := follower.QuorumContactAge(now); got != c.want {
			t.Errorf("%s: the state is %v old, want %v", c.name, got, c.want)
		}
	}
}

// TestLeaderReturnsNewestStamp: with the age of the quorum's contact at its receipt, and not before an entry of the
// leader's own term is committed.
func TestLeaderReturnsNewestStamp(t *testing.T) {
	leader := leading(t)
	now := lateNow
	last := func() *wire.RaftMessage {
		leader.Tick(now)
		var found *wire.RaftMessage
		for _, m := range settle(leader).Messages {
			if m.Kind == wire.RaftMessage_APPEND_ENTRIES && m.To == 2 {
				found = m
			}
		}
		return found
	}
	now += Heartbeat
	if m := last(); m == nil || m.Stamp != nil {
		t.Fatalf("%v before anything is committed", m)
	}
	answer := func(at uint64) {
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: leader.heartbeatRound, Stamp: &wire.Stamp{Process: 9, AtNs: at}})
		settle(leader)
	}
	now += 30 * time.Millisecond
	answer(500)
	answer(400) // overtaken on its way
	now += Heartbeat
	if m := last(); m.GetStamp().GetAtNs() != 500 || time.Duration(m.ContactAgeNs) != 30*time.Millisecond {
		t.Errorf("stamp %v with an age of %v", m.GetStamp(), time.Duration(m.GetContactAgeNs()))
	}
	if got := leader.QuorumContactAge(now); got != 30*time.Millisecond+Heartbeat {
		t.Errorf("the leader's own state is %v old", got)
	}
}

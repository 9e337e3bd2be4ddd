package raft

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// answering brings the answers of members of a leader of term 4 up to its last entry, at a time.
func respondAll(leader *Node, now time.Duration, ids ...uint64) {
	for _, id := range ids {
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: leader.ID(), Term: leader.Term(), Index: leader.last(), HeartbeatRound: leader.heartbeatRound})
		processReady(leader)
	}
}

// leadingOf returns a leader of n voters, of whom those named are in contact at its time.
func newLeaderWithContacts(t *testing.T, voterCount int, inContact ...uint64) *Node {
	t.Helper()
	leader := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(voterCount)}, nil, 1, 0)
	leader.Tick(afterElectionTimeout)
	processReady(leader)
	for _, preVote := range []bool{true, false} {
		for id := 2; id <= voterCount; id++ {
			leader.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: uint64(id), To: 1, Term: 4, PreVote: preVote})
			processReady(leader)
		}
	}
	for now := afterElectionTimeout; now < afterElectionTimeout+3*unresponsiveAfter; now += Heartbeat {
		leader.Tick(now)
		processReady(leader)
		respondAll(leader, now, inContact...)
	}
	if !leader.IsLeader() {
		t.Fatal("it does not lead")
	}
	return leader
}

// TestRemovalIsRefused: nobody can take out a member that runs, or one without which fewer voters than wanted are
// left or the rest bears less.
func TestRemovalIsRefused(t *testing.T) {
	for _, test := range []struct {
		name      string
		voters    int
		inContact []uint64
		wanted    int
		id        uint64
		want      error
	}{
		{"the one that is too many", 4, []uint64{2, 3}, 3, 4, nil},
		{"one of the wanted", 3, []uint64{2}, 3, 3, ErrTooFewVoters},
		{"one that runs", 4, []uint64{2, 3, 4}, 3, 4, ErrMemberAlive},
		{"the leader", 4, []uint64{2, 3, 4}, 3, 1, ErrMemberAlive},
		{"nobody", 4, []uint64{2, 3}, 3, 9, ErrNotMember},
		{"one of two that are silent", 5, []uint64{2, 3}, 3, 5, nil},
		{"one that more than half do without", 5, []uint64{2, 3}, 5, 5, ErrTooFewVoters},
	} {
		leader := newLeaderWithContacts(t, test.voters, test.inContact...)
		change, err := leader.RemovalChange(leader.now, test.id, test.wanted)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
		if err == nil && Voters(change.Next) != test.voters-1 {
			t.Errorf("%s: %d voters are left", test.name, Voters(change.Next))
		}
	}
}

// TestRemovalKeepsSpareVoters: a voter that does its part goes only where the rest has as much to spare.
func TestRemovalKeepsSpareVoters(t *testing.T) {
	for _, test := range []struct {
		voters         int
		inContact      []uint64
		removed        uint64
		hasReplacement bool
		want           bool
	}{
		{4, []uint64{2, 3, 4}, 4, false, true}, // three bear one loss as four do
		{5, []uint64{2, 3, 4, 5}, 5, false, false},
		{5, []uint64{2, 3, 4}, 5, false, true},
		{3, []uint64{2}, 3, true, true},
		{3, []uint64{2}, 3, false, false},
		{3, []uint64{2, 3}, 3, true, false},
		{5, []uint64{2, 3}, 3, false, false},
	} {
		leader := newLeaderWithContacts(t, test.voters, test.inContact...)
		next := removePeerAt(leader.Peers(), peerIndex(leader.Peers(), test.removed))
		if got := leader.mayRemove(next, 3, test.hasReplacement); got != test.want {
			t.Errorf("%+v: permitted: %v", test, got)
		}
	}
	// One that is about to end has no less to spare without it, but is needed until another is back.
	leader := newLeaderWithContacts(t, 5, 2, 3)
	leader.leaving[3] = leader.now
	if leader.mayRemove(removePeerAt(leader.Peers(), peerIndex(leader.Peers(), 3)), 3, false) {
		t.Error("a departing voter goes without whom the rest is no majority")
	}
}

// TestLostDiskIsRemovedAtOnce: a voter whose address came back with another identity goes without any silence, where
// more voters than wanted are left; else once the newcomer has caught up.
func TestLostDiskIsRemovedAtOnce(t *testing.T) {
	for _, voterCount := range []int{3, 4} {
		leader := newLeaderWithContacts(t, voterCount, otherIDs(voterCount)...)
		for i, p := range leader.Peers() {
			p.Address = fmt.Sprint("m", i+1)
		}
		change, _ := leader.JoinChange(&wire.Peer{Id: 9, Address: fmt.Sprint("m", voterCount)})
		if change.Event != MemberAdded {
			t.Fatalf("it joins by %v", change)
		}
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, otherIDs(voterCount-1)...)
		if change := leader.Reconcile(3); (change.Reason == ReasonSuperseded) != (voterCount > 3) || change.Peer.GetId() == 9 {
			t.Errorf("of %d voters, before the newcomer has caught up: %v", voterCount, change)
		}
		respondAll(leader, leader.now, 9)
		if change := leader.Reconcile(3); change.Reason != ReasonSuperseded || change.Peer.GetId() != uint64(voterCount) {
			t.Errorf("of %d voters, afterwards: %v", voterCount, change)
		}
	}
}

// others are the identities of so many members but the first.
func otherIDs(count int) (ids []uint64) {
	for id := 2; id <= count; id++ {
		ids = append(ids, uint64(id))
	}
	return ids
}

// TestLearnerIsPromotedWithLog: neither before, nor only when nothing new comes any more.
func TestLearnerIsPromotedWithLog(t *testing.T) {
	leader := newLeaderWithContacts(t, 3, 2, 3)
	change, _ := leader.JoinChange(&wire.Peer{Id: 9, Address: "new"})
	if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
		t.Fatal(err)
	}
	processReady(leader)
	respondAll(leader, leader.now, 2, 3, 9)
	now := leader.now
	propose := func() (previousLast uint64) { // and a heartbeat later the two others have it
		previousLast = leader.last()
		now += Heartbeat + time.Millisecond
		leader.Tick(now)
		if _, _, err := leader.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, now, 2, 3)
		return previousLast
	}
	for range 5 {
		propose()
		leader.progress[9].lastContact = now // it answers, and has nothing new
		if change := leader.Reconcile(3); change.Next != nil {
			t.Fatalf("%v, with %d of %d entries", change.Event, leader.progress[9].match, leader.last())
		}
	}
	for range 3 { // it is one entry behind at each moment
		previousLast := propose()
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 9, To: 1, Term: 4, Index: previousLast, HeartbeatRound: leader.heartbeatRound})
		processReady(leader)
		change = leader.Reconcile(3)
	}
	if change.Event != MemberPromoted || change.Peer.GetId() != 9 {
		t.Errorf("with all but the newest entry: %v", change)
	}
}

// TestLeave: a member may end once the others hold its last entry, and is out first where more voters than wanted
// are there.
func TestLeave(t *testing.T) {
	requestLeave := func(leader *Node, index, term uint64, wanted int) LeaveStatus {
		status, ok := leader.Leave(leader.now, 3, index, term, wanted)
		if !ok {
			t.Fatal("no answer")
		}
		return status
	}
	t.Run("its entry is on itself and the leader alone", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if _, _, err := leader.Propose(leader.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, 3)
		if leader.Committed() != leader.last() || requestLeave(leader, leader.last(), 4, 3).Replicated {
			t.Error("the majority that commits is taken for one of those that stay")
		}
		respondAll(leader, leader.now, 2)
		if status := requestLeave(leader, leader.last(), 4, 3); !status.Done() || !status.KeepsVote {
			t.Errorf("with all of them: %+v", status)
		}
	})
	t.Run("an entry in the snapshot that another voter lacks", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if _, _, err := leader.Propose(leader.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, 3)
		processReady(leader)
		if snapshot := leader.Compact(leader.Committed(), nil); snapshot == nil || requestLeave(leader, leader.last(), 4, 3).Replicated {
			t.Errorf("snapshot %v: what is committed is taken for held by the others", snapshot)
		}
	})
	t.Run("an entry of another term", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if requestLeave(leader, leader.last(), 3, 3).Replicated || requestLeave(leader, leader.last()+1, 4, 3).Replicated {
			t.Error("an entry that the leader lacks is held")
		}
	})
	t.Run("more voters than wanted", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 4, 2, 3, 4)
		lastIndex := leader.last()
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Replicated || status.Done() {
			t.Errorf("before it is out: %+v", status)
		}
		change := leader.Reconcile(3)
		if change.Reason != ReasonLeft || change.Peer.GetId() != 3 {
			t.Fatalf("next is %v", change)
		}
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Replicated || status.Done() {
			t.Errorf("before the change is committed: %+v", status)
		}
		respondAll(leader, leader.now, 2, 4)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Done() {
			t.Errorf("afterwards: %+v", status)
		}
	})
	t.Run("while the removal of another is under way", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 4, 2, 3)
		lastIndex := leader.last()
		change, err := leader.RemovalChange(leader.now, 4, 3)
		if err != nil {
			t.Fatal(err)
		}
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Replicated || status.Done() {
			t.Errorf("before it is committed: %+v", status)
		}
		respondAll(leader, leader.now, 2, 3)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.KeepsVote || !status.Done() {
			t.Errorf("afterwards: %+v", status)
		}
	})
}

// TestRefusalReasons: who is refused a vote is told why, so that one that was taken out can join again.
func TestRefusalReasons(t *testing.T) {
	leader := newLeaderWithContacts(t, 3, 2, 3)
	for _, test := range []struct {
		from, term uint64
		want       wire.RaftMessage_Refusal
	}{{9, 9, wire.RaftMessage_NOT_MEMBER}, {2, 3, wire.RaftMessage_STALE_TERM}, {2, 9, wire.RaftMessage_LEADER_ALIVE}} {
		leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, From: test.from, To: 1, Term: test.term, PreVote: true})
		for _, m := range processReady(leader).Messages {
			if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && (m.Refusal != test.want || !m.Reject) {
				t.Errorf("%d in term %d: %v, want %v", test.from, test.term, m.Refusal, test.want)
			}
		}
	}
	joiner := New(9, nil, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 9, Address: "nine", Voter: true}, {Id: 2, Address: "two", Voter: true}}}}, nil, 1, 0)
	manager := NewMembershipManager(joiner)
	self := &wire.Peer{Id: 9, Address: "nine"}
	noAddresses := func() []string { return nil }
	if actions := manager.Tick(0, self, 3, noAddresses); len(actions.JoinAt) != 0 {
		t.Errorf("it asks %v before it knows of anything", actions.JoinAt)
	}
	joiner.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 9, Term: 4, PreVote: true, Reject: true, Refusal: wire.RaftMessage_NOT_MEMBER})
	if actions := manager.Tick(0, self, 3, noAddresses); fmt.Sprint(actions.JoinAt) != "[two]" {
		t.Errorf("once it has been told, it asks %v", actions.JoinAt)
	}
}

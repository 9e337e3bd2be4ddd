package raft

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// respondAll delivers acknowledgements of the leader's whole log and newest heartbeat round from the given members.
func respondAll(leader *Node, now time.Duration, ids ...uint64) {
	for _, id := range ids {
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: leader.ID(), Term: leader.Term(), Index: leader.last(), HeartbeatRound: leader.heartbeatRound})
		processReady(leader)
	}
}

// newLeaderWithContacts returns node 1 of voterCount voters as the leader of term 4. The members inContact respond to it,
// and the others have been unresponsive for three times unresponsiveAfter.
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
		t.Fatal("the node is not the leader")
	}
	return leader
}

// TestRemovalIsRefused checks that an operator cannot remove a responsive member, or a voter whose removal would leave fewer
// voters than wanted or reduce the tolerated failures.
func TestRemovalIsRefused(t *testing.T) {
	for _, test := range []struct {
		name      string
		voters    int
		inContact []uint64
		wanted    int
		id        uint64
		want      error
	}{
		{"unresponsive voter beyond the wanted number", 4, []uint64{2, 3}, 3, 4, nil},
		{"unresponsive voter within the wanted number", 3, []uint64{2}, 3, 3, ErrTooFewVoters},
		{"responsive voter", 4, []uint64{2, 3, 4}, 3, 4, ErrMemberAlive},
		{"leader", 4, []uint64{2, 3, 4}, 3, 1, ErrMemberAlive},
		{"unknown identity", 4, []uint64{2, 3}, 3, 9, ErrNotMember},
		{"one of two unresponsive voters", 5, []uint64{2, 3}, 3, 5, nil},
		{"one of two unresponsive voters, both wanted", 5, []uint64{2, 3}, 5, 5, ErrTooFewVoters},
	} {
		leader := newLeaderWithContacts(t, test.voters, test.inContact...)
		change, err := leader.RemovalChange(leader.now, test.id, test.wanted)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error is %v, want %v", test.name, err, test.want)
		}
		if err == nil && Voters(change.Next) != test.voters-1 {
			t.Errorf("%s: %d voters remain", test.name, Voters(change.Next))
		}
	}
}

// TestToleratedFailuresAfterRemoval checks that mayRemove does not reduce the number of tolerated failures.
func TestToleratedFailuresAfterRemoval(t *testing.T) {
	for _, test := range []struct {
		voters         int
		inContact      []uint64
		removed        uint64
		hasReplacement bool
		want           bool
	}{
		{4, []uint64{2, 3, 4}, 4, false, true}, // three voters tolerate one failure, as four do
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
			t.Errorf("%+v: mayRemove returned %v", test, got)
		}
	}
	// The removal of a leaving voter does not reduce the tolerated failures, but the rest has no majority in contact.
	leader := newLeaderWithContacts(t, 5, 2, 3)
	leader.leaving[3] = leader.now
	if leader.mayRemove(removePeerAt(leader.Peers(), peerIndex(leader.Peers(), 3)), 3, false) {
		t.Error("mayRemove allows the removal of a leaving voter that is needed for a majority")
	}
}

// TestRemovalAfterDiskLoss checks the removal of a voter after another identity has joined from its address. It is
// removed without a timeout if there are more voters than wanted, and otherwise once the new member has caught up.
func TestRemovalAfterDiskLoss(t *testing.T) {
	for _, voterCount := range []int{3, 4} {
		leader := newLeaderWithContacts(t, voterCount, otherIDs(voterCount)...)
		for i, p := range leader.Peers() {
			p.Address = fmt.Sprint("m", i+1)
		}
		change, _ := leader.JoinChange(&wire.Peer{Id: 9, Address: fmt.Sprint("m", voterCount)})
		if change.Event != MemberAdded {
			t.Fatalf("JoinChange returned %v, want MemberAdded", change)
		}
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, otherIDs(voterCount-1)...)
		if change := leader.Reconcile(3); (change.Reason == ReasonSuperseded) != (voterCount > 3) || change.Peer.GetId() == 9 {
			t.Errorf("%d voters, before the new member has caught up: change %v", voterCount, change)
		}
		respondAll(leader, leader.now, 9)
		if change := leader.Reconcile(3); change.Reason != ReasonSuperseded || change.Peer.GetId() != uint64(voterCount) {
			t.Errorf("%d voters, after the new member has caught up: change %v", voterCount, change)
		}
	}
}

// otherIDs returns the identities 2 to count.
func otherIDs(count int) (ids []uint64) {
	for id := 2; id <= count; id++ {
		ids = append(ids, uint64(id))
	}
	return ids
}

// TestLearnerIsPromotedWithLog checks that a learner is not promoted before it has caught up, and that it is promoted while
// new entries are proposed.
func TestLearnerIsPromotedWithLog(t *testing.T) {
	leader := newLeaderWithContacts(t, 3, 2, 3)
	change, _ := leader.JoinChange(&wire.Peer{Id: 9, Address: "new"})
	if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
		t.Fatal(err)
	}
	processReady(leader)
	respondAll(leader, leader.now, 2, 3, 9)
	now := leader.now
	propose := func() (previousLast uint64) { // the two other voters acknowledge the entry
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
		leader.progress[9].lastContact = now // it responds, but acknowledges no new entry
		if change := leader.Reconcile(3); change.Next != nil {
			t.Fatalf("change %v for a learner with %d of %d entries, want none", change.Event, leader.progress[9].match, leader.last())
		}
	}
	for range 3 { // the learner stays one entry behind
		previousLast := propose()
		leader.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 9, To: 1, Term: 4, Index: previousLast, HeartbeatRound: leader.heartbeatRound})
		processReady(leader)
		change = leader.Reconcile(3)
	}
	if change.Event != MemberPromoted || change.Peer.GetId() != 9 {
		t.Errorf("change %v for a learner that lacks the newest entry only, want its promotion", change)
	}
}

// TestLeave checks that a member may exit once a majority of the other voters has its last entry. If there are more voters
// than wanted, it is removed first.
func TestLeave(t *testing.T) {
	requestLeave := func(leader *Node, index, term uint64, wanted int) LeaveStatus {
		status, ok := leader.Leave(leader.now, 3, index, term, wanted)
		if !ok {
			t.Fatal("the leader did not handle the leave request")
		}
		return status
	}
	t.Run("last entry only on the member and the leader", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if _, _, err := leader.Propose(leader.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, 3)
		if leader.Committed() != leader.last() || requestLeave(leader, leader.last(), 4, 3).Replicated {
			t.Error("the entry is not committed, or is reported as replicated without a majority of the other voters")
		}
		respondAll(leader, leader.now, 2)
		if status := requestLeave(leader, leader.last(), 4, 3); !status.Done() || !status.KeepsVote {
			t.Errorf("status with the entry on all voters: %+v, want done with the vote kept", status)
		}
	})
	t.Run("last entry in the snapshot", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if _, _, err := leader.Propose(leader.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		respondAll(leader, leader.now, 3)
		processReady(leader)
		if snapshot := leader.Compact(leader.Committed(), nil); snapshot == nil || requestLeave(leader, leader.last(), 4, 3).Replicated {
			t.Errorf("snapshot %v; the entry is reported as replicated without a majority of the other voters", snapshot)
		}
	})
	t.Run("last entry of another term", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 3, 2, 3)
		if requestLeave(leader, leader.last(), 3, 3).Replicated || requestLeave(leader, leader.last()+1, 4, 3).Replicated {
			t.Error("an entry that is not in the leader's log is reported as replicated")
		}
	})
	t.Run("more voters than wanted", func(t *testing.T) {
		leader := newLeaderWithContacts(t, 4, 2, 3, 4)
		lastIndex := leader.last()
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Replicated || status.Done() {
			t.Errorf("status before the removal: %+v, want replicated and not done", status)
		}
		change := leader.Reconcile(3)
		if change.Reason != ReasonLeft || change.Peer.GetId() != 3 {
			t.Fatalf("Reconcile returned %v, want the removal of member 3 with ReasonLeft", change)
		}
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Replicated || status.Done() {
			t.Errorf("status before the removal is committed: %+v, want replicated and not done", status)
		}
		respondAll(leader, leader.now, 2, 4)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.Done() {
			t.Errorf("status after the removal is committed: %+v, want done", status)
		}
	})
	t.Run("while the removal of another voter is in progress", func(t *testing.T) {
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
			t.Errorf("status before the other removal is committed: %+v, want replicated and not done", status)
		}
		respondAll(leader, leader.now, 2, 3)
		if status := requestLeave(leader, lastIndex, 4, 3); !status.KeepsVote || !status.Done() {
			t.Errorf("status after the other removal is committed: %+v, want done with the vote kept", status)
		}
	})
}

// TestRefusalReasons checks the reason in a rejected vote, and that NOT_MEMBER makes a removed member send join requests.
func TestRefusalReasons(t *testing.T) {
	leader := newLeaderWithContacts(t, 3, 2, 3)
	for _, test := range []struct {
		from, term uint64
		want       wire.RaftMessage_Refusal
	}{{9, 9, wire.RaftMessage_NOT_MEMBER}, {2, 3, wire.RaftMessage_STALE_TERM}, {2, 9, wire.RaftMessage_LEADER_ALIVE}} {
		leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, From: test.from, To: 1, Term: test.term, PreVote: true})
		for _, m := range processReady(leader).Messages {
			if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && (m.Refusal != test.want || !m.Reject) {
				t.Errorf("vote request of member %d in term %d: reason %v, want %v", test.from, test.term, m.Refusal, test.want)
			}
		}
	}
	joiner := New(9, nil, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 9, Address: "nine", Voter: true}, {Id: 2, Address: "two", Voter: true}}}}, nil, 1, 0)
	manager := NewMembershipManager(joiner)
	self := &wire.Peer{Id: 9, Address: "nine"}
	noAddresses := func() []string { return nil }
	if actions := manager.Tick(0, self, 3, noAddresses); len(actions.JoinAt) != 0 {
		t.Errorf("join requests to %v before a rejection, want none", actions.JoinAt)
	}
	joiner.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 9, Term: 4, PreVote: true, Reject: true, Refusal: wire.RaftMessage_NOT_MEMBER})
	if actions := manager.Tick(0, self, 3, noAddresses); fmt.Sprint(actions.JoinAt) != "[two]" {
		t.Errorf("join requests to %v after a rejection, want [two]", actions.JoinAt)
	}
}

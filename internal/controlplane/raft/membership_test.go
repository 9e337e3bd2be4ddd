package raft

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// answering brings the answers of members of a leader of term 4 up to its last entry, at a time.
func answering(c *Node, now time.Duration, ids ...uint64) {
	for _, id := range ids {
		c.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: c.ID(), Term: c.Term(), Index: c.last(), HeartbeatRound: c.heartbeatRound})
		settle(c)
	}
}

// leadingOf returns a leader of n voters, of whom those named are in contact at its time.
func leadingOf(t *testing.T, n int, inContact ...uint64) *Node {
	t.Helper()
	c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(n)}, nil, 1, 0)
	c.Tick(lateNow)
	settle(c)
	for _, pre := range []bool{true, false} {
		for id := 2; id <= n; id++ {
			c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: uint64(id), To: 1, Term: 4, PreVote: pre})
			settle(c)
		}
	}
	for now := lateNow; now < lateNow+3*unresponsiveAfter; now += Heartbeat {
		c.Tick(now)
		settle(c)
		answering(c, now, inContact...)
	}
	if !c.IsLeader() {
		t.Fatal("it does not lead")
	}
	return c
}

// TestRemovalIsRefused: nobody can take out a member that runs, or one without which fewer voters than wanted are
// left or the rest bears less.
func TestRemovalIsRefused(t *testing.T) {
	for _, c := range []struct {
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
		node := leadingOf(t, c.voters, c.inContact...)
		change, err := node.RemovalChange(node.now, c.id, c.wanted)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if err == nil && Voters(change.Next) != c.voters-1 {
			t.Errorf("%s: %d voters are left", c.name, Voters(change.Next))
		}
	}
}

// TestRemovalKeepsSpareVoters: a voter that does its part goes only where the rest has as much to spare.
func TestRemovalKeepsSpareVoters(t *testing.T) {
	for _, c := range []struct {
		voters    int
		inContact []uint64
		removed   uint64
		successor bool
		want      bool
	}{
		{4, []uint64{2, 3, 4}, 4, false, true}, // three bear one loss as four do
		{5, []uint64{2, 3, 4, 5}, 5, false, false},
		{5, []uint64{2, 3, 4}, 5, false, true},
		{3, []uint64{2}, 3, true, true},
		{3, []uint64{2}, 3, false, false},
		{3, []uint64{2, 3}, 3, true, false},
		{5, []uint64{2, 3}, 3, false, false},
	} {
		node := leadingOf(t, c.voters, c.inContact...)
		next := removePeerAt(node.Peers(), peerIndex(node.Peers(), c.removed))
		if got := node.mayRemove(next, 3, c.successor); got != c.want {
			t.Errorf("%+v: permitted: %v", c, got)
		}
	}
	// One that is about to end has no less to spare without it, but is needed until another is back.
	node := leadingOf(t, 5, 2, 3)
	node.leaving[3] = node.now
	if node.mayRemove(removePeerAt(node.Peers(), peerIndex(node.Peers(), 3)), 3, false) {
		t.Error("a departing voter goes without whom the rest is no majority")
	}
}

// TestLostDiskIsRemovedAtOnce: a voter whose address came back with another identity goes without any silence, where
// more voters than wanted are left; else once the newcomer has caught up.
func TestLostDiskIsRemovedAtOnce(t *testing.T) {
	for _, n := range []int{3, 4} {
		c := leadingOf(t, n, others(n)...)
		for i, p := range c.Peers() {
			p.Address = fmt.Sprint("m", i+1)
		}
		change, _ := c.JoinChange(&wire.Peer{Id: 9, Address: fmt.Sprint("m", n)})
		if change.Event != MemberAdded {
			t.Fatalf("it joins by %v", change)
		}
		if err := c.ProposeMembership(c.now, change.Next); err != nil {
			t.Fatal(err)
		}
		settle(c)
		answering(c, c.now, others(n-1)...)
		if change := c.Reconcile(3); (change.Reason == ReasonSuperseded) != (n > 3) || change.Peer.GetId() == 9 {
			t.Errorf("of %d voters, before the newcomer has caught up: %v", n, change)
		}
		answering(c, c.now, 9)
		if change := c.Reconcile(3); change.Reason != ReasonSuperseded || change.Peer.GetId() != uint64(n) {
			t.Errorf("of %d voters, afterwards: %v", n, change)
		}
	}
}

// others are the identities of so many members but the first.
func others(n int) (ids []uint64) {
	for id := 2; id <= n; id++ {
		ids = append(ids, uint64(id))
	}
	return ids
}

// TestLearnerIsPromotedWithLog: neither before, nor only when nothing new comes any more.
func TestLearnerIsPromotedWithLog(t *testing.T) {
	c := leadingOf(t, 3, 2, 3)
	change, _ := c.JoinChange(&wire.Peer{Id: 9, Address: "new"})
	if err := c.ProposeMembership(c.now, change.Next); err != nil {
		t.Fatal(err)
	}
	settle(c)
	answering(c, c.now, 2, 3, 9)
	now := c.now
	propose := func() (before uint64) { // and a heartbeat later the two others have it
		before = c.last()
		now += Heartbeat + time.Millisecond
		c.Tick(now)
		if _, _, err := c.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		settle(c)
		answering(c, now, 2, 3)
		return before
	}
	for range 5 {
		propose()
		c.progress[9].lastContact = now // it answers, and has nothing new
		if change := c.Reconcile(3); change.Next != nil {
			t.Fatalf("%v, with %d of %d entries", change.Event, c.progress[9].match, c.last())
		}
	}
	for range 3 { // it is one entry behind at each moment
		before := propose()
		c.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 9, To: 1, Term: 4, Index: before, HeartbeatRound: c.heartbeatRound})
		settle(c)
		change = c.Reconcile(3)
	}
	if change.Event != MemberPromoted || change.Peer.GetId() != 9 {
		t.Errorf("with all but the newest entry: %v", change)
	}
}

// TestLeave: a member may end once the others hold its last entry, and is out first where more voters than wanted
// are there.
func TestLeave(t *testing.T) {
	ask := func(c *Node, index, term uint64, wanted int) LeaveStatus {
		d, ok := c.Leave(c.now, 3, index, term, wanted)
		if !ok {
			t.Fatal("no answer")
		}
		return d
	}
	t.Run("its entry is on itself and the leader alone", func(t *testing.T) {
		c := leadingOf(t, 3, 2, 3)
		if _, _, err := c.Propose(c.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		settle(c)
		answering(c, c.now, 3)
		if c.Committed() != c.last() || ask(c, c.last(), 4, 3).Replicated {
			t.Error("the majority that commits is taken for one of those that stay")
		}
		answering(c, c.now, 2)
		if d := ask(c, c.last(), 4, 3); !d.Done() || !d.KeepsVote {
			t.Errorf("with all of them: %+v", d)
		}
	})
	t.Run("an entry in the snapshot that another voter lacks", func(t *testing.T) {
		c := leadingOf(t, 3, 2, 3)
		if _, _, err := c.Propose(c.now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		settle(c)
		answering(c, c.now, 3)
		settle(c)
		if s := c.Compact(c.Committed(), nil); s == nil || ask(c, c.last(), 4, 3).Replicated {
			t.Errorf("snapshot %v: what is committed is taken for held by the others", s)
		}
	})
	t.Run("an entry of another term", func(t *testing.T) {
		c := leadingOf(t, 3, 2, 3)
		if ask(c, c.last(), 3, 3).Replicated || ask(c, c.last()+1, 4, 3).Replicated {
			t.Error("an entry that the leader lacks is held")
		}
	})
	t.Run("more voters than wanted", func(t *testing.T) {
		c := leadingOf(t, 4, 2, 3, 4)
		own := c.last()
		if d := ask(c, own, 4, 3); !d.Replicated || d.Done() {
			t.Errorf("before it is out: %+v", d)
		}
		change := c.Reconcile(3)
		if change.Reason != ReasonLeft || change.Peer.GetId() != 3 {
			t.Fatalf("next is %v", change)
		}
		if err := c.ProposeMembership(c.now, change.Next); err != nil {
			t.Fatal(err)
		}
		settle(c)
		if d := ask(c, own, 4, 3); !d.Replicated || d.Done() {
			t.Errorf("before the change is committed: %+v", d)
		}
		answering(c, c.now, 2, 4)
		if d := ask(c, own, 4, 3); !d.Done() {
			t.Errorf("afterwards: %+v", d)
		}
	})
	t.Run("while the removal of another is under way", func(t *testing.T) {
		c := leadingOf(t, 4, 2, 3)
		own := c.last()
		change, err := c.RemovalChange(c.now, 4, 3)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.ProposeMembership(c.now, change.Next); err != nil {
			t.Fatal(err)
		}
		settle(c)
		if d := ask(c, own, 4, 3); !d.Replicated || d.Done() {
			t.Errorf("before it is committed: %+v", d)
		}
		answering(c, c.now, 2, 3)
		if d := ask(c, own, 4, 3); !d.KeepsVote || !d.Done() {
			t.Errorf("afterwards: %+v", d)
		}
	})
}

// TestRefusalReasons: who is refused a vote is told why, so that one that was taken out can join again.
func TestRefusalReasons(t *testing.T) {
	c := leadingOf(t, 3, 2, 3)
	for _, r := range []struct {
		from, term uint64
		want       wire.RaftMessage_Refusal
	}{{9, 9, wire.RaftMessage_NOT_MEMBER}, {2, 3, wire.RaftMessage_STALE_TERM}, {2, 9, wire.RaftMessage_LEADER_ALIVE}} {
		c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, From: r.from, To: 1, Term: r.term, PreVote: true})
		for _, m := range settle(c).Messages {
			if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && (m.Refusal != r.want || !m.Reject) {
				t.Errorf("%d in term %d: %v, want %v", r.from, r.term, m.Refusal, r.want)
			}
		}
	}
	asker := New(9, nil, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 9, Address: "nine", Voter: true}, {Id: 2, Address: "two", Voter: true}}}}, nil, 1, 0)
	manager := NewMembershipManager(asker)
	self := &wire.Peer{Id: 9, Address: "nine"}
	nobody := func() []string { return nil }
	if a := manager.Tick(0, self, 3, nobody); len(a.JoinAt) != 0 {
		t.Errorf("it asks %v before it knows of anything", a.JoinAt)
	}
	asker.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 9, Term: 4, PreVote: true, Reject: true, Refusal: wire.RaftMessage_NOT_MEMBER})
	if a := manager.Tick(0, self, 3, nobody); fmt.Sprint(a.JoinAt) != "[two]" {
		t.Errorf("once it has been told, it asks %v", a.JoinAt)
	}
}

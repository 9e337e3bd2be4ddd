package raft

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestOlderTermsAreNotCommittedByCounting: an entry of an earlier term that a majority
// has may still be replaced by another leader's; only one of the own term ends that.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers},
		[]*wire.Entry{{Term: 2, Index: 2, Kind: wire.Entry_NO_OP}}, 1, 0)
	now := 2 * time.Second
	settle := func() {
		for o := c.Ready(); !o.Empty(); o = c.Ready() {
			if n := len(o.Entries); n > 0 {
				c.StableTo(o.Entries[n-1].Index)
			}
		}
	}
	c.Tick(now)
	settle()
	c.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: true})
	settle()
	c.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4})
	settle()
	if !c.IsLeader() || c.Term() != 4 {
		t.Fatalf("leads %v in term %d", c.IsLeader(), c.Term())
	}
	for _, step := range []struct{ acked, commit uint64 }{{2, 1}, {3, 3}} {
		c.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: step.acked})
		settle()
		if c.Committed() != step.commit {
			t.Errorf("with entry %d on a majority, %d is committed, want %d", step.acked, c.Committed(), step.commit)
		}
	}
}

// TestOneMembershipChangeAtATime: the next waits until the one before is committed,
// and for a first entry of the leader's own term.
func TestOneMembershipChangeAtATime(t *testing.T) {
	one := &wire.Peer{Id: 1, Voter: true}
	c := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{one}}}, nil, 1, 0)
	c.Tick(2 * time.Second)
	two := []*wire.Peer{one, {Id: 2, Voter: true}}
	if err := c.ProposeMembership(2*time.Second, two); err == nil {
		t.Error("a change was taken before an entry of the own term was committed")
	}
	o := c.Ready()
	c.StableTo(o.Entries[len(o.Entries)-1].Index)
	c.Ready()
	if err := c.ProposeMembership(2*time.Second, two); err != nil {
		t.Fatal(err)
	}
	if err := c.ProposeMembership(2*time.Second, append(two, &wire.Peer{Id: 3})); err == nil {
		t.Error("a second change was taken beside the first")
	}
	if err := c.ProposeMembership(2*time.Second, nil); err == nil {
		t.Error("no members at all were taken")
	}
}

// TestSnapshotKeepsNewerEntries: one that comes late finds entries behind its end
// that this member has acknowledged since; they are part of a majority.
func TestSnapshotKeepsNewerEntries(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	c := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, 0)
	entries := []*wire.Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries, Commit: 2})
	c.Ready()
	snap := &wire.RaftSnapshot{Term: 2, Index: 3, Peers: peers}
	c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 2, Snapshot: snap, Commit: 3})
	o := c.Ready()
	if o.Snapshot != nil || c.last() != 4 || c.Committed() != 3 || len(o.CommittedEntries) != 1 || o.CommittedEntries[0].Index != 3 {
		t.Errorf("last %d, committed %d, handed out %v and snapshot %v", c.last(), c.Committed(), o.CommittedEntries, o.Snapshot)
	}
	// One whose end the log does not have as it is replaces all.
	c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 3, Snapshot: &wire.RaftSnapshot{Term: 3, Index: 4, Peers: peers}})
	if o := c.Ready(); o.Snapshot == nil || c.last() != 4 || c.Committed() != 4 || c.Backlog() != 0 {
		t.Errorf("last %d, committed %d, %d entries", c.last(), c.Committed(), c.Backlog())
	}
}

// TestSnapshotDue: a snapshot is due after many entries, and after few large ones.
func TestSnapshotDue(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}}}
	for _, c := range []struct {
		entries, bytes int
		heavy          bool
	}{{minBacklogEntries - 1, 10, false}, {minBacklogEntries, 10, true}, {3, 8 << 20, true}, {1, 8 << 20, false}} {
		var list []*wire.Entry
		for i := range c.entries {
			list = append(list, &wire.Entry{Term: 1, Index: uint64(i + 2), Data: make([]byte, c.bytes)})
		}
		core := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, list, 1, 0)
		if core.SnapshotDue() != c.heavy {
			t.Errorf("%d entries of %d bytes: heavy is %v", c.entries, c.bytes, core.SnapshotDue())
		}
	}
}

// settle writes what a core asks for, and returns all that it put out.
func settle(c *Node) (all Ready) {
	for o := c.Ready(); !o.Empty(); o = c.Ready() {
		if n := len(o.Entries); n > 0 {
			c.StableTo(o.Entries[n-1].Index)
		}
		all.Messages, all.ReadStates = append(all.Messages, o.Messages...), append(all.ReadStates, o.ReadStates...)
		if o.Snapshot != nil {
			all.Snapshot = o.Snapshot
		}
	}
	return all
}

// voters are so many members, from 1 on.
func voters(n int) *wire.Peers {
	p := &wire.Peers{}
	for i := range n {
		p.Peers = append(p.Peers, &wire.Peer{Id: uint64(i + 1), Voter: true})
	}
	return p
}

const lateNow = 2 * time.Second

// leading returns the first of three members as the leader of term 4, with its own entry at 2 and another at 3.
func leading(t testing.TB) *Node {
	t.Helper()
	c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, nil, 1, 0)
	c.Tick(lateNow)
	settle(c)
	for _, pre := range []bool{true, false} {
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: pre})
		settle(c)
	}
	if _, _, err := c.Propose(lateNow, []byte("x")); err != nil || !c.IsLeader() {
		t.Fatalf("leads %v, %v", c.IsLeader(), err)
	}
	settle(c)
	return c
}

// TestStaleResponsesAreIgnored: what a member says of an earlier term, of an earlier round or of a log that it does not
// have proves nothing. The simulation and the search meet these too seldom to find one that is believed.
func TestStaleResponsesAreIgnored(t *testing.T) {
	handovers := func(o Ready) (to []uint64) {
		for _, m := range o.Messages {
			if m.Kind == wire.RaftMessage_TIMEOUT_NOW {
				to = append(to, m.To)
			}
		}
		return to
	}
	t.Run("answers of an earlier term", func(t *testing.T) {
		c := leading(t)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 3, Index: 3})
		if settle(c); c.Committed() != 1 {
			t.Errorf("%d is committed", c.Committed())
		}
	})
	t.Run("votes of an earlier term", func(t *testing.T) {
		c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, nil, 1, 0)
		c.Tick(lateNow)
		settle(c)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: true})
		settle(c)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 3})
		if settle(c); c.IsLeader() || c.Term() != 4 {
			t.Errorf("leads %v in term %d", c.IsLeader(), c.Term())
		}
	})
	t.Run("half of the votes", func(t *testing.T) {
		c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(4)}, nil, 1, 0)
		c.Tick(lateNow)
		settle(c)
		for from, pre := range []bool{2: true, 3: true, 4: false} {
			if from >= 2 {
				c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: uint64(from), To: 1, Term: 4, PreVote: pre})
				settle(c)
			}
		}
		if c.IsLeader() {
			t.Error("two of four votes were enough")
		}
	})
	t.Run("rounds of contact from before a read", func(t *testing.T) {
		c := leading(t)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: c.heartbeatRound})
		settle(c)
		c.ReadIndex(lateNow, 7)
		before := settle(c)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: c.heartbeatRound - 1})
		before.ReadStates = append(before.ReadStates, settle(c).ReadStates...)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: c.heartbeatRound})
		if after := settle(c); len(before.ReadStates) != 0 || len(after.ReadStates) != 1 || !after.ReadStates[0].OK {
			t.Errorf("answered %v before a round of contact, %v after it", before.ReadStates, after.ReadStates)
		}
	})
	t.Run("an index that is committed beyond what a message has matched", func(t *testing.T) {
		c := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)},
			[]*wire.Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}}, 1, 0) // 3 may be another at the leader
		c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Term: 2, Index: 2}}, Commit: 3})
		if settle(c); c.Committed() != 2 {
			t.Errorf("%d is committed", c.Committed())
		}
	})
	t.Run("a snapshot from before the own one", func(t *testing.T) {
		c := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 2, Index: 5, Peers: voters(3)}, nil, 1, 0)
		c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 2, Snapshot: &wire.RaftSnapshot{Term: 1, Index: 3, Peers: voters(3)}})
		if o := settle(c); o.Snapshot != nil || c.Committed() != 5 || c.last() != 5 {
			t.Errorf("snapshot %v, committed %d of %d", o.Snapshot, c.Committed(), c.last())
		}
	})
	t.Run("a log that lacks entries, of one that the leader has asked to lead", func(t *testing.T) {
		c := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, []*wire.Entry{{Term: 2, Index: 2}}, 1, 0)
		c.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, LeadershipTransfer: true})
		for _, m := range settle(c).Messages {
			if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && !m.Reject {
				t.Error("it has the vote")
			}
		}
	})
	t.Run("a member that lacks entries, as the transfer target", func(t *testing.T) {
		c := leading(t)
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 2})
		settle(c)
		c.TransferLeadership(lateNow)
		if to := handovers(settle(c)); len(to) != 0 {
			t.Errorf("%v is asked to lead without the last entry", to)
		}
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3})
		if to := handovers(settle(c)); len(to) != 1 || to[0] != 2 {
			t.Errorf("%v is asked to lead once 2 has all", to)
		}
	})
}

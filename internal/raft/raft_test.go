package raft

import (
	"testing"
	"time"

	"ivydeck/internal/wire"
)

// TestOlderTermsAreNotCommittedByCount: an entry of an earlier term that a majority
// has may still be replaced by another leader's; only one of the own term ends that.
func TestOlderTermsAreNotCommittedByCount(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	c := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers},
		[]*wire.Entry{{Term: 2, Index: 2, Kind: wire.Entry_BLANK}}, 1, 0)
	now := 2 * time.Second
	settle := func() {
		for o := c.Take(); !o.Empty(); o = c.Take() {
			if n := len(o.Entries); n > 0 {
				c.Stable(o.Entries[n-1].Index)
			}
		}
	}
	c.Tick(now)
	settle()
	c.Step(now, &wire.Raft{Kind: wire.Raft_VOTED, From: 2, To: 1, Term: 4, Pre: true})
	settle()
	c.Step(now, &wire.Raft{Kind: wire.Raft_VOTED, From: 2, To: 1, Term: 4})
	settle()
	if !c.Leads() || c.Term() != 4 {
		t.Fatalf("leads %v in term %d", c.Leads(), c.Term())
	}
	for _, step := range []struct{ acked, commit uint64 }{{2, 1}, {3, 3}} {
		c.Step(now, &wire.Raft{Kind: wire.Raft_APPENDED, From: 2, To: 1, Term: 4, Index: step.acked})
		settle()
		if c.Commit() != step.commit {
			t.Errorf("with entry %d on a majority, %d is committed, want %d", step.acked, c.Commit(), step.commit)
		}
	}
}

// TestOneChangeOfMembersAtATime: the next waits until the one before is committed,
// and for a first entry of the leader's own term.
func TestOneChangeOfMembersAtATime(t *testing.T) {
	one := &wire.Peer{Id: 1, Voter: true}
	c := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{one}}}, nil, 1, 0)
	c.Tick(2 * time.Second)
	two := []*wire.Peer{one, {Id: 2, Voter: true}}
	if err := c.Change(2*time.Second, two); err == nil {
		t.Error("a change was taken before an entry of the own term was committed")
	}
	o := c.Take()
	c.Stable(o.Entries[len(o.Entries)-1].Index)
	c.Take()
	if err := c.Change(2*time.Second, two); err != nil {
		t.Fatal(err)
	}
	if err := c.Change(2*time.Second, append(two, &wire.Peer{Id: 3})); err == nil {
		t.Error("a second change was taken beside the first")
	}
	if err := c.Change(2*time.Second, nil); err == nil {
		t.Error("no members at all were taken")
	}
}

// TestASnapshotTakesNothingAway: one that comes late finds entries behind its end
// that this member has acknowledged since; they are part of a majority.
func TestASnapshotTakesNothingAway(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	c := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, 0)
	entries := []*wire.Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	c.Step(0, &wire.Raft{Kind: wire.Raft_APPEND, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries, Commit: 2})
	c.Take()
	snap := &wire.RaftSnapshot{Term: 2, Index: 3, Peers: peers}
	c.Step(0, &wire.Raft{Kind: wire.Raft_SNAPSHOT, From: 2, To: 1, Term: 2, Snapshot: snap, Commit: 3})
	o := c.Take()
	if o.Snapshot != nil || c.last() != 4 || c.Commit() != 3 || len(o.Committed) != 1 || o.Committed[0].Index != 3 {
		t.Errorf("last %d, committed %d, handed out %v and snapshot %v", c.last(), c.Commit(), o.Committed, o.Snapshot)
	}
	// One whose end the log does not have as it is replaces all.
	c.Step(0, &wire.Raft{Kind: wire.Raft_SNAPSHOT, From: 2, To: 1, Term: 3, Snapshot: &wire.RaftSnapshot{Term: 3, Index: 4, Peers: peers}})
	if o := c.Take(); o.Snapshot == nil || c.last() != 4 || c.Commit() != 4 || c.Backlog() != 0 {
		t.Errorf("last %d, committed %d, %d entries", c.last(), c.Commit(), c.Backlog())
	}
}

// TestSnapshotsAreDue: a snapshot is due after many entries, and after few large ones.
func TestSnapshotsAreDue(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}}}
	for _, c := range []struct {
		entries, bytes int
		heavy          bool
	}{{dueEntries - 1, 10, false}, {dueEntries, 10, true}, {3, 8 << 20, true}, {1, 8 << 20, false}} {
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

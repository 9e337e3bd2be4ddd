package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// acknowledge has a member say that it has the leader's log up to an index.
func acknowledge(c *Node, from, index uint64) Ready {
	c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: from, To: c.id, Term: c.hardState.Term, Index: index, HeartbeatRound: c.heartbeatRound})
	return settle(c)
}

// proposeMany puts so many entries into a leader's log, which one other member acknowledges.
func proposeMany(t *testing.T, c *Node, count, bytes int) {
	t.Helper()
	for range count {
		if _, _, err := c.Propose(c.now, make([]byte, bytes)); err != nil {
			t.Fatal(err)
		}
		settle(c)
		acknowledge(c, 2, c.last())
	}
}

// sentTo returns what is sent to a member of one kind.
func sentTo(o Ready, to uint64, kind wire.RaftMessage_Kind) (list []*wire.RaftMessage) {
	for _, m := range o.Messages {
		if m.To == to && m.Kind == kind {
			list = append(list, m)
		}
	}
	return list
}

// TestLaggingMemberGetsEntries: one that lags at the moment of a snapshot goes on by entries, from a leader that has
// been up and from one that has just started from its disk.
func TestLaggingMemberGetsEntries(t *testing.T) {
	c := leading(t)
	proposeMany(t, c, 20, 10)
	snapshot := c.Compact(c.applied, []byte("state"))
	if snapshot == nil || c.Backlog() != 0 {
		t.Fatalf("%v, %d behind it", snapshot, c.Backlog())
	}
	lagging := snapshot.Index - 3
	c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: lagging})
	if o := settle(c); len(sentTo(o, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 || len(sentTo(o, 3, wire.RaftMessage_APPEND_ENTRIES)) != 1 || len(sentTo(o, 3, wire.RaftMessage_APPEND_ENTRIES)[0].Entries) != 3 {
		t.Errorf("a member that lacks three entries gets %v", o.Messages)
	}
	kept := slices.Clone(c.entries)
	again := New(1, &wire.HardState{Term: 4, Vote: 1}, snapshot, kept, 1, c.now)
	if again.first() != kept[0].Index+1 || again.last() != c.last() || again.Backlog() != 0 || again.Committed() != snapshot.Index {
		t.Errorf("after a restart the log is from %d to %d, with %d behind the snapshot", again.first(), again.last(), again.Backlog())
	}
	older, err := proto.Marshal(voters(5))
	if err != nil {
		t.Fatal(err)
	}
	kept[5] = &wire.Entry{Term: kept[5].Term, Index: kept[5].Index, Kind: wire.Entry_MEMBERSHIP, Data: older}
	if again = New(1, nil, snapshot, kept, 1, c.now); len(again.Peers()) != 3 {
		t.Errorf("members of before the snapshot are in force: %v", again.Peers())
	}
	if term, ok := again.term(lagging); !ok || term != 4 {
		t.Errorf("after a restart the term of entry %d is %d, %v", lagging, term, ok)
	}
}

// TestTailIsBounded by the number of entries and by their bytes; a disk is told what may go.
func TestTailIsBounded(t *testing.T) {
	c := leading(t)
	c.SetRetention(8, 64)
	proposeMany(t, c, 50, 10)
	c.Compact(c.applied, nil)
	if c.last()-c.base.index != 8 || c.First() != c.last()-8 {
		t.Errorf("%d entries are kept, from %d on", c.last()-c.base.index, c.First())
	}
	c.SetRetention(tailEntries, catchUpEntries)
	proposeMany(t, c, 20, tailBytes/10)
	c.Compact(c.applied, nil)
	if n := c.last() - c.base.index; n != 10 {
		t.Errorf("%d entries of a tenth of the bound are kept", n)
	}
}

// TestLargeStatesAreSnapshottedLessOften: a snapshot that is as large as many entries waits for as many.
func TestLargeStatesAreSnapshottedLessOften(t *testing.T) {
	c := leading(t)
	proposeMany(t, c, minBacklogEntries, 100)
	c.Compact(c.applied, make([]byte, 8<<20))
	proposeMany(t, c, 2*minBacklogEntries, 100)
	if c.SnapshotDue() {
		t.Errorf("%d entries of 100 bytes make a snapshot of 8 MB due", c.Backlog())
	}
	proposeMany(t, c, maxBacklogEntries-2*minBacklogEntries, 10)
	if !c.SnapshotDue() {
		t.Errorf("%d entries make none due", c.Backlog())
	}
}

// needsSnapshot is a leader of a log that begins far behind what its third member has.
func needsSnapshot(t *testing.T) *Node {
	t.Helper()
	c := leading(t)
	c.SetRetention(4, catchUpEntries)
	proposeMany(t, c, 40, 10)
	c.Compact(c.applied, []byte("first"))
	c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: 1})
	return c
}

// TestOneSnapshotTransferAtATime: while a snapshot is under way to a member, it gets heartbeats and no other snapshot; the same one
// goes on after a failure, although newer ones were taken, since the log leads on from it; and it ends with what the
// member says to have.
func TestOneSnapshotTransferAtATime(t *testing.T) {
	c := needsSnapshot(t)
	begun := sentTo(settle(c), 3, wire.RaftMessage_INSTALL_SNAPSHOT)
	if len(begun) != 1 || c.SnapshotInTransfer(3) != begun[0].Snapshot.Index {
		t.Fatalf("%d transfers are begun", len(begun))
	}
	first := begun[0].Snapshot
	later := func(d time.Duration) Ready {
		c.Tick(c.now + d)
		o := settle(c)
		for _, id := range []uint64{2, 3} { // both are there
			c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: 1, Term: 4, Index: 1, HeartbeatRound: c.heartbeatRound})
		}
		o.Messages = append(o.Messages, settle(c).Messages...)
		return o
	}
	for range 40 { // three seconds of heartbeats, with progress
		o := later(Heartbeat)
		c.ReportSnapshot(c.now, 3, first.Index, SnapshotProgress)
		if len(sentTo(o, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 || len(sentTo(o, 3, wire.RaftMessage_APPEND_ENTRIES)) == 0 {
			t.Fatalf("under a transfer a member gets %v", o.Messages)
		}
		proposeMany(t, c, 10, 10)
		c.Compact(c.applied, []byte("newer"))
	}
	c.ReportSnapshot(c.now, 3, first.Index, SnapshotFailed)
	if o := later(Heartbeat); len(sentTo(o, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 {
		t.Error("a transfer that has failed is begun again at once")
	}
	var resumed []*wire.RaftMessage
	for range 4 {
		resumed = append(resumed, sentTo(later(Heartbeat), 3, wire.RaftMessage_INSTALL_SNAPSHOT)...)
	}
	if len(resumed) != 1 || resumed[0].Snapshot != first {
		t.Fatalf("%d transfers are resumed after a failure, with another snapshot", len(resumed))
	}
	c.ReportSnapshot(c.now, 3, first.Index, SnapshotFinished)
	next := sentTo(settle(c), 3, wire.RaftMessage_APPEND_ENTRIES)
	if len(next) == 0 || next[0].Index != first.Index || len(next[0].Entries) == 0 {
		t.Errorf("the log does not go on from the snapshot at %d: %v", first.Index, next)
	}
	acknowledge(c, 3, first.Index+10)
	proposeMany(t, c, 10, 10)
	c.Compact(c.applied, nil)
	if c.base.index != first.Index+10 || c.SnapshotInTransfer(3) != 0 {
		t.Errorf("the log begins at %d for a member that catches up from %d on", c.first(), first.Index+10)
	}
	acknowledge(c, 3, c.last())
	proposeMany(t, c, 1, 10)
	acknowledge(c, 3, c.last())
	c.Compact(c.applied, nil)
	if n := c.last() - c.base.index; n != 4 {
		t.Errorf("%d entries are kept once all have caught up", n)
	}
}

// TestSlowTransferIsSuperseded: where the log can't lead on from a snapshot within its bound, and for a member
// that has gone, nothing is kept for it.
func TestSlowTransferIsSuperseded(t *testing.T) {
	c := needsSnapshot(t)
	first := sentTo(settle(c), 3, wire.RaftMessage_INSTALL_SNAPSHOT)[0].Snapshot
	proposeMany(t, c, 20, tailBytes/4)
	c.Compact(c.applied, []byte("newer"))
	if bytes := tailBytes / 4 * int(c.last()-c.base.index); bytes > catchUpBytes || c.base.index <= first.Index {
		t.Errorf("%d bytes are kept for a transfer", bytes)
	}
	heartbeats := func(d time.Duration, thirdAnswers bool) (begun []*wire.RaftMessage) {
		for until := c.now + d; c.now < until; {
			c.Tick(c.now + Heartbeat)
			o := settle(c)
			acknowledge(c, 2, c.last())
			if thirdAnswers {
				c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: 1, HeartbeatRound: c.heartbeatRound})
				o.Messages = append(o.Messages, settle(c).Messages...)
			}
			begun = append(begun, sentTo(o, 3, wire.RaftMessage_INSTALL_SNAPSHOT)...)
		}
		return begun
	}
	if again := heartbeats(snapshotTimeout+Heartbeat, true); len(again) != 1 || again[0].Snapshot == first {
		t.Errorf("%d transfers are begun, or one that leads nowhere", len(again))
	}
	heartbeats(snapshotTimeout, false)
	if begun := heartbeats(2*catchUpTimeout, false); len(begun) > 0 || c.SnapshotInTransfer(3) != 0 {
		t.Errorf("%d transfers are begun to a member that is gone, and one is kept: %d", len(begun), c.SnapshotInTransfer(3))
	}
}

// TestMemberContinuesFromForeignSnapshot: one that got to where the log leads on, by a transfer that nobody told the
// leader of, is not sent another.
func TestMemberContinuesFromForeignSnapshot(t *testing.T) {
	c := needsSnapshot(t)
	first := sentTo(settle(c), 3, wire.RaftMessage_INSTALL_SNAPSHOT)[0].Snapshot
	proposeMany(t, c, 10, 10)
	c.Compact(c.applied, []byte("newer"))
	c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: first.Index, LogTerm: first.Term})
	if next := sentTo(settle(c), 3, wire.RaftMessage_APPEND_ENTRIES); len(next) == 0 || next[0].Index != first.Index {
		t.Errorf("it gets %v", next)
	}
}

// TestDivergedLogConverges: a member that led, and was cut off with a thousand entries that no other has, joins the log of the
// next leader within a few rounds of messages, each of which takes longer than the time between heartbeats.
func TestDivergedLogConverges(t *testing.T) {
	// Two members have led in turn, each cut off from the other.
	var own, diverged []*wire.Entry
	for i := range uint64(1000) {
		own = append(own, &wire.Entry{Term: 3 + i/100*2, Index: i + 2})
		diverged = append(diverged, &wire.Entry{Term: 2 + i/100*2, Index: i + 2})
	}
	const delay, most = 2, 60 // heartbeats
	if c := joinLogs(own, diverged, 21, delay, most); c.progress[3].match != c.last() {
		t.Errorf("after %d heartbeats the log joins up to %d of %d, and %d is asked for", most, c.progress[3].match, c.last(), c.progress[3].next)
	}
}

// joinLogs returns a leader of three behind so many heartbeats, or as soon as the log of a member that has other entries has
// joined its own. Messages between the two take delay heartbeats each way.
func joinLogs(own, diverged []*wire.Entry, term uint64, delay, most int) *Node {
	c := New(1, &wire.HardState{Term: term}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, own, 1, 0)
	c.Tick(lateNow)
	settle(c)
	for _, pre := range []bool{true, false} {
		c.Step(lateNow, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: term + 1, PreVote: pre})
		settle(c)
	}
	f := New(3, &wire.HardState{Term: term}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: voters(3)}, diverged, 1, c.now)
	toLeader, toFollower := make([][]*wire.RaftMessage, most+delay+1), make([][]*wire.RaftMessage, most+delay+1)
	for turn := 0; turn < most && c.progress[3].match != c.last(); turn++ {
		c.Tick(c.now + Heartbeat)
		sent := acknowledge(c, 2, c.last())
		for _, m := range toFollower[turn] {
			f.Step(c.now, m)
		}
		toLeader[turn+delay] = settle(f).Messages
		for _, m := range toLeader[turn] {
			if m.To == c.id {
				c.Step(c.now, m)
			}
		}
		sent.Messages = append(sent.Messages, settle(c).Messages...)
		toFollower[turn+delay] = sentTo(sent, 3, wire.RaftMessage_APPEND_ENTRIES)
	}
	return c
}

// TestSearchOfDivergedLogs draws logs of two members that have led in turn, each for some entries: they join after as many
// round trips as there are terms in turn, and some more, however long the logs are.
func TestSearchOfDivergedLogs(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0xd1e))
		turns, delay := 1+rng.IntN(8), 1+rng.IntN(3)
		var own, diverged []*wire.Entry
		term := uint64(1)
		for range turns {
			term += 2
			for range 1 + rng.IntN(150) {
				own = append(own, &wire.Entry{Term: term, Index: uint64(len(own)) + 2})
			}
			for range 1 + rng.IntN(150) {
				diverged = append(diverged, &wire.Entry{Term: term - 1, Index: uint64(len(diverged)) + 2})
			}
		}
		most := 2*delay*(turns+3) + 4
		if c := joinLogs(own, diverged, term, delay, most); c.progress[3].match != c.last() {
			t.Fatalf("seed %d: %d terms in turn, %d and %d entries, %d heartbeats a way: after %d heartbeats the log joins up to %d", seed, turns,
				len(own), len(diverged), delay, most, c.progress[3].match)
		}
	}
}

// TestFollowerKeepsNoTransferTail: one that led, and was transferring a snapshot, keeps the usual tail from then on.
func TestFollowerKeepsNoTransferTail(t *testing.T) {
	c := needsSnapshot(t)
	if c.SnapshotInTransfer(3) == 0 {
		t.Fatal("no transfer is under way")
	}
	for range 20 {
		e := &wire.Entry{Term: 5, Index: c.last() + 1}
		c.Step(c.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 5, Index: c.last(), LogTerm: c.lastTerm(), Entries: []*wire.Entry{e}, Commit: e.Index})
		settle(c)
	}
	if c.Compact(c.applied, nil); c.IsLeader() || c.last()-c.base.index != 4 {
		t.Errorf("%d entries are kept", c.last()-c.base.index)
	}
}

package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// acknowledge delivers a member's acknowledgement of all entries up to an index, and processes the leader's Ready.
func acknowledge(leader *Node, from, index uint64) Ready {
	leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: from, To: leader.id, Term: leader.hardState.Term, Index: index, HeartbeatRound: leader.heartbeatRound})
	return processReady(leader)
}

// proposeMany proposes count entries, and lets member 2 acknowledge them, so that they are committed.
func proposeMany(t *testing.T, leader *Node, count, bytes int) {
	t.Helper()
	for range count {
		if _, _, err := leader.Propose(leader.now, make([]byte, bytes)); err != nil {
			t.Fatal(err)
		}
		processReady(leader)
		acknowledge(leader, 2, leader.last())
	}
}

// messagesTo returns the messages of one kind to a member.
func messagesTo(ready Ready, to uint64, kind wire.RaftMessage_Kind) (messages []*wire.RaftMessage) {
	for _, m := range ready.Messages {
		if m.To == to && m.Kind == kind {
			messages = append(messages, m)
		}
	}
	return messages
}

// TestLaggingMemberGetsEntries checks that a member that lags slightly behind a snapshot gets entries of the retained tail
// instead of the snapshot, and that the tail is still available after a restart of the leader.
func TestLaggingMemberGetsEntries(t *testing.T) {
	leader := newLeader(t)
	proposeMany(t, leader, 20, 10)
	snapshot := leader.Compact(leader.applied, []byte("state"))
	if snapshot == nil || leader.Backlog() != 0 {
		t.Fatalf("snapshot %v with %d entries after it, want a snapshot with none", snapshot, leader.Backlog())
	}
	laggingIndex := snapshot.Index - 3
	leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: laggingIndex})
	if ready := processReady(leader); len(messagesTo(ready, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 || len(messagesTo(ready, 3, wire.RaftMessage_APPEND_ENTRIES)) != 1 || len(messagesTo(ready, 3, wire.RaftMessage_APPEND_ENTRIES)[0].Entries) != 3 {
		t.Errorf("messages to a member that lacks three entries: %v, want one with these entries", ready.Messages)
	}
	entries := slices.Clone(leader.entries)
	restarted := New(1, &wire.HardState{Term: 4, Vote: 1}, snapshot, entries, 1, leader.now)
	if restarted.first() != entries[0].Index+1 || restarted.last() != leader.last() || restarted.Backlog() != 0 || restarted.Committed() != snapshot.Index {
		t.Errorf("log after a restart: entries %d to %d, with %d after the snapshot", restarted.first(), restarted.last(), restarted.Backlog())
	}
	olderPeers, err := proto.Marshal(newPeers(5))
	if err != nil {
		t.Fatal(err)
	}
	entries[5] = &wire.Entry{Term: entries[5].Term, Index: entries[5].Index, Kind: wire.Entry_MEMBERSHIP, Data: olderPeers}
	if restarted = New(1, nil, snapshot, entries, 1, leader.now); len(restarted.Peers()) != 3 {
		t.Errorf("a membership entry before the snapshot took effect: %v", restarted.Peers())
	}
	if term, ok := restarted.term(laggingIndex); !ok || term != 4 {
		t.Errorf("term of entry %d after a restart: %d (known: %v), want 4", laggingIndex, term, ok)
	}
}

// TestTailIsBounded checks that the retained tail is bounded in entries and in bytes, and that First returns its start.
func TestTailIsBounded(t *testing.T) {
	leader := newLeader(t)
	leader.SetRetention(8, 64)
	proposeMany(t, leader, 50, 10)
	leader.Compact(leader.applied, nil)
	if leader.last()-leader.base.index != 8 || leader.First() != leader.last()-8 {
		t.Errorf("%d entries are kept after entry %d, want 8", leader.last()-leader.base.index, leader.First())
	}
	leader.SetRetention(tailEntries, catchUpEntries)
	proposeMany(t, leader, 20, tailBytes/10)
	leader.Compact(leader.applied, nil)
	if kept := leader.last() - leader.base.index; kept != 10 {
		t.Errorf("%d entries are kept, each a tenth of the maximum size; want 10", kept)
	}
}

// TestLargeStatesAreSnapshottedLessOften checks that a large last snapshot delays the next one, but not beyond
// maxBacklogEntries.
func TestLargeStatesAreSnapshottedLessOften(t *testing.T) {
	leader := newLeader(t)
	proposeMany(t, leader, minBacklogEntries, 100)
	leader.Compact(leader.applied, make([]byte, 8<<20))
	proposeMany(t, leader, 2*minBacklogEntries, 100)
	if leader.SnapshotDue() {
		t.Errorf("a snapshot is due with %d entries of 100 bytes after a snapshot of 8 MB", leader.Backlog())
	}
	proposeMany(t, leader, maxBacklogEntries-2*minBacklogEntries, 10)
	if !leader.SnapshotDue() {
		t.Errorf("no snapshot is due with %d entries after the last one", leader.Backlog())
	}
}

// newLeaderOfLaggingMember returns a leader whose log no longer has the next entry of member 3.
func newLeaderOfLaggingMember(t *testing.T) *Node {
	t.Helper()
	leader := newLeader(t)
	leader.SetRetention(4, catchUpEntries)
	proposeMany(t, leader, 40, 10)
	leader.Compact(leader.applied, []byte("first"))
	leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: 1})
	return leader
}

// TestOneSnapshotTransferAtATime checks that a member gets heartbeats and no second snapshot during a transfer, and that a
// failed transfer is resumed with the same snapshot while the log has all entries after it.
func TestOneSnapshotTransferAtATime(t *testing.T) {
	leader := newLeaderOfLaggingMember(t)
	started := messagesTo(processReady(leader), 3, wire.RaftMessage_INSTALL_SNAPSHOT)
	if len(started) != 1 || leader.SnapshotInTransfer(3) != started[0].Snapshot.Index {
		t.Fatalf("%d transfers were started, want 1 at the index that SnapshotInTransfer returns", len(started))
	}
	first := started[0].Snapshot
	advance := func(duration time.Duration) Ready {
		leader.Tick(leader.now + duration)
		ready := processReady(leader)
		for _, id := range []uint64{2, 3} { // both followers respond
			leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: id, To: 1, Term: 4, Index: 1, HeartbeatRound: leader.heartbeatRound})
		}
		ready.Messages = append(ready.Messages, processReady(leader).Messages...)
		return ready
	}
	for range 40 { // three seconds of heartbeats, with reports of progress
		ready := advance(Heartbeat)
		leader.ReportSnapshot(leader.now, 3, first.Index, SnapshotProgress)
		if len(messagesTo(ready, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 || len(messagesTo(ready, 3, wire.RaftMessage_APPEND_ENTRIES)) == 0 {
			t.Fatalf("messages to a member during a snapshot transfer: %v, want heartbeats only", ready.Messages)
		}
		proposeMany(t, leader, 10, 10)
		leader.Compact(leader.applied, []byte("newer"))
	}
	leader.ReportSnapshot(leader.now, 3, first.Index, SnapshotFailed)
	if ready := advance(Heartbeat); len(messagesTo(ready, 3, wire.RaftMessage_INSTALL_SNAPSHOT)) > 0 {
		t.Error("a failed transfer was resumed without a pause")
	}
	var resumed []*wire.RaftMessage
	for range 4 {
		resumed = append(resumed, messagesTo(advance(Heartbeat), 3, wire.RaftMessage_INSTALL_SNAPSHOT)...)
	}
	if len(resumed) != 1 || resumed[0].Snapshot != first {
		t.Fatalf("%d transfers were started after a failure, want 1 with the same snapshot", len(resumed))
	}
	leader.ReportSnapshot(leader.now, 3, first.Index, SnapshotFinished)
	next := messagesTo(processReady(leader), 3, wire.RaftMessage_APPEND_ENTRIES)
	if len(next) == 0 || next[0].Index != first.Index || len(next[0].Entries) == 0 {
		t.Errorf("messages after the snapshot at %d: %v, want the entries after it", first.Index, next)
	}
	acknowledge(leader, 3, first.Index+10)
	proposeMany(t, leader, 10, 10)
	leader.Compact(leader.applied, nil)
	if leader.base.index != first.Index+10 || leader.SnapshotInTransfer(3) != 0 {
		t.Errorf("the log begins at %d while a member has caught up to entry %d", leader.first(), first.Index+10)
	}
	acknowledge(leader, 3, leader.last())
	proposeMany(t, leader, 1, 10)
	acknowledge(leader, 3, leader.last())
	leader.Compact(leader.applied, nil)
	if kept := leader.last() - leader.base.index; kept != 4 {
		t.Errorf("%d entries are kept after all members have caught up, want 4", kept)
	}
}

// TestSlowTransferIsSuperseded checks that the log keeps at most catchUpBytes for a snapshot transfer. If it no longer has
// the entries after the snapshot, a newer one is sent. No transfers are started to an unresponsive member.
func TestSlowTransferIsSuperseded(t *testing.T) {
	leader := newLeaderOfLaggingMember(t)
	first := messagesTo(processReady(leader), 3, wire.RaftMessage_INSTALL_SNAPSHOT)[0].Snapshot
	proposeMany(t, leader, 20, tailBytes/4)
	leader.Compact(leader.applied, []byte("newer"))
	if bytes := tailBytes / 4 * int(leader.last()-leader.base.index); bytes > catchUpBytes || leader.base.index <= first.Index {
		t.Errorf("%d bytes are kept during a transfer, want at most catchUpBytes", bytes)
	}
	runHeartbeats := func(duration time.Duration, thirdResponds bool) (started []*wire.RaftMessage) {
		for until := leader.now + duration; leader.now < until; {
			leader.Tick(leader.now + Heartbeat)
			ready := processReady(leader)
			acknowledge(leader, 2, leader.last())
			if thirdResponds {
				leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: 1, HeartbeatRound: leader.heartbeatRound})
				ready.Messages = append(ready.Messages, processReady(leader).Messages...)
			}
			started = append(started, messagesTo(ready, 3, wire.RaftMessage_INSTALL_SNAPSHOT)...)
		}
		return started
	}
	if restarted := runHeartbeats(snapshotTimeout+Heartbeat, true); len(restarted) != 1 || restarted[0].Snapshot == first {
		t.Errorf("%d transfers were started, want 1 with a newer snapshot", len(restarted))
	}
	runHeartbeats(snapshotTimeout, false)
	if started := runHeartbeats(2*catchUpTimeout, false); len(started) > 0 || leader.SnapshotInTransfer(3) != 0 {
		t.Errorf("%d transfers were started to an unresponsive member, and the snapshot at %d is in transfer; want none", len(started), leader.SnapshotInTransfer(3))
	}
}

// TestMemberContinuesFromForeignSnapshot checks that a member gets entries after it has installed a snapshot whose transfer
// was not reported to this leader.
func TestMemberContinuesFromForeignSnapshot(t *testing.T) {
	leader := newLeaderOfLaggingMember(t)
	first := messagesTo(processReady(leader), 3, wire.RaftMessage_INSTALL_SNAPSHOT)[0].Snapshot
	proposeMany(t, leader, 10, 10)
	leader.Compact(leader.applied, []byte("newer"))
	leader.Step(leader.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 3, To: 1, Term: 4, Reject: true, Index: first.Index, LogTerm: first.Term})
	if next := messagesTo(processReady(leader), 3, wire.RaftMessage_APPEND_ENTRIES); len(next) == 0 || next[0].Index != first.Index {
		t.Errorf("append messages to the member: %v, want entries after its snapshot", next)
	}
}

// TestDivergedLogConverges checks that a former leader with a thousand conflicting entries gets the log of its successor
// within a few round trips, each of which takes longer than the heartbeat interval.
func TestDivergedLogConverges(t *testing.T) {
	// Two members have been leaders in alternate terms, each without contact with the other.
	var leaderLog, followerLog []*wire.Entry
	for i := range uint64(1000) {
		leaderLog = append(leaderLog, &wire.Entry{Term: 3 + i/100*2, Index: i + 2})
		followerLog = append(followerLog, &wire.Entry{Term: 2 + i/100*2, Index: i + 2})
	}
	const delay, maxHeartbeats = 2, 60 // in heartbeat intervals
	if leader := replicateToDiverged(leaderLog, followerLog, 21, delay, maxHeartbeats); leader.progress[3].match != leader.last() {
		t.Errorf("after %d heartbeats the logs match up to entry %d of %d, and the next entry to send is %d", maxHeartbeats, leader.progress[3].match, leader.last(), leader.progress[3].next)
	}
}

// replicateToDiverged runs a leader of three voters and a follower with conflicting entries, until their logs match or for
// maxHeartbeats heartbeat intervals. Messages between them take delay intervals each way. It returns the leader.
func replicateToDiverged(leaderLog, followerLog []*wire.Entry, term uint64, delay, maxHeartbeats int) *Node {
	leader := New(1, &wire.HardState{Term: term}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, leaderLog, 1, 0)
	leader.Tick(afterElectionTimeout)
	processReady(leader)
	for _, preVote := range []bool{true, false} {
		leader.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: term + 1, PreVote: preVote})
		processReady(leader)
	}
	follower := New(3, &wire.HardState{Term: term}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, followerLog, 1, leader.now)
	toLeader, toFollower := make([][]*wire.RaftMessage, maxHeartbeats+delay+1), make([][]*wire.RaftMessage, maxHeartbeats+delay+1)
	for round := 0; round < maxHeartbeats && leader.progress[3].match != leader.last(); round++ {
		leader.Tick(leader.now + Heartbeat)
		sent := acknowledge(leader, 2, leader.last())
		for _, m := range toFollower[round] {
			follower.Step(leader.now, m)
		}
		toLeader[round+delay] = processReady(follower).Messages
		for _, m := range toLeader[round] {
			if m.To == leader.id {
				leader.Step(leader.now, m)
			}
		}
		sent.Messages = append(sent.Messages, processReady(leader).Messages...)
		toFollower[round+delay] = messagesTo(sent, 3, wire.RaftMessage_APPEND_ENTRIES)
	}
	return leader
}

// TestSearchOfDivergedLogs generates logs of two members that have been leaders in alternate terms. The number of round
// trips until they match must depend on the number of terms, and not on the number of entries.
func TestSearchOfDivergedLogs(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0xd1e))
		termPairs, delay := 1+rng.IntN(8), 1+rng.IntN(3)
		var leaderLog, followerLog []*wire.Entry
		term := uint64(1)
		for range termPairs {
			term += 2
			for range 1 + rng.IntN(150) {
				leaderLog = append(leaderLog, &wire.Entry{Term: term, Index: uint64(len(leaderLog)) + 2})
			}
			for range 1 + rng.IntN(150) {
				followerLog = append(followerLog, &wire.Entry{Term: term - 1, Index: uint64(len(followerLog)) + 2})
			}
		}
		maxHeartbeats := 2*delay*(termPairs+3) + 4
		if leader := replicateToDiverged(leaderLog, followerLog, term, delay, maxHeartbeats); leader.progress[3].match != leader.last() {
			t.Fatalf("seed %d: %d pairs of terms, %d and %d entries, messages delayed by %d heartbeat intervals: after %d intervals the logs match up to entry %d", seed, termPairs,
				len(leaderLog), len(followerLog), delay, maxHeartbeats, leader.progress[3].match)
		}
	}
}

// TestTailOfFormerLeader checks that a former leader that was transferring a snapshot keeps only the normal tail.
func TestTailOfFormerLeader(t *testing.T) {
	node := newLeaderOfLaggingMember(t)
	if node.SnapshotInTransfer(3) == 0 {
		t.Fatal("no snapshot is in transfer")
	}
	for range 20 {
		entry := &wire.Entry{Term: 5, Index: node.last() + 1}
		node.Step(node.now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 5, Index: node.last(), LogTerm: node.lastTerm(), Entries: []*wire.Entry{entry}, Commit: entry.Index})
		processReady(node)
	}
	if node.Compact(node.applied, nil); node.IsLeader() || node.last()-node.base.index != 4 {
		t.Errorf("%d entries are kept after the leader stepped down, want 4", node.last()-node.base.index)
	}
}

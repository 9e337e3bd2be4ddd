package raft

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestCommitOfEarlierTerms checks that a leader does not commit an entry of an earlier term by counting
// replicas. Until an entry of its own term is on a majority, another leader may overwrite that entry (thesis, 3.6.2).
func TestCommitOfEarlierTerms(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	node := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers},
		[]*wire.Entry{{Term: 2, Index: 2, Kind: wire.Entry_NO_OP}}, 1, 0)
	now := 2 * time.Second
	drainReady := func() {
		for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
			if n := len(ready.Entries); n > 0 {
				node.StableTo(ready.Entries[n-1].Index)
			}
		}
	}
	node.Tick(now)
	drainReady()
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: true})
	drainReady()
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4})
	drainReady()
	if !node.IsLeader() || node.Term() != 4 {
		t.Fatalf("node is leader: %v, in term %d; want leader in term 4", node.IsLeader(), node.Term())
	}
	for _, step := range []struct{ acknowledged, committed uint64 }{{2, 1}, {3, 3}} {
		node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: step.acknowledged})
		drainReady()
		if node.Committed() != step.committed {
			t.Errorf("commit index with entry %d on a majority is %d, want %d", step.acknowledged, node.Committed(), step.committed)
		}
	}
}

// TestOneMembershipChangeAtATime checks that a membership change is rejected until the previous one is committed, and
// until the leader has committed an entry of its own term.
func TestOneMembershipChangeAtATime(t *testing.T) {
	firstVoter := &wire.Peer{Id: 1, Voter: true}
	node := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{firstVoter}}}, nil, 1, 0)
	node.Tick(2 * time.Second)
	twoVoters := []*wire.Peer{firstVoter, {Id: 2, Voter: true}}
	if err := node.ProposeMembership(2*time.Second, twoVoters); err == nil {
		t.Error("a membership change was accepted before an entry of the leader's term was committed")
	}
	ready := node.Ready()
	node.StableTo(ready.Entries[len(ready.Entries)-1].Index)
	node.Ready()
	if err := node.ProposeMembership(2*time.Second, twoVoters); err != nil {
		t.Fatal(err)
	}
	if err := node.ProposeMembership(2*time.Second, append(twoVoters, &wire.Peer{Id: 3})); err == nil {
		t.Error("a second membership change was accepted before the first was committed")
	}
	if err := node.ProposeMembership(2*time.Second, nil); err == nil {
		t.Error("an empty membership was accepted")
	}
}

// TestSnapshotKeepsNewerEntries checks that a delayed snapshot does not replace a log that contains its last entry. The
// member has acknowledged the entries after it, and they may be counted towards a majority.
func TestSnapshotKeepsNewerEntries(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	node := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, 0)
	entries := []*wire.Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries, Commit: 2})
	node.Ready()
	snapshot := &wire.RaftSnapshot{Term: 2, Index: 3, Peers: peers}
	node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 2, Snapshot: snapshot, Commit: 3})
	ready := node.Ready()
	if ready.Snapshot != nil || node.last() != 4 || node.Committed() != 3 || len(ready.CommittedEntries) != 1 || ready.CommittedEntries[0].Index != 3 {
		t.Errorf("last index %d, commit index %d, committed entries %v, snapshot %v; want last index 4, commit index 3, entry 3 and no snapshot", node.last(), node.Committed(), ready.CommittedEntries, ready.Snapshot)
	}
	// A snapshot whose last entry conflicts with the log replaces the whole log.
	node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 3, Snapshot: &wire.RaftSnapshot{Term: 3, Index: 4, Peers: peers}})
	if ready := node.Ready(); ready.Snapshot == nil || node.last() != 4 || node.Committed() != 4 || node.Backlog() != 0 {
		t.Errorf("conflicting snapshot at 4: last index %d, commit index %d, %d entries after the snapshot; want 4, 4 and 0", node.last(), node.Committed(), node.Backlog())
	}
}

// TestSnapshotDue checks that many entries or a few large ones make a snapshot due.
func TestSnapshotDue(t *testing.T) {
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: 1, Voter: true}}}
	for _, test := range []struct {
		count, size int
		due         bool
	}{{minBacklogEntries - 1, 10, false}, {minBacklogEntries, 10, true}, {3, 8 << 20, true}, {1, 8 << 20, false}} {
		var entries []*wire.Entry
		for i := range test.count {
			entries = append(entries, &wire.Entry{Term: 1, Index: uint64(i + 2), Data: make([]byte, test.size)})
		}
		node := New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, entries, 1, 0)
		if node.SnapshotDue() != test.due {
			t.Errorf("SnapshotDue with %d entries of %d bytes is %v", test.count, test.size, node.SnapshotDue())
		}
	}
}

// processReady handles each Ready until it is empty, and returns all messages, read states and the last snapshot.
func processReady(node *Node) (output Ready) {
	for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
		if n := len(ready.Entries); n > 0 {
			node.StableTo(ready.Entries[n-1].Index)
		}
		output.Messages, output.ReadStates = append(output.Messages, ready.Messages...), append(output.ReadStates, ready.ReadStates...)
		if ready.Snapshot != nil {
			output.Snapshot = ready.Snapshot
		}
	}
	return output
}

// newPeers returns a membership of count voters with the identities 1 to count.
func newPeers(count int) *wire.Peers {
	peers := &wire.Peers{}
	for i := range count {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(i + 1), Voter: true})
	}
	return peers
}

// afterElectionTimeout is later than any election timeout that starts at time zero.
const afterElectionTimeout = 2 * time.Second

// newLeader returns node 1 of three voters as the leader of term 4. Its log has the no-op entry at index 2 and a command at
// index 3, neither of which is committed.
func newLeader(t testing.TB) *Node {
	t.Helper()
	node := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, nil, 1, 0)
	node.Tick(afterElectionTimeout)
	processReady(node)
	for _, preVote := range []bool{true, false} {
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: preVote})
		processReady(node)
	}
	if _, _, err := node.Propose(afterElectionTimeout, []byte("x")); err != nil || !node.IsLeader() {
		t.Fatalf("node is leader: %v, proposal error: %v", node.IsLeader(), err)
	}
	processReady(node)
	return node
}

// TestStaleResponsesAreIgnored checks messages that must not take effect: those of an earlier term or heartbeat round, and
// those that concern entries missing from a member's log. The simulations produce these cases too rarely to detect a fault.
func TestStaleResponsesAreIgnored(t *testing.T) {
	timeoutNowReceivers := func(ready Ready) (receivers []uint64) {
		for _, m := range ready.Messages {
			if m.Kind == wire.RaftMessage_TIMEOUT_NOW {
				receivers = append(receivers, m.To)
			}
		}
		return receivers
	}
	t.Run("append response of an earlier term", func(t *testing.T) {
		node := newLeader(t)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 3, Index: 3})
		if processReady(node); node.Committed() != 1 {
			t.Errorf("commit index is %d, want 1", node.Committed())
		}
	})
	t.Run("vote of an earlier term", func(t *testing.T) {
		node := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, nil, 1, 0)
		node.Tick(afterElectionTimeout)
		processReady(node)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 4, PreVote: true})
		processReady(node)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: 3})
		if processReady(node); node.IsLeader() || node.Term() != 4 {
			t.Errorf("node is leader: %v, in term %d; want no leader in term 4", node.IsLeader(), node.Term())
		}
	})
	t.Run("half of the votes", func(t *testing.T) {
		node := New(1, &wire.HardState{Term: 3}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(4)}, nil, 1, 0)
		node.Tick(afterElectionTimeout)
		processReady(node)
		for from, preVote := range []bool{2: true, 3: true, 4: false} {
			if from >= 2 {
				node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: uint64(from), To: 1, Term: 4, PreVote: preVote})
				processReady(node)
			}
		}
		if node.IsLeader() {
			t.Error("a node became leader with two of four votes")
		}
	})
	t.Run("response to a heartbeat round before the read", func(t *testing.T) {
		node := newLeader(t)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: node.heartbeatRound})
		processReady(node)
		node.ReadIndex(afterElectionTimeout, 7)
		before := processReady(node)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: node.heartbeatRound - 1})
		before.ReadStates = append(before.ReadStates, processReady(node).ReadStates...)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3, HeartbeatRound: node.heartbeatRound})
		if after := processReady(node); len(before.ReadStates) != 0 || len(after.ReadStates) != 1 || !after.ReadStates[0].OK {
			t.Errorf("read states %v before the heartbeat round was acknowledged, %v afterwards", before.ReadStates, after.ReadStates)
		}
	})
	t.Run("leader's commit index after the last matched entry", func(t *testing.T) {
		node := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)},
			[]*wire.Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}}, 1, 0) // the leader may have another entry at index 3
		node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Term: 2, Index: 2}}, Commit: 3})
		if processReady(node); node.Committed() != 2 {
			t.Errorf("commit index is %d, want 2", node.Committed())
		}
	})
	t.Run("snapshot older than the installed one", func(t *testing.T) {
		node := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 2, Index: 5, Peers: newPeers(3)}, nil, 1, 0)
		node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, From: 2, To: 1, Term: 2, Snapshot: &wire.RaftSnapshot{Term: 1, Index: 3, Peers: newPeers(3)}})
		if ready := processReady(node); ready.Snapshot != nil || node.Committed() != 5 || node.last() != 5 {
			t.Errorf("snapshot %v, commit index %d, last index %d; want no snapshot, 5 and 5", ready.Snapshot, node.Committed(), node.last())
		}
	})
	t.Run("vote request of a transferee with missing entries", func(t *testing.T) {
		node := New(1, &wire.HardState{Term: 2}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: newPeers(3)}, []*wire.Entry{{Term: 2, Index: 2}}, 1, 0)
		node.Step(0, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, LeadershipTransfer: true})
		for _, m := range processReady(node).Messages {
			if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && !m.Reject {
				t.Error("the transferee was granted a vote")
			}
		}
	})
	t.Run("transferee with missing entries", func(t *testing.T) {
		node := newLeader(t)
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 2})
		processReady(node)
		node.TransferLeadership(afterElectionTimeout)
		if receivers := timeoutNowReceivers(processReady(node)); len(receivers) != 0 {
			t.Errorf("TIMEOUT_NOW sent to %v, which lack the last entry", receivers)
		}
		node.Step(afterElectionTimeout, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, From: 2, To: 1, Term: 4, Index: 3})
		if receivers := timeoutNowReceivers(processReady(node)); len(receivers) != 1 || receivers[0] != 2 {
			t.Errorf("TIMEOUT_NOW sent to %v after member 2 acknowledged the last entry, want [2]", receivers)
		}
	})
}

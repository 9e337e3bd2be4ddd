package server

import (
	"errors"
	"testing"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// newFollower returns the consensus of one of three voters. The other two don't exist.
func newFollower(now time.Duration) *raft.Node {
	peers := &wire.Peers{}
	for id := range uint64(3) {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: id + 1, Address: "m", ControlAddress: "c", Voter: true})
	}
	return raft.New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, now)
}

// electLeader makes a node the leader with a vote from member 2.
func electLeader(t *testing.T, node *raft.Node, now time.Duration) {
	t.Helper()
	node.Campaign(now)
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: node.Term()})
	if !node.IsLeader() {
		t.Fatal("the node did not become leader")
	}
	persistReady(node)
}

// persistReady reports the entries of each Ready as saved, until there is none.
func persistReady(node *raft.Node) {
	for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
		if n := len(ready.Entries); n > 0 {
			node.StableTo(ready.Entries[n-1].Index)
		}
	}
}

// stepHeartbeat passes a heartbeat from member 2 to a node.
func stepHeartbeat(node *raft.Node, now time.Duration) {
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: max(2, node.Term()), Index: 1, LogTerm: 1, Commit: 1})
}

func threeVoters() int { return 3 }

// outcomes collects the outcomes of requests.
type outcomes []outcome

func (o *outcomes) request(command string, retryable bool, deadline time.Duration) *request {
	r := &request{retryable: retryable, deadline: deadline, done: func(x outcome) { *o = append(*o, x) }}
	if command != "" {
		r.command = []byte(command)
	}
	return r
}

// TestEntryReplacedByAnotherTerm checks that a command is not reported as applied if an entry of another term has
// replaced its own: a retryable request is queued again, any other fails.
func TestEntryReplacedByAnotherTerm(t *testing.T) {
	node := newFollower(0)
	electLeader(t, node, time.Second)
	q := newRequestQueue(node, threeVoters, 0)
	var got outcomes
	q.submit(time.Second, got.request("a", true, 2*time.Second))
	q.submit(time.Second, got.request("b", false, 2*time.Second))
	for index, r := range q.proposed {
		q.completeCommand(&wire.Entry{Index: index, Term: r.term + 1}, true, nil)
	}
	if len(got) != 1 || !errors.Is(got[0].err, errEntryReplaced) || len(q.queued) != 1 {
		t.Errorf("outcomes = %v with %d requests queued, want one errEntryReplaced and one queued", got, len(q.queued))
	}
}

// TestRequestDeadline checks that every pending request fails at its deadline, and that none is proposed after it.
func TestRequestDeadline(t *testing.T) {
	const now = 10 * time.Second
	node := newFollower(0)
	electLeader(t, node, now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	for i := range time.Duration(4) {
		deadline := now + (i+1)*time.Millisecond
		q.submit(now, got.request("a", true, deadline))
		q.submit(now, got.request("b", false, deadline))
		q.submit(now, got.request("", true, deadline))
	}
	for _, r := range node.Ready().ReadStates { // rejected and queued again, as no entry of this term is committed
		q.completeRead(r)
	}
	for i := range time.Duration(4) {
		q.tick(now + (i+1)*time.Millisecond)
		if want := 3 * int(i+1); len(got) != want {
			t.Errorf("%d outcomes after %d ms, want %d", len(got), i+1, want)
		}
	}
	for _, o := range got {
		if !errors.Is(o.err, errTimeout) {
			t.Errorf("outcome error = %v, want errTimeout", o.err)
		}
	}
	if q.len() != 0 {
		t.Errorf("%d requests remain in the queue, want 0", q.len())
	}
	persistReady(node)
	got = nil
	q.submit(now, got.request("c", true, now))
	if ready := node.Ready(); len(got) != 1 || !errors.Is(got[0].err, errNotProposed) || len(ready.Entries) > 0 {
		t.Errorf("outcomes = %v with %d entries for a request past its deadline, want one errNotProposed and no entry", got, len(ready.Entries))
	}
}

// TestRequestWaitsForLeaderContact checks that a retryable request is redirected only to a leader contacted after its
// submission, and fails with errNoLeader after leaderlessTimeout without contact.
func TestRequestWaitsForLeaderContact(t *testing.T) {
	now := 10 * time.Second
	node := newFollower(now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	stepHeartbeat(node, now)
	now += time.Millisecond
	q.tick(now)
	q.submit(now, got.request("a", true, now+time.Hour))
	q.submit(now, got.request("", true, now+time.Hour))
	q.submit(now, got.request("b", false, now+time.Hour))
	if len(got) != 1 || !errors.Is(got[0].err, errNoLeader) {
		t.Fatalf("outcomes without leader contact = %v, want one errNoLeader", got)
	}
	now += raft.Heartbeat
	stepHeartbeat(node, now)
	q.tick(now)
	for _, o := range got[1:] {
		var notLeader *notLeaderError
		if !errors.As(o.err, &notLeader) || notLeader.leader.Id != 2 {
			t.Errorf("outcome error = %v, want a redirect to member 2", o.err)
		}
	}
	if len(got) != 3 {
		t.Errorf("%d outcomes after leader contact, want 3", len(got))
	}
	got = nil
	q.submit(now+time.Millisecond, got.request("c", true, now+time.Hour))
	q.tick(now + leaderlessTimeout - time.Millisecond)
	if len(got) != 0 {
		t.Errorf("outcomes = %v before leaderlessTimeout, want none", got)
	}
	q.tick(now + leaderlessTimeout)
	if len(got) != 1 || !errors.Is(got[0].err, errNoLeader) {
		t.Errorf("outcomes = %v after leaderlessTimeout, want one errNoLeader", got)
	}
}

// TestRequestsAfterLeadershipLoss checks that proposed commands get an outcome when leadership is lost, before their
// deadline.
func TestRequestsAfterLeadershipLoss(t *testing.T) {
	const now = 10 * time.Second
	node := newFollower(0)
	electLeader(t, node, now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	q.submit(now, got.request("a", true, now+time.Hour))
	q.submit(now, got.request("b", false, now+time.Hour))
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: node.Term() + 1, Index: 1, LogTerm: 1, Commit: 1})
	q.tick(now)
	var notLeader *notLeaderError
	if len(got) != 2 || !errors.Is(got[0].err, errLeadershipLost) || errors.Is(got[0].err, errNotProposed) || !errors.As(got[1].err, &notLeader) {
		t.Errorf("outcomes = %v, want errLeadershipLost and a redirect", got)
	}
}

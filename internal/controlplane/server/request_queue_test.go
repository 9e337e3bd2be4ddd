package server

import (
	"errors"
	"testing"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// member is one of three voters; the others are not there.
func member(now time.Duration) *raft.Node {
	peers := &wire.Peers{}
	for id := range uint64(3) {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: id + 1, Address: "m", ControlAddress: "c", Voter: true})
	}
	return raft.New(1, &wire.HardState{Term: 1}, &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}, nil, 1, now)
}

// lead makes a member the leader by the vote of another.
func lead(t *testing.T, node *raft.Node, now time.Duration) {
	t.Helper()
	node.Campaign(now)
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, From: 2, To: 1, Term: node.Term()})
	if !node.IsLeader() {
		t.Fatal("it does not lead")
	}
	settle(node)
}

// settle puts what is to be saved on a disk.
func settle(node *raft.Node) {
	for out := node.Ready(); !out.Empty(); out = node.Ready() {
		if n := len(out.Entries); n > 0 {
			node.StableTo(out.Entries[n-1].Index)
		}
	}
}

func heartbeat(node *raft.Node, now time.Duration) {
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: max(2, node.Term()), Index: 1, LogTerm: 1, Commit: 1})
}

func threeVoters() int { return 3 }

// outcomes collects what requests are told.
type outcomes []outcome

func (o *outcomes) request(command string, patient bool, deadline time.Duration) *request {
	r := &request{retryable: patient, deadline: deadline, done: func(x outcome) { *o = append(*o, x) }}
	if command != "" {
		r.command = []byte(command)
	}
	return r
}

func TestEntryOfAnotherTermEndsNoRequest(t *testing.T) {
	node := member(0)
	lead(t, node, time.Second)
	q := newRequestQueue(node, threeVoters, 0)
	var got outcomes
	q.submit(time.Second, got.request("a", true, 2*time.Second))
	q.submit(time.Second, got.request("b", false, 2*time.Second))
	for index, r := range q.proposed {
		q.applied(&wire.Entry{Index: index, Term: r.term + 1}, true, nil)
	}
	if len(got) != 1 || !errors.Is(got[0].err, errEntryReplaced) || len(q.queued) != 1 {
		t.Errorf("%v, and %d wait", got, len(q.queued))
	}
}

// TestRequestDeadline: none stays behind, whatever it waited for, and none is begun after it.
func TestRequestDeadline(t *testing.T) {
	const now = 10 * time.Second
	node := member(0)
	lead(t, node, now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	for i := range time.Duration(4) {
		deadline := now + (i+1)*time.Millisecond
		q.submit(now, got.request("a", true, deadline))
		q.submit(now, got.request("b", false, deadline))
		q.submit(now, got.request("", true, deadline))
	}
	for _, r := range node.Ready().ReadStates { // no entry of this term is committed: they are refused, and wait
		q.confirmed(r)
	}
	for i := range time.Duration(4) {
		q.tick(now + (i+1)*time.Millisecond)
		if want := 3 * int(i+1); len(got) != want {
			t.Errorf("%d answers after %d ms, want %d", len(got), i+1, want)
		}
	}
	for _, o := range got {
		if !errors.Is(o.err, errTimeout) {
			t.Errorf("%v", o.err)
		}
	}
	if q.len() != 0 {
		t.Errorf("%d requests stay", q.len())
	}
	settle(node)
	got = nil
	q.submit(now, got.request("c", true, now))
	if out := node.Ready(); len(got) != 1 || !errors.Is(got[0].err, errNotProposed) || len(out.Entries) > 0 {
		t.Errorf("%v, and %d entries for a request that came too late", got, len(out.Entries))
	}
}

// TestRequestWaitsForLeaderContact: a patient one is sent to a leader that is heard after it has come, not to one that
// may have died before; where none is heard for longer than an election takes, its sender is told so.
func TestRequestWaitsForLeaderContact(t *testing.T) {
	now := 10 * time.Second
	node := member(now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	heartbeat(node, now)
	now += time.Millisecond
	q.tick(now)
	q.submit(now, got.request("a", true, now+time.Hour))
	q.submit(now, got.request("", true, now+time.Hour))
	q.submit(now, got.request("b", false, now+time.Hour))
	if len(got) != 1 || !errors.Is(got[0].err, errNoLeader) {
		t.Fatalf("%v", got)
	}
	now += raft.Heartbeat
	heartbeat(node, now)
	q.tick(now)
	for _, o := range got[1:] {
		var elsewhere *notLeaderError
		if !errors.As(o.err, &elsewhere) || elsewhere.leader.Id != 2 {
			t.Errorf("%v", o.err)
		}
	}
	if len(got) != 3 {
		t.Errorf("%d answers", len(got))
	}
	got = nil
	q.submit(now+time.Millisecond, got.request("c", true, now+time.Hour))
	q.tick(now + maxLeaderless - time.Millisecond)
	if len(got) != 0 {
		t.Errorf("%v within an election", got)
	}
	q.tick(now + maxLeaderless)
	if len(got) != 1 || !errors.Is(got[0].err, errNoLeader) {
		t.Errorf("%v after an election", got)
	}
}

// TestLeadershipLossAnswersAtOnce: who asked for a change that may yet be committed is not left without an answer until the
// deadline.
func TestLeadershipLossAnswersAtOnce(t *testing.T) {
	const now = 10 * time.Second
	node := member(0)
	lead(t, node, now)
	q := newRequestQueue(node, threeVoters, now)
	var got outcomes
	q.submit(now, got.request("a", true, now+time.Hour))
	q.submit(now, got.request("b", false, now+time.Hour))
	node.Step(now, &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, From: 2, To: 1, Term: node.Term() + 1, Index: 1, LogTerm: 1, Commit: 1})
	q.tick(now)
	var elsewhere *notLeaderError
	if len(got) != 2 || !errors.Is(got[0].err, errLeadershipLost) || errors.Is(got[0].err, errNotProposed) || !errors.As(got[1].err, &elsewhere) {
		t.Errorf("%v", got)
	}
}

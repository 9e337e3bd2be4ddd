package raft

import "time"

// A member shuts down gracefully in two steps: it transfers leadership (TransferLeadership), and then repeats leave
// requests to the leader until LeaveStatus.Done. This file implements the leader's side, and MembershipManager.Leave the
// side of the member that shuts down.

// LeaveStatus is the leader's response to a member that is shutting down.
type LeaveStatus struct {
	Replicated bool // a majority of the remaining voters has the member's last entry on disk
	Removed    bool // the member's removal is committed
	KeepsVote  bool // the member remains a voter: there are no more voters than wanted, and no learner is ready to replace it
}

// Done reports whether the member's process may exit.
func (s LeaveStatus) Done() bool { return s.Replicated && (s.Removed || s.KeepsVote) }

// Leave handles the leave request of a member whose newest entry has lastIndex and lastTerm. Once a majority of the other
// voters has this entry, Reconcile removes the member if there are more voters than wanted or a learner is ready to replace
// it. ok is false if this member is not the leader, or if id is its own.
func (n *Node) Leave(now time.Duration, id, lastIndex, lastTerm uint64, wanted int) (status LeaveStatus, ok bool) {
	n.now = now
	if n.state != stateLeader || id == n.id {
		return status, false
	}
	status.Replicated = n.replicatedWithout(id, lastIndex, lastTerm)
	index := peerIndex(n.Peers(), id)
	if index < 0 {
		status.Removed = n.MembershipCommitted()
		return status, true
	}
	status.KeepsVote = n.MembershipCommitted() && n.Peers()[index].Voter && Voters(n.Peers()) <= wanted && n.readyLearner() < 0
	if status.Replicated {
		n.leaving[id] = now
	}
	return status, true
}

// isLeaving reports whether a member has announced its shutdown and has not been restarted since. If it still
// responds when unresponsiveAfter has passed since its last announcement, it has been restarted.
func (n *Node) isLeaving(id uint64) bool {
	announcedAt, known := n.leaving[id]
	p := n.progress[id]
	return known && p != nil && p.lastContact-announcedAt < unresponsiveAfter
}

// replicatedWithout reports whether a majority of the voters other than id has the entry on disk. It returns false if the
// entry is not in this leader's log. Such an entry was never committed, and the member truncates it when it receives the
// leader's entries. Entries up to the snapshot are committed, so their terms are not compared.
func (n *Node) replicatedWithout(id, index, term uint64) bool {
	if t, ok := n.term(index); index > n.snapshot.Index && (!ok || t != term) {
		return false
	}
	voters, replicas := 0, 0
	for _, p := range n.Peers() {
		if !p.Voter || p.Id == id {
			continue
		}
		voters++
		if p.Id == n.id && n.stable >= index || n.progress[p.Id] != nil && n.progress[p.Id].match >= index {
			replicas++
		}
	}
	return replicas > voters/2
}

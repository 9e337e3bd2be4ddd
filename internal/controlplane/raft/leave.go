package raft

import "time"

// Graceful shutdown of a member: its process transfers leadership (TransferLeadership), then asks the leader until its
// log is on a majority of the remaining voters. MembershipManager.Leave is the side of the process that shuts down, and
// this file the leader's.

// LeaveStatus is the leader's answer to a member that is about to shut down.
type LeaveStatus struct {
	Replicated bool // a majority of the remaining voters has the member's last entry on disk
	Removed    bool // it is no longer a member, and that is committed
	KeepsVote  bool // there are no more voters than wanted and no learner to replace it: it remains a voter and may come back
}

// Done reports whether the member may end its process.
func (d LeaveStatus) Done() bool { return d.Replicated && (d.Removed || d.KeepsVote) }

// Leave notes that a member, whose newest entry has lastIndex and lastTerm, is about to shut down, and returns how far
// that has come; ok is false if this member does not lead. If there are more voters than wanted, or a learner is ready
// to replace the member, Reconcile removes it.
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

// isLeaving reports whether a member has announced its shutdown and was not started again since: one that answers long
// after its last announcement was.
func (n *Node) isLeaving(id uint64) bool {
	leftAt, known := n.leaving[id]
	p := n.progress[id]
	return known && p != nil && p.lastContact-leftAt < unresponsiveAfter
}

// replicatedWithout reports whether a majority of all voters but one has an entry on disk. An entry that is not in this
// leader's log was never committed; the member truncates it with the next message, and asks again. Up to the snapshot
// there is nothing to compare, since all of that is committed.
func (n *Node) replicatedWithout(id, index, term uint64) bool {
	if t, ok := n.term(index); index > n.snapshot.Index && (!ok || t != term) {
		return false
	}
	voters, holders := 0, 0
	for _, p := range n.Peers() {
		if !p.Voter || p.Id == id {
			continue
		}
		voters++
		if p.Id == n.id && n.stable >= index || n.progress[p.Id] != nil && n.progress[p.Id].match >= index {
			holders++
		}
	}
	return holders > voters/2
}

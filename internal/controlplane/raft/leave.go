package raft

import (
	"time"
)

// A planned end: the process that got the signal hands over the lead (TransferLeadership), then asks the leader until what its
// log holds is on a majority of the voters that stay. See MembershipManager.Leave for its side.

// LeaveStatus is the answer to a member that is about to end.
type LeaveStatus struct {
	Replicated bool // a majority of the voters that stay has the member's last entry on disk
	Removed    bool // it is no member any longer, and that is committed
	KeepsVote  bool // no more voters than wanted are there, and nobody to take its place: it keeps its vote and may come back
}

// Done tells whether the member may end.
func (d LeaveStatus) Done() bool { return d.Replicated && (d.Removed || d.KeepsVote) }

// Leave notes that a member is about to end, and answers how far that has come; ok is false where this process does not
// lead. Where more voters than wanted are there, or a learner is ready to take its place, Reconcile removes it.
func (n *Node) Leave(now time.Duration, id, lastIndex, lastTerm uint64, wanted int) (d LeaveStatus, ok bool) {
	n.now = now
	if n.state != stateLeader || id == n.id {
		return d, false
	}
	d.Replicated = n.replicatedWithout(id, lastIndex, lastTerm)
	index := peerIndex(n.Peers(), id)
	if index < 0 {
		d.Removed = n.MembershipCommitted()
		return d, true
	}
	d.KeepsVote = n.MembershipCommitted() && n.Peers()[index].Voter && Voters(n.Peers()) <= wanted && n.readyLearner() < 0
	if d.Replicated {
		n.leaving[id] = now
	}
	return d, true
}

// isLeaving tells whether a member has said that it is about to end, and has not come back since: one that answers
// long after it last said so has been started again.
func (n *Node) isLeaving(id uint64) bool {
	leftAt, known := n.leaving[id]
	p := n.progress[id]
	return known && p != nil && p.lastContact-leftAt < unresponsiveAfter
}

// replicatedWithout tells whether a majority of the voters but one has an entry on disk. An entry that is not in this leader's
// log was never committed; the member drops it with the next message and asks for what it has then. Up to the snapshot
// there is nothing to compare: it is committed.
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

package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Reconcile returns the next change towards a membership with the wanted number of responsive voters (see WantedVoters). It
// removes voters only for a RemovalReason, and promotes learners that have caught up.
//
// An unresponsive voter is removed first, and its replacement is promoted by the next change. The removal alone does not
// increase the number of responsive voters needed for a majority, whereas a promotion first could make the new voter
// necessary for a majority at once. All state of a replacement is in the membership, so a new leader can complete it
// immediately. See docs/decisions/0001-membership-changes.md.
func (n *Node) Reconcile(wanted int) MembershipChange {
	if n.state != stateLeader || !n.MembershipCommitted() {
		return MembershipChange{}
	}
	n.catchUp.sample(n.now, n.last())
	for _, next := range []func(int) MembershipChange{n.nextRemoval, n.nextPromotion, n.nextLearnerRemoval} {
		if change := next(wanted); change.Next != nil {
			return change
		}
	}
	return MembershipChange{}
}

// nextRemoval returns the first removal of a voter for which there is a reason and which mayRemove allows.
func (n *Node) nextRemoval(wanted int) MembershipChange {
	peers := n.Peers()
	hasReplacement := n.readyLearner() >= 0
	for i, p := range peers {
		if !p.Voter || p.Id == n.id {
			continue
		}
		reason := n.removalReason(i, hasReplacement)
		next := removePeerAt(peers, i)
		if reason != ReasonNone && n.mayRemove(next, wanted, hasReplacement) {
			return MembershipChange{Next: next, Peer: p, Event: MemberRemoved, Reason: reason}
		}
	}
	return MembershipChange{}
}

// removalReason returns the reason to remove the voter at index. hasReplacement reports whether a learner is ready to
// replace it.
func (n *Node) removalReason(index int, hasReplacement bool) RemovalReason {
	p := n.Peers()[index]
	switch {
	case superseded(p, n.Peers()):
		return ReasonSuperseded
	case n.isLeaving(p.Id):
		return ReasonLeft
	case hasReplacement && index == n.longestUnresponsive():
		return ReasonReplaced
	}
	return ReasonNone
}

// superseded reports whether a member after p in peers has the same address, which means that p's disk is lost.
func superseded(p *wire.Peer, peers []*wire.Peer) bool {
	later := peers[peerIndex(peers, p.Id)+1:]
	return p.Address != "" && slices.ContainsFunc(later, func(q *wire.Peer) bool { return q.Address == p.Address })
}

// nextPromotion returns the promotion of a learner that has caught up. If there are enough voters and one of them is
// suspect, the promotion waits for up to maxPromotionDelay, since the learner may have to replace that voter.
func (n *Node) nextPromotion(wanted int) MembershipChange {
	peers := n.Peers()
	i := n.readyLearner()
	if i < 0 || Voters(peers) >= maxVoters {
		return MembershipChange{}
	}
	p := peers[i]
	if Voters(peers) >= wanted && n.anySuspectVoter() && n.now-n.progress[p.Id].readySince < maxPromotionDelay {
		return MembershipChange{}
	}
	next := slices.Clone(peers)
	next[i] = &wire.Peer{Id: p.Id, Address: p.Address, ControlAddress: p.ControlAddress, Voter: true}
	return MembershipChange{Next: next, Peer: p, Event: MemberPromoted}
}

// readyLearner returns the index of a learner that may be promoted, or -1 if there is none.
func (n *Node) readyLearner() int {
	peers := n.Peers()
	return slices.IndexFunc(peers, func(p *wire.Peer) bool {
		return !p.Voter && !superseded(p, peers) && !n.isLeaving(p.Id) && n.learnerReady(p.Id)
	})
}

// learnerReady reports whether a learner is in contact and has caught up. It updates the learner's readySince.
func (n *Node) learnerReady(id uint64) bool {
	p := n.progress[id]
	if p == nil {
		return false
	}
	caughtUp := p.match >= n.committed || n.catchUp.targetIndex > 0 && p.match >= n.catchUp.targetIndex
	if !n.inContact(id) || !caughtUp {
		p.readySince = 0
		return false
	}
	if p.readySince == 0 {
		p.readySince = n.now
	}
	return true
}

// longestUnresponsive returns the index of the voter that has been unresponsive for longest, or -1 if there is none.
func (n *Node) longestUnresponsive() int {
	longestIndex, longest := -1, time.Duration(0)
	for i, p := range n.Peers() {
		if duration := n.unresponsiveFor(p.Id); p.Voter && duration > longest {
			longestIndex, longest = i, duration
		}
	}
	return longestIndex
}

// anySuspectVoter reports whether any voter is suspect, that is neither in contact nor unresponsive yet.
func (n *Node) anySuspectVoter() bool {
	return slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool {
		return p.Voter && !n.inContact(p.Id) && n.unresponsiveFor(p.Id) == 0
	})
}

// nextLearnerRemoval returns the removal of a learner that is leaving, whose disk is lost, or that has been unresponsive
// for learnerTimeout. A removed learner that returns joins again.
func (n *Node) nextLearnerRemoval(int) MembershipChange {
	peers := n.Peers()
	for i, p := range peers {
		reason := ReasonNone
		switch {
		case p.Voter:
		case superseded(p, peers):
			reason = ReasonSuperseded
		case n.isLeaving(p.Id):
			reason = ReasonLeft
		case n.unresponsiveFor(p.Id) > learnerTimeout:
			reason = ReasonUnresponsive
		}
		if reason != ReasonNone {
			return MembershipChange{Next: removePeerAt(peers, i), Peer: p, Event: LearnerRemoved, Reason: reason}
		}
	}
	return MembershipChange{}
}

// mayRemove reports whether a voter may be removed. next is the membership without it. The number of voters must not fall
// below wanted, or below wanted-1 if a learner is ready to replace the voter. A majority must be in contact, and the
// number of tolerated failures must not decrease.
func (n *Node) mayRemove(next []*wire.Peer, wanted int, hasReplacement bool) bool {
	if hasReplacement {
		wanted--
	}
	commits := n.toleratedFailures(next, true) >= 0 // leaving members still vote and acknowledge
	return Voters(next) >= wanted && commits && n.toleratedFailures(next, false) >= n.toleratedFailures(n.Peers(), false)
}

// toleratedFailures returns how many of the voters in contact may fail without loss of the majority that elections and
// commits need. It is negative if no majority is in contact. Leaving members count as in contact only if includeLeaving
// is set.
func (n *Node) toleratedFailures(peers []*wire.Peer, includeLeaving bool) int {
	available := 0
	for _, p := range peers {
		if p.Voter && n.inContact(p.Id) && (includeLeaving || !n.isLeaving(p.Id)) {
			available++
		}
	}
	return available - (Voters(peers)/2 + 1)
}

// catchUpTracker samples the leader's last index at intervals of at least maxCatchUpLag. A learner that has reached the
// previous sample has caught up, even if new entries are proposed continuously (thesis, 4.2.1: rounds of replication).
type catchUpTracker struct {
	sampledAt    time.Duration
	sampledIndex uint64 // last index at sampledAt
	targetIndex  uint64 // last index at the previous sample
}

func (t *catchUpTracker) sample(now time.Duration, last uint64) {
	if now-t.sampledAt < maxCatchUpLag {
		return
	}
	t.targetIndex = t.sampledIndex
	t.sampledIndex, t.sampledAt = last, now
}

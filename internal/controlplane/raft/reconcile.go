package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Reconcile is the leader's upkeep of its members: it returns the next change towards a membership in which all voters
// are there. Voters are removed by evidence alone, and learners that have caught up become voters. A silent voter goes
// out first and its successor comes in by the very next change: with the silent one out the same voters are needed as
// before, while a successor that came in first would be needed at once. What is half done is seen by the membership
// alone, so that a new leader goes on with it without waiting. wanted is the number of voters that the losses to be
// borne ask for. See docs/decisions/0001-membership-changes.md.
func (n *Node) Reconcile(wanted int) MembershipChange {
	if n.state != stateLeader || !n.MembershipCommitted() {
		return MembershipChange{}
	}
	n.catchUp.sample(n.now, n.last())
	for _, next := range []func(int) MembershipChange{n.nextRemoval, n.nextPromotion, n.nextLearnerRemoval} {
		if m := next(wanted); m.Next != nil {
			return m
		}
	}
	return MembershipChange{}
}

// nextRemoval removes a voter for which there is evidence, as soon as the others can spare it.
func (n *Node) nextRemoval(wanted int) MembershipChange {
	peers := n.Peers()
	successor := n.readyLearner() >= 0
	for i, p := range peers {
		if !p.Voter || p.Id == n.id {
			continue
		}
		reason := n.removalReason(i, successor)
		next := without(peers, i)
		if reason != ReasonNone && n.mayRemove(next, wanted, successor) {
			return MembershipChange{Next: next, Peer: p, Event: MemberRemoved, Reason: reason}
		}
	}
	return MembershipChange{}
}

// removalReason returns the evidence against a voter; successor tells that a learner is ready.
func (n *Node) removalReason(index int, successor bool) RemovalReason {
	p := n.Peers()[index]
	switch {
	case superseded(p, n.Peers()):
		return ReasonSuperseded
	case n.isLeaving(p.Id):
		return ReasonLeft
	case successor && index == n.longestUnresponsive():
		return ReasonReplaced
	}
	return ReasonNone
}

// superseded tells whether a member that came later has a member's address: the disk that the identity stood for is
// gone.
func superseded(p *wire.Peer, peers []*wire.Peer) bool {
	later := peers[peerIndex(peers, p.Id)+1:]
	return p.Address != "" && slices.ContainsFunc(later, func(q *wire.Peer) bool { return q.Address == p.Address })
}

// nextPromotion makes a learner that has caught up a voter. Where enough voters are there and one of them is neither in
// contact nor silent, it waits: the learner may be its successor.
func (n *Node) nextPromotion(wanted int) MembershipChange {
	peers := n.Peers()
	i := n.readyLearner()
	if i < 0 || Voters(peers) >= maxVoters {
		return MembershipChange{}
	}
	p := peers[i]
	if Voters(peers) >= wanted && n.anyUndecided() && n.now-n.progress[p.Id].readySince < undecidedWait {
		return MembershipChange{}
	}
	next := slices.Clone(peers)
	next[i] = &wire.Peer{Id: p.Id, Address: p.Address, ControlAddress: p.ControlAddress, Voter: true}
	return MembershipChange{Next: next, Peer: p, Event: MemberPromoted}
}

// readyLearner returns the place of a learner that may become a voter; -1: there is none.
func (n *Node) readyLearner() int {
	peers := n.Peers()
	return slices.IndexFunc(peers, func(p *wire.Peer) bool {
		return !p.Voter && !superseded(p, peers) && !n.isLeaving(p.Id) && n.ready(p.Id)
	})
}

// ready tells whether a learner is in contact and has caught up, and notes since when.
func (n *Node) ready(id uint64) bool {
	p := n.progress[id]
	if p == nil {
		return false
	}
	caughtUp := p.match >= n.committed || n.catchUp.target > 0 && p.match >= n.catchUp.target
	if !n.inContact(id) || !caughtUp {
		p.readySince = 0
		return false
	}
	if p.readySince == 0 {
		p.readySince = n.now
	}
	return true
}

// longestUnresponsive returns the place of the voter that has been silent for longest; -1: none is silent.
func (n *Node) longestUnresponsive() int {
	longestIndex, longest := -1, time.Duration(0)
	for i, p := range n.Peers() {
		if duration := n.unresponsiveFor(p.Id); p.Voter && duration > longest {
			longestIndex, longest = i, duration
		}
	}
	return longestIndex
}

// anyUndecided tells whether a voter is neither in contact nor silent, so that it will be known in a moment which of the two.
func (n *Node) anyUndecided() bool {
	return slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool {
		return p.Voter && !n.inContact(p.Id) && n.unresponsiveFor(p.Id) == 0
	})
}

// nextLearnerRemoval forgets a learner whose disk is gone or that has been silent for long. If it comes back, it joins
// again.
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
			return MembershipChange{Next: without(peers, i), Peer: p, Event: LearnerRemoved, Reason: reason}
		}
	}
	return MembershipChange{}
}

// mayRemove is the rule for every removal of a voter: never with less to spare than before or without a majority that is
// in contact, and not below the wanted number, unless a learner is ready to come in by the very next change.
func (n *Node) mayRemove(next []*wire.Peer, wanted int, successor bool) bool {
	if successor {
		wanted--
	}
	commits := n.sparedVoters(next, true) >= 0 // those that are about to end still do their part
	return Voters(next) >= wanted && commits && n.sparedVoters(next, false) >= n.sparedVoters(n.Peers(), false)
}

// sparedVoters is the number of voters in contact beyond a majority: how many of them may be lost, with elections and commits
// going on. It is negative where no majority is in contact. Those that are about to end may be left out.
func (n *Node) sparedVoters(peers []*wire.Peer, departing bool) int {
	live := 0
	for _, p := range peers {
		if p.Voter && n.inContact(p.Id) && (departing || !n.isLeaving(p.Id)) {
			live++
		}
	}
	return live - (Voters(peers)/2 + 1)
}

// catchUp holds two samples of the last index of the leader's log, by which Reconcile sees that a learner is no more
// than some heartbeats behind, although new entries come all the time.
type catchUp struct {
	sampledAt time.Duration
	sampled   uint64 // last index at sampledAt
	target    uint64 // last index at the sample before
}

func (u *catchUp) sample(now time.Duration, last uint64) {
	if now-u.sampledAt < maxCatchUpLag {
		return
	}
	u.target = u.sampled
	u.sampled, u.sampledAt = last, now
}

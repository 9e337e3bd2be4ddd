package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Reconcile returns the next change by which a leader brings the membership towards one of responsive voters, so many as
// WantedVoters asks for. Voters are removed on evidence alone, and learners that have caught up are promoted.
//
// An unresponsive voter is removed first and its replacement promoted by the very next change: without the unresponsive
// one, the same voters make a majority as before, while a replacement that came first would be needed for it at once.
// The membership alone shows what is half done, so a new leader goes on with it without a wait. See
// docs/decisions/0001-membership-changes.md.
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

// nextRemoval removes a voter against which there is evidence, as soon as the others can spare it.
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

// removalReason returns the evidence against a voter; successor says that a learner is ready to replace it.
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

// superseded reports whether a later member has a member's address: the disk with the member's identity is lost.
func superseded(p *wire.Peer, peers []*wire.Peer) bool {
	later := peers[peerIndex(peers, p.Id)+1:]
	return p.Address != "" && slices.ContainsFunc(later, func(q *wire.Peer) bool { return q.Address == p.Address })
}

// nextPromotion promotes a learner that has caught up. If there are enough voters and one of them is neither in contact
// nor unresponsive, it waits: the learner may have to replace that one.
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

// readyLearner returns the index of a learner that may be promoted; -1: there is none.
func (n *Node) readyLearner() int {
	peers := n.Peers()
	return slices.IndexFunc(peers, func(p *wire.Peer) bool {
		return !p.Voter && !superseded(p, peers) && !n.isLeaving(p.Id) && n.ready(p.Id)
	})
}

// ready reports whether a learner is in contact and has caught up, and notes since when.
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

// longestUnresponsive returns the index of the voter that has been unresponsive for longest; -1: none is.
func (n *Node) longestUnresponsive() int {
	longestIndex, longest := -1, time.Duration(0)
	for i, p := range n.Peers() {
		if duration := n.unresponsiveFor(p.Id); p.Voter && duration > longest {
			longestIndex, longest = i, duration
		}
	}
	return longestIndex
}

// anyUndecided reports whether a voter is neither in contact nor unresponsive: which of the two shows in a moment.
func (n *Node) anyUndecided() bool {
	return slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool {
		return p.Voter && !n.inContact(p.Id) && n.unresponsiveFor(p.Id) == 0
	})
}

// nextLearnerRemoval removes a learner that has left, whose disk is lost or that has been unresponsive for long. If it
// comes back, it joins again.
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

// mayRemove is the rule for every removal of a voter: never below the wanted number, unless a learner is ready to be
// promoted by the very next change; never without a majority in contact; and never with fewer voters to spare than
// before.
func (n *Node) mayRemove(next []*wire.Peer, wanted int, successor bool) bool {
	if successor {
		wanted--
	}
	commits := n.sparedVoters(next, true) >= 0 // members that are leaving still take part
	return Voters(next) >= wanted && commits && n.sparedVoters(next, false) >= n.sparedVoters(n.Peers(), false)
}

// sparedVoters is the number of voters in contact beyond a majority: how many of them may be lost while elections and
// commits go on. It is negative without a majority in contact. Members that are leaving count only if asked for.
func (n *Node) sparedVoters(peers []*wire.Peer, departing bool) int {
	live := 0
	for _, p := range peers {
		if p.Voter && n.inContact(p.Id) && (departing || !n.isLeaving(p.Id)) {
			live++
		}
	}
	return live - (Voters(peers)/2 + 1)
}

// catchUp has two samples of the leader's last index, by which Reconcile sees that a learner lags by no more than some
// heartbeats, although new entries are proposed all the time (thesis, 4.2.1: rounds of replication).
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

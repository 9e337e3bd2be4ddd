package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Timing and sizes of the membership. No voter is removed because a time has passed:
// silence alone is no evidence, see nextRemoval.
const (
	unresponsiveAfter         = time.Second            // a voter that has not answered for so long may be replaced by a learner that is ready
	unresponsiveAfterElection = 400 * time.Millisecond // ... and so may one that has not answered a new leader at all for so long
	contactTimeout            = recentContact          // a member that has answered within this time is in contact
	undecidedWait             = 2 * unresponsiveAfter  // so long a ready learner waits for voters that are neither in contact nor silent
	learnerTimeout            = 30 * time.Second       // silence after which a learner, which has no vote to lose, is forgotten
	maxVoters                 = 7
	maxCatchUpLag             = Heartbeat // a learner that has what the log had so long ago has caught up
)

// MembershipEvent names a change of the membership in the log of events.
type MembershipEvent string

// The changes of the membership.
const (
	MemberAdded    MembershipEvent = "member.added"    // as a learner
	MemberMoved    MembershipEvent = "member.moved"    // to another address
	MemberPromoted MembershipEvent = "member.promoted" // from learner to voter
	MemberRemoved  MembershipEvent = "member.removed"
	LearnerRemoved MembershipEvent = "member.learner_removed"
)

// RemovalReason is the evidence on which a member is removed.
type RemovalReason string

// The evidence. Silence is none: a member that is cut off may come back with its disk.
const (
	ReasonNone         RemovalReason = ""
	ReasonSuperseded   RemovalReason = "superseded" // its address came back with another identity: its disk is gone
	ReasonReplaced     RemovalReason = "replaced"   // it is silent, and a learner is ready to take its place
	ReasonLeft         RemovalReason = "left"       // it ended by plan, and said so
	ReasonOperator     RemovalReason = "operator"
	ReasonUnresponsive RemovalReason = "silent" // learners alone
)

// MembershipChange is a change of the members that a leader should propose.
type MembershipChange struct {
	Next   []*wire.Peer // the members after it; nil: no change
	Peer   *wire.Peer   // whom it concerns
	Event  MembershipEvent
	Reason RemovalReason // of a removal
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

// Voters counts the members that vote.
func Voters(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// WantedVoters is the number of voters that stay able to elect and commit over the loss of some, where as many seeds
// are there at least.
func WantedVoters(tolerated, seeds int) int { return min(2*tolerated+1, seeds) }

// MinAckVoters is the number of voters below which a leader must not acknowledge: a majority of as many is one more
// than the losses to be borne. It is one below WantedVoters, for the moment of a replacement.
func MinAckVoters(tolerated, seeds int) int { return min(max(1, 2*tolerated), seeds) }

func peerIndex(peers []*wire.Peer, id uint64) int {
	return slices.IndexFunc(peers, func(p *wire.Peer) bool { return p.Id == id })
}

// isMember tells whether the newest membership, committed or not, has a member.
func (n *Node) isMember(id uint64) bool { return peerIndex(n.Peers(), id) >= 0 }

// without returns the members but for one.
func without(peers []*wire.Peer, i int) []*wire.Peer {
	return slices.Delete(slices.Clone(peers), i, i+1)
}

// inContact tells whether a member has answered this leader a moment ago and holds the membership in force, so that it
// can be counted on for the next step.
func (n *Node) inContact(id uint64) bool {
	if id == n.id {
		return true
	}
	p := n.progress[id]
	return p != nil && p.heartbeatRound > 0 && n.now-p.lastContact < contactTimeout && p.match >= n.memberships[len(n.memberships)-1].index
}

// unresponsiveFor tells for how long a member has not answered, counted from the begin of this leader's term at the earliest;
// 0: it has, within unresponsiveAfter.
func (n *Node) unresponsiveFor(id uint64) time.Duration {
	p := n.progress[id]
	if id == n.id || p == nil {
		return 0
	}
	enough := unresponsiveAfter
	if p.heartbeatRound == 0 {
		enough = unresponsiveAfterElection
	}
	if n.now-p.lastContact < enough {
		return 0
	}
	return n.now - p.lastContact
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

// mayRemove is the rule for every removal of a voter: never with less to spare than before or without a majority that is
// in contact, and not below the wanted number, unless a learner is ready to come in by the very next change.
func (n *Node) mayRemove(next []*wire.Peer, wanted int, successor bool) bool {
	if successor {
		wanted--
	}
	commits := n.sparedVoters(next, true) >= 0 // those that are about to end still do their part
	return Voters(next) >= wanted && commits && n.sparedVoters(next, false) >= n.sparedVoters(n.Peers(), false)
}

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

// JoinChange is the change that takes a process in, as a learner: it has no vote before it has the log. One that is a
// member under another address moves. member tells that nothing is to be done. The newest claim on an address is
// the last in the list, by which superseded knows whose disk is gone.
func (n *Node) JoinChange(p *wire.Peer) (m MembershipChange, member bool) {
	peers := n.Peers()
	i := peerIndex(peers, p.Id)
	if i < 0 {
		next := append(slices.Clone(peers), &wire.Peer{Id: p.Id, Address: p.Address, ControlAddress: p.ControlAddress})
		return MembershipChange{Next: next, Peer: p, Event: MemberAdded}, false
	}
	if peers[i].Address == p.Address && peers[i].ControlAddress == p.ControlAddress && !superseded(peers[i], peers) {
		return MembershipChange{}, true
	}
	moved := proto.CloneOf(peers[i])
	moved.Address, moved.ControlAddress = p.Address, p.ControlAddress
	return MembershipChange{Next: append(without(peers, i), moved), Peer: p, Event: MemberMoved}, false
}

// RemovalChange is the change by which an operator removes a member: one that does not answer, and only where the voters can
// spare it. A running member would join again at once; its process is to be ended first.
func (n *Node) RemovalChange(now time.Duration, id uint64, wanted int) (MembershipChange, error) {
	n.now = now
	if n.state != stateLeader {
		return MembershipChange{}, ErrNotLeader
	}
	peers := n.Peers()
	i := peerIndex(peers, id)
	switch {
	case i < 0:
		return MembershipChange{}, ErrNotMember
	case id == n.id || n.unresponsiveFor(id) == 0:
		return MembershipChange{}, ErrMemberAlive
	case peers[i].Voter && !n.mayRemove(without(peers, i), wanted, false):
		return MembershipChange{}, ErrTooFewVoters
	}
	return MembershipChange{Next: without(peers, i), Peer: peers[i], Event: MemberRemoved, Reason: ReasonOperator}, nil
}

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

package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Timing and limits of membership changes. A timeout alone never removes a voter: see nextRemoval.
const (
	unresponsiveAfter         = time.Second            // a voter without a response for this time may be replaced by a ready learner
	unresponsiveAfterElection = 400 * time.Millisecond // the same, for a member that has never responded to this leader
	contactTimeout            = recentContact          // a member that has responded within this time is in contact
	maxPromotionDelay         = 2 * unresponsiveAfter  // longest wait of a ready learner for suspect voters: see nextPromotion
	learnerTimeout            = 30 * time.Second       // a learner without a response for this time is removed
	maxVoters                 = 7
	maxCatchUpLag             = Heartbeat // a learner has caught up if it has the entries that the leader had this long ago
)

// MembershipEvent is the name of a membership change in the event log: see docs/operations.md.
type MembershipEvent string

// The membership changes.
const (
	MemberAdded    MembershipEvent = "member.added"    // added as a learner
	MemberMoved    MembershipEvent = "member.moved"    // its address has changed
	MemberPromoted MembershipEvent = "member.promoted" // promoted from learner to voter
	MemberRemoved  MembershipEvent = "member.removed"
	LearnerRemoved MembershipEvent = "member.learner_removed"
)

// RemovalReason is the reason for a member's removal, as it appears in the event log.
type RemovalReason string

// The reasons for a removal. A timeout alone is no reason to remove a voter: a partitioned member may return with its disk.
const (
	ReasonNone         RemovalReason = ""
	ReasonSuperseded   RemovalReason = "superseded" // another identity has joined from its address, so its disk is lost
	ReasonReplaced     RemovalReason = "replaced"   // it is unresponsive and a learner is ready to replace it
	ReasonLeft         RemovalReason = "left"       // it shuts down gracefully
	ReasonOperator     RemovalReason = "operator"   // an operator has requested the removal
	ReasonUnresponsive RemovalReason = "silent"     // learners only: it has been unresponsive for learnerTimeout
)

// MembershipChange is a membership change for the leader to propose.
type MembershipChange struct {
	Next   []*wire.Peer // the membership after the change; nil if there is no change
	Peer   *wire.Peer   // the member that is added, changed or removed
	Event  MembershipEvent
	Reason RemovalReason // empty unless Peer is removed
}

// peerIndex returns the index in peers of the member with identity id, or -1 if there is none.
func peerIndex(peers []*wire.Peer, id uint64) int {
	return slices.IndexFunc(peers, func(p *wire.Peer) bool { return p.Id == id })
}

// isMember reports whether id is in the newest membership, committed or not.
func (n *Node) isMember(id uint64) bool { return peerIndex(n.Peers(), id) >= 0 }

// removePeerAt returns a copy of peers without the member at index i.
func removePeerAt(peers []*wire.Peer, i int) []*wire.Peer {
	return slices.Delete(slices.Clone(peers), i, i+1)
}

// inContact reports whether a member has responded to this leader within contactTimeout and has the newest membership on
// disk. The next membership change can rely on such a member.
func (n *Node) inContact(id uint64) bool {
	if id == n.id {
		return true
	}
	p := n.progress[id]
	return p != nil && p.heartbeatRound > 0 && n.now-p.lastContact < contactTimeout && p.match >= n.newestMembership().index
}

// unresponsiveFor returns the time since the last response of an unresponsive member. If there was none, it counts from
// the start of this leadership or the member's addition. It returns zero if the member is not unresponsive.
func (n *Node) unresponsiveFor(id uint64) time.Duration {
	p := n.progress[id]
	if id == n.id || p == nil {
		return 0
	}
	threshold := unresponsiveAfter
	if p.heartbeatRound == 0 {
		threshold = unresponsiveAfterElection
	}
	if n.now-p.lastContact < threshold {
		return 0
	}
	return n.now - p.lastContact
}

// JoinChange returns the change that adds a process as a learner, which has no vote until it has the log (thesis, 4.2.1),
// or that updates the addresses of a member. isMember is true if there is nothing to change. An updated member moves to the
// end of the list, because superseded compares the order of members with the same address.
func (n *Node) JoinChange(p *wire.Peer) (change MembershipChange, isMember bool) {
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
	return MembershipChange{Next: append(removePeerAt(peers, i), moved), Peer: p, Event: MemberMoved}, false
}

// RemovalChange returns the change by which an operator removes a member. The member must be unresponsive, and removing a
// voter must be allowed by mayRemove. The error is ErrNotLeader, ErrNotMember, ErrMemberAlive or ErrTooFewVoters.
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
	case peers[i].Voter && !n.mayRemove(removePeerAt(peers, i), wanted, false):
		return MembershipChange{}, ErrTooFewVoters
	}
	return MembershipChange{Next: removePeerAt(peers, i), Peer: peers[i], Event: MemberRemoved, Reason: ReasonOperator}, nil
}

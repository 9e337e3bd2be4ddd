package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Timing and sizes of the membership. No voter is removed because a time has passed: a timeout alone is no evidence, see
// nextRemoval.
const (
	unresponsiveAfter         = time.Second            // without an answer for so long, a voter may be replaced by a ready learner ...
	unresponsiveAfterElection = 400 * time.Millisecond // ... and without any answer to a new leader, for so long
	contactTimeout            = recentContact          // a member that has answered within this time is in contact
	undecidedWait             = 2 * unresponsiveAfter  // max. wait of a ready learner for voters that are neither in contact nor unresponsive
	learnerTimeout            = 30 * time.Second       // an unresponsive learner, which has no vote to lose, is removed
	maxVoters                 = 7
	maxCatchUpLag             = Heartbeat // a learner that has what the log had so long ago has caught up
)

// MembershipEvent names a membership change in the event log: see docs/operations.md.
type MembershipEvent string

// The membership changes.
const (
	MemberAdded    MembershipEvent = "member.added"    // as a learner
	MemberMoved    MembershipEvent = "member.moved"    // to another address
	MemberPromoted MembershipEvent = "member.promoted" // from learner to voter
	MemberRemoved  MembershipEvent = "member.removed"
	LearnerRemoved MembershipEvent = "member.learner_removed"
)

// RemovalReason is the evidence on which a member is removed.
type RemovalReason string

// The evidence. A timeout is none for a voter: a member that is partitioned may come back with its disk.
const (
	ReasonNone         RemovalReason = ""
	ReasonSuperseded   RemovalReason = "superseded" // its address has joined with another identity: its disk is lost
	ReasonReplaced     RemovalReason = "replaced"   // it is unresponsive, and a learner is ready to replace it
	ReasonLeft         RemovalReason = "left"       // graceful shutdown
	ReasonOperator     RemovalReason = "operator"
	ReasonUnresponsive RemovalReason = "silent" // of a learner
)

// MembershipChange is a change that a leader should propose.
type MembershipChange struct {
	Next   []*wire.Peer // the membership after it; nil: no change
	Peer   *wire.Peer   // the member that it adds, changes or removes
	Event  MembershipEvent
	Reason RemovalReason // of a removal
}

// peerIndex returns the index of a member; -1: it is none.
func peerIndex(peers []*wire.Peer, id uint64) int {
	return slices.IndexFunc(peers, func(p *wire.Peer) bool { return p.Id == id })
}

// isMember reports whether a process is in the newest membership, committed or not.
func (n *Node) isMember(id uint64) bool { return peerIndex(n.Peers(), id) >= 0 }

// without returns a membership less the member with an index.
func without(peers []*wire.Peer, i int) []*wire.Peer {
	return slices.Delete(slices.Clone(peers), i, i+1)
}

// inContact reports whether a member has answered this leader within contactTimeout and has the newest membership, so
// that the next change can count on it.
func (n *Node) inContact(id uint64) bool {
	if id == n.id {
		return true
	}
	p := n.progress[id]
	return p != nil && p.heartbeatRound > 0 && n.now-p.lastContact < contactTimeout && p.match >= n.newestMembership().index
}

// unresponsiveFor returns for how long a member has not answered, counted from the begin of this leadership at the
// earliest; 0: it is responsive.
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

// JoinChange is the change by which a process becomes a member, as a learner: it has no vote before it has the log
// (thesis, 4.2.1). A member that has another address now moves to it. member reports that there is nothing to change.
// The newest member with an address is the last one in the list, by which superseded knows whose disk is lost.
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

// RemovalChange is the change by which an operator removes a member: an unresponsive one, and only if the other voters
// can spare it. The error is ErrNotLeader, ErrNotMember, ErrMemberAlive or ErrTooFewVoters.
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

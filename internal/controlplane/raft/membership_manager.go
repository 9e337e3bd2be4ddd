package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing of the questions for membership.
const (
	noLeaderTimeout = 2 * electionMax        // a process that has heard no leader for so long asks whether it is a member
	joinInterval    = 250 * time.Millisecond // between two rounds of questions
	joinFanout      = 4                      // processes in a round
	reconcileGap    = 100 * time.Millisecond // between two looks of a leader at its members, if nothing has changed
)

// MembershipManager is what a quorum member does for the membership, its own and, as the leader, that of others. It is a
// pure state machine: the driver calls Tick with the time after whatever it has given to the Node, carries out the
// actions, and hands in what comes of them. Membership is confirmed by contact and not by the own log, which may be
// of a time before this process was removed.
type MembershipManager struct {
	node    *Node
	leaving bool // this process is about to end

	joinedAt    time.Duration
	joinTargets []string // in this round
	nextTarget  int      // of those to ask
	hint        string   // the leader's address, as another has named it

	reconciledAt   time.Duration
	committedIndex uint64 // index of the newest membership that was found committed
	wasLeader      bool   // it led at the last Tick
}

// MembershipActions are what the driver has to do after a Tick.
type MembershipActions struct {
	Propose MembershipChange // to be proposed by Node.Change; no Next: nothing
	JoinAt  []string         // addresses of the processes that are to be asked to let this one join
}

// NewMembershipManager returns the manager of a node.
func NewMembershipManager(node *Node) *MembershipManager {
	return &MembershipManager{node: node, joinedAt: -joinInterval}
}

// Tick takes the time. self is this process as it wants to be known, wanted the number of voters that the losses to be
// borne ask for, and known the addresses of processes that may be members.
func (m *MembershipManager) Tick(now time.Duration, self *wire.Peer, wanted int, known func() []string) MembershipActions {
	if m.node.IsLeader() {
		return MembershipActions{Propose: m.reconcile(now, wanted)}
	}
	m.wasLeader = false
	if m.leaving || !m.mustJoin(now, self) || now-m.joinedAt < joinInterval {
		return MembershipActions{}
	}
	m.joinedAt = now
	m.joinTargets = m.chooseJoinTargets(self, known())
	return MembershipActions{JoinAt: m.joinTargets}
}

// reconcile looks at the members where one of them may be due: at once when this node has begun to lead or when the
// last change is committed, else from time to time.
func (m *MembershipManager) reconcile(now time.Duration, wanted int) MembershipChange {
	newest := m.node.memberships[len(m.node.memberships)-1].index
	due := !m.wasLeader || m.node.MembershipCommitted() && newest != m.committedIndex
	if !due && now-m.reconciledAt < reconcileGap {
		return MembershipChange{}
	}
	m.wasLeader, m.reconciledAt = true, now
	if m.node.MembershipCommitted() {
		m.committedIndex = newest
	}
	m.node.now = now
	return m.node.Reconcile(wanted)
}

// mustJoin tells whether this process cannot be sure to be a member under its present address.
func (m *MembershipManager) mustJoin(now time.Duration, self *wire.Peer) bool {
	c := m.node
	index := peerIndex(c.Peers(), self.Id)
	if index < 0 || c.removedElsewhere {
		return true
	}
	own := c.Peers()[index]
	if own.Address != self.Address || own.ControlAddress != self.ControlAddress {
		return true
	}
	return now-max(c.startedAt, c.leaderContactAt, c.quorumContactAt) > noLeaderTimeout
}

// chooseJoinTargets returns whom to ask in this round: the leader that another has named, the members of the own log, and those
// that are known otherwise, some at a time.
func (m *MembershipManager) chooseJoinTargets(self *wire.Peer, known []string) []string {
	var all []string
	add := func(address string) {
		if address != "" && address != self.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	add(m.hint)
	m.hint = ""
	hinted := len(all)
	for _, p := range m.node.Peers() {
		add(p.Address)
	}
	for _, address := range known {
		add(address)
	}
	if len(all) <= joinFanout {
		return all
	}
	chosen := all[:hinted:hinted]
	rest := all[hinted:]
	for i := 0; len(chosen) < joinFanout; i++ {
		chosen = append(chosen, rest[(m.nextTarget+i)%len(rest)])
	}
	m.nextTarget = (m.nextTarget + joinFanout - hinted) % len(rest)
	return chosen
}

// HandleJoinResponse takes the answer of a process that was asked. It returns the leader's address if that is to be asked at once,
// else nothing.
func (m *MembershipManager) HandleJoinResponse(answer *wire.JoinResponse) string {
	if answer.Member || answer.Leader == "" || m.leaving {
		return ""
	}
	m.hint = answer.Leader
	if slices.Contains(m.joinTargets, answer.Leader) {
		return ""
	}
	m.joinTargets = append(m.joinTargets, answer.Leader)
	return answer.Leader
}

// HandleJoin answers a process that asks to be a member: it returns the change that a leader has to propose, if any.
func (m *MembershipManager) HandleJoin(now time.Duration, p *wire.Peer) (MembershipChange, *wire.JoinResponse) {
	c := m.node
	if !c.IsLeader() {
		return MembershipChange{}, &wire.JoinResponse{Leader: c.leaderAddress()}
	}
	c.now = now
	delete(c.leaving, p.Id) // it has come back
	change, member := c.JoinChange(p)
	return change, &wire.JoinResponse{Member: member}
}

// Leave begins the planned end of this process: it asks for membership no more.
func (m *MembershipManager) Leave() { m.leaving = true }

// HandleLeave answers a member that is about to end.
func (m *MembershipManager) HandleLeave(now time.Duration, q *wire.LeaveRequest, wanted int) *wire.LeaveResponse {
	d, ok := m.node.Leave(now, q.Id, q.Index, q.LogTerm, wanted)
	if !ok {
		return &wire.LeaveResponse{Leader: m.node.leaderAddress()}
	}
	return &wire.LeaveResponse{Replicated: d.Replicated, Removed: d.Removed, KeepsVote: d.KeepsVote}
}

// leaderAddress is the leader's, as this node knows it; empty: it knows none.
func (n *Node) leaderAddress() string {
	if i := peerIndex(n.Peers(), n.leaderID); i >= 0 {
		return n.Peers()[i].Address
	}
	return ""
}

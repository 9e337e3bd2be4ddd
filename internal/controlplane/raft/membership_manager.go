package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing of join requests and of the leader's reconciliation.
const (
	noLeaderTimeout   = 2 * electionMax        // without contact to a leader for so long, a process asks to join
	joinInterval      = 250 * time.Millisecond // between two rounds of join requests
	joinFanout        = 4                      // join requests in a round
	reconcileInterval = 100 * time.Millisecond // between two reconciliations of a leader, if nothing has changed
)

// MembershipManager maintains a process's own membership and, on the leader, that of all others. It is a pure state
// machine beside Node: the driver calls Tick after every event of the node, carries out the actions, and passes their
// outcome in. A process is sure of its membership by contact with a leader and not by its own log, which may end before
// its removal.
type MembershipManager struct {
	node    *Node
	leaving bool // this process is about to shut down

	lastJoinAt  time.Duration
	joinTargets []string // of this round
	nextTarget  int      // where the next round begins, in the list of known addresses
	leaderHint  string   // the leader's address, as another process has named it

	reconciledAt   time.Duration
	committedIndex uint64 // of the newest membership that was found committed
	wasLeader      bool   // at the last Tick
}

// MembershipActions are what the driver has to do after a Tick.
type MembershipActions struct {
	Propose MembershipChange // for Node.ProposeMembership; no Next: nothing
	JoinAt  []string         // addresses for join requests of this process
}

// NewMembershipManager returns the manager beside a node.
func NewMembershipManager(node *Node) *MembershipManager {
	return &MembershipManager{node: node, lastJoinAt: -joinInterval}
}

// Tick takes the time. self is this process with its present addresses, wanted the number of voters by WantedVoters, and
// known returns the addresses of processes that may be members.
func (m *MembershipManager) Tick(now time.Duration, self *wire.Peer, wanted int, known func() []string) MembershipActions {
	if m.node.IsLeader() {
		return MembershipActions{Propose: m.reconcile(now, wanted)}
	}
	m.wasLeader = false
	if m.leaving || !m.mustJoin(now, self) || now-m.lastJoinAt < joinInterval {
		return MembershipActions{}
	}
	m.lastJoinAt = now
	m.joinTargets = m.chooseJoinTargets(self, known())
	return MembershipActions{JoinAt: m.joinTargets}
}

// reconcile returns the leader's next change: at once at the begin of its leadership and when the last change is
// committed, else every reconcileInterval.
func (m *MembershipManager) reconcile(now time.Duration, wanted int) MembershipChange {
	newest := m.node.newestMembership().index
	due := !m.wasLeader || m.node.MembershipCommitted() && newest != m.committedIndex
	if !due && now-m.reconciledAt < reconcileInterval {
		return MembershipChange{}
	}
	m.wasLeader, m.reconciledAt = true, now
	if m.node.MembershipCommitted() {
		m.committedIndex = newest
	}
	m.node.now = now
	return m.node.Reconcile(wanted)
}

// mustJoin reports whether this process cannot be sure to be a member with its present addresses.
func (m *MembershipManager) mustJoin(now time.Duration, self *wire.Peer) bool {
	node := m.node
	index := peerIndex(node.Peers(), self.Id)
	if index < 0 || node.removedElsewhere {
		return true
	}
	own := node.Peers()[index]
	if own.Address != self.Address || own.ControlAddress != self.ControlAddress {
		return true
	}
	return now-max(node.startedAt, node.leaderContactAt, node.quorumContactAt) > noLeaderTimeout
}

// chooseJoinTargets returns the addresses for this round: the leader that another process has named, the members of the
// own log, and addresses that are known otherwise, some at a time.
func (m *MembershipManager) chooseJoinTargets(self *wire.Peer, known []string) []string {
	var all []string
	add := func(address string) {
		if address != "" && address != self.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	add(m.leaderHint)
	m.leaderHint = ""
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

// HandleJoinResponse takes the answer to a join request. It returns the leader's address if the next request should go
// there at once, else nothing.
func (m *MembershipManager) HandleJoinResponse(answer *wire.JoinResponse) string {
	if answer.Member || answer.Leader == "" || m.leaving {
		return ""
	}
	m.leaderHint = answer.Leader
	if slices.Contains(m.joinTargets, answer.Leader) {
		return ""
	}
	m.joinTargets = append(m.joinTargets, answer.Leader)
	return answer.Leader
}

// HandleJoin answers a process that asks to become a member, and returns the change that a leader has to propose, if any.
func (m *MembershipManager) HandleJoin(now time.Duration, peer *wire.Peer) (MembershipChange, *wire.JoinResponse) {
	node := m.node
	if !node.IsLeader() {
		return MembershipChange{}, &wire.JoinResponse{Leader: node.leaderAddress()}
	}
	node.now = now
	delete(node.leaving, peer.Id) // it has come back
	change, member := node.JoinChange(peer)
	return change, &wire.JoinResponse{Member: member}
}

// Leave begins the graceful shutdown of this process: it sends no more join requests.
func (m *MembershipManager) Leave() { m.leaving = true }

// HandleLeave answers a member that is about to shut down.
func (m *MembershipManager) HandleLeave(now time.Duration, request *wire.LeaveRequest, wanted int) *wire.LeaveResponse {
	status, ok := m.node.Leave(now, request.Id, request.Index, request.LogTerm, wanted)
	if !ok {
		return &wire.LeaveResponse{Leader: m.node.leaderAddress()}
	}
	return &wire.LeaveResponse{Replicated: status.Replicated, Removed: status.Removed, KeepsVote: status.KeepsVote}
}

// leaderAddress is the leader's address; empty: not known.
func (n *Node) leaderAddress() string {
	if i := peerIndex(n.Peers(), n.leaderID); i >= 0 {
		return n.Peers()[i].Address
	}
	return ""
}

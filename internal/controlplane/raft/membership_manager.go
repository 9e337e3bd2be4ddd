package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing of join requests and of the leader's reconciliation.
const (
	noLeaderTimeout   = 2 * maxElectionTimeout // a process sends join requests after this time without contact with a leader
	joinInterval      = 250 * time.Millisecond // between two rounds of join requests
	joinFanout        = 4                      // join requests per round
	reconcileInterval = 100 * time.Millisecond // between two calls of Node.Reconcile if nothing has changed
)

// MembershipManager maintains a process's own membership and, on the leader, the memberships of all others. It is a pure
// state machine like Node: the driver calls Tick after every event of the node, carries out the actions, and passes in the
// results. Only contact with a leader confirms that a process is a member, since its own log may end before its removal.
type MembershipManager struct {
	node    *Node
	leaving bool // this process is shutting down

	lastJoinAt  time.Duration
	joinTargets []string // addresses of the current round
	nextTarget  int      // index of the next round's first target, in the list of addresses after the hint
	leaderHint  string   // the leader's address from a join response; empty if there is none

	reconciledAt   time.Duration
	committedIndex uint64 // log index of the newest membership that was committed at a reconciliation
	wasLeader      bool   // whether this member was the leader at the last Tick
}

// MembershipActions are the actions that the driver must carry out after a Tick.
type MembershipActions struct {
	Propose MembershipChange // for Node.ProposeMembership, unless Next is nil
	JoinAt  []string         // addresses to send this process's join request to
}

// NewMembershipManager returns the manager for node. Its first join requests do not wait for joinInterval.
func NewMembershipManager(node *Node) *MembershipManager {
	return &MembershipManager{node: node, lastJoinAt: -joinInterval}
}

// Tick advances the time and returns the actions that are due. self has this process's current addresses, wanted is the
// result of WantedVoters, and knownAddresses returns the addresses of processes that may be members.
func (m *MembershipManager) Tick(now time.Duration, self *wire.Peer, wanted int, knownAddresses func() []string) MembershipActions {
	if m.node.IsLeader() {
		return MembershipActions{Propose: m.reconcile(now, wanted)}
	}
	m.wasLeader = false
	if m.leaving || !m.mustJoin(now, self) || now-m.lastJoinAt < joinInterval {
		return MembershipActions{}
	}
	m.lastJoinAt = now
	m.joinTargets = m.chooseJoinTargets(self, knownAddresses())
	return MembershipActions{JoinAt: m.joinTargets}
}

// reconcile returns the leader's next change. It calls Node.Reconcile at once when the leadership begins or a membership
// is committed, and otherwise every reconcileInterval.
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

// mustJoin reports whether this process must send join requests, because its membership with its current addresses is not
// confirmed.
func (m *MembershipManager) mustJoin(now time.Duration, self *wire.Peer) bool {
	node := m.node
	index := peerIndex(node.Peers(), self.Id)
	if index < 0 || node.rejectedAsNonMember {
		return true
	}
	own := node.Peers()[index]
	if own.Address != self.Address || own.ControlAddress != self.ControlAddress {
		return true
	}
	return now-max(node.startedAt, node.leaderContactAt, node.quorumContactAt) > noLeaderTimeout
}

// chooseJoinTargets returns at most joinFanout addresses for this round: the leader hint, and then in rotation the members
// in this process's log and the known addresses.
func (m *MembershipManager) chooseJoinTargets(self *wire.Peer, knownAddresses []string) []string {
	var all []string
	add := func(address string) {
		if address != "" && address != self.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	add(m.leaderHint)
	m.leaderHint = ""
	hintCount := len(all)
	for _, p := range m.node.Peers() {
		add(p.Address)
	}
	for _, address := range knownAddresses {
		add(address)
	}
	if len(all) <= joinFanout {
		return all
	}
	chosen := all[:hintCount:hintCount]
	rest := all[hintCount:]
	for i := 0; len(chosen) < joinFanout; i++ {
		chosen = append(chosen, rest[(m.nextTarget+i)%len(rest)])
	}
	m.nextTarget = (m.nextTarget + joinFanout - hintCount) % len(rest)
	return chosen
}

// HandleJoinResponse handles the response to a join request. It returns the leader's address if the driver should send a
// join request there at once, and otherwise an empty string.
func (m *MembershipManager) HandleJoinResponse(response *wire.JoinResponse) string {
	if response.Member || response.Leader == "" || m.leaving {
		return ""
	}
	m.leaderHint = response.Leader
	if slices.Contains(m.joinTargets, response.Leader) {
		return ""
	}
	m.joinTargets = append(m.joinTargets, response.Leader)
	return response.Leader
}

// HandleJoin handles a join request. It returns the response and, on the leader, the change to propose, if any.
func (m *MembershipManager) HandleJoin(now time.Duration, peer *wire.Peer) (MembershipChange, *wire.JoinResponse) {
	node := m.node
	if !node.IsLeader() {
		return MembershipChange{}, &wire.JoinResponse{Leader: node.leaderAddress()}
	}
	node.now = now
	delete(node.leaving, peer.Id) // the process has been restarted
	change, member := node.JoinChange(peer)
	return change, &wire.JoinResponse{Member: member}
}

// Leave begins the graceful shutdown of this process: Tick returns no more join requests.
func (m *MembershipManager) Leave() { m.leaving = true }

// HandleLeave handles the leave request of a member that is shutting down. A process that is not the leader returns the
// leader's address.
func (m *MembershipManager) HandleLeave(now time.Duration, request *wire.LeaveRequest, wanted int) *wire.LeaveResponse {
	status, ok := m.node.Leave(now, request.Id, request.Index, request.LogTerm, wanted)
	if !ok {
		return &wire.LeaveResponse{Leader: m.node.leaderAddress()}
	}
	return &wire.LeaveResponse{Replicated: status.Replicated, Removed: status.Removed, KeepsVote: status.KeepsVote}
}

// leaderAddress returns the leader's address, or an empty string if it is unknown.
func (n *Node) leaderAddress() string {
	if i := peerIndex(n.Peers(), n.leaderID); i >= 0 {
		return n.Peers()[i].Address
	}
	return ""
}

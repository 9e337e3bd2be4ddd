package raft

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing of the questions for membership.
const (
	noLeaderFor  = 2 * electionMax        // a process that has heard no leader for so long asks whether it is a member
	askInterval  = 250 * time.Millisecond // between two rounds of questions
	askedAtOnce  = 4                      // processes in a round
	reconcileGap = 100 * time.Millisecond // between two looks of a leader at its members, if nothing has changed
)

// MembershipManager is what a quorum member does for the membership, its own and, as the leader, that of others. It is a
// pure state machine: the driver calls Tick with the time after whatever it has given to the Node, carries out the
// actions, and hands in what comes of them. Membership is confirmed by contact and not by the own log, which may be
// of a time before this process was removed.
type MembershipManager struct {
	node    *Node
	leaving bool // this process is about to end

	askedAt time.Duration
	asked   []string // in this round
	turn    int      // of those to ask
	hint    string   // the leader's address, as another has named it

	reconciledAt time.Duration
	settled      uint64 // index of the newest membership that was found committed
	led          bool   // it led at the last Tick
}

// MembershipActions are what the driver has to do after a Tick.
type MembershipActions struct {
	Change MembershipChange // to be proposed by Node.Change; no Next: nothing
	Ask    []string         // addresses of the processes that are to be asked to let this one join
}

// NewMembershipManager returns the manager of a node.
func NewMembershipManager(node *Node) *MembershipManager {
	return &MembershipManager{node: node, askedAt: -askInterval}
}

// Tick takes the time. self is this process as it wants to be known, wanted the number of voters that the losses to be
// borne ask for, and known the addresses of processes that may be members.
func (m *MembershipManager) Tick(now time.Duration, self *wire.Peer, wanted int, known func() []string) MembershipActions {
	if m.node.Leads() {
		return MembershipActions{Change: m.reconcile(now, wanted)}
	}
	m.led = false
	if m.leaving || !m.mustAsk(now, self) || now-m.askedAt < askInterval {
		return MembershipActions{}
	}
	m.askedAt = now
	m.asked = m.choose(self, known())
	return MembershipActions{Ask: m.asked}
}

// reconcile looks at the members where one of them may be due: at once when this node has begun to lead or when the
// last change is committed, else from time to time.
func (m *MembershipManager) reconcile(now time.Duration, wanted int) MembershipChange {
	newest := m.node.memberships[len(m.node.memberships)-1].index
	due := !m.led || m.node.Settled() && newest != m.settled
	if !due && now-m.reconciledAt < reconcileGap {
		return MembershipChange{}
	}
	m.led, m.reconciledAt = true, now
	if m.node.Settled() {
		m.settled = newest
	}
	m.node.now = now
	return m.node.Reconcile(wanted)
}

// mustAsk tells whether this process cannot be sure to be a member under its present address.
func (m *MembershipManager) mustAsk(now time.Duration, self *wire.Peer) bool {
	c := m.node
	place := peerIndex(c.Peers(), self.Id)
	if place < 0 || c.expelled {
		return true
	}
	own := c.Peers()[place]
	if own.Address != self.Address || own.ControlAddress != self.ControlAddress {
		return true
	}
	return now-max(c.startedAt, c.leaderContactAt, c.quorumContactAt) > noLeaderFor
}

// choose returns whom to ask in this round: the leader that another has named, the members of the own log, and those
// that are known otherwise, some at a time.
func (m *MembershipManager) choose(self *wire.Peer, known []string) []string {
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
	if len(all) <= askedAtOnce {
		return all
	}
	chosen := all[:hinted:hinted]
	rest := all[hinted:]
	for i := 0; len(chosen) < askedAtOnce; i++ {
		chosen = append(chosen, rest[(m.turn+i)%len(rest)])
	}
	m.turn = (m.turn + askedAtOnce - hinted) % len(rest)
	return chosen
}

// Answered takes the answer of a process that was asked. It returns the leader's address if that is to be asked at once,
// else nothing.
func (m *MembershipManager) Answered(answer *wire.JoinResponse) string {
	if answer.Member || answer.Leader == "" || m.leaving {
		return ""
	}
	m.hint = answer.Leader
	if slices.Contains(m.asked, answer.Leader) {
		return ""
	}
	m.asked = append(m.asked, answer.Leader)
	return answer.Leader
}

// Join answers a process that asks to be a member: it returns the change that a leader has to propose, if any.
func (m *MembershipManager) Join(now time.Duration, p *wire.Peer) (MembershipChange, *wire.JoinResponse) {
	c := m.node
	if !c.Leads() {
		return MembershipChange{}, &wire.JoinResponse{Leader: c.leaderAddress()}
	}
	c.now = now
	delete(c.departing, p.Id) // it has come back
	change, member := c.Joining(p)
	return change, &wire.JoinResponse{Member: member}
}

// Leave begins the planned end of this process: it asks for membership no more.
func (m *MembershipManager) Leave() { m.leaving = true }

// Departing answers a member that is about to end.
func (m *MembershipManager) Departing(now time.Duration, q *wire.LeaveRequest, wanted int) *wire.LeaveResponse {
	d, ok := m.node.Depart(now, q.Id, q.Index, q.LogTerm, wanted)
	if !ok {
		return &wire.LeaveResponse{Leader: m.node.leaderAddress()}
	}
	return &wire.LeaveResponse{Replicated: d.Held, Removed: d.Removed, KeepsVote: d.Stays}
}

// leaderAddress is the leader's, as this node knows it; empty: it knows none.
func (c *Node) leaderAddress() string {
	if i := peerIndex(c.Peers(), c.leaderID); i >= 0 {
		return c.Peers()[i].Address
	}
	return ""
}

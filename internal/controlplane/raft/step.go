package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// Step processes a message from another member.
func (n *Node) Step(now time.Duration, m *wire.RaftMessage) {
	n.now = now
	if m.To != n.id { // addressed to a former member with the same address
		return
	}
	if m.Refusal == wire.RaftMessage_NOT_MEMBER {
		n.rejectedAsNonMember = true // makes MembershipManager send join requests
	}
	switch {
	case m.Kind == wire.RaftMessage_REQUEST_VOTE:
		n.handleRequestVote(m)
	case m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && m.PreVote && !m.Reject:
		n.handlePreVoteResponse(m)
	case m.Term < n.hardState.Term:
		n.rejectStaleTerm(m)
	default:
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, leaderOf(m))
		}
		n.stepInTerm(m)
	}
}

// stepInTerm processes a message of the current term.
func (n *Node) stepInTerm(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftMessage_REQUEST_VOTE_RESPONSE:
		if n.state == stateCandidate && !m.Reject {
			n.votes[m.From] = true
			n.countVotes()
		}
	case wire.RaftMessage_APPEND_ENTRIES:
		n.observeLeader(m.From)
		n.handleAppendEntries(m)
		n.updateContactAt(m)
	case wire.RaftMessage_INSTALL_SNAPSHOT:
		n.observeLeader(m.From)
		n.handleInstallSnapshot(m)
		n.updateContactAt(m)
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		n.handleAppendEntriesResponse(m)
	case wire.RaftMessage_TIMEOUT_NOW:
		if m.From == n.leaderID && n.electable() {
			n.campaign(campaignTransfer)
		}
	}
}

// fromLeader reports whether a message is of a kind that only the leader of its term sends.
func fromLeader(m *wire.RaftMessage) bool {
	return m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT
}

// leaderOf returns the leader of a message's term, or noID if the message does not identify it.
func leaderOf(m *wire.RaftMessage) uint64 {
	if fromLeader(m) {
		return m.From
	}
	return noID
}

// rejectStaleTerm rejects the message of a leader of an earlier term, which steps down when it receives the newer term.
func (n *Node) rejectStaleTerm(m *wire.RaftMessage) {
	if !fromLeader(m) {
		return
	}
	reason := wire.RaftMessage_STALE_TERM
	if n.isNonMember(m.From) {
		reason = wire.RaftMessage_NOT_MEMBER
	}
	n.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, Reject: true, Refusal: reason})
}

// isNonMember reports whether id is not in the newest membership. It returns false if there is no membership yet.
func (n *Node) isNonMember(id uint64) bool { return !n.isMember(id) && len(n.Peers()) > 0 }

// observeLeader records contact with the leader of the current term.
func (n *Node) observeLeader(leaderID uint64) {
	if n.state != stateFollower {
		n.becomeFollower(n.hardState.Term, leaderID)
	}
	n.leaderID, n.leaderContactAt, n.rejectedAsNonMember = leaderID, n.now, false
	n.resetElectionTimer() // after leaderID is set, which affects the timeout
}

// NextTick returns the time of the next heartbeat or election, at which the driver must call Tick.
func (n *Node) NextTick() time.Duration {
	if n.state == stateLeader {
		return n.heartbeatAt
	}
	return n.electionDeadline
}

// Tick advances the time, and sends the heartbeats or starts the campaign that is due.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.state == stateLeader {
		n.tickLeader()
		return
	}
	if now < n.electionDeadline {
		return
	}
	n.resetElectionTimer()
	n.leaderID = noID // no contact for an election timeout: clients must not be redirected to this leader
	if n.electable() {
		n.campaign(campaignPreElection)
	}
}

func (n *Node) tickLeader() {
	if n.isolated() {
		n.becomeFollower(n.hardState.Term, noID)
		return
	}
	if n.transferee != noID && n.now >= n.transferDeadline { // abandon the transfer
		n.transferee = noID
	}
	if n.now >= n.heartbeatAt {
		n.broadcastHeartbeat()
	}
}

package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// Step takes a message from another member.
func (n *Node) Step(now time.Duration, m *wire.RaftMessage) {
	n.now = now
	if m.To != n.id { // for the member that had this address before
		return
	}
	if m.Refusal == wire.RaftMessage_NOT_MEMBER {
		n.removedElsewhere = true // MembershipManager asks to join
	}
	switch {
	case m.Kind == wire.RaftMessage_REQUEST_VOTE:
		n.handleRequestVote(m)
	case m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && m.PreVote && !m.Reject:
		n.handlePreVote(m)
	case m.Term < n.hardState.Term:
		n.rejectStaleTerm(m)
	default:
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, leaderOf(m))
		}
		n.stepInTerm(m)
	}
}

// stepInTerm takes a message of the present term.
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
		n.learnContact(m)
	case wire.RaftMessage_INSTALL_SNAPSHOT:
		n.observeLeader(m.From)
		n.handleInstallSnapshot(m)
		n.learnContact(m)
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		n.handleAppendEntriesResponse(m)
	case wire.RaftMessage_TIMEOUT_NOW:
		if m.From == n.leaderID && n.electable() {
			n.campaign(campaignTransfer)
		}
	}
}

// fromLeader reports whether only the leader of a message's term sends such a message.
func fromLeader(m *wire.RaftMessage) bool {
	return m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT
}

// leaderOf returns the leader of a message's term, as far as the message shows it; noID: it does not.
func leaderOf(m *wire.RaftMessage) uint64 {
	if fromLeader(m) {
		return m.From
	}
	return noID
}

// rejectStaleTerm answers a leader of an earlier term, which steps down by the answer's term.
func (n *Node) rejectStaleTerm(m *wire.RaftMessage) {
	if !fromLeader(m) {
		return
	}
	reason := wire.RaftMessage_STALE_TERM
	if n.isStranger(m.From) {
		reason = wire.RaftMessage_NOT_MEMBER
	}
	n.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, Reject: true, Refusal: reason})
}

// isStranger reports whether a process is not a member, as far as this member, which knows some membership, can tell.
func (n *Node) isStranger(id uint64) bool { return !n.isMember(id) && len(n.Peers()) > 0 }

// observeLeader notes contact with the term's leader.
func (n *Node) observeLeader(leaderID uint64) {
	if n.state != stateFollower {
		n.becomeFollower(n.hardState.Term, leaderID)
	}
	n.leaderID, n.leaderContactAt, n.removedElsewhere = leaderID, n.now, false
	n.resetElectionTimer() // after leaderID is set, on which the timeout depends
}

// NextTick is the time at which the node wants a Tick.
func (n *Node) NextTick() time.Duration {
	if n.state == stateLeader {
		return n.heartbeatAt
	}
	return n.electionDeadline
}

// Tick advances the time.
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
	n.leaderID = noID // no contact for an election timeout: clients are not to be redirected there
	if n.electable() {
		n.campaign(campaignPreElection)
	}
}

func (n *Node) tickLeader() {
	if n.isolated() {
		n.becomeFollower(n.hardState.Term, noID)
		return
	}
	if n.leadTransferee != noID && n.now >= n.leadTransferDeadline { // the transferee has not taken over
		n.leadTransferee = noID
	}
	if n.now >= n.heartbeatAt {
		n.broadcastHeartbeat()
	}
}

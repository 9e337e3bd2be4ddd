package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// campaignType is the phase or cause of a campaign.
type campaignType int

const (
	campaignPreElection campaignType = iota // pre-vote: leaves term and vote unchanged
	campaignElection
	campaignTransfer // election requested by the leader, for a leadership transfer
)

// resetElectionTimer draws a random deadline. The member campaigns when it expires without contact with a leader.
func (n *Node) resetElectionTimer() {
	low, high := minElectionTimeout, maxElectionTimeout
	if n.leaderID == noID && n.now-n.startedAt < startupPhase {
		low, high = minStartupElectionTimeout, maxStartupElectionTimeout
	}
	n.electionDeadline = n.now + low + time.Duration(n.rng.Int64N(int64(high-low)))
}

// becomeFollower makes this member a follower in term. leaderID is noID if the term's leader is unknown.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.state == stateLeader {
		n.contactAt = n.knownContactAt() // depends on the state and the term, which change below
		n.rejectPendingReads()
		clear(n.progress)
	}
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, noID
	}
	n.state, n.leaderID, n.transferee = stateFollower, leaderID, noID
	n.resetElectionTimer()
}

// campaign requests votes or pre-votes from the other voters. A pre-vote prevents a member that was partitioned from
// deposing a leader with which all others are in contact (thesis, 9.6). Leadership transfers skip it.
func (n *Node) campaign(kind campaignType) {
	n.leaderID = noID
	n.votes = map[uint64]bool{n.id: true}
	term := n.hardState.Term + 1
	if kind == campaignPreElection {
		n.state = statePreCandidate
	} else {
		n.state = stateCandidate
		n.hardState.Term, n.hardState.Vote = term, n.id
		n.campaignStartedAt = n.now
	}
	for _, p := range n.Peers() {
		if p.Voter && p.Id != n.id {
			n.send(&wire.RaftMessage{
				Kind: wire.RaftMessage_REQUEST_VOTE, To: p.Id, Term: term, Index: n.last(), LogTerm: n.lastTerm(),
				PreVote: kind == campaignPreElection, LeadershipTransfer: kind == campaignTransfer,
			})
		}
	}
	n.countVotes()
}

// handleRequestVote replies to a candidate or pre-candidate.
func (n *Node) handleRequestVote(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, To: m.From, PreVote: m.PreVote, Reject: true}
	// A member in contact with its leader rejects requests, unless the leader requested the election (thesis, 4.2.3).
	leaderAlive := !m.LeadershipTransfer && (n.state == stateLeader || n.leaderID != noID && n.now-n.leaderContactAt < minElectionTimeout)
	// Election restriction: a leader must have all committed entries (thesis, 3.6.1).
	logUpToDate := m.LogTerm > n.lastTerm() || m.LogTerm == n.lastTerm() && m.Index >= n.last()
	switch {
	case m.Term < n.hardState.Term || leaderAlive:
	case m.PreVote:
		if logUpToDate && m.Term > n.hardState.Term {
			reply.Reject, reply.Term = false, m.Term
		}
	default:
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, noID)
		}
		if logUpToDate && (n.hardState.Vote == noID || n.hardState.Vote == m.From) {
			n.hardState.Vote = m.From // synced before the reply is sent: see Ready
			reply.Reject = false
			n.resetElectionTimer()
		}
	}
	if reply.Reject {
		reply.Refusal = n.voteRejectionReason(m, leaderAlive, logUpToDate)
	}
	n.send(reply)
}

// voteRejectionReason returns the reason to report with a rejected vote.
func (n *Node) voteRejectionReason(m *wire.RaftMessage, leaderAlive, logUpToDate bool) wire.RaftMessage_Refusal {
	switch {
	case n.isNonMember(m.From):
		return wire.RaftMessage_NOT_MEMBER
	case m.Term < n.hardState.Term:
		return wire.RaftMessage_STALE_TERM
	case leaderAlive:
		return wire.RaftMessage_LEADER_ALIVE
	case !logUpToDate:
		return wire.RaftMessage_STALE_LOG
	}
	return wire.RaftMessage_ALREADY_VOTED
}

// handlePreVoteResponse counts a granted pre-vote if it belongs to the current campaign.
func (n *Node) handlePreVoteResponse(m *wire.RaftMessage) {
	if n.state == statePreCandidate && m.Term == n.hardState.Term+1 {
		n.votes[m.From] = true
		n.countVotes()
	}
}

// countVotes starts the election after a won pre-vote, and makes this member the leader after a won election.
func (n *Node) countVotes() {
	granted, voters := 0, 0
	for _, p := range n.Peers() {
		if p.Voter {
			voters++
			if n.votes[p.Id] {
				granted++
			}
		}
	}
	if granted <= voters/2 {
		return
	}
	if n.state == statePreCandidate {
		n.campaign(campaignElection)
		return
	}
	n.becomeLeader()
}

// becomeLeader makes this member the leader of the current term.
func (n *Node) becomeLeader() {
	n.state, n.leaderID, n.transferee = stateLeader, n.id, noID
	n.progress = map[uint64]*progress{}
	// A majority voted in this term after the campaign started, so no later term had a leader at that time.
	n.quorumContactAt, n.leaderSince = n.campaignStartedAt, n.now
	clear(n.roundStartedAt)
	clear(n.leaving)
	n.catchUp = catchUpTracker{}
	// A leader can only commit entries of its own term by counting replicas (thesis, 3.6.2 and 6.4), so it appends one.
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_NO_OP})
	n.updateProgress()
	n.broadcastHeartbeat()
}

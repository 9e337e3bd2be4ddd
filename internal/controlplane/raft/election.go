package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// campaignType says how a campaign begins.
type campaignType int

const (
	campaignPreElection campaignType = iota // pre-vote: nothing changes before a majority would grant its votes
	campaignElection
	campaignTransfer // as campaignElection, asked for by the leader itself
)

// resetElectionTimer draws the time at which this member campaigns if it has no contact with a leader before.
func (n *Node) resetElectionTimer() {
	low, high := electionMin, electionMax
	if n.leaderID == noID && n.now-n.startedAt < startPhase {
		low, high = startElectionMin, startElectionMax
	}
	n.electionDeadline = n.now + low + time.Duration(n.rng.Int64N(int64(high-low)))
}

// becomeFollower enters a term as a follower; noID: its leader is not known.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.state == stateLeader {
		n.contactAt = n.knownContactAt() // before the term changes
		n.rejectPendingReads()
		clear(n.progress)
	}
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, noID
	}
	n.state, n.leaderID, n.leadTransferee = stateFollower, leaderID, noID
	n.resetElectionTimer()
}

// campaign requests votes. It begins with a pre-vote, since a member that was cut off would else depose a leader with
// whom all others are in contact (thesis, 9.6); a leadership transfer needs none.
func (n *Node) campaign(kind campaignType) {
	n.leaderID = noID
	n.votes = map[uint64]bool{n.id: true}
	term := n.hardState.Term + 1
	if kind == campaignPreElection {
		n.state = statePreCandidate
	} else {
		n.state = stateCandidate
		n.hardState.Term, n.hardState.Vote = term, n.id
		n.campaignAt = n.now
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

// handleRequestVote answers a candidate or pre-candidate.
func (n *Node) handleRequestVote(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, To: m.From, PreVote: m.PreVote, Reject: true}
	// A member in contact with its leader disregards requests, unless the leader has asked for them (thesis, 4.2.3).
	leaderAlive := !m.LeadershipTransfer && (n.state == stateLeader || n.leaderID != noID && n.now-n.leaderContactAt < electionMin)
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
			n.hardState.Vote = m.From // synced before the answer is sent
			reply.Reject = false
			n.resetElectionTimer()
		}
	}
	if reply.Reject {
		reply.Refusal = n.voteRejectionReason(m, leaderAlive, logUpToDate)
	}
	n.send(reply)
}

// voteRejectionReason says why a vote was rejected.
func (n *Node) voteRejectionReason(m *wire.RaftMessage, leaderAlive, logUpToDate bool) wire.RaftMessage_Refusal {
	switch {
	case n.isStranger(m.From):
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

// handlePreVote counts a granted pre-vote for the campaign in progress.
func (n *Node) handlePreVote(m *wire.RaftMessage) {
	if n.state == statePreCandidate && m.Term == n.hardState.Term+1 {
		n.votes[m.From] = true
		n.countVotes()
	}
}

// countVotes goes on once a majority has granted its votes.
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

// becomeLeader begins to lead the term in which this member was elected.
func (n *Node) becomeLeader() {
	n.state, n.leaderID, n.leadTransferee = stateLeader, n.id, noID
	n.progress = map[uint64]*progress{}
	// No later term has a leader before a majority has voted in it, which was after this campaign began.
	n.quorumContactAt, n.leaderSince = n.campaignAt, n.now
	clear(n.roundStartedAt)
	clear(n.leaving)
	n.catchUp = catchUp{}
	// Only an entry of the leader's own term is committed by counting replicas (thesis, 3.6.2 and 6.4).
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_NO_OP})
	n.resetProgress()
	n.broadcastHeartbeat()
}

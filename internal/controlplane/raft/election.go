package raft

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// electable tells whether this member votes, in the newest set of members or in one
// that may yet turn out to be in force. One that has been voted out by an entry
// which is not committed may hold what all others lack, and has to lead until it is
// (thesis, 4.2.2); its own vote does not count then.
func (n *Node) electable() bool {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if slices.ContainsFunc(n.memberships[i].peers, func(p *wire.Peer) bool { return p.Id == n.id && p.Voter }) {
			return true
		}
		if n.memberships[i].index <= n.committed {
			break
		}
	}
	return false
}

// quorumValue returns the largest value that a majority of voters has reached; own
// stands for this member.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, p := range n.Peers() {
		switch {
		case !p.Voter:
		case p.Id == n.id:
			values = append(values, own)
		case n.progress[p.Id] != nil:
			values = append(values, of(n.progress[p.Id]))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

func (n *Node) resetTimer() {
	low, high := electionMin, electionMax
	if n.leaderID == 0 && n.now-n.startedAt < startPhase {
		low, high = startElectionMin, startElectionMax
	}
	n.electionDeadline = n.now + low + time.Duration(n.rng.Int64N(int64(high-low)))
}

// becomeFollower enters a term as a follower.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.state == stateLeader {
		n.contactAt = n.knownContactAt() // before the term changes
		n.rejectPendingReads()
		clear(n.progress) // what it knew of the others, and the transfers of snapshots that it had under way
	}
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, 0
	}
	n.state, n.leaderID, n.leadTransferee = stateFollower, leaderID, 0
	n.resetTimer()
}

// Tick takes the time alone.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.state == stateLeader {
		if n.isolated() {
			n.becomeFollower(n.hardState.Term, 0)
			return
		}
		if n.leadTransferee != 0 && now >= n.leadTransferDeadline { // it has not taken the lead
			n.leadTransferee = 0
		}
		if now >= n.heartbeatAt {
			n.broadcastHeartbeat()
		}
		return
	}
	if now < n.electionDeadline {
		return
	}
	n.resetTimer()
	n.leaderID = 0 // not heard for an election timeout: nobody is to be sent there
	if n.electable() {
		n.campaign(true, false)
	}
}

// campaign asks for votes, at first only whether they would be given: a member
// that was away would else unseat a leader that all others hear. One to which the
// leader has handed the lead needs no such question.
func (n *Node) campaign(preVote, transferred bool) {
	n.leaderID = 0
	n.votes = map[uint64]bool{n.id: true}
	term := n.hardState.Term + 1
	if preVote {
		n.state = statePreCandidate
	} else {
		n.state = stateCandidate
		n.hardState.Term, n.hardState.Vote = term, n.id
		n.campaignAt = n.now
	}
	for _, p := range n.Peers() {
		if p.Voter && p.Id != n.id {
			n.send(&wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, To: p.Id, Term: term, Index: n.last(), LogTerm: n.lastTerm(), PreVote: preVote, LeadershipTransfer: transferred})
		}
	}
	n.countVotes()
}

// countVotes acts once a majority has given its votes.
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
		n.campaign(false, false)
		return
	}
	n.state, n.leaderID, n.leadTransferee = stateLeader, n.id, 0
	n.progress = map[uint64]*progress{}
	// Nobody leads a later term before a majority has voted in this one, after the campaign's begin.
	n.quorumContactAt, n.leaderSince = n.campaignAt, n.now
	clear(n.roundStartedAt)
	clear(n.leaving)
	n.catchUp = catchUp{}
	// Only an entry of the own term may be committed by count.
	n.append(&wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_NO_OP})
	n.resetProgress()
	n.broadcastHeartbeat()
}

package raft

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// promotable tells whether this member votes, in the newest set of members or in one
// that may yet turn out to be in force. One that has been voted out by an entry
// which is not committed may hold what all others lack, and has to lead until it is
// (thesis, 4.2.2); its own vote does not count then.
func (c *Node) promotable() bool {
	for i := len(c.memberships) - 1; i >= 0; i-- {
		if slices.ContainsFunc(c.memberships[i].peers, func(p *wire.Peer) bool { return p.Id == c.id && p.Voter }) {
			return true
		}
		if c.memberships[i].index <= c.commit {
			break
		}
	}
	return false
}

// quorum returns the largest value that a majority of voters has reached; own
// stands for this member.
func (c *Node) quorum(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, p := range c.Peers() {
		switch {
		case !p.Voter:
		case p.Id == c.id:
			values = append(values, own)
		case c.progress[p.Id] != nil:
			values = append(values, of(c.progress[p.Id]))
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

func (c *Node) resetTimer() {
	low, high := electionMin, electionMax
	if c.leaderID == 0 && c.now-c.startedAt < bootFor {
		low, high = bootMin, bootMax
	}
	c.deadline = c.now + low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// becomeFollower enters a term as a follower.
func (c *Node) becomeFollower(term, lead uint64) {
	if c.role == leader {
		c.contactAt = c.knownContactAt() // before the term changes
		c.refuseReads()
		clear(c.progress) // what it knew of the others, and the transfers of snapshots that it had under way
	}
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote = term, 0
	}
	c.role, c.leaderID, c.transferTarget = follower, lead, 0
	c.resetTimer()
}

// Tick takes the time alone.
func (c *Node) Tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		if c.isolated() {
			c.becomeFollower(c.hard.Term, 0)
			return
		}
		if c.transferTarget != 0 && now >= c.transferDeadline { // it has not taken the lead
			c.transferTarget = 0
		}
		if now >= c.heartbeatAt {
			c.broadcastHeartbeat()
		}
		return
	}
	if now < c.deadline {
		return
	}
	c.resetTimer()
	c.leaderID = 0 // not heard for an election timeout: nobody is to be sent there
	if c.promotable() {
		c.campaign(true, false)
	}
}

// campaign asks for votes, at first only whether they would be given: a member
// that was away would else unseat a leader that all others hear. One to which the
// leader has handed the lead needs no such question.
func (c *Node) campaign(pre, handed bool) {
	c.leaderID = 0
	c.votes = map[uint64]bool{c.id: true}
	term := c.hard.Term + 1
	if pre {
		c.role = preCandidate
	} else {
		c.role = candidate
		c.hard.Term, c.hard.Vote = term, c.id
		c.campaignAt = c.now
	}
	for _, p := range c.Peers() {
		if p.Voter && p.Id != c.id {
			c.send(&wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE, To: p.Id, Term: term, Index: c.last(), LogTerm: c.lastTerm(), PreVote: pre, LeadershipTransfer: handed})
		}
	}
	c.countVotes()
}

// countVotes acts once a majority has given its votes.
func (c *Node) countVotes() {
	yes, all := 0, 0
	for _, p := range c.Peers() {
		if p.Voter {
			all++
			if c.votes[p.Id] {
				yes++
			}
		}
	}
	if yes <= all/2 {
		return
	}
	if c.role == preCandidate {
		c.campaign(false, false)
		return
	}
	c.role, c.leaderID, c.transferTarget = leader, c.id, 0
	c.progress = map[uint64]*progress{}
	// Nobody leads a later term before a majority has voted in this one, after the campaign's begin.
	c.quorumContactAt, c.leaderSince = c.campaignAt, c.now
	clear(c.roundStartedAt)
	clear(c.departing)
	c.catchUp = catchUp{}
	// Only an entry of the own term may be committed by count.
	c.append(&wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_NO_OP})
	c.trackPeers()
	c.broadcastHeartbeat()
}

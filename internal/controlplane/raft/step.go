package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// Step takes a message from another member.
func (c *Node) Step(now time.Duration, m *wire.RaftMessage) {
	c.now = now
	if m.To != c.id { // for the one that had this address before
		return
	}
	if m.Refusal == wire.RaftMessage_NOT_MEMBER {
		c.expelled = true // MembershipManager asks
	}
	if m.Kind == wire.RaftMessage_REQUEST_VOTE {
		c.vote(m)
		return
	}
	if m.Kind == wire.RaftMessage_REQUEST_VOTE_RESPONSE && m.PreVote && !m.Reject {
		if c.role == preCandidate && m.Term == c.hard.Term+1 {
			c.votes[m.From] = true
			c.countVotes()
		}
		return
	}
	if m.Term > c.hard.Term {
		lead := uint64(0)
		if m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			lead = m.From
		}
		c.becomeFollower(m.Term, lead)
	}
	if m.Term < c.hard.Term {
		if m.Kind == wire.RaftMessage_APPEND_ENTRIES || m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			c.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, Reject: true, Refusal: c.staleRefusal(m.From)}) // tells it the term
		}
		return
	}
	switch m.Kind {
	case wire.RaftMessage_REQUEST_VOTE_RESPONSE:
		if c.role == candidate && !m.Reject {
			c.votes[m.From] = true
			c.countVotes()
		}
	case wire.RaftMessage_APPEND_ENTRIES:
		c.follow(m.From)
		c.appendFrom(m)
		c.learnContact(m)
	case wire.RaftMessage_INSTALL_SNAPSHOT:
		c.follow(m.From)
		c.installFrom(m)
		c.learnContact(m)
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		c.appended(m)
	case wire.RaftMessage_TIMEOUT_NOW:
		if m.From == c.leaderID && c.promotable() {
			c.campaign(false, true)
		}
	}
}

// vote answers one who wants to lead.
func (c *Node) vote(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_REQUEST_VOTE_RESPONSE, To: m.From, PreVote: m.PreVote, Reject: true}
	// One that hears its leader helps nobody to unseat it.
	heard := !m.LeadershipTransfer && (c.role == leader || c.leaderID != 0 && c.now-c.leaderContactAt < electionMin)
	current := m.LogTerm > c.lastTerm() || m.LogTerm == c.lastTerm() && m.Index >= c.last()
	switch {
	case m.Term < c.hard.Term || heard:
	case m.PreVote:
		if current && m.Term > c.hard.Term {
			reply.Reject, reply.Term = false, m.Term
		}
	default:
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term, 0)
		}
		if current && (c.hard.Vote == 0 || c.hard.Vote == m.From) {
			c.hard.Vote = m.From // on disk before the answer is sent
			reply.Reject = false
			c.resetTimer()
		}
	}
	if reply.Reject {
		reply.Refusal = c.refusal(m, heard, current)
	}
	c.send(reply)
}

// follow notes a sign of life of the term's leader.
func (c *Node) follow(lead uint64) {
	if c.role != follower {
		c.becomeFollower(c.hard.Term, lead)
	}
	c.leaderID, c.leaderContactAt, c.expelled = lead, c.now, false
	c.resetTimer() // after the lead is known: see there
}

// appendFrom takes entries of the leader where they join the own log.
func (c *Node) appendFrom(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound, SyncUs: uint32(c.syncTime.Microseconds())}
	defer func() { c.send(reply) }()
	index, entries := m.Index, m.Entries
	for len(entries) > 0 && index < c.snap.Index { // these are in the snapshot
		index, entries = entries[0].Index, entries[1:]
	}
	if index < c.snap.Index {
		reply.Index = c.commit // matched for sure
		return
	}
	if t, ok := c.term(index); !ok || index == m.Index && t != m.LogTerm {
		reply.Reject = true
		// The leader goes back to here at once, over a whole term where the terms differ.
		reply.Index = min(index-1, c.last())
		for reply.Index > c.commit {
			if t, _ := c.term(reply.Index); t <= m.LogTerm {
				break
			}
			reply.Index--
		}
		reply.LogTerm, _ = c.term(reply.Index)
		return
	}
	for i, e := range entries {
		t, ok := c.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.truncate(e.Index)
		}
		c.append(entries[i:]...)
		break
	}
	reply.Index = index + uint64(len(entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
}

// installFrom replaces the log by a snapshot that is ahead of it.
func (c *Node) installFrom(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound}
	reply.Index = c.install(m.Snapshot)
	c.send(reply)
}

// install replaces the log by a snapshot that is ahead of it, and returns up to where the log is the leader's.
func (c *Node) install(s *wire.RaftSnapshot) (index uint64) {
	if t, ok := c.term(s.GetIndex()); ok && t == s.GetTerm() {
		// The log leads up to the snapshot. What stands behind it may have been
		// acknowledged, and must stay.
		c.commit = max(c.commit, s.GetIndex())
	} else if s.GetIndex() > c.commit {
		c.snap, c.entries, c.unsaved, c.backlogBytes = s, nil, 0, 0
		c.base = position{s.Index, s.Term}
		c.commit, c.applied, c.stable = s.Index, s.Index, s.Index
		c.memberships = []membership{{s.Index, s.GetPeers().GetPeers()}}
		c.pendingSnapshot = s
		c.out.Committed = nil
	}
	return c.commit
}

// appended takes a member's answer.
func (c *Node) appended(m *wire.RaftMessage) {
	p := c.progress[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.lastContact, p.syncTime = c.now, time.Duration(m.SyncUs)*time.Microsecond
	c.keepStamp(p, m.Stamp)
	if m.HeartbeatRound > p.round {
		p.round = m.HeartbeatRound
		c.confirmContact()
	}
	if m.Reject {
		c.rejected(p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		c.advance()
	}
	c.endTransfer(p)
	c.replicate(m.From, false)
	c.handOver(m.From)
}

// Next is when the core wants a Tick.
func (c *Node) Next() time.Duration {
	if c.role == leader {
		return c.heartbeatAt
	}
	return c.deadline
}

package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// MaxContactAge is the age of a member that has just started: it does not know of any contact with a quorum.
const MaxContactAge = 50 * 365 * 24 * time.Hour

// QuorumContactAge returns an upper bound of the time since a quorum confirmed the leader of the state that this member
// has: all that was acknowledged before then is in it. The driver asks once it has carried out its Output, so that what
// is committed is also applied.
//
// A leader measures by the rounds of contact that a quorum has answered. A follower or a learner measures by its own
// clock alone, from a stamp that it has sent itself: see stampMessage. So the time that a message spends on its way
// counts in full.
func (c *Node) QuorumContactAge(now time.Duration) time.Duration {
	return now - c.knownContactAt()
}

// knownContactAt is the newest moment of this member's clock before which nothing was acknowledged that it lacks.
func (c *Node) knownContactAt() time.Duration {
	if c.role == leader && c.committedInTerm() {
		return max(c.contactAt, c.quorumContactAt)
	}
	return c.contactAt
}

// committedInTerm tells whether an entry of the current term is committed. Before that, a leader's commit index may be
// behind what the leaders before it have acknowledged.
func (c *Node) committedInTerm() bool {
	term, _ := c.term(c.commit)
	return term == c.hard.Term
}

// isolated tells whether a leader has heard from no quorum for so long that another may have been elected.
func (c *Node) isolated() bool {
	return c.now-max(c.quorumContactAt, c.leaderSince) > electionMax
}

// stampMessage adds what receivers measure the age of their state by. An answer to the leader carries a stamp of the
// sender's clock. The leader returns the newest stamp that it has from the receiver, with the time by which the quorum's
// contact is older than the receipt of that stamp. Both moments are the leader's, and in the past: nothing that delays
// the message changes what it says.
func (c *Node) stampMessage(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		m.Stamp = &wire.Stamp{Process: c.process, AtNs: uint64(max(0, c.now))}
	case wire.RaftMessage_APPEND_ENTRIES, wire.RaftMessage_INSTALL_SNAPSHOT:
		p := c.progress[m.To]
		if p == nil || p.stamp == nil || !c.committedInTerm() {
			return
		}
		m.Stamp = p.stamp
		m.ContactAgeNs = uint64(max(0, p.stampAt-c.quorumContactAt))
	}
}

// keepStamp stores the newest stamp of a member, to be returned.
func (c *Node) keepStamp(p *progress, s *wire.Stamp) {
	if s == nil || p.stamp.GetProcess() == s.Process && p.stamp.GetAtNs() >= s.AtNs {
		return
	}
	p.stamp, p.stampAt = s, c.now
}

// learnContact takes the quorum's contact from a leader's message that has been carried out. The stamp was sent before
// the leader received it, so the contact was at the stamp's time less the given age, or later. It speaks of the state
// that the leader had committed, and counts only once all of that is committed here.
func (c *Node) learnContact(m *wire.RaftMessage) {
	s := m.Stamp
	if s == nil || s.Process != c.process || time.Duration(s.AtNs) > c.now || c.commit < m.Commit {
		return
	}
	c.contactAt = max(c.contactAt, time.Duration(s.AtNs)-time.Duration(m.ContactAgeNs))
}

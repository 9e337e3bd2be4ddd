package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// MaxContactAge is the age of the state of a member that has just started: it has had no contact with a quorum.
const MaxContactAge = 50 * 365 * 24 * time.Hour

// QuorumContactAge returns an upper bound of the time since a quorum confirmed the leader of the state that this member
// has: all that was acknowledged before then is in it. The driver calls it after it has carried out Ready, so that what
// is committed is also applied.
//
// A leader measures from the rounds of heartbeats that a quorum has answered. A follower or a learner measures by its
// own clock alone, from a stamp that it has sent itself: see stampMessage. So the delay of a message counts in full.
func (n *Node) QuorumContactAge(now time.Duration) time.Duration {
	return now - n.knownContactAt()
}

// knownContactAt is the newest moment of this member's clock before which nothing was acknowledged that it lacks.
func (n *Node) knownContactAt() time.Duration {
	if n.state == stateLeader && n.committedInTerm() {
		return max(n.contactAt, n.quorumContactAt)
	}
	return n.contactAt
}

// committedInTerm reports whether an entry of the current term is committed. Before that, a leader's commit index may be
// behind what its predecessors have acknowledged (thesis, 6.4).
func (n *Node) committedInTerm() bool {
	term, _ := n.term(n.committed)
	return term == n.hardState.Term
}

// isolated reports whether a leader has been without contact to a quorum for so long that another may have been elected
// (thesis, 6.2).
func (n *Node) isolated() bool {
	return n.now-max(n.quorumContactAt, n.leaderSince) > electionMax
}

// stampMessage adds that by which receivers measure the age of their state. An answer to the leader carries a stamp of
// the sender's clock. The leader returns the newest stamp that it has of the receiver, with the time from the quorum's
// contact to the receipt of that stamp. Both moments are of the leader's clock and in the past, so no delay of the
// message changes what it says.
func (n *Node) stampMessage(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		m.Stamp = &wire.Stamp{Process: n.process, AtNs: uint64(max(0, n.now))}
	case wire.RaftMessage_APPEND_ENTRIES, wire.RaftMessage_INSTALL_SNAPSHOT:
		p := n.progress[m.To]
		if p == nil || p.stamp == nil || !n.committedInTerm() {
			return
		}
		m.Stamp = p.stamp
		m.ContactAgeNs = uint64(max(0, p.stampAt-n.quorumContactAt))
	}
}

// keepStamp stores the newest stamp of a member, to be returned.
func (n *Node) keepStamp(p *progress, s *wire.Stamp) {
	if s == nil || p.stamp.GetProcess() == s.Process && p.stamp.GetAtNs() >= s.AtNs {
		return
	}
	p.stamp, p.stampAt = s, n.now
}

// learnContact takes the quorum's contact from a leader's message that has been handled. The stamp was sent before the
// leader received it, so the contact was at the stamp's time less the given age, or later. It is about the state that
// the leader had committed, and counts only once all of that is committed here.
func (n *Node) learnContact(m *wire.RaftMessage) {
	s := m.Stamp
	if s == nil || s.Process != n.process || time.Duration(s.AtNs) > n.now || n.committed < m.Commit {
		return
	}
	n.contactAt = max(n.contactAt, time.Duration(s.AtNs)-time.Duration(m.ContactAgeNs))
}

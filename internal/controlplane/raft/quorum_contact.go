package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// MaxContactAge is the contact age of a member that has had no contact with a quorum since its start.
const MaxContactAge = 50 * 365 * 24 * time.Hour

// QuorumContactAge returns an upper bound on the time since the last quorum contact, at which a quorum confirmed the leader
// whose state this member has. The state contains all changes acknowledged before that contact. The driver calls it after it
// has processed Ready, so that all committed entries are applied.
//
// A leader measures from the start of the last heartbeat round that a quorum has answered. Followers and learners measure
// by their own clocks only, from a stamp that they sent themselves (see stampMessage), so that message delays are included
// in full.
func (n *Node) QuorumContactAge(now time.Duration) time.Duration {
	return now - n.knownContactAt()
}

// knownContactAt returns the latest time on this member's clock before which all acknowledged changes are known to be in
// its state.
func (n *Node) knownContactAt() time.Duration {
	if n.state == stateLeader && n.committedInTerm() {
		return max(n.contactAt, n.quorumContactAt)
	}
	return n.contactAt
}

// committedInTerm reports whether an entry of the current term is committed. Until then, a leader's commit index may be
// behind the entries that its predecessors have acknowledged (thesis, 6.4).
func (n *Node) committedInTerm() bool {
	term, _ := n.term(n.committed)
	return term == n.hardState.Term
}

// isolated reports whether this leader has had no contact with a quorum for maxElectionTimeout, so that another one may
// have been elected (thesis, 6.2).
func (n *Node) isolated() bool {
	return n.now-max(n.quorumContactAt, n.leaderSince) > maxElectionTimeout
}

// stampMessage adds the stamp by which receivers measure the age of their state. A response to the leader carries a stamp
// of the sender's clock. The leader returns the receiver's newest stamp, with the time from the quorum contact to the
// receipt of that stamp. Both times are past times on the leader's clock, so a delay of the message does not affect the
// difference.
func (n *Node) stampMessage(m *wire.RaftMessage) {
	switch m.Kind {
	case wire.RaftMessage_APPEND_ENTRIES_RESPONSE:
		m.Stamp = &wire.Stamp{Process: n.processID, AtNs: uint64(max(0, n.now))}
	case wire.RaftMessage_APPEND_ENTRIES, wire.RaftMessage_INSTALL_SNAPSHOT:
		p := n.progress[m.To]
		if p == nil || p.stamp == nil || !n.committedInTerm() {
			return
		}
		m.Stamp = p.stamp
		m.ContactAgeNs = uint64(max(0, p.stampAt-n.quorumContactAt))
	}
}

// storeStamp stores a member's stamp, to be returned to it, unless a stamp of the same process is newer.
func (n *Node) storeStamp(p *progress, s *wire.Stamp) {
	if s == nil || p.stamp.GetProcess() == s.Process && p.stamp.GetAtNs() >= s.AtNs {
		return
	}
	p.stamp, p.stampAt = s, n.now
}

// updateContactAt updates contactAt from a leader's message that has been handled. The leader received the stamp after it
// was sent, so the quorum contact was not earlier than the stamp's time minus the message's contact age. The contact
// confirms the state up to the leader's commit index, so it is ignored until this member has committed up to there.
func (n *Node) updateContactAt(m *wire.RaftMessage) {
	s := m.Stamp
	if s == nil || s.Process != n.processID || time.Duration(s.AtNs) > n.now || n.committed < m.Commit {
		return
	}
	n.contactAt = max(n.contactAt, time.Duration(s.AtNs)-time.Duration(m.ContactAgeNs))
}

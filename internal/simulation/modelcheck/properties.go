package modelcheck

import (
	"fmt"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// violate records the first property that does not hold.
func (s *state) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// checkAfter checks the properties that must hold after an event at a member; before is the member as it was.
func (s *state) checkAfter(n int, before *member) {
	m := s.members[n]
	if m.isLeader() {
		s.checkElection(n, m)
		if before.isLeader() && before.node.Term() == m.node.Term() {
			s.checkCommit(n, m, before.node.Committed())
		}
	}
	s.checkMatches(n)
}

// checkElection: at most one member leads in a term; it has the votes of a majority of the voters in its configuration; and
// its log has all that was applied in earlier terms (election safety and leader completeness, thesis 3.6).
func (s *state) checkElection(n int, m *member) {
	id, term := m.node.ID(), m.node.Term()
	if other, known := s.history.leaders[term]; known {
		if other != id {
			s.violate("members %d and %d lead in term %d", memberOf(other), n, term)
		}
		return
	}
	s.ownHistory().leaders[term] = id
	if votes, voters := s.votesFor(id, term, m.node.Peers()); 2*votes <= voters {
		s.violate("member %d leads in term %d with %d votes of %d", n, term, votes, voters)
	}
	for i, e := range s.history.committed {
		if index := uint64(i) + 2; e.in < term && !m.hasEntry(index, e.term) {
			s.violate("member %d leads in term %d without entry %d of term %d, which was applied in term %d", n, term, index, e.term, e.in)
		}
	}
}

// votesFor counts the voters that may have voted for a candidate of a term. Those that have gone on to a later term, or
// have lost their disks, count as if they had.
func (s *state) votesFor(id, term uint64, peers []*wire.Peer) (votes, voters int) {
	for _, p := range peers {
		if !p.Voter {
			continue
		}
		voters++
		m, ok := s.current(p.Id)
		if !ok || m.announced.GetTerm() > term || m.announced.GetTerm() == term && m.announced.GetVote() == id {
			votes++
		}
	}
	return votes, voters
}

// checkVote: a term never goes back, and a vote is given once a term.
func (s *state) checkVote(n int, old, now *wire.HardState) {
	switch {
	case now.Term < old.GetTerm():
		s.violate("member %d goes back from term %d to %d", n, old.GetTerm(), now.Term)
	case now.Term == old.GetTerm() && old.GetVote() != 0 && now.Vote != old.GetVote():
		s.violate("member %d votes twice in term %d", n, now.Term)
	}
}

// checkCommit: what a leader commits is on the disks of a majority of the voters in its configuration.
func (s *state) checkCommit(n int, m *member, before uint64) {
	commit := m.node.Committed()
	if commit <= before || commit <= m.snapshot.GetIndex() {
		return
	}
	term := m.entries[commit-m.snapshot.GetIndex()-1].Term
	stored, voters := 0, 0
	for _, p := range m.node.Peers() {
		if !p.Voter {
			continue
		}
		voters++
		if other, ok := s.current(p.Id); !ok || other.hasEntry(commit, term) {
			stored++
		}
	}
	if 2*stored <= voters {
		s.violate("member %d commits entry %d, which %d of %d voters have on disk", n, commit, stored, voters)
	}
}

// checkMatches: no leader believes that a member of its term has what is not on that member's disk.
func (s *state) checkMatches(n int) {
	for l, leader := range s.members {
		if !leader.isLeader() {
			continue
		}
		last, _ := leader.last()
		for _, p := range leader.node.Peers() {
			lag, _, ok := leader.node.Lag(p.Id)
			m, there := s.current(p.Id)
			if !ok || !there || lag > last || l != n && memberOf(p.Id) != n || m.hard.GetTerm() != leader.node.Term() {
				continue
			}
			match := last - lag
			if match > leader.snapshot.GetIndex() && !m.hasEntry(match, leader.entries[match-leader.snapshot.GetIndex()-1].Term) {
				s.violate("member %d believes that %d has entry %d on disk, and it has not", l, memberOf(p.Id), match)
			}
		}
	}
}

// checkMessage: leadership is transferred only to a member with the complete log of the leader.
func (s *state) checkMessage(n int, m *member, message *wire.RaftMessage) {
	if message.Kind != wire.RaftMessage_TIMEOUT_NOW {
		return
	}
	index, term := m.last()
	if target, ok := s.current(message.To); ok && target.hard.GetTerm() == message.Term && !target.hasEntry(index, term) {
		s.violate("member %d hands its leadership to %d, which lacks entry %d", n, memberOf(message.To), index)
	}
}

// checkSnapshot: a snapshot never moves a member backwards, and is the state after the entries that it replaces.
func (s *state) checkSnapshot(n int, m *member, snapshot *wire.RaftSnapshot) {
	index := snapshot.Index
	if index < m.applied {
		s.violate("member %d goes back from entry %d to a snapshot of entry %d", n, m.applied, index)
	}
	if at := int(index) - 2; at >= 0 && (at >= len(s.history.committed) || s.history.committed[at].digest != decodeDigest(snapshot.Data)) {
		s.violate("member %d takes a snapshot of entry %d that is not the state behind it", n, index)
	}
}

// checkApply: entries are applied in order, and the same at each member (state machine safety, thesis 3.6.3).
func (s *state) checkApply(n int, m *member, e *wire.Entry) bool {
	if e.Index != m.applied+1 {
		s.violate("member %d applies entry %d after %d", n, e.Index, m.applied)
		return false
	}
	at := int(e.Index) - 2
	digest := nextDigest(m.digest, e)
	if at == len(s.history.committed) {
		h := s.ownHistory()
		h.committed = append(h.committed, appliedEntry{e.Term, string(e.Data), m.node.Term(), digest})
		return true
	}
	if at > len(s.history.committed) {
		s.violate("member %d applies entry %d before anybody has applied the one in front of it", n, e.Index)
		return true
	}
	if known := s.history.committed[at]; known.term != e.Term || known.data != string(e.Data) {
		s.violate("member %d applies entry %d of term %d, and another has applied that of term %d", n, e.Index, e.Term, known.term)
	} else if known.digest != digest {
		s.violate("member %d has another state behind entry %d than the first that applied it", n, e.Index)
	}
	return true
}

// checkRead: a read sees all that was acknowledged before it began.
func (s *state) checkRead(n int, m *member, r raft.ReadState) {
	if want := m.readIndexes[r.Token]; r.OK && r.Index < want {
		s.violate("member %d reads up to entry %d, and entry %d had been acknowledged before it was asked", n, r.Index, want)
	}
}

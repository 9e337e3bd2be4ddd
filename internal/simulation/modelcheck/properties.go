package modelcheck

import (
	"fmt"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// violate records a violation, unless an earlier one is already recorded.
func (s *state) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// checkAfter checks the properties that must hold after an event at member n; before is the member before the event.
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

// checkElection checks election safety and leader completeness (thesis, 3.6): a term has at most one leader, which has the
// votes of a majority of the voters in its membership, and whose log contains all entries applied in earlier terms.
func (s *state) checkElection(n int, m *member) {
	id, term := m.node.ID(), m.node.Term()
	if other, ok := s.history.leaders[term]; ok {
		if other != id {
			s.violate("members %d and %d lead in term %d", memberOf(other), n, term)
		}
		return
	}
	s.mutableHistory().leaders[term] = id
	if votes, voters := s.votesFor(id, term, m.node.Peers()); 2*votes <= voters {
		s.violate("member %d leads in term %d with %d votes of %d", n, term, votes, voters)
	}
	for i, e := range s.history.committed {
		if index := uint64(i) + 2; e.appliedTerm < term && !m.hasEntry(index, e.term) {
			s.violate("member %d leads in term %d without entry %d of term %d, which was applied in term %d", n, term, index, e.term, e.appliedTerm)
		}
	}
}

// votesFor counts the voters that may have voted for a candidate in a term. This includes voters that are in a later term or
// have lost their disk, because their vote in that term is no longer recorded.
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

// checkVote checks that a member's term never decreases, and that it votes at most once in a term.
func (s *state) checkVote(n int, old, updated *wire.HardState) {
	switch {
	case updated.Term < old.GetTerm():
		s.violate("member %d decreases its term from %d to %d", n, old.GetTerm(), updated.Term)
	case updated.Term == old.GetTerm() && old.GetVote() != 0 && updated.Vote != old.GetVote():
		s.violate("member %d votes twice in term %d", n, updated.Term)
	}
}

// checkCommit checks that an entry that a leader commits is on the disks of a majority of the voters in its membership.
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
		s.violate("member %d commits entry %d, which only %d of %d voters have on disk", n, commit, stored, voters)
	}
}

// checkMatches checks that the entry at the match index that a leader tracks for a member of its term is on the member's disk.
func (s *state) checkMatches(n int) {
	for leaderIndex, leader := range s.members {
		if !leader.isLeader() {
			continue
		}
		last, _ := leader.last()
		for _, p := range leader.node.Peers() {
			lag, _, ok := leader.node.Lag(p.Id)
			m, exists := s.current(p.Id)
			if !ok || !exists || lag > last || leaderIndex != n && memberOf(p.Id) != n || m.hardState.GetTerm() != leader.node.Term() {
				continue
			}
			match := last - lag
			if match > leader.snapshot.GetIndex() && !m.hasEntry(match, leader.entries[match-leader.snapshot.GetIndex()-1].Term) {
				s.violate("leader %d tracks member %d with match index %d, but the entry is not on the member's disk", leaderIndex, memberOf(p.Id), match)
			}
		}
	}
}

// checkMessage checks that a leader transfers leadership only to a member that has the leader's last entry on disk.
func (s *state) checkMessage(n int, m *member, message *wire.RaftMessage) {
	if message.Kind != wire.RaftMessage_TIMEOUT_NOW {
		return
	}
	index, term := m.last()
	if target, ok := s.current(message.To); ok && target.hardState.GetTerm() == message.Term && !target.hasEntry(index, term) {
		s.violate("member %d transfers leadership to member %d, which lacks entry %d", n, memberOf(message.To), index)
	}
}

// checkSnapshot checks that a snapshot is not older than the member's applied index, and that it contains the state after
// applying the entries that it replaces.
func (s *state) checkSnapshot(n int, m *member, snapshot *wire.RaftSnapshot) {
	index := snapshot.Index
	if index < m.applied {
		s.violate("member %d has applied entry %d and installs an older snapshot at entry %d", n, m.applied, index)
	}
	if position := int(index) - 2; position >= 0 && (position >= len(s.history.committed) || s.history.committed[position].digest != decodeDigest(snapshot.Data)) {
		s.violate("member %d installs a snapshot at entry %d whose state differs from that after the entry", n, index)
	}
}

// checkApply checks that a member applies entries in order, and that all members apply the same entry at an index (state
// machine safety; thesis, 3.6.3). It returns false if the entry is out of order.
func (s *state) checkApply(n int, m *member, e *wire.Entry) bool {
	if e.Index != m.applied+1 {
		s.violate("member %d applies entry %d after entry %d", n, e.Index, m.applied)
		return false
	}
	position := int(e.Index) - 2
	digest := nextDigest(m.digest, e)
	if position == len(s.history.committed) {
		h := s.mutableHistory()
		h.committed = append(h.committed, appliedEntry{e.Term, string(e.Data), m.node.Term(), digest})
		return true
	}
	if position > len(s.history.committed) {
		s.violate("member %d applies entry %d, but no member has applied the entry before it", n, e.Index)
		return true
	}
	if first := s.history.committed[position]; first.term != e.Term || first.data != string(e.Data) {
		s.violate("member %d applies entry %d of term %d, but another member has applied an entry of term %d at this index", n, e.Index, e.Term, first.term)
	} else if first.digest != digest {
		s.violate("the state of member %d after entry %d differs from that of the first member that applied it", n, e.Index)
	}
	return true
}

// checkRead checks that a read includes all entries that were acknowledged before the read started.
func (s *state) checkRead(n int, m *member, r raft.ReadState) {
	if want := m.readIndexes[r.Token]; r.OK && r.Index < want {
		s.violate("member %d reads at index %d, but entry %d was acknowledged before the read started", n, r.Index, want)
	}
}

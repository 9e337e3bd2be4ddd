package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ivydeck/internal/transport/wire"
)

// handleReady handles the Ready of a member as the driver does: disk first, then messages, then committed entries, then
// reads.
func (s *state) handleReady(n int, m *member) {
	for m.node != nil {
		o := m.node.Ready()
		if o.Empty() {
			return
		}
		if o.Snapshot != nil {
			s.checkSnapshot(n, m, o.Snapshot)
			m.snapshot, m.entries = o.Snapshot, nil
			m.applied, m.digest = o.Snapshot.Index, decodeDigest(o.Snapshot.Data)
		}
		if o.HardState != nil {
			s.checkVote(n, m.announced, o.HardState)
			m.announced = o.HardState
			if !s.bounds.LoseVotes {
				m.hard = o.HardState
			}
		}
		for _, e := range o.Entries {
			m.entries = append(m.entries[:e.Index-m.snapshot.GetIndex()-1], e)
		}
		if k := len(o.Entries); k > 0 {
			m.node.StableTo(o.Entries[k-1].Index)
		}
		for _, message := range o.Messages {
			s.checkMessage(n, m, message)
			s.send(message)
		}
		for _, e := range o.CommittedEntries {
			s.applyEntry(n, m, e)
		}
		for _, r := range o.ReadStates {
			s.checkRead(n, m, r)
		}
	}
}

// applyEntry applies a committed entry to the member's state machine, which is a digest of all entries.
func (s *state) applyEntry(n int, m *member, e *wire.Entry) {
	if !s.checkApply(n, m, e) {
		return
	}
	m.applied, m.digest = e.Index, nextDigest(m.digest, e)
	if term, ok := m.proposed[e.Index]; ok {
		delete(m.proposed, e.Index)
		if term == e.Term && e.Index > s.history.acked {
			s.ownHistory().acked = e.Index
		}
	}
}

// takeSnapshot compacts the member's log up to what it has applied.
func (m *member) takeSnapshot() {
	if snapshot := m.node.Compact(m.applied, encodeDigest(m.digest)); snapshot != nil {
		m.entries = m.entries[snapshot.Index-m.snapshot.GetIndex():]
		m.snapshot = snapshot
	}
}

// send puts a message on its link. Where the link is full, the oldest is lost.
func (s *state) send(m *wire.RaftMessage) {
	if m.To == 0 || memberOf(m.To) >= len(s.members) {
		return
	}
	at := memberOf(m.From)*len(s.members) + memberOf(m.To)
	link := append(slices.Clone(s.links[at]), m)
	s.links[at] = link[max(0, len(link)-max(1, s.bounds.Link)):]
}

// sweep takes messages off their links that are for an earlier incarnation of a member's disk, or of a term before its
// own: those could only inform their senders of the newer term, and count as lost.
func (s *state) sweep(n int, m *member) {
	if m.node == nil {
		return
	}
	id, term := m.node.ID(), m.node.Term()
	dead := func(q *wire.RaftMessage) bool { return q.To != id || q.Term < term && !s.bounds.Old }
	for from := range s.members {
		at := from*len(s.members) + n
		if slices.ContainsFunc(s.links[at], dead) {
			s.links[at] = slices.DeleteFunc(slices.Clone(s.links[at]), dead)
		}
	}
}

func nextDigest(digest uint64, e *wire.Entry) uint64 {
	b := binary.AppendUvarint(nil, digest)
	b = binary.AppendUvarint(b, e.Term)
	return xxhash.Sum64(append(b, e.Data...))
}

func encodeDigest(digest uint64) []byte { return binary.AppendUvarint(nil, digest) }

func decodeDigest(b []byte) uint64 {
	digest, _ := binary.Uvarint(b)
	return digest
}

package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ivydeck/internal/transport/wire"
)

// handleReady processes the Ready of a member in the order of the driver: disk writes, messages, committed entries, reads.
func (s *state) handleReady(n int, m *member) {
	for m.node != nil {
		ready := m.node.Ready()
		if ready.Empty() {
			return
		}
		if ready.Snapshot != nil {
			s.checkSnapshot(n, m, ready.Snapshot)
			m.snapshot, m.entries = ready.Snapshot, nil
			m.applied, m.digest = ready.Snapshot.Index, decodeDigest(ready.Snapshot.Data)
		}
		if ready.HardState != nil {
			s.checkVote(n, m.announced, ready.HardState)
			m.announced = ready.HardState
			if !s.bounds.LoseVotes {
				m.hardState = ready.HardState
			}
		}
		for _, e := range ready.Entries {
			m.entries = append(m.entries[:e.Index-m.snapshot.GetIndex()-1], e)
		}
		if count := len(ready.Entries); count > 0 {
			m.node.StableTo(ready.Entries[count-1].Index)
		}
		for _, message := range ready.Messages {
			s.checkMessage(n, m, message)
			s.send(message)
		}
		for _, e := range ready.CommittedEntries {
			s.applyEntry(n, m, e)
		}
		for _, r := range ready.ReadStates {
			s.checkRead(n, m, r)
		}
	}
}

// applyEntry applies a committed entry to the member's state machine, which is a digest of the applied entries.
func (s *state) applyEntry(n int, m *member, e *wire.Entry) {
	if !s.checkApply(n, m, e) {
		return
	}
	m.applied, m.digest = e.Index, nextDigest(m.digest, e)
	if term, ok := m.proposed[e.Index]; ok {
		delete(m.proposed, e.Index)
		if term == e.Term && e.Index > s.history.acked {
			s.mutableHistory().acked = e.Index
		}
	}
}

// takeSnapshot compacts the member's log up to its applied index.
func (m *member) takeSnapshot() {
	if snapshot := m.node.Compact(m.applied, encodeDigest(m.digest)); snapshot != nil {
		m.entries = m.entries[snapshot.Index-m.snapshot.GetIndex():]
		m.snapshot = snapshot
	}
}

// send appends a message to its link. If the link is full, the oldest message is lost.
func (s *state) send(m *wire.RaftMessage) {
	if m.To == 0 || memberOf(m.To) >= len(s.members) {
		return
	}
	index := memberOf(m.From)*len(s.members) + memberOf(m.To)
	link := append(slices.Clone(s.links[index]), m)
	s.links[index] = link[max(0, len(link)-max(1, s.bounds.Link)):]
}

// dropStaleMessages drops messages to a member that are addressed to an earlier incarnation of its disk or have a lower term
// than the member. The member's response to a lower term would only carry its own term, so the message counts as lost.
func (s *state) dropStaleMessages(n int, m *member) {
	if m.node == nil {
		return
	}
	id, term := m.node.ID(), m.node.Term()
	stale := func(msg *wire.RaftMessage) bool { return msg.To != id || msg.Term < term && !s.bounds.KeepStale }
	for from := range s.members {
		index := from*len(s.members) + n
		if slices.ContainsFunc(s.links[index], stale) {
			s.links[index] = slices.DeleteFunc(slices.Clone(s.links[index]), stale)
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

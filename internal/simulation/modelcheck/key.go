package modelcheck

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// key is a hash of the state, equal for states that differ by the members' names only.
func (s *state) key() uint64 {
	n := len(s.members)
	own := make([][]byte, n)
	for i, m := range s.members { // as seen from itself, whatever the others are called
		own[i] = m.append(nil, func(id uint64) uint64 {
			switch {
			case id == 0:
				return 0
			case memberOf(id) == i:
				return 1 + (id-1)/maxMembers*2
			}
			return 2 + (id-1)/maxMembers*2
		})
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return bytes.Compare(own[a], own[b]) })
	best := []byte(nil)
	permute(order, 0, func(a, b int) bool { return bytes.Equal(own[a], own[b]) }, func(order []int) {
		if b := s.append(order); best == nil || bytes.Compare(b, best) < 0 {
			best = b
		}
	})
	return xxhash.Sum64(best)
}

// permute calls f with all orders that differ by places that are alike.
func permute(order []int, from int, alike func(a, b int) bool, f func([]int)) {
	if from == len(order) {
		f(order)
		return
	}
	for i := from; i < len(order) && alike(order[from], order[i]); i++ {
		order[from], order[i] = order[i], order[from]
		permute(order, from+1, alike, f)
		order[from], order[i] = order[i], order[from]
	}
}

// append encodes the state with the members in an order.
func (s *state) append(order []int) []byte {
	position := make([]uint64, len(order))
	for at, n := range order {
		position[n] = uint64(at)
	}
	rename := func(id uint64) uint64 {
		if id == 0 {
			return 0
		}
		return 1 + position[memberOf(id)] + maxMembers*((id-1)/maxMembers)
	}
	b := make([]byte, 0, 1024)
	for _, n := range order {
		b = s.members[n].append(b, rename)
	}
	for _, from := range order {
		for _, to := range order {
			b = s.appendLink(b, s.links[from*len(order)+to], rename)
		}
	}
	b = s.history.append(b, rename)
	l := s.bounds
	for _, left := range []int{l.Proposals, l.Reads, l.Heartbeats, l.Crashes, l.Wipes, l.Changes, l.Snapshots, l.Transfers, l.Duplicates} {
		b = binary.AppendUvarint(b, uint64(left))
	}
	return b
}

// appendLink encodes a link's messages, as a set where they may overtake each other.
func (s *state) appendLink(b []byte, link []*wire.RaftMessage, rename func(uint64) uint64) []byte {
	b = binary.AppendUvarint(b, uint64(len(link)))
	if !s.bounds.Unordered || len(link) < 2 {
		for _, m := range link {
			b = raft.AppendMessage(b, m, rename)
		}
		return b
	}
	encoded := make([][]byte, len(link))
	for i, m := range link {
		encoded[i] = raft.AppendMessage(nil, m, rename)
	}
	slices.SortFunc(encoded, bytes.Compare)
	return append(b, bytes.Join(encoded, nil)...)
}

func (h *history) append(b []byte, rename func(uint64) uint64) []byte {
	for _, term := range slices.Sorted(maps.Keys(h.leaders)) {
		b = binary.AppendUvarint(b, term)
		b = binary.AppendUvarint(b, rename(h.leaders[term]))
	}
	for _, e := range h.committed {
		b = binary.AppendUvarint(b, e.term)
		b = binary.AppendUvarint(b, e.in)
		b = binary.AppendUvarint(b, uint64(len(e.data)))
		b = append(b, e.data...)
	}
	return binary.AppendUvarint(b, h.acked)
}

// append encodes a member. A running one's disk has what it has in memory: each output is settled before the next event.
func (m *member) append(b []byte, rename func(uint64) uint64) []byte {
	b = binary.AppendUvarint(b, m.incarnation)
	if m.node != nil {
		b = append(b, 1)
		b = m.node.AppendFingerprint(b, rename)
		for _, want := range m.readIndexes {
			b = binary.AppendUvarint(b, want)
		}
		for _, index := range slices.Sorted(maps.Keys(m.proposed)) {
			b = binary.AppendUvarint(b, index)
			b = binary.AppendUvarint(b, m.proposed[index])
		}
		return b
	}
	b = append(b, 0)
	b = binary.AppendUvarint(b, m.hard.GetTerm())
	b = binary.AppendUvarint(b, rename(m.hard.GetVote()))
	b = binary.AppendUvarint(b, m.snapshot.GetIndex())
	for _, e := range m.entries {
		b = raft.AppendEntry(b, e, rename)
	}
	return b
}

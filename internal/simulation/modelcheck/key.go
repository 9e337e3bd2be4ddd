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

// key returns a hash of the state, which is equal for states that differ only in the members' names. It sorts the members by an
// encoding that does not contain names. Members with equal encodings may be sorted in several orders; it hashes the smallest
// encoding of the state over all of them.
func (s *state) key() uint64 {
	n := len(s.members)
	local := make([][]byte, n)
	for i, m := range s.members { // replaces the number of any other member by a constant
		local[i] = m.append(nil, func(id uint64) uint64 {
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
	slices.SortStableFunc(order, func(a, b int) int { return bytes.Compare(local[a], local[b]) })
	smallest := []byte(nil)
	permute(order, 0, func(a, b int) bool { return bytes.Equal(local[a], local[b]) }, func(order []int) {
		if b := s.append(order); smallest == nil || bytes.Compare(b, smallest) < 0 {
			smallest = b
		}
	})
	return xxhash.Sum64(smallest)
}

// permute calls f with each order that results from permuting equal elements of a sorted order.
func permute(order []int, from int, equal func(a, b int) bool, f func([]int)) {
	if from == len(order) {
		f(order)
		return
	}
	for i := from; i < len(order) && equal(order[from], order[i]); i++ {
		order[from], order[i] = order[i], order[from]
		permute(order, from+1, equal, f)
		order[from], order[i] = order[i], order[from]
	}
}

// append encodes the state with the members in the given order.
func (s *state) append(order []int) []byte {
	position := make([]uint64, len(order))
	for i, n := range order {
		position[n] = uint64(i)
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
	bounds := s.bounds
	for _, remaining := range []int{bounds.Proposals, bounds.Reads, bounds.Heartbeats, bounds.Crashes,
		bounds.Wipes, bounds.Changes, bounds.Snapshots, bounds.Transfers, bounds.Duplicates} {
		b = binary.AppendUvarint(b, uint64(remaining))
	}
	return b
}

// appendLink encodes the messages of a link, sorted if the link may reorder them.
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
		b = binary.AppendUvarint(b, e.appliedTerm)
		b = binary.AppendUvarint(b, uint64(len(e.data)))
		b = append(b, e.data...)
	}
	return binary.AppendUvarint(b, h.acked)
}

// append encodes a member. For a running member the encoding omits the disk, which equals the state in memory: handleReady
// processes all output before the next event.
func (m *member) append(b []byte, rename func(uint64) uint64) []byte {
	b = binary.AppendUvarint(b, m.incarnation)
	if m.node != nil {
		b = append(b, 1)
		b = m.node.AppendFingerprint(b, rename)
		for _, index := range m.readIndexes {
			b = binary.AppendUvarint(b, index)
		}
		for _, index := range slices.Sorted(maps.Keys(m.proposed)) {
			b = binary.AppendUvarint(b, index)
			b = binary.AppendUvarint(b, m.proposed[index])
		}
		return b
	}
	b = append(b, 0)
	b = binary.AppendUvarint(b, m.hardState.GetTerm())
	b = binary.AppendUvarint(b, rename(m.hardState.GetVote()))
	b = binary.AppendUvarint(b, m.snapshot.GetIndex())
	for _, e := range m.entries {
		b = raft.AppendEntry(b, e, rename)
	}
	return b
}

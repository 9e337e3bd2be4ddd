package membership

import (
	"cmp"
	"slices"
	"strings"

	"ivydeck/internal/transport/wire"
)

// nextBroadcasts returns the updates to piggyback on the next message: this node's own entry, then the updates with the
// fewest transmits. Among equals the newest goes first, because after many nodes start at once hundreds of updates are
// queued for minutes.
func (l *Memberlist) nextBroadcasts() []*wire.Member {
	limit := uint8(3) // transmits per update, plus one for each doubling of the cluster
	for n := len(l.members) + 1; n > 1; n /= 2 {
		limit++
	}
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(m *member) bool {
		m.broadcasting = m.transmits < limit && l.members[m.Name] == m
		return !m.broadcasting
	})
	slices.SortFunc(l.broadcasts, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.stateChangedAt, a.stateChangedAt), strings.Compare(a.Name, b.Name))
	})
	broadcasts := []*wire.Member{l.self}
	for _, m := range l.broadcasts[:min(maxPiggyback, len(l.broadcasts))] {
		m.transmits++
		broadcasts = append(broadcasts, m.Member)
	}
	return broadcasts
}

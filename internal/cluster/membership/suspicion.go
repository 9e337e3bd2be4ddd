package membership

import (
	"slices"

	"ivydeck/internal/transport/wire"
)

// expireSuspicions declares suspects dead after suspicionTimeout, and removes members deadRetention after they died or
// left.
func (l *Memberlist) expireSuspicions() {
	kept := l.unreachable[:0]
	for _, m := range l.unreachable {
		switch {
		case m.State == wire.Member_SUSPECT && l.now-m.stateChangedAt >= suspicionTimeout:
			l.setState(m, wire.Member_DEAD)
			kept = append(kept, m)
		case !reachable(m.State) && l.now-m.stateChangedAt >= deadRetention:
			l.remove(m)
		case m.State == wire.Member_ALIVE:
			m.unreachable = false
		default:
			kept = append(kept, m)
		}
	}
	clear(l.unreachable[len(kept):])
	l.unreachable = kept
}

// remove removes a member that is dead or has left.
func (l *Memberlist) remove(m *member) {
	delete(l.members, m.Name)
	l.sortedMembers = slices.DeleteFunc(l.sortedMembers, func(x *member) bool { return x == m })
	m.unreachable = false
}

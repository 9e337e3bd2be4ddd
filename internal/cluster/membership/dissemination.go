package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

// Leave makes this node say that it goes. The answer is what to tell others.
func (l *Memberlist) Leave() {
	l.updateSelf(func(m *wire.Member) { m.State = wire.Member_LEFT })
}

// updateSelf changes what this node says of itself.
func (l *Memberlist) updateSelf(f func(m *wire.Member)) {
	l.self = proto.CloneOf(l.self)
	f(l.self)
	l.version++
}

// setState gives a member a state, which is to be passed on.
func (l *Memberlist) setState(m *member, state wire.Member_State) {
	if m.State != state {
		l.toggleDigest(m.Member)
		changed := proto.CloneOf(m.Member)
		changed.State = state
		m.Member = changed
		l.toggleDigest(m.Member)
	}
	m.stateChangedAt, m.transmits = l.now, 0
	l.schedulePushPull()
	if !m.broadcasting {
		m.broadcasting = true
		l.broadcasts = append(l.broadcasts, m)
	}
	if state != wire.Member_ALIVE && !m.unreachable {
		m.unreachable = true
		l.unreachable = append(l.unreachable, m)
	}
	l.version++
}

// Merge applies what another node says of some nodes. The updates are kept, and not to be changed afterwards. What comes in
// bulk, as from a comparison of views, is not passed on with probes: comparisons spread it, and it would hold up what is new.
func (l *Memberlist) Merge(now time.Duration, updates ...*wire.Member) {
	l.now = now
	var changed []*member
	for _, n := range updates {
		switch {
		case n == nil || n.Name == "":
		case n.Name == l.self.Name:
			l.refute(n)
		default:
			if m := l.mergeMember(n); m != nil {
				changed = append(changed, m)
			}
		}
	}
	if len(changed) <= maxPiggyback {
		return
	}
	for _, m := range changed {
		m.transmits = transmitLimitReached
	}
}

// mergeMember applies what another node says of a third one. It returns the member if that was new.
func (l *Memberlist) mergeMember(n *wire.Member) *member {
	m := l.members[n.Name]
	switch {
	case m == nil:
		return l.add(n)
	case !overrides(n, m.Member):
		return nil
	}
	if n.Generation > m.Generation {
		m.probing = false
	}
	l.toggleDigest(m.Member)
	m.Member = n
	l.toggleDigest(m.Member)
	l.setState(m, n.State)
	return m
}

// add takes in a node that was not known, unless it is dead or there are too many.
func (l *Memberlist) add(n *wire.Member) *member {
	if !reachable(n.State) || len(l.members) >= maxMembers {
		return nil
	}
	m := &member{Member: n, finestRange: finestRange(nameHash(n.Name))}
	l.members[n.Name] = m
	l.sortedMembers, l.needsSort = append(l.sortedMembers, m), true
	l.toggleDigest(n)
	l.setState(m, n.State)
	// Somewhere in what is left of the round, not always at its end.
	at := l.rng.IntN(len(l.probeRound) + 1)
	l.probeRound = slices.Insert(l.probeRound, at, m)
	return m
}

// overrides reports whether an update counts against what is known.
func overrides(n, old *wire.Member) bool {
	if n.Generation != old.Generation {
		return n.Generation > old.Generation
	}
	if old.State == wire.Member_LEFT {
		return false
	}
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.State > old.State
}

// refute answers a suspicion about this node itself.
func (l *Memberlist) refute(n *wire.Member) {
	if n.Generation > l.self.Generation { // of an earlier process, whose clock was ahead
		l.updateSelf(func(m *wire.Member) { m.Generation, m.Incarnation = n.Generation+1, 0 })
		return
	}
	if n.Generation != l.self.Generation || n.State == wire.Member_ALIVE || l.self.State == wire.Member_LEFT {
		return
	}
	if n.Incarnation >= l.self.Incarnation {
		l.updateSelf(func(m *wire.Member) { m.Incarnation = n.Incarnation + 1 })
	}
}

// nextBroadcasts are the changes that were passed on least often, this node's own state first. Of those that were passed on equally
// often the newest goes first: behind a start of many nodes those of hundreds of others wait for minutes.
func (l *Memberlist) nextBroadcasts() []*wire.Member {
	limit := uint8(3) // times that a piece is passed on, more among many
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

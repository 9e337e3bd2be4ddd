package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Leave marks this node as one that has left; Self then is the update for the others.
func (l *Memberlist) Leave() {
	l.updateSelf(func(m *wire.Member) { m.State = wire.Member_LEFT })
}

// updateSelf changes this node's own entry.
func (l *Memberlist) updateSelf(f func(m *wire.Member)) {
	l.self = proto.CloneOf(l.self)
	f(l.self)
	l.version++
}

// setState sets a member's state, which is then broadcast.
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

// Merge applies the updates of another node, which the caller must not change afterwards. Updates in bulk, as a push/pull
// brings them, are not broadcast: other push/pulls spread them, and they would delay newer ones.
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

// mergeMember applies an update about a third node. It returns the member if the update was new.
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

// add adds a node, unless it is dead or there are too many.
func (l *Memberlist) add(n *wire.Member) *member {
	if !reachable(n.State) || len(l.members) >= maxMembers {
		return nil
	}
	m := &member{Member: n, finestRange: finestRange(nameHash(n.Name))}
	l.members[n.Name] = m
	l.sortedMembers, l.needsSort = append(l.sortedMembers, m), true
	l.toggleDigest(n)
	l.setState(m, n.State)
	// At a random position in the rest of the round, as SWIM has it: each node is probed within bounded time.
	at := l.rng.IntN(len(l.probeRound) + 1)
	l.probeRound = slices.Insert(l.probeRound, at, m)
	return m
}

// overrides reports whether an update takes precedence over what is known (SWIM, 4.2).
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

// refute answers an update that says this node itself to be suspect, dead or of a later generation.
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

// reachable reports whether a node of this state may answer.
func reachable(s wire.Member_State) bool { return s == wire.Member_ALIVE || s == wire.Member_SUSPECT }

// DeadFor returns for how long a node has been dead or has left; 0: it is neither, or not known.
func (l *Memberlist) DeadFor(now time.Duration, name string) time.Duration {
	m := l.members[name]
	if m == nil || reachable(m.State) {
		return 0
	}
	return max(1, now-m.stateChangedAt)
}

// Lost reports whether what runs on a node should be deregistered: the node has been dead for a while, or was not a member
// in all the time that the caller has watched.
func (l *Memberlist) Lost(now time.Duration, name string, watched time.Duration) bool {
	return l.DeadFor(now, name) > deadNodeLostAfter || !l.Knows(name) && watched > unknownNodeLostAfter
}

// Knows reports whether a node is or was a member, as far as that is remembered.
func (l *Memberlist) Knows(name string) bool { return name == l.self.Name || l.members[name] != nil }

package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Leave marks this node as left. Self then returns the update to send to other nodes.
func (l *Memberlist) Leave() {
	l.updateSelf(func(m *wire.Member) { m.State = wire.Member_LEFT })
}

// updateSelf replaces this node's own entry with a modified copy.
func (l *Memberlist) updateSelf(modify func(m *wire.Member)) {
	l.self = proto.CloneOf(l.self)
	modify(l.self)
	l.version++
}

// setState sets a member's state and queues it for broadcast, even if it is unchanged.
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

// Merge applies updates received from another node. The caller must not modify them afterwards. If more than maxPiggyback
// members change, as in a push/pull, their updates are not broadcast: other push/pulls spread them, and they would delay
// newer updates.
func (l *Memberlist) Merge(now time.Duration, updates ...*wire.Member) {
	l.now = now
	var changed []*member
	for _, update := range updates {
		switch {
		case update == nil || update.Name == "":
		case update.Name == l.self.Name:
			l.refute(update)
		default:
			if m := l.mergeMember(update); m != nil {
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

// mergeMember applies an update about another node. It returns nil if the update changes nothing.
func (l *Memberlist) mergeMember(update *wire.Member) *member {
	m := l.members[update.Name]
	switch {
	case m == nil:
		return l.add(update)
	case !overrides(update, m.Member):
		return nil
	}
	if update.Generation > m.Generation {
		m.probing = false
	}
	l.toggleDigest(m.Member)
	m.Member = update
	l.toggleDigest(m.Member)
	l.setState(m, update.State)
	return m
}

// add adds a node. It returns nil if the node is unreachable or the list has maxMembers.
func (l *Memberlist) add(node *wire.Member) *member {
	if !reachable(node.State) || len(l.members) >= maxMembers {
		return nil
	}
	m := &member{Member: node, finestRange: finestRange(nameHash(node.Name))}
	l.members[node.Name] = m
	l.sortedMembers, l.needsSort = append(l.sortedMembers, m), true
	l.toggleDigest(node)
	l.setState(m, node.State)
	// As in SWIM, a new member joins the current round at a random position, so that it is probed within bounded time.
	position := l.rng.IntN(len(l.probeRound) + 1)
	l.probeRound = slices.Insert(l.probeRound, position, m)
	return m
}

// overrides reports whether an update takes precedence over the current entry (SWIM, section 4.2).
func overrides(update, current *wire.Member) bool {
	if update.Generation != current.Generation {
		return update.Generation > current.Generation
	}
	if current.State == wire.Member_LEFT {
		return false
	}
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.State > current.State
}

// refute handles an update about this node. It raises the generation if the update has a higher one, and the incarnation if
// the update marks this node as suspect, dead or left.
func (l *Memberlist) refute(update *wire.Member) {
	if update.Generation > l.self.Generation { // from an earlier process whose clock was ahead
		l.updateSelf(func(m *wire.Member) { m.Generation, m.Incarnation = update.Generation+1, 0 })
		return
	}
	if update.Generation != l.self.Generation || update.State == wire.Member_ALIVE || l.self.State == wire.Member_LEFT {
		return
	}
	if update.Incarnation >= l.self.Incarnation {
		l.updateSelf(func(m *wire.Member) { m.Incarnation = update.Incarnation + 1 })
	}
}

// reachable reports whether nodes in the given state are probed and returned by Members.
func reachable(s wire.Member_State) bool { return s == wire.Member_ALIVE || s == wire.Member_SUSPECT }

// DeadFor returns how long ago a node died or left. It returns zero if the node is reachable or unknown.
func (l *Memberlist) DeadFor(now time.Duration, name string) time.Duration {
	m := l.members[name]
	if m == nil || reachable(m.State) {
		return 0
	}
	return max(1, now-m.stateChangedAt)
}

// Lost reports whether the servers on a node should be deregistered: the node has been dead for over deadNodeLostAfter, or
// is unknown after the caller has observed the membership for over unknownNodeLostAfter.
func (l *Memberlist) Lost(now time.Duration, name string, watched time.Duration) bool {
	return l.DeadFor(now, name) > deadNodeLostAfter || !l.Contains(name) && watched > unknownNodeLostAfter
}

// Contains reports whether a node is in the list, including dead members that are not yet removed.
func (l *Memberlist) Contains(name string) bool { return name == l.self.Name || l.members[name] != nil }

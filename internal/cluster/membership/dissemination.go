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
func (g *Group) Leave() {
	g.updateSelf(func(m *wire.Member) { m.State = wire.Member_LEFT })
}

// updateSelf changes what this node says of itself.
func (g *Group) updateSelf(f func(m *wire.Member)) {
	g.self = proto.CloneOf(g.self)
	f(g.self)
	g.version++
}

// setState gives a member a state, which is to be passed on.
func (g *Group) setState(m *member, state wire.Member_State) {
	if m.State != state {
		g.toggle(m.Member)
		changed := proto.CloneOf(m.Member)
		changed.State = state
		m.Member = changed
		g.toggle(m.Member)
	}
	m.since, m.transmits = g.now, 0
	g.compareSoon()
	if !m.broadcasting {
		m.broadcasting = true
		g.broadcasts = append(g.broadcasts, m)
	}
	if state != wire.Member_ALIVE && !m.unreachable {
		m.unreachable = true
		g.unreachable = append(g.unreachable, m)
	}
	g.version++
}

// Merge applies what another node says of some nodes. The updates are kept, and not to be changed afterwards. What comes in
// bulk, as from a comparison of views, is not passed on with probes: comparisons spread it, and it would hold up what is new.
func (g *Group) Merge(now time.Duration, updates ...*wire.Member) {
	g.now = now
	var changed []*member
	for _, n := range updates {
		switch {
		case n == nil || n.Name == "":
		case n.Name == g.self.Name:
			g.refute(n)
		default:
			if m := g.mergeOne(n); m != nil {
				changed = append(changed, m)
			}
		}
	}
	if len(changed) <= maxPiggyback {
		return
	}
	for _, m := range changed {
		m.transmits = passedOn
	}
}

// mergeOne applies what another node says of a third one. It returns the member if that was new.
func (g *Group) mergeOne(n *wire.Member) *member {
	m := g.members[n.Name]
	switch {
	case m == nil:
		return g.add(n)
	case !overrides(n, m.Member):
		return nil
	}
	if n.Generation > m.Generation {
		m.probing = false
	}
	g.toggle(m.Member)
	m.Member = n
	g.toggle(m.Member)
	g.setState(m, n.State)
	return m
}

// add takes in a node that was not known, unless it is dead or there are too many.
func (g *Group) add(n *wire.Member) *member {
	if !reachable(n.State) || len(g.members) >= maxMembers {
		return nil
	}
	m := &member{Member: n, finestRange: finestRange(nameHash(n.Name))}
	g.members[n.Name] = m
	g.all, g.unsorted = append(g.all, m), true
	g.toggle(n)
	g.setState(m, n.State)
	// Somewhere in what is left of the round, not always at its end.
	at := g.rng.IntN(len(g.order) + 1)
	g.order = slices.Insert(g.order, at, m)
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
func (g *Group) refute(n *wire.Member) {
	if n.Generation > g.self.Generation { // of an earlier process, whose clock was ahead
		g.updateSelf(func(m *wire.Member) { m.Generation, m.Incarnation = n.Generation+1, 0 })
		return
	}
	if n.Generation != g.self.Generation || n.State == wire.Member_ALIVE || g.self.State == wire.Member_LEFT {
		return
	}
	if n.Incarnation >= g.self.Incarnation {
		g.updateSelf(func(m *wire.Member) { m.Incarnation = n.Incarnation + 1 })
	}
}

// updates are the changes that were passed on least often, this node's own state first. Of those that were passed on equally
// often the newest goes first: behind a start of many nodes those of hundreds of others wait for minutes.
func (g *Group) updates() []*wire.Member {
	limit := uint8(3) // times that a piece is passed on, more among many
	for n := len(g.members) + 1; n > 1; n /= 2 {
		limit++
	}
	g.broadcasts = slices.DeleteFunc(g.broadcasts, func(m *member) bool {
		m.broadcasting = m.transmits < limit && g.members[m.Name] == m
		return !m.broadcasting
	})
	slices.SortFunc(g.broadcasts, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.since, a.since), strings.Compare(a.Name, b.Name))
	})
	out := []*wire.Member{g.self}
	for _, m := range g.broadcasts[:min(maxPiggyback, len(g.broadcasts))] {
		m.transmits++
		out = append(out, m.Member)
	}
	return out
}

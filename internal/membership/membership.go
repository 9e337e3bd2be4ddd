// Package membership tells which nodes there are: each node probes a few others
// in turn, asks third parties for a second opinion about one that is silent,
// and holds it for suspect before it is taken for dead. What a node learns it
// passes on with its probes. The protocol is that of SWIM.
//
// Group is a pure state machine: it takes the time and events and returns what
// to send.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewring/internal/wire"
)

// Timing and bounds of the protocol.
const (
	Period      = 500 * time.Millisecond // between two probes
	ProbeWait   = 400 * time.Millisecond // for an answer, direct or by a third party
	suspectFor  = 1800 * time.Millisecond
	forgetAfter = 30 * time.Second // the dead are remembered for as long, lest old news revive them
	helpers     = 2                // third parties asked
	mostNews    = 8                // pieces sent along with a probe
	mostMembers = 20000
)

// Action is a probe to send: to Helper about Target where a helper is set, else
// to Target itself. The driver answers with Probed.
type Action struct {
	Target  string
	Helper  string
	Address string // where to
	Probe   *wire.Probe
}

// member is one other node.
type member struct {
	*wire.Member
	since   time.Duration // of its state
	told    int           // times that its newest state was passed on
	probing bool
	asked   int // opinions that have not come yet
}

// Group is one node's view of all others.
type Group struct {
	self    *wire.Member
	rng     *rand.Rand
	now     time.Duration
	members map[string]*member
	order   []string // round of probes
	next    time.Duration
	version uint64
}

// New returns the view of a node that knows nobody. The life is higher than that
// of any earlier process of the same name.
func New(self *wire.Member, seed uint64, now time.Duration) *Group {
	return &Group{self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(seed, 7)), now: now, members: map[string]*member{}, next: now}
}

// Self returns what this node says of itself.
func (g *Group) Self() *wire.Member { return proto.CloneOf(g.self) }

// Version rises with every change that Members shows.
func (g *Group) Version() uint64 { return g.version }

// Members returns all nodes that are not dead, this one among them, by name.
func (g *Group) Members() []*wire.Member {
	list := []*wire.Member{g.Self()}
	for _, m := range g.members {
		if m.State == wire.Member_ALIVE || m.State == wire.Member_SUSPECT {
			list = append(list, proto.CloneOf(m.Member))
		}
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Gone tells for how long a node has been dead or has left; 0 where it is
// neither, or not known.
func (g *Group) Gone(now time.Duration, name string) time.Duration {
	m := g.members[name]
	if m == nil || m.State == wire.Member_ALIVE || m.State == wire.Member_SUSPECT {
		return 0
	}
	return max(1, now-m.since)
}

// Knows tells whether a node has ever been heard of.
func (g *Group) Knows(name string) bool { return name == g.self.Name || g.members[name] != nil }

// Leave makes this node say that it goes. The answer is what to tell others.
func (g *Group) Leave() {
	g.self.State = wire.Member_LEFT
	g.version++
}

// Next is when Tick is due.
func (g *Group) Next() time.Duration { return g.next }

// Tick begins the next probe, and ends suspicions that nobody has refuted.
func (g *Group) Tick(now time.Duration) []Action {
	g.now = now
	for name, m := range g.members {
		switch {
		case m.State == wire.Member_SUSPECT && now-m.since >= suspectFor:
			g.set(m, wire.Member_DEAD)
		case (m.State == wire.Member_DEAD || m.State == wire.Member_LEFT) && now-m.since >= forgetAfter:
			delete(g.members, name)
		}
	}
	if now < g.next {
		return nil
	}
	g.next = now + Period
	if m := g.turn(); m != nil {
		m.probing, m.asked = true, 0
		return []Action{{Target: m.Name, Address: m.Address, Probe: &wire.Probe{From: g.Self(), News: g.news()}}}
	}
	return nil
}

// turn returns the next member of a round in random order.
func (g *Group) turn() *member {
	for range 2 {
		for len(g.order) > 0 {
			m := g.members[g.order[0]]
			g.order = g.order[1:]
			if m != nil && !m.probing && (m.State == wire.Member_ALIVE || m.State == wire.Member_SUSPECT) {
				return m
			}
		}
		for name := range g.members {
			g.order = append(g.order, name)
		}
		slices.Sort(g.order)
		g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
	}
	return nil
}

// Probed takes the result of an action: whether its target was reached. What
// the answer says of others goes to Hear first.
func (g *Group) Probed(now time.Duration, a Action, reached bool) []Action {
	g.now = now
	m := g.members[a.Target]
	if m == nil || !m.probing {
		return nil
	}
	if reached {
		m.probing = false
		if m.State == wire.Member_SUSPECT { // it refutes by itself; this only saves the time until then
			g.set(m, wire.Member_ALIVE)
		}
		return nil
	}
	if a.Helper == "" {
		var out []Action
		for _, h := range g.others(a.Target) {
			out = append(out, Action{Target: m.Name, Helper: h.Name, Address: h.Address,
				Probe: &wire.Probe{Target: proto.CloneOf(m.Member), From: g.Self(), News: g.news()}})
		}
		if m.asked = len(out); m.asked > 0 {
			return out
		}
	} else if m.asked--; m.asked > 0 {
		return nil
	}
	m.probing = false
	if m.State == wire.Member_ALIVE {
		g.set(m, wire.Member_SUSPECT)
	}
	return nil
}

// others draws third parties.
func (g *Group) others(but string) []*member {
	var list []*member
	for _, m := range g.members {
		if m.Name != but && m.State == wire.Member_ALIVE {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(helpers, len(list))]
}

func (g *Group) set(m *member, state wire.Member_State) {
	m.State, m.since, m.told = state, g.now, 0
	g.version++
}

// Hear takes what another node says of some nodes.
func (g *Group) Hear(now time.Duration, news ...*wire.Member) {
	g.now = now
	for _, n := range news {
		if n == nil || n.Name == "" {
			continue
		}
		if n.Name == g.self.Name {
			g.refute(n)
			continue
		}
		m := g.members[n.Name]
		if m == nil {
			if n.State != wire.Member_ALIVE && n.State != wire.Member_SUSPECT || len(g.members) >= mostMembers {
				continue
			}
			m = &member{Member: proto.CloneOf(n)}
			g.members[n.Name] = m
			g.set(m, n.State)
			// Somewhere in what is left of the round, not always at its end.
			at := g.rng.IntN(len(g.order) + 1)
			g.order = slices.Insert(g.order, at, n.Name)
			continue
		}
		if !newer(n, m.Member) {
			continue
		}
		if n.Life > m.Life {
			m.probing = false
		}
		m.Member = proto.CloneOf(n)
		g.set(m, n.State)
	}
}

// newer tells whether news count against what is known.
func newer(n, old *wire.Member) bool {
	if n.Life != old.Life {
		return n.Life > old.Life
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
	if n.Life > g.self.Life { // the clock that lives are drawn from was set back
		g.self.Life, g.self.Incarnation = n.Life+1, 0
		return
	}
	if n.Life != g.self.Life || n.State == wire.Member_ALIVE || g.self.State == wire.Member_LEFT {
		return
	}
	if n.Incarnation >= g.self.Incarnation {
		g.self.Incarnation = n.Incarnation + 1
	}
}

// news are the pieces that were told least often, this node's own state first.
func (g *Group) news() []*wire.Member {
	limit := 3 // times that a piece is passed on, more among many
	for n := len(g.members) + 1; n > 1; n /= 2 {
		limit++
	}
	var list []*member
	for _, m := range g.members {
		if m.told < limit {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.told != b.told {
			return a.told - b.told
		}
		return strings.Compare(a.Name, b.Name)
	})
	out := []*wire.Member{g.Self()}
	for _, m := range list[:min(mostNews, len(list))] {
		m.told++
		out = append(out, proto.CloneOf(m.Member))
	}
	return out
}

// Answer returns the news that go back with a probe's answer; whole is all.
func (g *Group) Answer(whole bool) []*wire.Member {
	if !whole {
		return g.news()
	}
	out := []*wire.Member{g.Self()}
	for _, name := range slices.Sorted(maps.Keys(g.members)) { // in one order, so that runs repeat
		out = append(out, proto.CloneOf(g.members[name].Member))
	}
	return out
}

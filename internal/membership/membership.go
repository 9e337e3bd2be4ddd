// Package membership tells which nodes there are: each node probes a few others
// in turn, asks third parties for a second opinion about one that is silent,
// and holds it for suspect before it is taken for dead. What a node learns it
// passes on with its probes. The protocol is that of SWIM.
//
// Group is a pure state machine: it takes the time and events and returns what
// to send.
package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/wire"
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

	lostAfter    = 1500 * time.Millisecond // of a node that is dead
	unknownAfter = 10 * time.Second        // of one that was never heard of

	joinEvery = 300 * time.Millisecond // a seed is asked as often while nobody is known
	syncEvery = 5 * time.Second        // whole views are compared, which joins what was cut apart ...
	syncUsual = 100                    // ... and less often with more nodes than this, ...
	syncMost  = time.Minute            // ... down to this: the seeds answer them all
)

// Action is a probe to send: to Helper about Target where a helper is set, to
// Target itself, or with neither only to hear what a seed knows. The driver
// answers with Probed.
type Action struct {
	Target  string
	Helper  string
	Address string // where to
	Probe   *wire.Probe
}

// Wait is how long the driver waits for the answer.
func (a Action) Wait() time.Duration {
	if a.Helper != "" {
		return 2 * ProbeWait
	}
	return ProbeWait
}

// member is one other node.
type member struct {
	*wire.Member               // replaced, never changed: others hold it too
	since        time.Duration // of its state
	told         uint8         // times that its newest state was passed on
	asked        uint8         // opinions that have not come yet
	probing      bool
	rumour, down bool // it stands in the list of that name
}

// Group is one node's view of all others. With many nodes, what it does for a
// probe depends on what has changed lately, not on how many there are.
type Group struct {
	self    *wire.Member
	rng     *rand.Rand
	now     time.Duration
	members map[string]*member
	all     []*member // sorted by name unless unsorted is set
	rumours []*member // whose newest state has to be passed on
	down    []*member // suspect, dead, or gone
	order   []*member // round of probes
	next    time.Duration
	syncAt  time.Duration
	version uint64
	digest  uint64 // of the members that are not dead, without this one

	unsorted bool
	list     []*wire.Member // what Members returned at version listed
	listed   uint64
}

// New returns the view of a node that knows nobody. The life is higher than that
// of any earlier process of the same name.
func New(self *wire.Member, seed uint64, now time.Duration) *Group {
	return &Group{
		self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(seed, 7)), now: now, members: map[string]*member{},
		next: now, syncAt: now, version: 1,
	}
}

// Self returns what this node says of itself. It is not to be changed.
func (g *Group) Self() *wire.Member { return g.self }

// Version rises with every change that Members shows.
func (g *Group) Version() uint64 { return g.version }

// Members returns all nodes that are not dead, this one among them, by name. The
// list and what it holds are not to be changed.
func (g *Group) Members() []*wire.Member {
	if g.listed == g.version {
		return g.list
	}
	list := make([]*wire.Member, 0, len(g.members)+1)
	self := g.self
	for _, m := range g.sorted() {
		if self != nil && self.Name < m.Name {
			list, self = append(list, self), nil
		}
		if up(m.State) {
			list = append(list, m.Member)
		}
	}
	if self != nil {
		list = append(list, self)
	}
	g.list, g.listed = list, g.version
	return list
}

// up tells whether a state is that of a node that may be there.
func up(s wire.Member_State) bool { return s == wire.Member_ALIVE || s == wire.Member_SUSPECT }

// Digest is alike at two nodes that know the same others, in the same lives.
func (g *Group) Digest() uint64 { return g.digest ^ digest(g.self) }

func digest(m *wire.Member) uint64 {
	if !up(m.State) {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(m.Name))
	return (h.Sum64() ^ m.Life*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
}

// Load takes nodes for known and alive, as from a view that all have: none of it
// is passed on.
func (g *Group) Load(now time.Duration, all []*wire.Member) {
	g.now = now
	slab := make([]member, 0, len(all))
	if len(g.members) == 0 {
		g.members, g.all = make(map[string]*member, len(all)), make([]*member, 0, len(all))
	}
	for _, n := range all {
		if n.Name == g.self.Name || g.members[n.Name] != nil {
			continue
		}
		slab = append(slab, member{Member: n, since: now, told: 255})
		g.members[n.Name] = &slab[len(slab)-1]
		g.all = append(g.all, &slab[len(slab)-1])
		g.digest ^= digest(n)
	}
	g.unsorted = true
	g.version++
}

// Gone tells for how long a node has been dead or has left; 0 where it is
// neither, or not known.
func (g *Group) Gone(now time.Duration, name string) time.Duration {
	m := g.members[name]
	if m == nil || up(m.State) {
		return 0
	}
	return max(1, now-m.since)
}

// Lost tells whether what stands on a node is to be taken off the list: it has been
// gone for a while, or was not heard of in all the time that this node has watched.
func (g *Group) Lost(now time.Duration, name string, watched time.Duration) bool {
	return g.Gone(now, name) > lostAfter || !g.Knows(name) && watched > unknownAfter
}

// Knows tells whether a node has ever been heard of.
func (g *Group) Knows(name string) bool { return name == g.self.Name || g.members[name] != nil }

// Leave makes this node say that it goes. The answer is what to tell others.
func (g *Group) Leave() {
	g.become(func(m *wire.Member) { m.State = wire.Member_LEFT })
}

// become changes what this node says of itself.
func (g *Group) become(f func(m *wire.Member)) {
	g.self = proto.CloneOf(g.self)
	f(g.self)
	g.version++
}

// Next is when Tick is due.
func (g *Group) Next() time.Duration { return g.next }

// Tick begins the next probe, ends suspicions that nobody has refuted, and at
// times asks seeds, given by address, for what they know.
func (g *Group) Tick(now time.Duration, seeds []string) []Action {
	g.now = now
	keep := g.down[:0]
	for _, m := range g.down {
		switch {
		case m.State == wire.Member_SUSPECT && now-m.since >= suspectFor:
			g.set(m, wire.Member_DEAD)
			keep = append(keep, m)
		case !up(m.State) && now-m.since >= forgetAfter:
			delete(g.members, m.Name)
			g.all = slices.DeleteFunc(g.all, func(x *member) bool { return x == m })
			m.down = false
		case m.State == wire.Member_ALIVE:
			m.down = false
		default:
			keep = append(keep, m)
		}
	}
	clear(g.down[len(keep):])
	g.down = keep
	if now < g.next {
		return nil
	}
	g.next = now + Period
	var out []Action
	if m := g.turn(); m != nil {
		m.probing, m.asked = true, 0
		out = append(out, Action{Target: m.Name, Address: m.Address, Probe: &wire.Probe{From: g.self, News: g.news()}})
	}
	return append(out, g.sync(seeds)...)
}

// sync asks two of the seeds, drawn by lot, to compare views: one may be down.
func (g *Group) sync(seeds []string) (out []Action) {
	alone := len(g.members) == 0
	if alone {
		g.next = min(g.next, g.now+joinEvery)
	} else if g.now < g.syncAt {
		return nil
	}
	g.syncAt = g.now + min(syncMost, syncEvery*time.Duration(1+len(g.members)/syncUsual))
	if len(seeds) == 0 {
		return nil
	}
	at := g.rng.IntN(len(seeds))
	for i := range seeds {
		if addr := seeds[(at+i)%len(seeds)]; addr != g.self.Address && len(out) < 2 {
			out = append(out, Action{Address: addr, Probe: &wire.Probe{From: g.self, Whole: true, Digest: g.Digest()}})
		}
	}
	return out
}

// sorted returns all members, by name.
func (g *Group) sorted() []*member {
	if g.unsorted {
		slices.SortFunc(g.all, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
		g.unsorted = false
	}
	return g.all
}

// turn returns the next member of a round in random order.
func (g *Group) turn() *member {
	for range 2 {
		for len(g.order) > 0 {
			m := g.order[0]
			g.order = g.order[1:]
			if !m.probing && up(m.State) {
				return m
			}
		}
		g.order = slices.Clone(g.sorted()) // one that is forgotten meanwhile is not up
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
				Probe: &wire.Probe{Target: m.Member, From: g.self, News: g.news()}})
		}
		if m.asked = uint8(len(out)); m.asked > 0 {
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
	all := g.sorted()
	var list []*member
	for range 8 * helpers { // enough, unless most are down
		m := all[g.rng.IntN(len(all))]
		if m.Name != but && m.State == wire.Member_ALIVE && !slices.Contains(list, m) {
			if list = append(list, m); len(list) == helpers {
				break
			}
		}
	}
	return list
}

// set gives a member a state, which is to be passed on.
func (g *Group) set(m *member, state wire.Member_State) {
	if m.State != state {
		g.digest ^= digest(m.Member)
		changed := proto.CloneOf(m.Member)
		changed.State = state
		m.Member = changed
		g.digest ^= digest(m.Member)
	}
	m.since, m.told = g.now, 0
	if !m.rumour {
		m.rumour = true
		g.rumours = append(g.rumours, m)
	}
	if state != wire.Member_ALIVE && !m.down {
		m.down = true
		g.down = append(g.down, m)
	}
	g.version++
}

// Hear takes what another node says of some nodes. The news are kept, and not to
// be changed afterwards.
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
			if !up(n.State) || len(g.members) >= mostMembers {
				continue
			}
			m = &member{Member: n}
			g.members[n.Name] = m
			g.all, g.unsorted = append(g.all, m), true
			g.digest ^= digest(n)
			g.set(m, n.State)
			// Somewhere in what is left of the round, not always at its end.
			at := g.rng.IntN(len(g.order) + 1)
			g.order = slices.Insert(g.order, at, m)
			continue
		}
		if !newer(n, m.Member) {
			continue
		}
		if n.Life > m.Life {
			m.probing = false
		}
		g.digest ^= digest(m.Member) ^ digest(n)
		m.Member = n
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
		g.become(func(m *wire.Member) { m.Life, m.Incarnation = n.Life+1, 0 })
		return
	}
	if n.Life != g.self.Life || n.State == wire.Member_ALIVE || g.self.State == wire.Member_LEFT {
		return
	}
	if n.Incarnation >= g.self.Incarnation {
		g.become(func(m *wire.Member) { m.Incarnation = n.Incarnation + 1 })
	}
}

// news are the pieces that were told least often, this node's own state first.
func (g *Group) news() []*wire.Member {
	limit := uint8(3) // times that a piece is passed on, more among many
	for n := len(g.members) + 1; n > 1; n /= 2 {
		limit++
	}
	g.rumours = slices.DeleteFunc(g.rumours, func(m *member) bool {
		m.rumour = m.told < limit && g.members[m.Name] == m
		return !m.rumour
	})
	slices.SortFunc(g.rumours, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.told, b.told), strings.Compare(a.Name, b.Name))
	})
	out := []*wire.Member{g.self}
	for _, m := range g.rumours[:min(mostNews, len(g.rumours))] {
		m.told++
		out = append(out, m.Member)
	}
	return out
}

// Answer returns the news that go back with a probe's answer: all that is known,
// where that is asked for and the one who asks does not know as much.
func (g *Group) Answer(p *wire.Probe) []*wire.Member {
	if !p.Whole || p.Digest == g.Digest() {
		return g.news()
	}
	out := []*wire.Member{g.self}
	for _, m := range g.sorted() {
		out = append(out, m.Member)
	}
	return out
}

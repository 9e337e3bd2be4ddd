// Package membership is failure detection among all nodes, after SWIM (Das, Gupta, Motivala, 2002): each node probes the
// others in a random round, asks third parties to probe one that is silent (an indirect probe), and suspects it before it
// declares it dead. Changes are disseminated with the probes and their answers; whole views are compared at times.
//
// Group is a pure state machine: it takes the time and events and returns the probes to send. Package gossip drives it in
// processes, package lab in simulations. It opens no socket and reads no clock.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

// Timing and bounds of the protocol.
const (
	ProbeInterval     = 500 * time.Millisecond
	ProbeTimeout      = 400 * time.Millisecond // of a probe, direct or by a third party
	comparisonTimeout = 2 * time.Second        // of a comparison of views, which may bring a whole one
	suspicionTimeout  = 1800 * time.Millisecond
	deadRetention     = 30 * time.Second // the dead are remembered for as long, lest late updates revive them
	indirectProbes    = 2                // third parties asked
	maxPiggyback      = 8                // updates sent along with a probe
	passedOn          = 255              // transmits of an update that is not passed on any more
	maxMembers        = 65_536           // over twice the 28,000 nodes that a mesh is designed for

	lostAfter    = 1500 * time.Millisecond // of a node that is dead
	unknownAfter = 10 * time.Second        // of one that was never heard of

	joinInterval          = 300 * time.Millisecond // between questions to seeds while nobody is known
	minComparisonInterval = 2 * time.Second        // between comparisons of views where one has changed or differs ...
	comparisonRate        = 512                    // ... but not so often that the digests take more bytes a second than this
	comparisonInterval    = 5 * time.Second        // the same where they are found alike, doubled from time to time up to this ...
	comparisonScale       = 100                    // ... in proportion to the nodes, where there are more than so many ...
	maxComparisonInterval = time.Minute            // ... but no longer than this
	seedComparisons       = 8                      // one in so many is with seeds there, the others with any node
)

// member is one other node.
type member struct {
	*wire.Member // replaced, never changed: others hold it too

	since        time.Duration // when it entered its state
	transmits    uint8         // times that its newest state was passed on
	asked        uint8         // indirect probes under way
	probing      bool
	broadcasting bool // it stands in Group.broadcasts
	unreachable  bool // it stands in Group.unreachable
	finestRange  uint16
}

// Group is one node's view of all others. With many nodes, what it does for a
// probe depends on what has changed lately, not on how many there are.
type Group struct {
	self        *wire.Member
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*member
	all         []*member // sorted by name unless unsorted is set
	broadcasts  []*member // whose newest state has to be passed on
	unreachable []*member // suspect, dead, or gone
	order       []*member // round of probes
	next        time.Duration
	compareAt   time.Duration // the next comparison of views ...
	comparedAt  time.Duration // ... and the last ...
	compareWait time.Duration // ... and the time between two
	version     uint64
	digest      uint64 // of the members that are not dead, without this one
	ranges      rangeDigests
	comparisons int // that were begun

	unsorted bool
	list     []*wire.Member // what Members returned at version listed
	listed   uint64
}

// New returns the view of a node that knows nobody. Its generation should be above that of any earlier process of the same
// name. Where it is not, as after a clock that was set back, the node finds out from the first view that it is sent, and
// raises it: see refute.
func New(self *wire.Member, seed uint64, now time.Duration) *Group {
	return &Group{
		self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(seed, 7)), now: now, members: map[string]*member{},
		next: now, compareAt: now, version: 1,
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
		if reachable(m.State) {
			list = append(list, m.Member)
		}
	}
	if self != nil {
		list = append(list, self)
	}
	g.list, g.listed = list, g.version
	return list
}

// reachable reports whether a state is that of a node that may be there.
func reachable(s wire.Member_State) bool { return s == wire.Member_ALIVE || s == wire.Member_SUSPECT }

// Digest is alike at two nodes that know the same others, in the same generations.
func (g *Group) Digest() uint64 { return g.digest ^ digest(g.self) }

// Load takes nodes as known and alive, as from a view that all have: none of it is passed on.
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
		slab = append(slab, member{Member: n, since: now, transmits: passedOn, finestRange: finestRange(nameHash(n.Name))})
		g.members[n.Name] = &slab[len(slab)-1]
		g.all = append(g.all, &slab[len(slab)-1])
		g.toggle(n)
	}
	g.unsorted = true
	g.version++
}

// Gone tells for how long a node has been dead or has left; 0 where it is
// neither, or not known.
func (g *Group) Gone(now time.Duration, name string) time.Duration {
	m := g.members[name]
	if m == nil || reachable(m.State) {
		return 0
	}
	return max(1, now-m.since)
}

// Lost reports whether what stands on a node is to be taken off the list: it has been
// gone for a while, or was not heard of in all the time that this node has watched.
func (g *Group) Lost(now time.Duration, name string, watched time.Duration) bool {
	return g.Gone(now, name) > lostAfter || !g.Knows(name) && watched > unknownAfter
}

// Knows reports whether a node has ever been heard of.
func (g *Group) Knows(name string) bool { return name == g.self.Name || g.members[name] != nil }

// sorted returns all members, by name.
func (g *Group) sorted() []*member {
	if g.unsorted {
		slices.SortFunc(g.all, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
		g.unsorted = false
	}
	return g.all
}

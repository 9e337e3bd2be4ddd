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
	pushPullTimeout = 2 * time.Second        // of a comparison of views, which may bring a whole one
	suspicionTimeout  = 1800 * time.Millisecond
	deadRetention     = 30 * time.Second // the dead are remembered for as long, lest late updates revive them
	indirectProbes    = 2                // third parties asked
	maxPiggyback      = 8                // updates sent along with a probe
	transmitLimitReached          = 255              // transmits of an update that is not passed on any more
	maxMembers        = 65_536           // over twice the 28,000 nodes that a mesh is designed for

	deadNodeLostAfter    = 1500 * time.Millisecond // of a node that is dead
	unknownNodeLostAfter = 10 * time.Second        // of one that was never heard of

	joinInterval          = 300 * time.Millisecond // between questions to seeds while nobody is known
	minPushPullInterval = 2 * time.Second        // between comparisons of views where one has changed or differs ...
	maxPushPullBytesPerSecond        = 512                    // ... but not so often that the digests take more bytes a second than this
	pushPullInterval    = 5 * time.Second        // the same where they are found alike, doubled from time to time up to this ...
	pushPullScale       = 100                    // ... in proportion to the nodes, where there are more than so many ...
	maxPushPullInterval = time.Minute            // ... but no longer than this
	pushPullsPerSeedPushPull       = 8                      // one in so many is with seeds there, the others with any node
)

// member is one other node.
type member struct {
	*wire.Member // replaced, never changed: others hold it too

	stateChangedAt        time.Duration // when it entered its state
	transmits    uint8         // times that its newest state was passed on
	pendingIndirect        uint8         // indirect probes under way
	probing      bool
	broadcasting bool // it stands in Group.broadcasts
	unreachable  bool // it stands in Group.unreachable
	finestRange  uint16
}

// Memberlist is one node's view of all others. With many nodes, what it does for a
// probe depends on what has changed lately, not on how many there are.
type Memberlist struct {
	self        *wire.Member
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*member
	sortedMembers         []*member // sorted by name unless unsorted is set
	broadcasts  []*member // whose newest state has to be passed on
	unreachable []*member // suspect, dead, or gone
	probeRound       []*member // round of probes
	nextTickAt        time.Duration
	nextPushPullAt   time.Duration // the next comparison of views ...
	lastPushPullAt  time.Duration // ... and the last ...
	pushPullInterval time.Duration // ... and the time between two
	version     uint64
	digest      uint64 // of the members that are not dead, without this one
	ranges      rangeDigests
	pushPulls int // that were begun

	needsSort bool
	listedMembers     []*wire.Member // what Members returned at version listed
	listedVersion   uint64
}

// New returns the view of a node that knows nobody. Its generation should be above that of any earlier process of the same
// name. Where it is not, as after a clock that was set back, the node finds out from the first view that it is sent, and
// raises it: see refute.
func New(self *wire.Member, seed uint64, now time.Duration) *Memberlist {
	return &Memberlist{
		self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(seed, 7)), now: now, members: map[string]*member{},
		nextTickAt: now, nextPushPullAt: now, version: 1,
	}
}

// Self returns what this node says of itself. It is not to be changed.
func (l *Memberlist) Self() *wire.Member { return l.self }

// Version rises with every change that Members shows.
func (l *Memberlist) Version() uint64 { return l.version }

// Members returns all nodes that are not dead, this one among them, by name. The
// list and what it holds are not to be changed.
func (l *Memberlist) Members() []*wire.Member {
	if l.listedVersion == l.version {
		return l.listedMembers
	}
	list := make([]*wire.Member, 0, len(l.members)+1)
	self := l.self
	for _, m := range l.sorted() {
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
	l.listedMembers, l.listedVersion = list, l.version
	return list
}

// reachable reports whether a state is that of a node that may be there.
func reachable(s wire.Member_State) bool { return s == wire.Member_ALIVE || s == wire.Member_SUSPECT }

// Digest is alike at two nodes that know the same others, in the same generations.
func (l *Memberlist) Digest() uint64 { return l.digest ^ digest(l.self) }

// Load takes nodes as known and alive, as from a view that all have: none of it is passed on.
func (l *Memberlist) Load(now time.Duration, all []*wire.Member) {
	l.now = now
	slab := make([]member, 0, len(all))
	if len(l.members) == 0 {
		l.members, l.sortedMembers = make(map[string]*member, len(all)), make([]*member, 0, len(all))
	}
	for _, n := range all {
		if n.Name == l.self.Name || l.members[n.Name] != nil {
			continue
		}
		slab = append(slab, member{Member: n, stateChangedAt: now, transmits: transmitLimitReached, finestRange: finestRange(nameHash(n.Name))})
		l.members[n.Name] = &slab[len(slab)-1]
		l.sortedMembers = append(l.sortedMembers, &slab[len(slab)-1])
		l.toggleDigest(n)
	}
	l.needsSort = true
	l.version++
}

// DeadFor tells for how long a node has been dead or has left; 0 where it is
// neither, or not known.
func (l *Memberlist) DeadFor(now time.Duration, name string) time.Duration {
	m := l.members[name]
	if m == nil || reachable(m.State) {
		return 0
	}
	return max(1, now-m.stateChangedAt)
}

// Lost reports whether what stands on a node is to be taken off the list: it has been
// gone for a while, or was not heard of in all the time that this node has watched.
func (l *Memberlist) Lost(now time.Duration, name string, watched time.Duration) bool {
	return l.DeadFor(now, name) > deadNodeLostAfter || !l.Knows(name) && watched > unknownNodeLostAfter
}

// Knows reports whether a node has ever been heard of.
func (l *Memberlist) Knows(name string) bool { return name == l.self.Name || l.members[name] != nil }

// sorted returns all members, by name.
func (l *Memberlist) sorted() []*member {
	if l.needsSort {
		slices.SortFunc(l.sortedMembers, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
		l.needsSort = false
	}
	return l.sortedMembers
}

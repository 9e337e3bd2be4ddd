// Package membership is the cluster membership and failure detection of all nodes, after SWIM (Das, Gupta, Motivala:
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): each node probes the
// others in random rounds, has other members probe one that does not answer (indirect probes), and suspects it before it
// declares it dead. A suspected node refutes with a higher incarnation. Updates are piggybacked on probes and their
// answers; a push/pull compares whole views from time to time.
//
//	membership.go  Memberlist: the view, and what it shows
//	state.go       how updates change a member's state; refutation
//	probe.go       direct and indirect probes
//	suspicion.go   from suspect to dead, from dead to forgotten
//	broadcast.go   which updates are piggybacked
//	push_pull.go   comparison of views; digest.go its digests
//
// Memberlist is a pure state machine: it takes the time and events, and returns the probes to send. It opens no socket
// and reads no clock. Package gossip drives it in processes, package lab in simulations.
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
	ProbeInterval        = 500 * time.Millisecond
	ProbeTimeout         = 400 * time.Millisecond // of a direct probe; an indirect one takes twice as long
	pushPullTimeout      = 2 * time.Second        // it may bring a full view
	suspicionTimeout     = 1800 * time.Millisecond
	deadRetention        = 30 * time.Second // dead members are remembered for so long, lest late updates revive them
	indirectProbes       = 2                // members that are asked for one
	maxPiggyback         = 8                // updates sent along with a probe
	transmitLimitReached = 255              // transmits of an update that is not broadcast any more
	maxMembers           = 65_536           // over twice the 28,000 nodes that a mesh is designed for

	deadNodeLostAfter    = 1500 * time.Millisecond // since a node was declared dead
	unknownNodeLostAfter = 10 * time.Second        // of a watch in which a node was never a member

	joinInterval              = 300 * time.Millisecond // between push/pulls with seeds while no other member is known
	minPushPullInterval       = 2 * time.Second        // between push/pulls where a view has changed or differs ...
	maxPushPullBytesPerSecond = 512                    // ... but not so often that digests take more than this
	pushPullInterval          = 5 * time.Second        // between push/pulls that find no difference, doubled up to this ...
	pushPullScale             = 100                    // ... for each so many nodes ...
	maxPushPullInterval       = time.Minute            // ... but no longer than this
	pushPullsPerSeedPushPull  = 8                      // in a cluster of more than pushPullScale nodes, one in so many is with seeds
)

// member is another node.
type member struct {
	*wire.Member // replaced, never changed: callers have it too

	stateChangedAt  time.Duration // when it entered its state
	transmits       uint8         // times that its newest state was broadcast
	pendingIndirect uint8         // indirect probes without a result
	probing         bool
	broadcasting    bool // it is in Memberlist.broadcasts
	unreachable     bool // it is in Memberlist.unreachable
	finestRange     uint16
}

// Memberlist is one node's view of all others. In a large cluster, the cost of a probe depends on what has changed
// lately, not on the number of members. It belongs to one goroutine, or to the holder of a lock.
type Memberlist struct {
	self             *wire.Member
	rng              *rand.Rand
	now              time.Duration
	members          map[string]*member
	sortedMembers    []*member // sorted by name unless unsorted is set
	broadcasts       []*member // whose newest state has to be broadcast
	unreachable      []*member // suspect, dead or left
	probeRound       []*member // rest of the round of probes
	nextTickAt       time.Duration
	nextPushPullAt   time.Duration // the next push/pull ...
	lastPushPullAt   time.Duration // ... the last one ...
	pushPullInterval time.Duration // ... and the time between two
	version          uint64
	digest           uint64 // of the reachable members, without this node
	ranges           rangeDigests
	pushPulls        int // that were begun

	needsSort     bool
	listedMembers []*wire.Member // what Members returned at version listed
	listedVersion uint64
}

// New returns the membership list of a node with only itself in it. Its generation should be above that of any earlier process of the
// same name. If it is not, as after a clock was set back, the node learns that from the first view that it receives, and
// raises its generation: see refute.
func New(self *wire.Member, seed uint64, now time.Duration) *Memberlist {
	return &Memberlist{
		self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(seed, 7)), now: now, members: map[string]*member{},
		nextTickAt: now, nextPushPullAt: now, version: 1,
	}
}

// Self returns this node as others see it. The caller must not change it.
func (l *Memberlist) Self() *wire.Member { return l.self }

// Version rises with every change that Members shows.
func (l *Memberlist) Version() uint64 { return l.version }

// Members returns the reachable nodes, this one among them, by name. The caller must not change the list or its
// elements.
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

// Load adds nodes as alive, as from a view that all nodes have: nothing of it is broadcast.
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

// sorted returns all members, by name.
func (l *Memberlist) sorted() []*member {
	if l.needsSort {
		slices.SortFunc(l.sortedMembers, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
		l.needsSort = false
	}
	return l.sortedMembers
}

// Package membership implements cluster membership and failure detection after SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002). Each node probes the other
// members in random rounds. If a member does not respond, the node sends indirect probes through other members, marks the
// member as suspect, and after a timeout declares it dead. A suspected node refutes with a higher incarnation. Updates are
// piggybacked on probes and their responses, and a periodic push/pull compares whole views.
//
//	membership.go  Memberlist and its accessors
//	state.go       state changes and refutation
//	probe.go       direct and indirect probes
//	suspicion.go   expiry of suspect and dead members
//	broadcast.go   selection of the piggybacked updates
//	push_pull.go   comparison of views
//	digest.go      digests of views
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
	ProbeTimeout         = 400 * time.Millisecond // timeout of a direct probe; an indirect probe gets twice as long
	pushPullTimeout      = 2 * time.Second        // the response may contain a full view
	suspicionTimeout     = 1800 * time.Millisecond
	deadRetention        = 30 * time.Second // dead members are kept this long, so that late updates do not revive them
	indirectProbeCount   = 2                // members through which an unresponsive member is probed
	maxPiggyback         = 8                // maximum number of updates in a message, besides the sender's own entry
	transmitLimitReached = 255              // value of member.transmits that stops the broadcast
	maxMembers           = 65_536           // over twice the design limit of 28,000 nodes

	deadNodeLostAfter    = 1500 * time.Millisecond // time since a node died or left after which it is lost
	unknownNodeLostAfter = 10 * time.Second        // time since the caller began to observe after which an unlisted node is lost

	joinInterval              = 300 * time.Millisecond // time between push/pulls with seeds while the list has no other member
	minPushPullInterval       = 2 * time.Second        // shortest time between push/pulls, after a change or a difference
	maxPushPullBytesPerSecond = 512                    // limit of the digest traffic; lengthens minPushPullInterval in a large cluster
	pushPullBaseInterval      = 5 * time.Second        // longest interval in a small cluster, plus as much per pushPullScale members
	pushPullScale             = 100                    // number of members above which most push/pulls go to a random member
	maxPushPullInterval       = time.Minute            // longest interval in a cluster of any size
	pushPullsPerSeedPushPull  = 8                      // above pushPullScale members, one push/pull in this many is with seeds
)

// member is the state kept for another node.
type member struct {
	*wire.Member // replaced, never modified: callers hold references to it

	stateChangedAt  time.Duration // time of the latest state update
	transmits       uint8         // number of times the latest update was sent
	pendingIndirect uint8         // indirect probes that are still running
	probing         bool
	broadcasting    bool // is in Memberlist.broadcasts
	unreachable     bool // is in Memberlist.unreachable
	finestRange     uint16
}

// Memberlist is one node's view of the cluster. The cost of a probe depends on the number of recent changes, not on the
// number of members. A Memberlist is not safe for concurrent use.
type Memberlist struct {
	self             *wire.Member
	rng              *rand.Rand
	now              time.Duration
	members          map[string]*member
	sortedMembers    []*member // sorted by name unless needsSort is set
	broadcasts       []*member // members whose latest update is still broadcast
	unreachable      []*member // suspect, dead or left
	probeRound       []*member // members not yet probed in this round
	nextTickAt       time.Duration
	nextPushPullAt   time.Duration
	lastPushPullAt   time.Duration
	pushPullInterval time.Duration // current interval between push/pulls
	version          uint64
	digest           uint64 // digest of the reachable members, excluding this node
	ranges           rangeDigests
	pushPulls        int // number of push/pulls started

	needsSort     bool
	cachedMembers []*wire.Member // last result of Members, for cachedVersion
	cachedVersion uint64
}

// New returns a Memberlist that contains only self. Its generation should be higher than that of every earlier process of
// the same name. If it is not, for example because the clock was set back, the node raises its generation when it receives
// the earlier process's entry: see refute.
func New(self *wire.Member, rngSeed uint64, now time.Duration) *Memberlist {
	return &Memberlist{
		self: proto.CloneOf(self), rng: rand.New(rand.NewPCG(rngSeed, 7)), now: now, members: map[string]*member{},
		nextTickAt: now, nextPushPullAt: now, version: 1,
	}
}

// Self returns this node's own entry. The caller must not modify it.
func (l *Memberlist) Self() *wire.Member { return l.self }

// Version returns a number that increases whenever the result of Members changes.
func (l *Memberlist) Version() uint64 { return l.version }

// Members returns the reachable nodes, including this one, sorted by name. The caller must not modify the list or its
// elements.
func (l *Memberlist) Members() []*wire.Member {
	if l.cachedVersion == l.version {
		return l.cachedMembers
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
	l.cachedMembers, l.cachedVersion = list, l.version
	return list
}

// Load adds nodes from a view that all nodes already share, without broadcasting them. The nodes must be alive.
func (l *Memberlist) Load(now time.Duration, nodes []*wire.Member) {
	l.now = now
	slab := make([]member, 0, len(nodes))
	if len(l.members) == 0 {
		l.members, l.sortedMembers = make(map[string]*member, len(nodes)), make([]*member, 0, len(nodes))
	}
	for _, node := range nodes {
		if node.Name == l.self.Name || l.members[node.Name] != nil {
			continue
		}
		slab = append(slab, member{Member: node, stateChangedAt: now, transmits: transmitLimitReached, finestRange: finestRange(nameHash(node.Name))})
		l.members[node.Name] = &slab[len(slab)-1]
		l.sortedMembers = append(l.sortedMembers, &slab[len(slab)-1])
		l.toggleDigest(node)
	}
	l.needsSort = true
	l.version++
}

// sorted returns all other members, including dead ones, sorted by name.
func (l *Memberlist) sorted() []*member {
	if l.needsSort {
		slices.SortFunc(l.sortedMembers, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
		l.needsSort = false
	}
	return l.sortedMembers
}

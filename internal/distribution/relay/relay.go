// Package relay distributes updates of the replicated state from the quorum members to all nodes along a tree: in each zone
// one node subscribes to a quorum member, and the others subscribe to nodes of their zone. Every node computes its parent
// from the cluster membership (Parents). While views of the membership differ, a parent may be partitioned or subscribe to
// its own child. The node detects this by the age of the parent's state, and subscribes to a quorum member.
//
// A parent sends the changes since a child's index. Pending changes are merged, so that a later value of a resource replaces
// earlier ones: a slow or partitioned child receives one delta instead of a backlog.
//
// Selector, Pacing, Readiness, Subscription and Parents are pure; Hub is a store with a lock; Follower and Hub.Serve
// perform the I/O. See docs/decisions/0008-distribution-tree.md.
package relay

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Timing and shape of the tree.
const (
	Fanout      = 6                       // maximum number of children of a node in its zone's tree
	Heartbeat   = 400 * time.Millisecond  // heartbeat interval of a quorum member; see relayHeartbeat
	StaleAfter  = 1500 * time.Millisecond // age above which a state is stale; a child whose parent's state is stale selects another parent
	FeedTimeout = 1200 * time.Millisecond // a subscription fails if no frame arrives for this long

	// MaxChildren bounds the subscriptions to a node. Until the tree is complete, nodes subscribe to quorum members. If a few
	// hundred nodes start at once, the quorum members serve all of them; if thousands do, they serve the first ones, which
	// serve the others.
	MaxChildren = 64

	// Format is the version of the feed format. Nodes reject other versions, so a rolling update must not change it.
	Format = 1
)

// ErrFormat is returned for a subscription between nodes with different feed formats.
var ErrFormat = errors.New("relay: bring all nodes to one version")

// CheckFormat returns an error that wraps ErrFormat if the format of a peer differs from this node's.
func CheckFormat(peer string, format uint32) error {
	if format == Format {
		return nil
	}
	return fmt.Errorf("%w: %s has feeds of format %d, this node of format %d", ErrFormat, peer, format, Format)
}

// treeOrder returns a node's sort key in its zone's tree. All nodes must compute the same value.
func treeOrder(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// ParentCache caches the result of Parents for one version of the membership.
type ParentCache struct {
	Self, Zone string

	version uint64
	parents []string
}

// Parents returns the result of the function Parents for a version of the membership. It calls members only if the version
// has changed.
func (p *ParentCache) Parents(version uint64, members func() []*wire.Member) []string {
	if p.version != version || p.parents == nil {
		p.version, p.parents = version, Parents(p.Self, p.Zone, members())
	}
	return p.parents
}

// parentRank returns the rank of a quorum member as a parent in a zone. Lower ranks are preferred; suspected members come
// last.
func parentRank(m *wire.Member, zone string) int {
	switch {
	case m.State != wire.Member_ALIVE:
		return 2
	case m.Zone != zone:
		return 1
	}
	return 0
}

// Parents returns the addresses to which a node may subscribe, in order of preference: its parent in the zone's tree, then
// the quorum members by parentRank.
func Parents(self string, zone string, members []*wire.Member) []string {
	type candidate struct {
		order  uint64
		member *wire.Member
	}
	byOrder := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.member.Name, b.member.Name))
	}
	var zoneNodes, quorum []candidate
	own := treeOrder(self)
	for _, m := range members {
		switch {
		case m.QuorumMember:
			// The node's own key in the order spreads zones without a quorum member over different quorum members.
			quorum = append(quorum, candidate{treeOrder(m.Name) ^ own, m})
		case m.Zone == zone && (m.State == wire.Member_ALIVE || m.Name == self):
			zoneNodes = append(zoneNodes, candidate{treeOrder(m.Name), m})
		}
	}
	slices.SortFunc(zoneNodes, byOrder)
	slices.SortFunc(quorum, byOrder)
	slices.SortStableFunc(quorum, func(a, b candidate) int {
		return cmp.Compare(parentRank(a.member, zone), parentRank(b.member, zone))
	})
	var addresses []string
	if i := slices.IndexFunc(zoneNodes, func(c candidate) bool { return c.member.Name == self }); i > 0 {
		addresses = append(addresses, zoneNodes[(i-1)/Fanout].member.Address)
	}
	for _, c := range quorum {
		addresses = append(addresses, c.member.Address)
	}
	return addresses
}

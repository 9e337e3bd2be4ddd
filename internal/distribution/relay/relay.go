// Package relay distributes the updates of the replicated state from the quorum members to all nodes, down a tree that the
// nodes form among themselves: in each zone one node subscribes to a quorum member, and the others to nodes of their zone.
// Every node computes its parent from the cluster membership (Parents). Where views differ for a while, the age of the
// state shows a parent that is partitioned or subscribes to its own child, and the node turns to a quorum member.
//
// A parent sends what has changed since the index that a child has. Changes that a child has not been sent yet are sent
// as one, in which a later value of a resource replaces all earlier ones: a slow child, or one that was partitioned,
// receives one difference and not a backlog.
//
// Selector, Pacing, Readiness, Subscription and Parents are pure; Hub is a store with a lock; Follower and Hub.Serve do
// the input and output. See docs/decisions/0008-distribution-tree.md.
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
	Fanout      = 6                      // children of a node
	Heartbeat   = 400 * time.Millisecond // between two messages to a child
	Stale       = 1500 * time.Millisecond
	FeedTimeout = 1200 * time.Millisecond // without a frame of the parent, the subscription ends

	// MaxChildren bounds the subscriptions to a node. Until the tree is complete, nodes subscribe to quorum members: of a
	// few hundred that start at once each member serves its share; of thousands the first, which serve the others.
	MaxChildren = 64

	// Format is the version of feeds. Nodes of another one are rejected: an update across formats can't be rolling.
	Format = 1
)

// ErrFormat is the end of a subscription between nodes of versions that do not understand each other's feeds.
var ErrFormat = errors.New("relay: bring all nodes to one version")

// CheckFormat returns ErrFormat, with the details, for feeds of another format than this node's.
func CheckFormat(who string, format uint32) error {
	if format == Format {
		return nil
	}
	return fmt.Errorf("%w: %s has feeds of format %d, this node of format %d", ErrFormat, who, format, Format)
}

// treeOrder orders the nodes of a zone, alike on all nodes.
func treeOrder(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// ParentCache caches the result of Parents for a version of the membership.
type ParentCache struct {
	Self, Zone string

	version uint64
	parents []string
}

// Parents returns the parents by a version of the membership.
func (p *ParentCache) Parents(version uint64, members func() []*wire.Member) []string {
	if p.version != version || p.parents == nil {
		p.version, p.parents = version, Parents(p.Self, p.Zone, members())
	}
	return p.parents
}

// parentRank orders quorum members as parents in a zone: those that other nodes can't reach come last.
func parentRank(m *wire.Member, zone string) int {
	switch {
	case m.State != wire.Member_ALIVE:
		return 2
	case m.Zone != zone:
		return 1
	}
	return 0
}

// Parents returns the addresses to which a node may subscribe, the best first: its parent in the zone's tree, then the
// quorum members, those of its zone first.
func Parents(self string, zone string, members []*wire.Member) []string {
	type candidate struct {
		order uint64
		m     *wire.Member
	}
	byOrder := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.m.Name, b.m.Name))
	}
	var zoneNodes, quorum []candidate
	own := treeOrder(self)
	for _, m := range members {
		switch {
		case m.QuorumMember:
			// Zones without a quorum member of their own begin with different ones.
			quorum = append(quorum, candidate{treeOrder(m.Name) ^ own, m})
		case m.Zone == zone && (m.State == wire.Member_ALIVE || m.Name == self):
			zoneNodes = append(zoneNodes, candidate{treeOrder(m.Name), m})
		}
	}
	slices.SortFunc(zoneNodes, byOrder)
	slices.SortFunc(quorum, byOrder)
	slices.SortStableFunc(quorum, func(a, b candidate) int {
		return cmp.Compare(parentRank(a.m, zone), parentRank(b.m, zone))
	})
	var addresses []string
	if i := slices.IndexFunc(zoneNodes, func(p candidate) bool { return p.m.Name == self }); i > 0 {
		addresses = append(addresses, zoneNodes[(i-1)/Fanout].m.Address)
	}
	for _, p := range quorum {
		addresses = append(addresses, p.m.Address)
	}
	return addresses
}

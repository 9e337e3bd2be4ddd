// Package relay brings the updates of the quorum to all nodes, down a tree that the
// nodes form among themselves: in each zone one node follows a quorum member, and
// the others follow nodes of their zone. Every node can work out its place from
// the members that it knows; where views differ for a while, the age of what
// comes down shows a parent that is cut off or follows its own child, and the
// node turns to the quorum.
//
// A parent sends what has changed since the index that a child has. Changes that a
// child has not been sent yet are sent as one, in which a later value of a resource
// stands for all earlier ones: a slow child, or one that was cut off, gets one
// difference and not a backlog.
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
	Fanout    = 6                      // children of one node
	Heartbeat = 400 * time.Millisecond // between signs of life to a child
	Stale     = 1500 * time.Millisecond
	FeedTimeout   = 1200 * time.Millisecond // after which a parent is given up

	// MaxChildren is how many a node feeds at most. Until the tree stands, nodes turn to the quorum: of a few hundred that
	// start at once each member feeds its share; of thousands, the first, which feed the others.
	MaxChildren = 64

	// Format of feeds. Nodes of another format are refused: an update of the mesh across formats is not rolling.
	Format = 1
)

// ErrFormat is the end of a subscription between nodes of versions that do not understand each other's feeds.
var ErrFormat = errors.New("relay: bring all nodes to one version")

// CheckFormat says what is wrong with the format of another node's feeds; nil: nothing.
func CheckFormat(who string, format uint32) error {
	if format == Format {
		return nil
	}
	return fmt.Errorf("%w: %s has feeds of format %d, this node of format %d", ErrFormat, who, format, Format)
}

// treeOrder of the nodes of a zone, alike everywhere.
func treeOrder(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// ParentCache keeps what Parents says, as long as the members stay.
type ParentCache struct {
	Self, Zone string

	version uint64
	parents []string
}

// Parents returns what Parents does for a version of the members.
func (p *ParentCache) Parents(version uint64, members func() []*wire.Member) []string {
	if p.version != version || p.parents == nil {
		p.version, p.parents = version, Parents(p.Self, p.Zone, members())
	}
	return p.parents
}

// parentRank orders quorum members as parents in a zone: those that others can't reach come last.
func parentRank(m *wire.Member, zone string) int {
	switch {
	case m.State != wire.Member_ALIVE:
		return 2
	case m.Zone != zone:
		return 1
	}
	return 0
}

// Parents returns the addresses that a node should follow, the best first: its
// place in the zone's tree, then the quorum members, those of its zone first.
func Parents(self string, zone string, members []*wire.Member) []string {
	type place struct {
		order uint64
		m     *wire.Member
	}
	byOrder := func(a, b place) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.m.Name, b.m.Name))
	}
	var zoneNodes, quorum []place
	own := treeOrder(self)
	for _, m := range members {
		switch {
		case m.QuorumMember:
			// Each zone begins with another quorum member, where none stands in it.
			quorum = append(quorum, place{treeOrder(m.Name) ^ own, m})
		case m.Zone == zone && (m.State == wire.Member_ALIVE || m.Name == self):
			zoneNodes = append(zoneNodes, place{treeOrder(m.Name), m})
		}
	}
	slices.SortFunc(zoneNodes, byOrder)
	slices.SortFunc(quorum, byOrder)
	slices.SortStableFunc(quorum, func(a, b place) int {
		return cmp.Compare(parentRank(a.m, zone), parentRank(b.m, zone))
	})
	var addresses []string
	if i := slices.IndexFunc(zoneNodes, func(p place) bool { return p.m.Name == self }); i > 0 {
		addresses = append(addresses, zoneNodes[(i-1)/Fanout].m.Address)
	}
	for _, p := range quorum {
		addresses = append(addresses, p.m.Address)
	}
	return addresses
}

package router

import (
	"maps"
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/cowmap"
	"ivydeck/internal/transport/wire"
)

// ClusterState is a node's view of the cluster: the configuration and the servers that may receive requests. It is immutable;
// versions share what they have in common.
type ClusterState struct {
	Config  *meshconfig.Config
	Servers cowmap.Map[*wire.Server] // by member: those that may receive requests
	Nodes   map[string][]string      // sidecar machines that are alive, by zone
}

// ClusterStateBuilder keeps a ClusterState up to date, at the cost of what changes. Draining servers, and those on machines
// that are not alive, receive no requests. The zero value is empty.
type ClusterStateBuilder struct {
	cluster    ClusterState
	registered map[string]*wire.Server // by member
	members    []*wire.Member          // of the cluster, by name
	notAlive   map[string]bool         // members, by name
	absent     map[string]bool         // machines with registered servers that are no members
	isDead     func(node string) bool
	index      uint64
}

// Index is the index of the latest update that was applied.
func (b *ClusterStateBuilder) Index() uint64 { return b.index }

// Registered is the number of registered servers.
func (b *ClusterStateBuilder) Registered() int { return len(b.registered) }

// ClusterState returns the newest version.
func (b *ClusterStateBuilder) ClusterState() *ClusterState {
	w := b.cluster
	return &w
}

// Apply applies the changes after Index, with the configuration after them; nil changes: there are none.
func (b *ClusterStateBuilder) Apply(c *wire.Changes, config *meshconfig.Config) {
	b.cluster.Config = config
	if c == nil {
		return
	}
	b.index = c.To
	if b.registered == nil || c.Full {
		b.replace(c)
		return
	}
	edit := b.cluster.Servers.Edit()
	for _, r := range c.Resources {
		switch v := r.Value.(type) {
		case *wire.Resource_Server:
			b.register(edit, v.Server)
		case *wire.Resource_RemovedServer:
			delete(b.registered, v.RemovedServer)
			edit.Delete(v.RemovedServer)
		}
	}
	b.cluster.Servers = edit.Map()
}

// replace takes a full state.
func (b *ClusterStateBuilder) replace(c *wire.Changes) {
	before := b.registered
	b.registered = map[string]*wire.Server{}
	edit := b.cluster.Servers.Edit()
	for _, r := range c.Resources {
		if s := r.GetServer(); s != nil {
			b.register(edit, s)
		}
	}
	for member := range before {
		if b.registered[member] == nil {
			edit.Delete(member)
		}
	}
	b.cluster.Servers = edit.Map()
}

// isMember reports whether a machine is a member of the cluster.
func (b *ClusterStateBuilder) isMember(node string) bool {
	_, found := slices.BinarySearchFunc(b.members, node, func(m *wire.Member, name string) int { return strings.Compare(m.Name, name) })
	return found
}

// register adds a registered server, or replaces it.
func (b *ClusterStateBuilder) register(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	b.registered[s.Member] = s
	if !b.isMember(s.Node) {
		if b.absent == nil {
			b.absent = map[string]bool{}
		}
		b.absent[s.Node] = true
	}
	b.updateUsable(edit, s)
}

// updateUsable adds a server to those that may receive requests, or removes it from them.
func (b *ClusterStateBuilder) updateUsable(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	usable := !s.Draining && !s.NodeLeaving && !b.notAlive[s.Node] && !(b.isDead != nil && b.isDead(s.Node))
	now, there := edit.Get(s.Member)
	switch {
	case usable && now != s:
		edit.Set(s.Member, s)
	case !usable && there:
		edit.Delete(s.Member)
	}
}

// SetMembers takes the present members of the cluster, ordered by name. isDead reports, also later, whether a machine is dead
// or has left. Servers on machines of which nothing has changed stay as they are.
func (b *ClusterStateBuilder) SetMembers(members []*wire.Member, isDead func(node string) bool) {
	before := b.members
	b.members, b.isDead = members, isDead
	if b.notAlive == nil {
		b.notAlive = map[string]bool{}
	}
	nodes, zones := map[string]bool{}, map[string]bool{}
	eachChange(before, members, func(old, now *wire.Member) {
		m := now
		if now == nil {
			m = old
		}
		nodes[m.Name] = true
		delete(b.notAlive, m.Name)
		if now != nil && now.State != wire.Member_ALIVE {
			b.notAlive[m.Name] = true
		}
		if old != nil {
			zones[old.Zone] = true
		}
		zones[m.Zone] = true
	})
	if len(nodes) > 0 {
		b.cluster.Nodes = nodesOf(b.cluster.Nodes, members, zones)
	}
	if len(nodes) > 0 || len(b.absent) > 0 {
		b.updateUsableOn(nodes)
	}
}

// updateUsableOn updates the servers on some machines, and those on machines that are no members, whose state may have
// changed as well.
func (b *ClusterStateBuilder) updateUsableOn(nodes map[string]bool) {
	absent := map[string]bool{}
	edit := b.cluster.Servers.Edit()
	for _, s := range b.registered {
		if !nodes[s.Node] && !b.absent[s.Node] {
			continue
		}
		b.updateUsable(edit, s)
		if !b.isMember(s.Node) {
			absent[s.Node] = true
		}
	}
	b.absent = absent
	b.cluster.Servers = edit.Map()
}

// eachChange visits the members that differ between two lists, each in the order of names; nil: it is not in that list.
func eachChange(before, after []*wire.Member, visit func(old, now *wire.Member)) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(before) > 0 && len(after) > 0 && before[0] == after[0]:
			before, after = before[1:], after[1:]
		case len(after) == 0 || len(before) > 0 && before[0].Name < after[0].Name:
			visit(before[0], nil)
			before = before[1:]
		case len(before) == 0 || after[0].Name < before[0].Name:
			visit(nil, after[0])
			after = after[1:]
		default:
			visit(before[0], after[0])
			before, after = before[1:], after[1:]
		}
	}
}

// nodesOf returns the nodes that are alive, by zone. Only the lists of the given zones are rebuilt.
func nodesOf(before map[string][]string, members []*wire.Member, zones map[string]bool) map[string][]string {
	nodes := maps.Clone(before)
	if nodes == nil {
		nodes = map[string][]string{}
	}
	for zone := range zones {
		delete(nodes, zone)
	}
	for _, m := range members {
		if zones[m.Zone] && !m.QuorumMember && m.State == wire.Member_ALIVE {
			nodes[m.Zone] = append(nodes[m.Zone], m.Name)
		}
	}
	return nodes
}

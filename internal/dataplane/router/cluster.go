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
// successive versions share the parts that did not change.
type ClusterState struct {
	Config  *meshconfig.Config
	Servers cowmap.Map[*wire.Server] // servers that may receive requests, by member ID
	Nodes   map[string][]string      // names of the sidecar nodes that are alive, by zone
}

// ClusterStateBuilder updates a ClusterState incrementally. It leaves out servers that are draining or whose node is not
// alive. The zero value is an empty state.
type ClusterStateBuilder struct {
	cluster    ClusterState
	registered map[string]*wire.Server // all registered servers, by member ID
	members    []*wire.Member          // members of the cluster, sorted by name
	notAlive   map[string]bool         // members that are not alive, by name
	absent     map[string]bool         // nodes of registered servers that are not members
	isDead     func(node string) bool
	index      uint64
}

// Index returns the index of the last update that was applied.
func (b *ClusterStateBuilder) Index() uint64 { return b.index }

// Registered returns the number of registered servers, including those that receive no requests.
func (b *ClusterStateBuilder) Registered() int { return len(b.registered) }

// ClusterState returns the current version.
func (b *ClusterStateBuilder) ClusterState() *ClusterState {
	cluster := b.cluster
	return &cluster
}

// Apply applies the changes since Index and sets the configuration as of their end. If changes is nil, it only sets the
// configuration.
func (b *ClusterStateBuilder) Apply(changes *wire.Changes, config *meshconfig.Config) {
	b.cluster.Config = config
	if changes == nil {
		return
	}
	b.index = changes.To
	if b.registered == nil || changes.Full {
		b.replace(changes)
		return
	}
	edit := b.cluster.Servers.Edit()
	for _, r := range changes.Resources {
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

// replace replaces all registered servers by those of a full state.
func (b *ClusterStateBuilder) replace(full *wire.Changes) {
	previous := b.registered
	b.registered = map[string]*wire.Server{}
	edit := b.cluster.Servers.Edit()
	for _, r := range full.Resources {
		if s := r.GetServer(); s != nil {
			b.register(edit, s)
		}
	}
	for member := range previous {
		if b.registered[member] == nil {
			edit.Delete(member)
		}
	}
	b.cluster.Servers = edit.Map()
}

// isMember reports whether a node is a member of the cluster.
func (b *ClusterStateBuilder) isMember(node string) bool {
	_, found := slices.BinarySearchFunc(b.members, node, func(m *wire.Member, name string) int { return strings.Compare(m.Name, name) })
	return found
}

// register adds or replaces a registered server.
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

// updateUsable adds a server to the servers that may receive requests or removes it, depending on its state and its node's.
func (b *ClusterStateBuilder) updateUsable(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	usable := !s.Draining && !s.NodeLeaving && !b.notAlive[s.Node] && !(b.isDead != nil && b.isDead(s.Node))
	current, present := edit.Get(s.Member)
	switch {
	case usable && current != s:
		edit.Set(s.Member, s)
	case !usable && present:
		edit.Delete(s.Member)
	}
}

// SetMembers sets the members of the cluster, sorted by name. isDead reports whether a node is dead or has left; later calls
// of Apply use it as well. Only servers whose node has changed or is not a member are reevaluated.
func (b *ClusterStateBuilder) SetMembers(members []*wire.Member, isDead func(node string) bool) {
	previous := b.members
	b.members, b.isDead = members, isDead
	if b.notAlive == nil {
		b.notAlive = map[string]bool{}
	}
	nodes, zones := map[string]bool{}, map[string]bool{}
	eachChange(previous, members, func(old, current *wire.Member) {
		m := current
		if current == nil {
			m = old
		}
		nodes[m.Name] = true
		delete(b.notAlive, m.Name)
		if current != nil && current.State != wire.Member_ALIVE {
			b.notAlive[m.Name] = true
		}
		if old != nil {
			zones[old.Zone] = true
		}
		zones[m.Zone] = true
	})
	if len(nodes) > 0 {
		b.cluster.Nodes = aliveNodesByZone(b.cluster.Nodes, members, zones)
	}
	if len(nodes) > 0 || len(b.absent) > 0 {
		b.updateUsableOn(nodes)
	}
}

// updateUsableOn reevaluates the servers on the given nodes, and those on nodes that are not members, for which the result of
// isDead may have changed.
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

// eachChange calls visit for each member that differs between two lists, which are sorted by name. The old or the current
// member is nil if its list does not contain it.
func eachChange(before, after []*wire.Member, visit func(old, current *wire.Member)) {
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

// aliveNodesByZone returns the names of the alive nodes that are not quorum members, by zone. It rebuilds only the lists of
// the given zones.
func aliveNodesByZone(previous map[string][]string, members []*wire.Member, zones map[string]bool) map[string][]string {
	nodes := maps.Clone(previous)
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

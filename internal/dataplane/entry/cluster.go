package entry

import (
	"maps"
	"slices"
	"strings"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/pkg/cowmap"
	"ivydeck/internal/transport/wire"
)

// ClusterState is what a node has been told: a configuration and the servers. It is
// not changed once made; versions share what they have in common.
type ClusterState struct {
	Config  *meshconfig.Config
	Servers cowmap.Map[*wire.Server] // by member, those that may be sent to
	Nodes   map[string][]string      // sidecar machines that are there, by zone
}

// ClusterStateBuilder keeps a ClusterState up to date, at the cost of what changes. Servers that drain, or whose machines
// are not alive, are not sent to. Its zero value has been told nothing.
type ClusterStateBuilder struct {
	cluster ClusterState
	listed  map[string]*wire.Server // by member, all that are registered
	members []*wire.Member          // as they were last, by name
	silent  map[string]bool         // those of them that are not alive, by name
	absent  map[string]bool         // machines with registered servers that are no members
	gone    func(node string) bool
	index   uint64
}

// Index of the latest update that was applied.
func (b *ClusterStateBuilder) Index() uint64 { return b.index }

// Listed is how many servers are registered.
func (b *ClusterStateBuilder) Listed() int { return len(b.listed) }

// ClusterState returns the newest version.
func (b *ClusterStateBuilder) ClusterState() *ClusterState {
	w := b.cluster
	return &w
}

// Apply takes the changes after Index, and the configuration with them; nil changes: there are none.
func (b *ClusterStateBuilder) Apply(c *wire.Changes, config *meshconfig.Config) {
	b.cluster.Config = config
	if c == nil {
		return
	}
	b.index = c.To
	if b.listed == nil || c.Full {
		b.replace(c)
		return
	}
	edit := b.cluster.Servers.Edit()
	for _, r := range c.Resources {
		switch v := r.Value.(type) {
		case *wire.Resource_Server:
			b.register(edit, v.Server)
		case *wire.Resource_RemovedServer:
			delete(b.listed, v.RemovedServer)
			edit.Delete(v.RemovedServer)
		}
	}
	b.cluster.Servers = edit.Map()
}

// replace takes a whole state.
func (b *ClusterStateBuilder) replace(c *wire.Changes) {
	before := b.listed
	b.listed = map[string]*wire.Server{}
	edit := b.cluster.Servers.Edit()
	for _, r := range c.Resources {
		if s := r.GetServer(); s != nil {
			b.register(edit, s)
		}
	}
	for member := range before {
		if b.listed[member] == nil {
			edit.Delete(member)
		}
	}
	b.cluster.Servers = edit.Map()
}

// isMember reports whether a machine was among the members last.
func (b *ClusterStateBuilder) isMember(node string) bool {
	_, found := slices.BinarySearchFunc(b.members, node, func(m *wire.Member, name string) int { return strings.Compare(m.Name, name) })
	return found
}

// register books a registered server.
func (b *ClusterStateBuilder) register(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	b.listed[s.Member] = s
	if !b.isMember(s.Node) {
		if b.absent == nil {
			b.absent = map[string]bool{}
		}
		b.absent[s.Node] = true
	}
	b.place(edit, s)
}

// place lists a server among those that may be sent to, or takes it off.
func (b *ClusterStateBuilder) place(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	usable := !s.Draining && !s.NodeLeaving && !b.silent[s.Node] && !(b.gone != nil && b.gone(s.Node))
	now, there := edit.Get(s.Member)
	switch {
	case usable && now != s:
		edit.Set(s.Member, s)
	case !usable && there:
		edit.Delete(s.Member)
	}
}

// Members takes the members as they are now, in the order of their names. gone tells of a machine that it has died or left,
// from now on. Servers on machines of which nothing has changed stay as they are.
func (b *ClusterStateBuilder) Members(members []*wire.Member, gone func(node string) bool) {
	before := b.members
	b.members, b.gone = members, gone
	if b.silent == nil {
		b.silent = map[string]bool{}
	}
	nodes, zones := map[string]bool{}, map[string]bool{}
	eachChange(before, members, func(old, now *wire.Member) {
		m := now
		if now == nil {
			m = old
		}
		nodes[m.Name] = true
		delete(b.silent, m.Name)
		if now != nil && now.State != wire.Member_ALIVE {
			b.silent[m.Name] = true
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
		b.placeOn(nodes)
	}
}

// placeOn looks again at the servers on some machines, and on those that are no members: what is known of them may have
// changed as well.
func (b *ClusterStateBuilder) placeOn(nodes map[string]bool) {
	absent := map[string]bool{}
	edit := b.cluster.Servers.Edit()
	for _, s := range b.listed {
		if !nodes[s.Node] && !b.absent[s.Node] {
			continue
		}
		b.place(edit, s)
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

// nodesOf returns the living nodes by zone. Only the lists of some zones are made anew.
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

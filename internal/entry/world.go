package entry

import (
	"ivydeck/internal/cowmap"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/wire"
)

// World is what a node has been told: a configuration and the servers. It is
// not changed once made; versions share what they have in common.
type World struct {
	Config  *meshconfig.Config
	Servers cowmap.Map[*wire.Server] // by member, those that may be sent to
	Nodes   map[string][]string      // sidecar machines that are there, by zone
}

// WorldBuilder keeps a World up to date, at the cost of what changes. Servers that drain, or whose machines are not alive,
// are not sent to. Its zero value has been told nothing.
type WorldBuilder struct {
	world  World
	listed map[string]*wire.Server // by member, all that are registered
	silent map[string]bool         // members that are not alive, by name
	gone   func(node string) bool
	index  uint64
}

// Index of the latest update that was applied.
func (b *WorldBuilder) Index() uint64 { return b.index }

// Listed is how many servers are registered.
func (b *WorldBuilder) Listed() int { return len(b.listed) }

// World returns the newest version.
func (b *WorldBuilder) World() *World {
	w := b.world
	return &w
}

// Apply takes the changes after Index, and the configuration with them; nil changes: there are none.
func (b *WorldBuilder) Apply(c *wire.Changes, config *meshconfig.Config) {
	b.world.Config = config
	if c == nil {
		return
	}
	b.index = c.To
	if b.listed == nil || c.Whole {
		b.replace(c)
		return
	}
	edit := b.world.Servers.Edit()
	for _, r := range c.Resources {
		switch v := r.Value.(type) {
		case *wire.Resource_Server:
			b.listed[v.Server.Member] = v.Server
			b.place(edit, v.Server)
		case *wire.Resource_RemovedServer:
			delete(b.listed, v.RemovedServer)
			edit.Delete(v.RemovedServer)
		}
	}
	b.world.Servers = edit.Map()
}

// replace takes a whole state.
func (b *WorldBuilder) replace(c *wire.Changes) {
	before := b.listed
	b.listed = map[string]*wire.Server{}
	edit := b.world.Servers.Edit()
	for _, r := range c.Resources {
		if s := r.GetServer(); s != nil {
			b.listed[s.Member] = s
			b.place(edit, s)
		}
	}
	for member := range before {
		if b.listed[member] == nil {
			edit.Delete(member)
		}
	}
	b.world.Servers = edit.Map()
}

// place lists a server among those that may be sent to, or takes it off.
func (b *WorldBuilder) place(edit *cowmap.Editor[*wire.Server], s *wire.Server) {
	usable := !s.Draining && !s.Leaving && !b.silent[s.Node] && !(b.gone != nil && b.gone(s.Node))
	now, there := edit.Get(s.Member)
	switch {
	case usable && now != s:
		edit.Set(s.Member, s)
	case !usable && there:
		edit.Delete(s.Member)
	}
}

// Members takes the members as they are now. gone tells of a machine that it has died or left, from now on.
func (b *WorldBuilder) Members(members []*wire.Member, gone func(node string) bool) {
	b.silent, b.gone = map[string]bool{}, gone
	nodes := map[string][]string{}
	for _, m := range members {
		switch {
		case m.State != wire.Member_ALIVE:
			b.silent[m.Name] = true
		case !m.Core:
			nodes[m.Zone] = append(nodes[m.Zone], m.Name)
		}
	}
	b.world.Nodes = nodes
	edit := b.world.Servers.Edit()
	for _, s := range b.listed {
		b.place(edit, s)
	}
	b.world.Servers = edit.Map()
}

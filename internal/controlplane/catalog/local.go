package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/transport/wire"
)

// NodeServers is the part of the registry that is on one node, kept at the cost of what changes.
type NodeServers struct {
	Node string

	index   uint64
	servers map[string]*wire.Server
}

// Index is the index up to which changes were applied.
func (l *NodeServers) Index() uint64 { return l.index }

// Apply applies the changes after Index; nil: there are none.
func (l *NodeServers) Apply(c *wire.Changes) {
	if c == nil {
		return
	}
	if c.Full || l.servers == nil {
		l.servers = map[string]*wire.Server{}
	}
	for _, r := range c.Resources {
		k, _ := keyOf(r)
		if k.kind != kindServer {
			continue
		}
		if s := r.GetServer(); s.GetNode() == l.Node && s != nil {
			l.servers[k.name] = s
		} else {
			delete(l.servers, k.name)
		}
	}
	l.index = c.To
}

// Servers are the registered servers of the node, by name.
func (l *NodeServers) Servers() []*wire.Server {
	list := make([]*wire.Server, 0, len(l.servers))
	for _, s := range l.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *wire.Server) int { return strings.Compare(a.Member, b.Member) })
	return list
}

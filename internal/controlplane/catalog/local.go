package catalog

import (
	"slices"
	"strings"

	"ivydeck/internal/transport/wire"
)

// NodeServers holds the registered servers of one node. It is updated incrementally and is not safe for concurrent use.
type NodeServers struct {
	Node string

	index   uint64
	servers map[string]*wire.Server
}

// Index returns the index of the latest update that was applied.
func (n *NodeServers) Index() uint64 { return n.index }

// Apply applies the changes after Index, or full changes. It ignores nil.
func (n *NodeServers) Apply(changes *wire.Changes) {
	if changes == nil {
		return
	}
	if changes.Full || n.servers == nil {
		n.servers = map[string]*wire.Server{}
	}
	for _, r := range changes.Resources {
		k, _ := keyOf(r)
		if k.kind != kindServer {
			continue
		}
		if s := r.GetServer(); s.GetNode() == n.Node && s != nil {
			n.servers[k.name] = s
		} else {
			delete(n.servers, k.name)
		}
	}
	n.index = changes.To
}

// Servers returns the node's registered servers, sorted by name.
func (n *NodeServers) Servers() []*wire.Server {
	list := make([]*wire.Server, 0, len(n.servers))
	for _, s := range n.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *wire.Server) int { return strings.Compare(a.Member, b.Member) })
	return list
}

package localserver

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Machine is where the servers of a admission are registered.
type Machine struct {
	Node, Address, Zone string // Address: where the node beside them listens
	Draining            bool   // the node goes, so its servers take nothing new
}

// The capabilities of a node, as the registry has them (wire.Server); each includes those before.
const (
	ProtocolFields  = 1 // Forward.fields
	protocolVersion = ProtocolFields
)

// Difference is what has to change in the registry, so that it has for a
// machine what runs there. A node that has just started keeps what is registered
// until its server has sent a heartbeat: whatever else is registered is older then.
func Difference(m Machine, servers []Heartbeat, registered []*wire.Server, started bool) []*wire.Command {
	old := map[string]*wire.Server{}
	for _, s := range registered {
		if s.Node == m.Node {
			old[s.Member] = s
		}
	}
	var todo []*wire.Command
	for _, b := range servers {
		want := &wire.Server{
			Member: b.ID, Service: b.Service, Node: m.Node, Address: m.Address, Zone: m.Zone,
			Slots: uint32(b.Slots), Draining: b.Draining, NodeLeaving: m.Draining, ProtocolVersion: protocolVersion,
		}
		if !proto.Equal(want, old[b.ID]) {
			todo = append(todo, &wire.Command{Change: &wire.Command_Server{Server: want}})
		}
		delete(old, b.ID)
	}
	if len(old) == 0 || started && len(servers) == 0 {
		return todo
	}
	var gone []string
	for id := range old {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return append(todo, &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}})
}

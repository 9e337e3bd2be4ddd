package localserver

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// Machine holds the state of a node that is registered with each of its servers.
type Machine struct {
	Node, Address, Zone string // Address is that of the node's internal listener
	Draining            bool   // the node is shutting down, so its servers get no new requests
}

// Protocol versions of a node, registered in wire.Server. Each includes the capabilities of the earlier ones.
const (
	ProtocolFields  = 1 // the node understands ForwardRequest.fields
	protocolVersion = ProtocolFields
)

// Reconcile returns the commands that make the registered servers of a machine equal
// to its actual servers. If justStarted is true and servers is empty, no registered
// server is removed.
func Reconcile(machine Machine, servers []Heartbeat, registered []*wire.Server, justStarted bool) []*wire.Command {
	stale := map[string]*wire.Server{}
	for _, s := range registered {
		if s.Node == machine.Node {
			stale[s.Member] = s
		}
	}
	var commands []*wire.Command
	for _, server := range servers {
		want := &wire.Server{
			Member: server.ID, Service: server.Service, Node: machine.Node, Address: machine.Address, Zone: machine.Zone,
			Slots: uint32(server.Slots), Draining: server.Draining, NodeLeaving: machine.Draining, ProtocolVersion: protocolVersion,
		}
		if !proto.Equal(want, stale[server.ID]) {
			commands = append(commands, &wire.Command{Change: &wire.Command_Server{Server: want}})
		}
		delete(stale, server.ID)
	}
	if len(stale) == 0 || justStarted && len(servers) == 0 {
		return commands
	}
	var removed []string
	for id := range stale {
		removed = append(removed, id)
	}
	slices.Sort(removed)
	return append(commands, &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: removed}}})
}

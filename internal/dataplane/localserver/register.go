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

// Local holds what a node knows of the servers on its machine.
type Local struct {
	Servers     []Heartbeat
	Departed    func(member string) bool // reports whether a server has deregistered; may be nil
	JustStarted bool                     // servers may be running that have not sent a heartbeat to this process yet
}

// mayBeRunning reports whether a registered server that is not in Servers may still be running.
func (l Local) mayBeRunning(member string) bool {
	return l.JustStarted && len(l.Servers) == 0 && (l.Departed == nil || !l.Departed(member))
}

// Reconcile returns the commands that make the registered servers of a machine equal
// to its actual servers.
func Reconcile(machine Machine, local Local, registered []*wire.Server) []*wire.Command {
	stale := map[string]*wire.Server{}
	for _, s := range registered {
		if s.Node == machine.Node {
			stale[s.Member] = s
		}
	}
	var commands []*wire.Command
	for _, server := range local.Servers {
		want := &wire.Server{
			Member: server.ID, Service: server.Service, Node: machine.Node, Address: machine.Address, Zone: machine.Zone,
			Slots: uint32(server.Slots), Draining: server.Draining, NodeLeaving: machine.Draining, ProtocolVersion: protocolVersion,
		}
		if !proto.Equal(want, stale[server.ID]) {
			commands = append(commands, &wire.Command{Change: &wire.Command_Server{Server: want}})
		}
		delete(stale, server.ID)
	}
	var removed []string
	for id := range stale {
		if !local.mayBeRunning(id) {
			removed = append(removed, id)
		}
	}
	if len(removed) == 0 {
		return commands
	}
	slices.Sort(removed)
	return append(commands, &wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: removed}}})
}

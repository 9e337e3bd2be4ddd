package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/transport/wire"
)

// look tells what this node sees at the moment.
func (n *Node) look(context.Context, *wire.Ask) (*wire.Looked, error) {
	set := n.set.Load()
	served, refused, failed := n.outbound.Counts()
	l := &wire.Looked{
		Node: set.Node, Zone: set.Zone, Served: served, Refused: refused, Failed: failed, Pending: uint32(n.front.Pending()),
		UpdateIndex: n.hub.Index(), UpdateAgeMs: uint32(min(n.follower.Age(), time.Hour).Milliseconds()), UpMs: uint32(time.Since(n.began).Milliseconds()),
	}
	for _, r := range n.outbound.Readings(n.outbound.Priorities()) {
		l.Services = append(l.Services, &wire.LookedService{Service: r.Service, R: r.R, Chances: r.Chances, Left: r.Left})
	}
	unhealthy := n.inbound.Unhealthy()
	servers, running, waiting := n.inbound.Load()
	for i, b := range servers {
		l.Servers = append(l.Servers, &wire.LookedServer{Member: b.ID, Service: b.Service, Running: uint32(running[i]), Waiting: uint32(waiting[i]),
			Slots: uint32(b.Slots), Out: unhealthy[b.ID], Draining: b.Draining})
	}
	return l, nil
}

package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/transport/wire"
)

// handleStatus returns the present status of this node.
func (n *Node) handleStatus(context.Context, *wire.Empty) (*wire.NodeStatus, error) {
	set := n.set.Load()
	served, refused, failed := n.outbound.Counts()
	l := &wire.NodeStatus{
		Node: set.Node, Zone: set.Zone, Served: served, Refused: refused, Failed: failed, Pending: uint32(n.front.Pending()),
		UpdateIndex: n.hub.Index(), UpdateAgeMs: uint32(min(n.follower.Age(), time.Hour).Milliseconds()), UpMs: uint32(time.Since(n.began).Milliseconds()),
	}
	for _, r := range n.outbound.ServiceStates(n.outbound.Priorities()) {
		l.Services = append(l.Services, &wire.ServiceStatus{Service: r.Service, NormalizedLatency: r.NormalizedLatency, AdmissionProbabilities: r.Probabilities, RetryBudgetLeft: r.RetryBudgetLeft})
	}
	unhealthy := n.inbound.Unhealthy()
	servers, running, waiting := n.inbound.Load()
	for i, b := range servers {
		l.Servers = append(l.Servers, &wire.ServerStatus{Member: b.ID, Service: b.Service, Running: uint32(running[i]), Queued: uint32(waiting[i]),
			Slots: uint32(b.Slots), EjectedZones: unhealthy[b.ID], Draining: b.Draining})
	}
	return l, nil
}

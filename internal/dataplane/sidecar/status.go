package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/transport/wire"
)

// handleStatus returns the current status of this node.
func (n *Node) handleStatus(context.Context, *wire.Empty) (*wire.NodeStatus, error) {
	settings := n.settings.Load()
	served, refused, failed := n.outbound.Counts()
	status := &wire.NodeStatus{
		Node: settings.Node, Zone: settings.Zone, Served: served, Refused: refused, Failed: failed, Pending: uint32(n.frontend.Pending()),
		UpdateIndex: n.hub.Index(), UpdateAgeMs: uint32(min(n.follower.Age(), time.Hour).Milliseconds()), UpMs: uint32(time.Since(n.startTime).Milliseconds()),
	}
	for _, service := range n.outbound.ServiceStates(n.outbound.Priorities()) {
		status.Services = append(status.Services, &wire.ServiceStatus{Service: service.Service, NormalizedLatency: service.NormalizedLatency, AdmissionProbabilities: service.Probabilities, RetryBudgetLeft: service.RetryBudgetLeft})
	}
	unhealthy := n.inbound.Unhealthy()
	servers, inflight, queued := n.inbound.Load()
	for i, server := range servers {
		status.Servers = append(status.Servers, &wire.ServerStatus{Member: server.ID, Service: server.Service, Running: uint32(inflight[i]), Queued: uint32(queued[i]),
			Slots: uint32(server.Slots), EjectedZones: unhealthy[server.ID], Draining: server.Draining})
	}
	return status, nil
}

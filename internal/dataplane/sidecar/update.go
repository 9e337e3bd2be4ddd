package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

const (
	updatePauseFactor = 6 // pause after an update, as a multiple of its duration
	maxUpdatePause    = 200 * time.Millisecond
)

// watch applies updates of the replicated state and membership changes to the request path until ctx ends. Changes that arrive
// during an update are batched into the next one.
func (n *Node) watch(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	var applied uint64 // membership version that was applied last
	for ctx.Err() == nil {
		changed := n.hub.Changed()
		if version := n.gossip.Version(); n.hub.Index() != n.cluster.Index() || version != applied {
			start := time.Now()
			if version != applied {
				applied = version
				n.cluster.SetMembers(n.gossip.Members(), func(node string) bool { return n.gossip.DeadFor(node) > 0 })
			}
			n.update()
			// An update of a service with thousands of servers or of a large membership takes milliseconds. The pause
			// batches frequent updates, for example when all machines start, and leaves most of the CPU time to requests.
			timerpool.Sleep(ctx, min(updatePauseFactor*time.Since(start), maxUpdatePause))
		}
		select {
		case <-changed:
		case <-tick.C:
			n.inbound.Sweep(time.Now())
			n.updateRetrySlack()
		case <-ctx.Done():
		}
	}
}

// update applies the changes since the last update and publishes the new cluster state to the request path.
func (n *Node) update() {
	before := n.cluster.ClusterState().Config
	changes, config := n.hub.State(n.cluster.Index())
	n.cluster.Apply(changes, config)
	n.adopt(changes)
	n.outbound.Update(n.cluster.ClusterState())
	n.canServe.Store(config != nil && n.cluster.Registered() > 0)
	if config != nil && config != before {
		n.log.Info("config.applied", "revision", config.Revision, "index", n.cluster.Index(), "resources", len(changes.GetResources()))
	}
}

// adopt adds the local server as the previous process registered it, so that it can serve before its first heartbeat. It adds
// none once the process has run for two heartbeat intervals.
func (n *Node) adopt(changes *wire.Changes) {
	settings := n.settings.Load()
	justStarted := time.Since(n.startTime) < 2*settings.HeartbeatInterval
	for _, resource := range changes.GetResources() {
		if removed := resource.GetRemovedServer(); removed != "" {
			n.verifier.Unregistered(removed)
		}
		server := resource.GetServer()
		if justStarted && server != nil && server.Node == settings.Node && server.Service == settings.Backend && !server.Draining {
			n.verifier.Adopt(proxy.Heartbeat{ID: server.Member, Service: server.Service, Address: settings.AppAddress, Zone: server.Zone, Slots: int(server.Slots)})
		}
	}
}

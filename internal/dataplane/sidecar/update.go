package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

const (
	updatePauses   = 6 // times as long as an update took the next one waits ...
	maxUpdatePause = 200 * time.Millisecond
)

// watch keeps the outbound side up to date with the updates and the members. What comes while an update is under way shares
// the next one.
func (n *Node) watch(ctx context.Context) {
	tick := time.NewTicker(upkeepEvery)
	defer tick.Stop()
	var members uint64 // the version that was taken last
	for ctx.Err() == nil {
		changed := n.hub.Changed()
		if version := n.gossip.Version(); n.hub.Index() != n.cluster.Index() || version != members {
			began := time.Now()
			if version != members {
				members = version
				n.cluster.SetMembers(n.gossip.Members(), func(node string) bool { return n.gossip.DeadFor(node) > 0 })
			}
			n.update()
			// An update of a service with thousands of servers costs milliseconds, one of the members of a large mesh too:
			// where such updates come one behind the other, as at a start of all machines, several share one, so that most
			// of the time is left for requests.
			timerpool.Sleep(ctx, min(updatePauses*time.Since(began), maxUpdatePause))
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

// update hands on what has changed.
func (n *Node) update() {
	before := n.cluster.ClusterState().Config
	changes, config := n.hub.State(n.cluster.Index())
	n.cluster.Apply(changes, config)
	n.adopt(changes)
	n.outbound.Update(n.cluster.ClusterState())
	n.served.Store(config != nil && n.cluster.Registered() > 0)
	if config != nil && config != before {
		n.log.Info("config.applied", "revision", config.Revision, "index", n.cluster.Index(), "resources", len(changes.GetResources()))
	}
}

// adopt adds the server that the previous process registered, until the server sends a heartbeat.
func (n *Node) adopt(changes *wire.Changes) {
	set := n.set.Load()
	if time.Since(n.began) >= 2*set.HeartbeatInterval {
		return
	}
	for _, r := range changes.GetResources() {
		s := r.GetServer()
		if s != nil && s.Node == set.Node && s.Service == set.Backend && !s.Draining {
			n.inbound.Adopt(proxy.Heartbeat{ID: s.Member, Service: s.Service, Address: set.AppAddress, Zone: s.Zone, Slots: int(s.Slots)}, time.Now())
		}
	}
}

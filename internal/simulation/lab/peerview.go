package lab

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/cluster/membership"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

// peerView holds what quorum members and nodes have in common: membership, and a place in
// the tree of relays.
type peerView struct {
	sim        *sim
	host       *machine
	memberlist *membership.Memberlist
	hub        *relay.Hub
	pacing     relay.Pacing
	children   []*child
}

// child is a node's subscription to the updates of its parent.
type child struct {
	node         *node
	incarnation  uint64
	sentIndex    uint64        // last update that the node has or that was sent to it
	lastDelivery time.Duration // arrival time of the last message to the node
	ended        bool

	subscription relay.Subscription // the node's state of the subscription
	subscribedAt time.Duration      // when the parent received the subscription
}

func (v *peerView) start(s *sim, m *machine) {
	v.sim, v.host, v.children, v.pacing = s, m, nil, relay.Pacing{}
	self := &wire.Member{Name: m.name, Address: m.name, Zone: m.zone, QuorumMember: m.isQuorumMember, Generation: m.incarnation}
	v.memberlist = membership.New(self, s.rng.Uint64(), s.now)
	if s.scenario.Steady && len(s.initialMembers) > 0 && s.now == 0 {
		v.memberlist.Load(s.now, s.initialMembers)
	}
	// Random offsets spread the periodic work of the machines.
	s.after(time.Duration(s.rng.Int64N(int64(membership.ProbeInterval))), func() { v.probe(m.incarnation) })
	s.after(time.Duration(s.rng.Int64N(int64(relay.Heartbeat))), func() { v.heartbeat(m.incarnation) })
}

// probe sends the probes that are due, and schedules the next call.
func (v *peerView) probe(incarnation uint64) {
	if !v.host.up || v.host.incarnation != incarnation {
		return
	}
	for _, probe := range v.memberlist.Tick(v.sim.now, v.sim.seeds) {
		v.sendProbe(probe)
	}
	v.sim.at(max(v.memberlist.NextTick(), v.sim.now+10*time.Millisecond), func() { v.probe(incarnation) })
}

func (v *peerView) sendProbe(probe membership.Probe) {
	v.exchangeProbe(probe.Address, probe.Request, probe.Timeout(), func(response *wire.ProbeResponse) {
		for _, followUp := range v.memberlist.HandleProbeResult(v.sim.now, probe, response) {
			v.sendProbe(followUp)
		}
	})
}

// exchangeProbe sends a probe and merges the response. It calls done with nil if there is
// no response.
func (v *peerView) exchangeProbe(address string, request *wire.ProbeRequest, wait time.Duration, done func(*wire.ProbeResponse)) {
	peer := v.sim.peerViews[address]
	if peer == nil {
		done(nil)
		return
	}
	size := proto.Size(request)
	v.sim.measurements.probes++
	v.sim.measurements.probeBytes += int64(size + rpcBytes)
	v.sim.call(v.host, peer.host, size, wait, func(answer func(int, func())) {
		peer.memberlist.Merge(v.sim.now, request.From)
		peer.memberlist.Merge(v.sim.now, request.Updates...)
		reply := func(reached bool) {
			response := peer.memberlist.HandleProbe(request)
			response.Reached = reached
			responseSize := proto.Size(response)
			v.sim.measurements.probeBytes += int64(responseSize + rpcBytes)
			answer(responseSize, func() {
				v.memberlist.Merge(v.sim.now, response.Updates...)
				done(response)
			})
		}
		if request.Target == nil {
			reply(true)
			return
		}
		peer.exchangeProbe(request.Target.Address, &wire.ProbeRequest{From: peer.memberlist.Self()}, membership.ProbeTimeout, func(response *wire.ProbeResponse) { reply(response != nil) })
	}, func(bool) { done(nil) })
}

// heartbeat sends feeds to all children when they are due, and schedules the next call.
func (v *peerView) heartbeat(incarnation uint64) {
	if !v.host.up || v.host.incarnation != incarnation {
		return
	}
	if v.sim.now >= v.pacing.Due(v.hub.Depth()) {
		v.feed()
	}
	v.sim.at(v.pacing.Due(v.hub.Depth()), func() { v.heartbeat(incarnation) })
}

// liveChildren returns the number of children whose process is still running.
func (v *peerView) liveChildren() int {
	n := 0
	for _, c := range v.children {
		if !c.ended && c.node.up && c.node.incarnation == c.incarnation {
			n++
		}
	}
	return n
}

// feed sends each child the updates that it lacks, and removes children that ended.
func (v *peerView) feed() {
	v.pacing.Sent(v.sim.now)
	keep := v.children[:0]
	for _, c := range v.children {
		if !c.ended && c.node.up && c.node.incarnation == c.incarnation {
			keep = append(keep, c)
			v.feedChild(c)
		}
	}
	clear(v.children[len(keep):])
	v.children = keep
}

func (v *peerView) feedChild(c *child) {
	feed, _ := v.hub.Feed(c.sentIndex, v.sim.now, c.subscribedAt)
	c.sentIndex = max(c.sentIndex, feed.Latest)
	size := proto.Size(feed)
	v.sim.measurements.feedBytes += int64(size + rpcBytes)
	v.sim.stream(v.host, &c.node.machine, size+rpcBytes, &c.lastDelivery, func() { c.node.handleFeed(c, feed) })
}

package lab

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/cluster/membership"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

// peerView is the part that all machines have: membership, and a place in the tree of
// relays.
type peerView struct {
	s        *sim
	m        *machine
	group    *membership.Memberlist
	hub      *relay.Hub
	pacing   relay.Pacing
	children []*child
}

// child is a subscription to a machine's updates.
type child struct {
	node         *node
	incarnation  uint64
	have         uint64
	lastDelivery time.Duration // when the last message to it arrives
	ended        bool

	subscription relay.Subscription // of the node
	subscribedAt time.Duration      // when the parent received the subscription
}

func (v *peerView) start(s *sim, m *machine) {
	v.s, v.m, v.children, v.pacing = s, m, nil, relay.Pacing{}
	self := &wire.Member{Name: m.name, Address: m.name, Zone: m.zone, QuorumMember: m.isQuorumMember, Generation: m.incarnation}
	v.group = membership.New(self, s.rng.Uint64(), s.now)
	if s.scenario.Steady && len(s.initialMembers) > 0 && s.now == 0 {
		v.group.Load(s.now, s.initialMembers)
	}
	// Periodic work of the machines does not coincide.
	s.after(time.Duration(s.rng.Int64N(int64(membership.ProbeInterval))), func() { v.probe(m.incarnation) })
	s.after(time.Duration(s.rng.Int64N(int64(relay.Heartbeat))), func() { v.heartbeat(m.incarnation) })
}

// probe sends the probes that membership asks for.
func (v *peerView) probe(incarnation uint64) {
	if !v.m.up || v.m.incarnation != incarnation {
		return
	}
	for _, a := range v.group.Tick(v.s.now, v.s.seeds) {
		v.send(a)
	}
	v.s.at(max(v.group.NextTick(), v.s.now+10*time.Millisecond), func() { v.probe(incarnation) })
}

func (v *peerView) send(a membership.Probe) {
	v.exchange(a.Address, a.Request, a.Timeout(), func(answer *wire.ProbeResponse) {
		for _, more := range v.group.HandleProbeResult(v.s.now, a, answer) {
			v.send(more)
		}
	})
}

// exchange sends a probe and merges the response; done gets nil if there was none.
func (v *peerView) exchange(address string, p *wire.ProbeRequest, wait time.Duration, done func(*wire.ProbeResponse)) {
	to := v.s.views[address]
	if to == nil {
		done(nil)
		return
	}
	size := proto.Size(p)
	v.s.measurements.probes++
	v.s.measurements.probeBytes += int64(size + rpcBytes)
	v.s.call(v.m, to.m, size, wait, func(answer func(int, func())) {
		to.group.Merge(v.s.now, p.From)
		to.group.Merge(v.s.now, p.Updates...)
		reply := func(reached bool) {
			probed := to.group.HandleProbe(p)
			probed.Reached = reached
			size := proto.Size(probed)
			v.s.measurements.probeBytes += int64(size + rpcBytes)
			answer(size, func() {
				v.group.Merge(v.s.now, probed.Updates...)
				done(probed)
			})
		}
		if p.Target == nil {
			reply(true)
			return
		}
		to.exchange(p.Target.Address, &wire.ProbeRequest{From: to.group.Self()}, membership.ProbeTimeout, func(a *wire.ProbeResponse) { reply(a != nil) })
	}, func(bool) { done(nil) })
}

// heartbeat sends feeds to all children unless some were sent within the interval.
func (v *peerView) heartbeat(incarnation uint64) {
	if !v.m.up || v.m.incarnation != incarnation {
		return
	}
	if v.s.now >= v.pacing.Due(v.hub.Depth()) {
		v.feed()
	}
	v.s.at(v.pacing.Due(v.hub.Depth()), func() { v.heartbeat(incarnation) })
}

// liveChildren is the number of children whose process still runs.
func (v *peerView) liveChildren() int {
	n := 0
	for _, c := range v.children {
		if !c.ended && c.node.up && c.node.incarnation == c.incarnation {
			n++
		}
	}
	return n
}

// feed sends each child the updates that it does not have.
func (v *peerView) feed() {
	v.pacing.Sent(v.s.now)
	keep := v.children[:0]
	for _, c := range v.children {
		if !c.ended && c.node.up && c.node.incarnation == c.incarnation {
			keep = append(keep, c)
			v.feedOne(c)
		}
	}
	clear(v.children[len(keep):])
	v.children = keep
}

func (v *peerView) feedOne(c *child) {
	f, _ := v.hub.Feed(c.have, v.s.now, c.subscribedAt)
	c.have = max(c.have, f.Latest)
	size := proto.Size(f)
	v.s.measurements.feedBytes += int64(size + rpcBytes)
	v.s.stream(v.m, &c.node.machine, size+rpcBytes, &c.lastDelivery, func() { c.node.receive(c, f) })
}

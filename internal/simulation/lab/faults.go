package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"ivydeck/internal/controlplane/raft"
)

// injectFault injects a fault and schedules its end.
func (s *sim) injectFault(f Fault) {
	i := s.scenario.targetIndex(f)
	if f.Share > 0 {
		s.injectIntoShare(f, s.servers[i].service)
		return
	}
	s.recordEvent("%s of %s for %g s", f.Kind, f.Target, f.ForS)
	kind, _ := f.target()
	if kind == targetLeader {
		kind, i = targetMember, s.leaderIndex(i)
	}
	until := s.now + sec(f.ForS)
	end := s.inject(f, kind, i, until)
	if end == nil {
		return
	}
	s.at(until, func() {
		s.recordEvent("end of %s of %s", f.Kind, f.Target)
		end()
	})
}

// injectIntoShare injects a fault into a share of a service's servers, evenly spread.
func (s *sim) injectIntoShare(f Fault, service *Service) {
	for n := range max(1, int(f.Share*float64(service.Servers)+0.5)) {
		single := f
		single.Share, single.Target = 0, fmt.Sprintf("%s %s %d", targetServer, service.Name, int(float64(n)/f.Share)%service.Servers)
		s.injectFault(single)
	}
}

// leaderIndex returns the index of the leader among the quorum members, or fallback if
// there is no leader.
func (s *sim) leaderIndex(fallback int) int {
	index := fallback
	for n, m := range s.members {
		if m.up && m.raft.IsLeader() {
			index = n
		}
	}
	return index
}

// inject injects a fault into the i-th target of a kind. It returns a function that ends
// the fault, or nil if the fault ends by itself.
func (s *sim) inject(f Fault, kind targetKind, i int, until time.Duration) (end func()) {
	switch kind {
	case targetMember:
		return s.injectIntoMember(f, s.members[min(i, len(s.members)-1)], until)
	case targetNode:
		return s.injectIntoNode(f, s.nodes[i])
	case targetServer:
		return s.injectIntoServer(f, s.servers[i], until)
	case targetZone, targetAll:
		return s.injectIntoZone(f, kind, i)
	}
	s.rateFactors[i] *= f.Factor // LoadBurst, whose target is a route
	return func() { s.rateFactors[i] /= f.Factor }
}

func (s *sim) injectIntoMember(f Fault, m *quorumMember, until time.Duration) (end func()) {
	switch f.Kind {
	case Stall:
		m.stallUntil = until
		return func() {}
	case Partition:
		m.partitioned = true
		return func() { m.partitioned = false }
	case DiskLoss:
		m.stop(true)
		m.disk.Wipe()
	default:
		m.stop(f.Kind == PowerLoss)
	}
	return m.restart
}

// restart starts the quorum member unless it is running.
func (m *quorumMember) restart() {
	if !m.up {
		m.start()
	}
}

func (s *sim) injectIntoNode(f Fault, n *node) (end func()) {
	if f.Kind == Partition {
		n.partitioned = true
		return func() { n.partitioned = false }
	}
	s.stopNode(n, f.Kind == PowerLoss)
	return func() { s.startNode(n) }
}

func (s *sim) injectIntoServer(f Fault, v *server, until time.Duration) (end func()) {
	switch f.Kind {
	case Drain:
		v.drain(until)
	case Deregister:
		v.deregister(until)
	case Slow:
		v.slowdown = max(1, f.Factor)
		return func() { v.slowdown = 1 }
	case Grey:
		v.grey = f
		return func() { v.grey = Fault{} }
	case Flap:
		s.flap(v, max(time.Second, sec(f.Factor)), until)
		return nil
	case Stall:
		v.stalledUntil = until
	default:
		v.stop()
		return func() { s.startServer(v) }
	}
	return func() {}
}

// injectIntoZone injects a fault into all machines of a zone or of the mesh, or into the
// network.
func (s *sim) injectIntoZone(f Fault, kind targetKind, zone int) (end func()) {
	switch f.Kind {
	case Partition:
		s.partitionZone(zone, true)
		return func() { s.partitionZone(zone, false) }
	case MessageLoss:
		return s.injectLoss(min(maxLoss, f.Factor))
	}
	affected := func(m *machine) bool { return kind == targetAll || m.zone == zoneName(zone) }
	for _, m := range s.members {
		if affected(&m.machine) {
			m.stop(true)
		}
	}
	for _, n := range s.nodes {
		if affected(&n.machine) {
			s.stopNode(n, true)
		}
	}
	return func() {
		for _, m := range s.members {
			if affected(&m.machine) {
				m.restart()
			}
		}
		for _, n := range s.nodes {
			if affected(&n.machine) {
				s.startNode(n)
			}
		}
	}
}

// injectLoss drops a share of all segments. The highest share among overlapping
// faults applies.
func (s *sim) injectLoss(share float64) (end func()) {
	s.lossShares = append(s.lossShares, share)
	s.Loss = max(s.scenario.Net.Loss, slices.Max(s.lossShares))
	return func() {
		i := slices.Index(s.lossShares, share)
		s.lossShares = slices.Delete(s.lossShares, i, i+1)
		s.Loss = slices.Max(append(s.lossShares, s.scenario.Net.Loss))
	}
}

// scheduleChaos schedules a random fault, and then itself again. A fault that loses a quorum
// member's disk is injected only while all disks hold all committed entries, because the
// control plane tolerates one loss at a time.
func (s *sim) scheduleChaos() {
	c := s.scenario.Chaos
	end := sec(s.scenario.Seconds) - chaosFreeEnd
	s.after(sec(c.EveryS*-math.Log(1-s.rng.Float64())), func() {
		if s.now >= end {
			return
		}
		s.scheduleChaos()
		if f, ok := s.randomFault(); ok {
			f.ForS = min(f.ForS, (end - s.now).Seconds())
			s.injectFault(f)
		}
	})
}

// randomFault draws a fault. ok reports whether the fault may be injected now.
func (s *sim) randomFault() (f Fault, ok bool) {
	kinds := s.scenario.Chaos.Kinds
	if len(kinds) == 0 {
		kinds = slices.Sorted(maps.Keys(faultTargets))
	}
	f.Kind = kinds[s.rng.IntN(len(kinds))]
	targets := faultTargets[f.Kind]
	target := targets[s.rng.IntN(len(targets))]
	f.AtS, f.ForS = s.now.Seconds(), 0.3+s.rng.Float64()*s.scenario.Chaos.ForS
	f.Factor = 2 + 6*s.rng.Float64()
	f.Target = s.randomTarget(target)
	switch f.Kind {
	case Grey:
		f.Factor, f.Mode = f.Factor/8, greyModes[s.rng.IntN(len(greyModes))]
	case MessageLoss:
		f.Factor = 0.02 + 0.1*s.rng.Float64()
	case DiskLoss:
		return f, s.fullyReplicated()
	}
	return f, true
}

// randomTarget draws a target of a kind, in the form of Fault.Target.
func (s *sim) randomTarget(kind targetKind) string {
	switch kind {
	case targetMember:
		return fmt.Sprintf("%s %d", kind, s.rng.IntN(len(s.members)))
	case targetNode:
		return fmt.Sprintf("%s %d", kind, s.rng.IntN(len(s.nodes)))
	case targetZone:
		return fmt.Sprintf("%s %d", kind, s.rng.IntN(s.scenario.Zones))
	case targetServer:
		service := s.scenario.Services[s.rng.IntN(len(s.scenario.Services))]
		return fmt.Sprintf("%s %s %d", kind, service.Name, s.rng.IntN(max(1, service.Servers)))
	case targetRoute:
		return fmt.Sprintf("%s %s", kind, s.scenario.Routes[s.rng.IntN(len(s.scenario.Routes))].Name)
	}
	return string(kind)
}

// fullyReplicated reports whether all quorum members are running, connected voters that
// have all committed entries.
func (s *sim) fullyReplicated() bool {
	newest := uint64(0)
	for _, m := range s.members {
		peers := m.raft.Peers()
		if !m.up || m.partitioned || len(peers) != len(s.members) || raft.Voters(peers) != len(s.members) || !m.raft.MembershipCommitted() {
			return false
		}
		newest = max(newest, m.raft.Committed())
	}
	return !slices.ContainsFunc(s.members, func(m *quorumMember) bool { return m.raft.Committed() < newest })
}

// partitionZone starts or ends a partition between a zone and all others.
func (s *sim) partitionZone(zone int, partitioned bool) {
	a := zoneName(zone)
	for other := range s.scenario.Zones {
		if b := zoneName(other); a != b {
			s.partitions[[2]string{a, b}], s.partitions[[2]string{b, a}] = partitioned, partitioned
		}
	}
}

// flap stops and starts a server alternately, once a period, until the given time.
func (s *sim) flap(v *server, period, until time.Duration) {
	v.stop()
	s.at(min(until, s.now+period), func() {
		s.startServer(v)
		if s.now+period < until {
			s.after(period, func() { s.flap(v, period, until) })
		}
	})
}

func (s *sim) stopNode(n *node, powerOff bool) {
	n.stop(powerOff)
	if powerOff && n.server != nil && n.server.up {
		n.server.stop()
	}
}

func (s *sim) startNode(n *node) {
	if !n.up {
		n.start()
	}
	if n.server != nil {
		s.startServer(n.server)
	}
}

func (s *sim) startServer(v *server) {
	if !v.up && v.node.powered {
		v.start()
	}
}

package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/controlplane/raft"
)

// begin lets a trouble befall its target, and end in time.
func (s *sim) begin(t Trouble) {
	i := s.w.find(t)
	if t.Share > 0 {
		s.beginShare(t, s.servers[i].kind)
		return
	}
	s.note("%s of %s for %g s", t.Kind, t.Target, t.ForS)
	what, _, _ := strings.Cut(t.Target, " ")
	if what == "leader" {
		what, i = "core", s.leaderPlace(i)
	}
	until := s.now + sec(t.ForS)
	end := s.befall(t, what, i, until)
	if end == nil {
		return
	}
	s.at(until, func() {
		s.note("end of %s of %s", t.Kind, t.Target)
		end()
	})
}

// beginShare lets a trouble befall a share of all servers of a service, at even steps.
func (s *sim) beginShare(t Trouble, kind *Service) {
	for n := range max(1, int(t.Share*float64(kind.Servers)+0.5)) {
		one := t
		one.Share, one.Target = 0, fmt.Sprintf("server %s %d", kind.Name, int(float64(n)/t.Share)%kind.Servers)
		s.begin(one)
	}
}

// leaderPlace is the place of the quorum member that leads, or another one where none does.
func (s *sim) leaderPlace(otherwise int) int {
	place := otherwise
	for n, c := range s.cores {
		if c.up && c.raft.IsLeader() {
			place = n
		}
	}
	return place
}

// befall begins a trouble of the i-th machine, zone, server or route, and returns what ends it; nil: it ends by itself.
func (s *sim) befall(t Trouble, what string, i int, until time.Duration) (end func()) {
	switch what {
	case "core":
		return s.befallCore(t, s.cores[min(i, len(s.cores)-1)], until)
	case "node":
		return s.befallNode(t, s.nodes[i])
	case "server":
		return s.befallServer(t, s.servers[i], until)
	case "zone", "all":
		return s.befallMany(t, what, i)
	}
	s.burst[i] *= t.Factor // of a route
	return func() { s.burst[i] /= t.Factor }
}

func (s *sim) befallCore(t Trouble, c *core, until time.Duration) (end func()) {
	switch t.Kind {
	case "stall":
		c.stall = until
		return func() {}
	case "cut":
		c.cut = true
		return func() { c.cut = false }
	case "wipe":
		c.stop(true)
		c.disk.Wipe()
	default:
		c.stop(t.Kind == "power")
	}
	return c.restart
}

// restart starts a quorum member unless it runs.
func (c *core) restart() {
	if !c.up {
		c.start()
	}
}

func (s *sim) befallNode(t Trouble, n *node) (end func()) {
	if t.Kind == "cut" {
		n.cut = true
		return func() { n.cut = false }
	}
	s.endNode(n, t.Kind == "power")
	return func() { s.startNode(n) }
}

func (s *sim) befallServer(t Trouble, v *server, until time.Duration) (end func()) {
	switch t.Kind {
	case "drain":
		v.drain(until)
	case "slow":
		v.slow = max(1, t.Factor)
		return func() { v.slow = 1 }
	case "grey":
		v.grey = t
		return func() { v.grey = Trouble{} }
	case "flap":
		s.flap(v, max(time.Second, sec(t.Factor)), until)
		return nil
	case "stall":
		v.hung = until
	default:
		v.stop()
		return func() { s.startServer(v) }
	}
	return func() {}
}

// befallMany begins a trouble of a zone or of all machines.
func (s *sim) befallMany(t Trouble, what string, zone int) (end func()) {
	switch t.Kind {
	case "cut":
		s.split(zone, true)
		return func() { s.split(zone, false) }
	case "loss":
		return s.beginLoss(min(0.5, t.Factor))
	}
	in := func(m *machine) bool { return what == "all" || m.zone == fmt.Sprintf("z%d", zone) }
	for _, c := range s.cores {
		if in(&c.machine) {
			c.stop(true)
		}
	}
	for _, n := range s.nodes {
		if in(&n.machine) {
			s.endNode(n, true)
		}
	}
	return func() {
		for _, c := range s.cores {
			if in(&c.machine) {
				c.restart()
			}
		}
		for _, n := range s.nodes {
			if in(&n.machine) {
				s.startNode(n)
			}
		}
	}
}

// beginLoss has a share of all messages lost. Losses that overlap do not add up: the transport tries again each time.
func (s *sim) beginLoss(share float64) (end func()) {
	s.losses = append(s.losses, share)
	s.Loss = max(s.w.Net.Loss, slices.Max(s.losses))
	return func() {
		i := slices.Index(s.losses, share)
		s.losses = slices.Delete(s.losses, i, i+1)
		s.Loss = slices.Max(append(s.losses, s.w.Net.Loss))
	}
}

// chaos lets a drawn trouble begin now and then. What takes a quorum member or its
// disk away waits until the core has borne the one before: its word is for one
// loss at a time.
func (s *sim) chaos() {
	c := s.w.Chaos
	end := sec(s.w.Seconds) - calmEnd
	s.after(sec(c.EveryS*-math.Log(1-s.rng.Float64())), func() {
		if s.now >= end {
			return
		}
		s.chaos()
		if t, ok := s.draw(); ok {
			t.ForS = min(t.ForS, (end - s.now).Seconds())
			s.begin(t)
		}
	})
}

func (s *sim) draw() (t Trouble, ok bool) {
	all := s.w.Chaos.Kinds
	if len(all) == 0 {
		all = slices.Sorted(maps.Keys(kinds))
	}
	t.Kind = all[s.rng.IntN(len(all))]
	befalls := strings.Fields(kinds[t.Kind])
	what := befalls[s.rng.IntN(len(befalls))]
	t.AtS, t.ForS = s.now.Seconds(), 0.3+s.rng.Float64()*s.w.Chaos.ForS
	t.Factor = 2 + 6*s.rng.Float64()
	switch what {
	case "core":
		t.Target = fmt.Sprint("core ", s.rng.IntN(len(s.cores)))
	case "node":
		t.Target = fmt.Sprint("node ", s.rng.IntN(len(s.nodes)))
	case "zone":
		t.Target = fmt.Sprint("zone ", s.rng.IntN(s.w.Zones))
	case "server":
		v := s.w.Services[s.rng.IntN(len(s.w.Services))]
		t.Target = fmt.Sprintf("server %s %d", v.Name, s.rng.IntN(max(1, v.Servers)))
	case "route":
		t.Target = "route " + s.w.Routes[s.rng.IntN(len(s.w.Routes))].Name
	default:
		t.Target = what
	}
	switch t.Kind {
	case "grey":
		t.Factor, t.How = t.Factor/8, hows[s.rng.IntN(len(hows))]
	case "loss":
		t.Factor = 0.02 + 0.1*s.rng.Float64()
	case "wipe":
		return t, s.whole()
	}
	return t, true
}

// whole reports whether all quorum members are voters that have all that was taken.
func (s *sim) whole() bool {
	newest := uint64(0)
	for _, c := range s.cores {
		if !c.up || c.cut || len(c.raft.Peers()) != len(s.cores) || raft.Voters(c.raft.Peers()) != len(s.cores) || !c.raft.MembershipCommitted() {
			return false
		}
		newest = max(newest, c.raft.Committed())
	}
	return !slices.ContainsFunc(s.cores, func(c *core) bool { return c.raft.Committed() < newest })
}

// split cuts a zone off from the others, or joins it again.
func (s *sim) split(zone int, cut bool) {
	a := fmt.Sprintf("z%d", zone)
	for other := range s.w.Zones {
		if b := fmt.Sprintf("z%d", other); a != b {
			s.cuts[[2]string{a, b}], s.cuts[[2]string{b, a}] = cut, cut
		}
	}
}

// flap takes a server down and lets it up by turns.
func (s *sim) flap(v *server, turn, until time.Duration) {
	v.stop()
	s.at(min(until, s.now+turn), func() {
		s.startServer(v)
		if s.now+turn < until {
			s.after(turn, func() { s.flap(v, turn, until) })
		}
	})
}

func (s *sim) endNode(n *node, power bool) {
	n.stop(power)
	if power && n.server != nil && n.server.up {
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

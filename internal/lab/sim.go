package lab

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/raft"
	"ivydeck/internal/wire"
)

// sim is one run of a scenario.
type sim struct {
	network
	w       *Scenario
	m       *measures
	cores   []*core
	nodes   []*node
	servers []*server
	views   map[string]*peerView
	index   map[string]int // of nodes, by name
	seeds   []string
	all     []*wire.Member // who is there at the start
	outside machine        // where operators are
	lives   uint64
	tries   uint64
	begun   bool
	burst   []float64 // of the routes' rates
	losses  []float64 // under way

	base, acked uint64 // of the operator's revisions
	pipes       map[[2]*core]*time.Duration
	faults      []string
	faultAt     time.Duration // of the first
	recent      []string      // the last events, for those who look for a cause
}

const (
	maxRecent = 40
	calmEnd   = 8 * time.Second // of a scenario with chaos, in which all has to come back
)

// note keeps an event for the report of a fault.
func (s *sim) note(format string, args ...any) {
	if len(s.recent) >= maxRecent {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, fmt.Sprintf("%9.3f s  ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// broken books that something has happened which never should.
func (s *sim) broken(format string, args ...any) {
	if len(s.faults) == 0 {
		s.faultAt = s.now
	}
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN: %s", text)
	if len(s.faults) < 20 {
		s.faults = append(s.faults, fmt.Sprintf("%.3f s: %s", s.now.Seconds(), text))
	}
}

// must ends the run for an error that no scenario can cause.
func (s *sim) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("lab: at %v: %v", s.now, err))
	}
}

// Run simulates a scenario to its end. The same scenario and seed give the same Result.
func Run(w *Scenario, seed uint64) *Result {
	s := prepare(w, seed)
	s.run(sec(w.Seconds))
	s.atEnd()
	return s.m.result(s, seed)
}

// prepare builds a scenario in which nothing has happened yet.
func prepare(w *Scenario, seed uint64) *sim {
	s := &sim{
		w: w, m: newMeasures(w), views: map[string]*peerView{}, index: map[string]int{},
		pipes:   map[[2]*core]*time.Duration{},
		outside: machine{name: "operator", zone: "z0", up: true, powered: true, incarnation: 1},
	}
	s.network = network{engine: &engine{rng: rand.New(rand.NewPCG(seed, 0x1ab))}, Net: w.Net, cuts: map[[2]string]bool{}}
	s.build()
	for i := range w.Routes {
		s.burst = append(s.burst, 1)
		s.clients(i)
	}
	for _, t := range w.Troubles {
		s.at(sec(t.AtS), func() { s.begin(t) })
	}
	if w.Chaos.EveryS > 0 {
		s.chaos()
	}
	s.operate()
	return s
}

func (s *sim) build() {
	zone := func(i int) string { return fmt.Sprintf("z%d", i%s.w.Zones) }
	for i := range s.w.Cores {
		c := &core{machine: machine{name: fmt.Sprintf("core%d", i), zone: zone(i), core: true}, s: s}
		s.cores = append(s.cores, c)
		s.views[c.name] = &c.peerView
		s.seeds = append(s.seeds, c.name)
	}
	for i := range s.w.Nodes {
		n := &node{machine: machine{name: fmt.Sprintf("node%d", i), zone: zone(i)}}
		n.s = s
		s.nodes = append(s.nodes, n)
		s.index[n.name] = i
		s.views[n.name] = &n.peerView
	}
	at := 0
	for i := range s.w.Services {
		for range s.w.Services[i].Servers {
			v := &server{s: s, kind: &s.w.Services[i], node: s.nodes[at], speed: 1}
			if speeds := v.kind.Speeds; len(speeds) > 0 {
				v.speed = speeds[at%len(speeds)]
			}
			s.nodes[at].server = v
			s.servers = append(s.servers, v)
			at++
		}
	}
	if s.w.Steady {
		for i, c := range s.cores {
			s.all = append(s.all, &wire.Member{Name: c.name, Address: c.name, Zone: c.zone, Core: true, Generation: uint64(i + 1)})
		}
		for i, n := range s.nodes {
			s.all = append(s.all, &wire.Member{Name: n.name, Address: n.name, Zone: n.zone, Generation: uint64(len(s.cores) + i + 1)})
		}
		slices.SortFunc(s.all, func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, c := range s.cores {
		c.start()
	}
	for _, n := range s.nodes {
		n.start()
	}
	for _, v := range s.servers {
		v.start()
	}
}

// tolerated is the number of quorum members that may be lost at one time.
const tolerated = 1

func (s *sim) coreByID(id uint64) *core {
	for _, c := range s.cores {
		if c.disk.ID == id {
			return c
		}
	}
	return nil
}

func (s *sim) lastOf(a, b *core) *time.Duration {
	key := [2]*core{a, b}
	if s.pipes[key] == nil {
		s.pipes[key] = new(time.Duration)
	}
	return s.pipes[key]
}

func (s *sim) route(name string) *Route {
	i := slices.IndexFunc(s.w.Routes, func(r Route) bool { return r.Name == name })
	return &s.w.Routes[i]
}

// begin lets a trouble befall its target, and end in time.
func (s *sim) begin(t Trouble) {
	i := s.w.find(t)
	if t.Share > 0 {
		// Of all servers of the service, at even steps.
		kind := s.servers[i].kind
		for n := range max(1, int(t.Share*float64(kind.Servers)+0.5)) {
			one := t
			one.Share, one.Target = 0, fmt.Sprintf("server %s %d", kind.Name, int(float64(n)/t.Share)%kind.Servers)
			s.begin(one)
		}
		return
	}
	s.note("%s of %s for %g s", t.Kind, t.Target, t.ForS)
	what, _, _ := strings.Cut(t.Target, " ")
	until := s.now + sec(t.ForS)
	later := func(f func()) {
		s.at(until, func() {
			s.note("end of %s of %s", t.Kind, t.Target)
			f()
		})
	}
	if what == "leader" {
		what = "core"
		for n, c := range s.cores {
			if c.up && c.raft.Leads() {
				i = n
			}
		}
	}
	restart := func(c *core) {
		if !c.up {
			c.start()
		}
	}
	switch t.Kind + " " + what {
	case "crash core", "power core":
		c := s.cores[i]
		c.stop(t.Kind == "power")
		later(func() { restart(c) })
	case "wipe core":
		c := s.cores[i]
		c.stop(true)
		c.disk.Wipe()
		later(func() { restart(c) })
	case "crash node", "power node":
		n := s.nodes[i]
		s.endNode(n, t.Kind == "power")
		later(func() { s.startNode(n) })
	case "power zone", "power all":
		in := func(zone string) bool { return what == "all" || zone == fmt.Sprintf("z%d", i) }
		for _, c := range s.cores {
			if in(c.zone) {
				c.stop(true)
			}
		}
		for _, n := range s.nodes {
			if in(n.zone) {
				s.endNode(n, true)
			}
		}
		later(func() {
			for _, c := range s.cores {
				if in(c.zone) {
					restart(c)
				}
			}
			for _, n := range s.nodes {
				if in(n.zone) {
					s.startNode(n)
				}
			}
		})
	case "crash server":
		v := s.servers[i]
		v.stop()
		later(func() { s.startServer(v) })
	case "drain server":
		s.servers[i].drain(until)
		later(func() {})
	case "slow server":
		v := s.servers[i]
		v.slow = max(1, t.Factor)
		later(func() { v.slow = 1 })
	case "grey server":
		v := s.servers[i]
		v.grey = t
		later(func() { v.grey = Trouble{} })
	case "flap server":
		s.flap(s.servers[i], max(time.Second, sec(t.Factor)), until)
	case "stall server":
		s.servers[i].hung = until
		later(func() {})
	case "stall core":
		s.cores[i].stall = until
		later(func() {})
	case "cut core", "cut node":
		m := &s.cores[min(i, len(s.cores)-1)].machine
		if what == "node" {
			m = &s.nodes[i].machine
		}
		m.cut = true
		later(func() { m.cut = false })
	case "cut zone":
		s.split(i, true)
		later(func() { s.split(i, false) })
	case "loss all":
		// Those that overlap do not add up: the transport tries again each time.
		s.losses = append(s.losses, min(0.5, t.Factor))
		s.Loss = max(s.w.Net.Loss, slices.Max(s.losses))
		later(func() {
			i := slices.Index(s.losses, min(0.5, t.Factor))
			s.losses = slices.Delete(s.losses, i, i+1)
			s.Loss = slices.Max(append(s.losses, s.w.Net.Loss))
		})
	case "burst route":
		s.burst[i] *= t.Factor
		later(func() { s.burst[i] /= t.Factor })
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

// whole tells whether all quorum members are voters that have all that was taken.
func (s *sim) whole() bool {
	newest := uint64(0)
	for _, c := range s.cores {
		if !c.up || c.cut || len(c.raft.Peers()) != len(s.cores) || raft.Voters(c.raft.Peers()) != len(s.cores) || !c.raft.Settled() {
			return false
		}
		newest = max(newest, c.raft.Commit())
	}
	return !slices.ContainsFunc(s.cores, func(c *core) bool { return c.raft.Commit() < newest })
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

// atEnd checks what has to hold once all is over.
func (s *sim) atEnd() {
	for _, c := range s.cores {
		if c.up && c.raft.Leads() && s.now-c.raftProof() < time.Second && c.catalog.Revision() < s.acked {
			s.broken("%s leads with revision %d, and %d was acknowledged", c.name, c.catalog.Revision(), s.acked)
		}
	}
}

func (c *core) raftProof() time.Duration { return c.s.now - c.raft.QuorumContactAge(c.s.now) }

// fingerprint is alike for runs that went alike.
func (s *sim) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s.seq, s.tries, s.lives, s.rng.Uint64(), s.m.total)
	return h.Sum64()
}

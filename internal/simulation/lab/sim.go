package lab

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/transport/wire"
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
			s.all = append(s.all, &wire.Member{Name: c.name, Address: c.name, Zone: c.zone, QuorumMember: true, Generation: uint64(i + 1)})
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

// atEnd checks what has to hold once all is over.
func (s *sim) atEnd() {
	for _, c := range s.cores {
		if c.up && c.raft.IsLeader() && s.now-c.raftProof() < time.Second && c.catalog.Revision() < s.acked {
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

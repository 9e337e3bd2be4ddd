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

// sim is one run of a scenario. All of it runs in one goroutine, in events of its
// engine.
type sim struct {
	network
	scenario       *Scenario
	measurements   *measurements
	members        []*quorumMember
	nodes          []*node
	servers        []*server
	views          map[string]*peerView
	index          map[string]int // of nodes, by name
	seeds          []string
	initialMembers []*wire.Member // whom all know at the start of a steady scenario
	outside        machine        // the operator's machine
	incarnations   uint64
	attempts       uint64
	bootstrapped   bool
	burst          []float64 // factor on the rate of each route
	losses         []float64 // shares of segments lost by the faults in force

	baseRevision, ackedRevision uint64                              // of the operator's revisions
	pipes                       map[[2]*quorumMember]*time.Duration // see lastDelivery
	violations                  []string
	firstViolationAt            time.Duration // time of the first violation
	recentEvents                []string      // the last events, reported with violations
}

const (
	maxRecentEvents = 40
	maxViolations   = 20              // that are reported
	chaosFreeEnd    = 8 * time.Second // at the end of a scenario with chaos: everything has to recover
)

// note records an event for the report of a violation.
func (s *sim) note(format string, args ...any) {
	if len(s.recentEvents) >= maxRecentEvents {
		s.recentEvents = append(s.recentEvents[:0], s.recentEvents[1:]...)
	}
	s.recentEvents = append(s.recentEvents, fmt.Sprintf("%9.3f s  ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// violation records that an invariant does not hold.
func (s *sim) violation(format string, args ...any) {
	if len(s.violations) == 0 {
		s.firstViolationAt = s.now
	}
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN: %s", text)
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, fmt.Sprintf("%.3f s: %s", s.now.Seconds(), text))
	}
}

// check panics for an error that no scenario can cause.
func (s *sim) check(err error) {
	if err != nil {
		panic(fmt.Sprintf("lab: at %v: %v", s.now, err))
	}
}

// Run simulates a scenario to its end. The same scenario and seed give the same Result.
func Run(scenario *Scenario, seed uint64) *Result {
	s := prepare(scenario, seed)
	s.run(sec(scenario.Seconds))
	s.checkFinalState()
	return s.measurements.result(s, seed)
}

// prepare builds the mesh of a scenario and schedules its workload and faults.
func prepare(w *Scenario, seed uint64) *sim {
	s := &sim{
		scenario: w, measurements: newMeasurements(w), views: map[string]*peerView{}, index: map[string]int{},
		pipes:   map[[2]*quorumMember]*time.Duration{},
		outside: machine{name: "operator", zone: "z0", up: true, powered: true, incarnation: 1},
	}
	s.network = network{engine: &engine{rng: rand.New(rand.NewPCG(seed, 0x1ab))}, Net: w.Net, partitions: map[[2]string]bool{}}
	s.build()
	for i := range w.Routes {
		s.burst = append(s.burst, 1)
		s.generateRequests(i)
	}
	for _, t := range w.Faults {
		s.at(sec(t.AtS), func() { s.injectFault(t) })
	}
	if w.Chaos.EveryS > 0 {
		s.chaos()
	}
	s.sendConfigs()
	return s
}

// build makes the machines of the scenario and starts them.
func (s *sim) build() {
	s.buildMembers()
	s.buildNodes()
	s.buildServers()
	if s.scenario.Steady {
		s.initialMembers = s.allMembers()
	}
	for _, m := range s.members {
		m.start()
	}
	for _, n := range s.nodes {
		n.start()
	}
	for _, v := range s.servers {
		v.start()
	}
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// zoneOf is the zone of the i-th machine of a kind.
func (s *sim) zoneOf(i int) string { return zoneName(i % s.scenario.Zones) }

func (s *sim) buildMembers() {
	for i := range s.scenario.QuorumMembers {
		m := &quorumMember{s: s, machine: machine{name: fmt.Sprintf("core%d", i), zone: s.zoneOf(i), isQuorumMember: true}}
		s.members = append(s.members, m)
		s.views[m.name] = &m.peerView
		s.seeds = append(s.seeds, m.name)
	}
}

func (s *sim) buildNodes() {
	for i := range s.scenario.Nodes {
		n := &node{machine: machine{name: fmt.Sprintf("node%d", i), zone: s.zoneOf(i)}}
		n.s = s
		s.nodes = append(s.nodes, n)
		s.index[n.name] = i
		s.views[n.name] = &n.peerView
	}
}

// buildServers puts the application servers on the first nodes, one each.
func (s *sim) buildServers() {
	for i := range s.scenario.Services {
		service := &s.scenario.Services[i]
		for range service.Servers {
			at := len(s.servers)
			v := &server{s: s, kind: service, node: s.nodes[at], speed: 1}
			if len(service.Speeds) > 0 {
				v.speed = service.Speeds[at%len(service.Speeds)]
			}
			s.nodes[at].server = v
			s.servers = append(s.servers, v)
		}
	}
}

// allMembers is the membership list of a mesh in which each machine knows all others.
func (s *sim) allMembers() []*wire.Member {
	var list []*wire.Member
	add := func(m *machine) {
		list = append(list, &wire.Member{
			Name: m.name, Address: m.name, Zone: m.zone, QuorumMember: m.isQuorumMember, Generation: uint64(len(list) + 1),
		})
	}
	for _, m := range s.members {
		add(&m.machine)
	}
	for _, n := range s.nodes {
		add(&n.machine)
	}
	slices.SortFunc(list, func(a, b *wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// faultTolerance is the number of quorum members that may be lost at one time.
const faultTolerance = 1

// memberByID returns the quorum member with an id on its disk; nil: there is none.
func (s *sim) memberByID(id uint64) *quorumMember {
	for _, m := range s.members {
		if m.disk.ID == id {
			return m
		}
	}
	return nil
}

// lastDelivery is when the last message from one quorum member to another arrives.
func (s *sim) lastDelivery(from, to *quorumMember) *time.Duration {
	key := [2]*quorumMember{from, to}
	if s.pipes[key] == nil {
		s.pipes[key] = new(time.Duration)
	}
	return s.pipes[key]
}

func (s *sim) route(name string) *Route {
	i := slices.IndexFunc(s.scenario.Routes, func(r Route) bool { return r.Name == name })
	return &s.scenario.Routes[i]
}

// checkFinalState checks the invariants of the end of a run: a leader in contact with a
// quorum has every acknowledged revision.
func (s *sim) checkFinalState() {
	for _, m := range s.members {
		inContact := m.raft.QuorumContactAge(s.now) < time.Second
		if m.up && m.raft.IsLeader() && inContact && m.catalog.Revision() < s.ackedRevision {
			s.violation("%s leads with revision %d, and %d was acknowledged", m.name, m.catalog.Revision(), s.ackedRevision)
		}
	}
}

// fingerprint is a hash of the run: equal for runs with the same events.
func (s *sim) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s.seq, s.attempts, s.incarnations, s.rng.Uint64(), s.measurements.total)
	return h.Sum64()
}

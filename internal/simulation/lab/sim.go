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

// sim is one run of a scenario. It runs in one goroutine, in the events of its engine.
type sim struct {
	network
	scenario        *Scenario
	measurements    *measurements
	members         []*quorumMember
	nodes           []*node
	servers         []*server
	peerViews       map[string]*peerView
	nodeIndexes     map[string]int // index in nodes, by node name
	seeds           []string
	initialMembers  []*wire.Member // membership list of each machine at the start of a steady scenario
	operatorMachine machine        // sends configurations
	incarnations    uint64
	attempts        uint64
	bootstrapped    bool
	rateFactors     []float64 // factor on the request rate of each route
	lossShares      []float64 // shares of the active MessageLoss faults

	baseRevision, ackedRevision uint64                              // base of the operator's next configuration, and the last acknowledged revision
	lastDeliveries              map[[2]*quorumMember]*time.Duration // see lastDelivery
	violations                  []string
	firstViolationAt            time.Duration // simulated time of the first violation
	recentEvents                []string      // the last events, reported with violations
}

const (
	maxRecentEvents = 40
	maxViolations   = 20              // violations in a result
	chaosFreeEnd    = 8 * time.Second // time before the end of a run in which no random fault is active
)

// recordEvent records an event that is reported if there are violations.
func (s *sim) recordEvent(format string, args ...any) {
	if len(s.recentEvents) >= maxRecentEvents {
		s.recentEvents = append(s.recentEvents[:0], s.recentEvents[1:]...)
	}
	s.recentEvents = append(s.recentEvents, fmt.Sprintf("%9.3f s  ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// recordViolation records that an invariant does not hold. Violations past maxViolations are
// only recorded as events.
func (s *sim) recordViolation(format string, args ...any) {
	if len(s.violations) == 0 {
		s.firstViolationAt = s.now
	}
	text := fmt.Sprintf(format, args...)
	s.recordEvent("VIOLATION: %s", text)
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, fmt.Sprintf("%.3f s: %s", s.now.Seconds(), text))
	}
}

// check panics if err is not nil. It is for errors that no scenario can cause.
func (s *sim) check(err error) {
	if err != nil {
		panic(fmt.Sprintf("lab: at %v: %v", s.now, err))
	}
}

// Run simulates a scenario. The same scenario and seed give the same Result.
func Run(scenario *Scenario, seed uint64) *Result {
	s := prepare(scenario, seed)
	s.run(sec(scenario.Seconds))
	s.checkFinalState()
	return s.measurements.result(s, seed)
}

// prepare builds the mesh of a scenario, and schedules the workload and the faults.
func prepare(scenario *Scenario, seed uint64) *sim {
	s := &sim{
		scenario: scenario, measurements: newMeasurements(scenario), peerViews: map[string]*peerView{}, nodeIndexes: map[string]int{},
		lastDeliveries:  map[[2]*quorumMember]*time.Duration{},
		operatorMachine: machine{name: "operator", zone: "z0", up: true, powered: true, incarnation: 1},
	}
	s.network = network{engine: &engine{rng: rand.New(rand.NewPCG(seed, 0x1ab))}, Net: scenario.Net, partitions: map[[2]string]bool{}}
	s.build()
	for i := range scenario.Routes {
		s.rateFactors = append(s.rateFactors, 1)
		s.generateRequests(i)
	}
	for _, fault := range scenario.Faults {
		s.at(sec(fault.AtS), func() { s.injectFault(fault) })
	}
	if scenario.Chaos.EveryS > 0 {
		s.scheduleChaos()
	}
	s.sendConfigs()
	return s
}

// build creates the machines and servers of the scenario and starts them.
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

// zoneOf returns the zone of the i-th quorum member or node.
func (s *sim) zoneOf(i int) string { return zoneName(i % s.scenario.Zones) }

func (s *sim) buildMembers() {
	for i := range s.scenario.QuorumMembers {
		m := &quorumMember{sim: s, machine: machine{name: fmt.Sprintf("core%d", i), zone: s.zoneOf(i), isQuorumMember: true}}
		s.members = append(s.members, m)
		s.peerViews[m.name] = &m.peerView
		s.seeds = append(s.seeds, m.name)
	}
}

func (s *sim) buildNodes() {
	for i := range s.scenario.Nodes {
		n := &node{machine: machine{name: fmt.Sprintf("node%d", i), zone: s.zoneOf(i)}}
		n.sim = s
		s.nodes = append(s.nodes, n)
		s.nodeIndexes[n.name] = i
		s.peerViews[n.name] = &n.peerView
	}
}

// buildServers assigns an application server to each of the first nodes.
func (s *sim) buildServers() {
	for i := range s.scenario.Services {
		service := &s.scenario.Services[i]
		for range service.Servers {
			index := len(s.servers)
			v := &server{sim: s, service: service, node: s.nodes[index], speed: 1}
			if len(service.Speeds) > 0 {
				v.speed = service.Speeds[index%len(service.Speeds)]
			}
			s.nodes[index].server = v
			s.servers = append(s.servers, v)
		}
	}
}

// allMembers returns the membership list with all machines, sorted by name.
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

// faultTolerance is the number of quorum members that may be lost at the same time.
const faultTolerance = 1

// memberByID returns the quorum member with an ID, or nil if there is none.
func (s *sim) memberByID(id uint64) *quorumMember {
	for _, m := range s.members {
		if m.disk.ID == id {
			return m
		}
	}
	return nil
}

// lastDelivery returns the arrival time of the last message from one quorum member to
// another, for stream to read and update.
func (s *sim) lastDelivery(from, to *quorumMember) *time.Duration {
	key := [2]*quorumMember{from, to}
	if s.lastDeliveries[key] == nil {
		s.lastDeliveries[key] = new(time.Duration)
	}
	return s.lastDeliveries[key]
}

func (s *sim) route(name string) *Route {
	i := slices.IndexFunc(s.scenario.Routes, func(r Route) bool { return r.Name == name })
	return &s.scenario.Routes[i]
}

// checkFinalState records a violation if a leader in contact with a quorum lacks an
// acknowledged revision.
func (s *sim) checkFinalState() {
	for _, m := range s.members {
		inContact := m.raft.QuorumContactAge(s.now) < time.Second
		if m.up && m.raft.IsLeader() && inContact && m.catalog.Revision() < s.ackedRevision {
			s.recordViolation("leader %s has revision %d, older than the acknowledged revision %d", m.name, m.catalog.Revision(), s.ackedRevision)
		}
	}
}

// fingerprint returns a hash of the run's state, which is equal for runs with the same
// events.
func (s *sim) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s.seq, s.attempts, s.incarnations, s.rng.Uint64(), s.measurements.total)
	return h.Sum64()
}

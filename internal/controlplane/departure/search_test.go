package departure_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

var (
	seeds     = flag.Int("seeds", 20, "number of simulated runs")
	firstSeed = flag.Uint64("seed", 1, "seed of the first run")
)

const (
	step          = 2 * time.Millisecond
	faultyTime    = 30 * time.Second // of a run
	calmTime      = 6 * time.Second  // after it; then everything recorded must be in the log
	callTimeout   = 700 * time.Millisecond
	diskLossPause = 6 * time.Second // between two losses of disks: only one may be lost at once
	tolerated     = 1
	machines      = 3
	compactAfter  = 10 // entries after which the log is compacted
)

// machine is a simulated quorum member.
type machine struct {
	number int
	disk   simdisk.Disk

	node        *raft.Node // nil while the process is down
	manager     *raft.MembershipManager
	state       *catalog.Catalog
	applied     uint64
	recorder    *departure.Recorder
	unsaved     []func() // responses that wait for the disk
	startAt     time.Duration
	frozenUntil time.Duration
	inbox       []message
}

// message is a delivery to a machine.
type message struct {
	at      time.Duration
	deliver func(*machine)
}

// call is a request to a majority: it records a departure, or looks one up.
type call struct {
	round   *departure.Round
	request *wire.DepartureRequest
	endsAt  time.Duration
	atLeast wire.Departure_Phase // acknowledged before a lookup began
}

type simulation struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	now          time.Duration
	calm         bool
	machines     []*machine
	cut          map[[2]int]bool
	lastWipe     time.Duration
	lastID       uint64
	calls        []*call
	acknowledged map[string]wire.Departure_Phase
	recorded     int // acknowledged without a leader
	lookups      int
	wipes        int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0xdeb)), cut: map[[2]int]bool{}, acknowledged: map[string]wire.Departure_Phase{}}
	data, err := catalog.New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	peers := &wire.Peers{}
	for i := range machines {
		m := &machine{number: i, disk: simdisk.Disk{ID: s.newID(), Hard: &wire.HardState{Term: 1}}}
		s.machines = append(s.machines, m)
		peers.Peers = append(peers.Peers, s.peer(m, true))
	}
	for _, m := range s.machines {
		m.disk.Snap = &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: peers}
		s.start(m)
	}
	return s
}

func (s *simulation) newID() uint64 { s.lastID++; return s.lastID }

func (s *simulation) peer(m *machine, voter bool) *wire.Peer {
	return &wire.Peer{Id: m.disk.ID, Address: fmt.Sprint(m.number), ControlAddress: fmt.Sprint(m.number), Voter: voter}
}

func (s *simulation) start(m *machine) {
	if m.disk.ID == 0 {
		m.disk.ID = s.newID()
	}
	m.state, m.applied = catalog.New(), m.disk.Snap.GetIndex()
	if m.disk.Snap != nil {
		s.restore(m, m.disk.Snap)
	}
	m.node = raft.New(m.disk.ID, m.disk.Hard, m.disk.Snap, slices.Clone(m.disk.Entries), s.rng.Uint64(), s.now)
	m.manager = raft.NewMembershipManager(m.node)
	m.recorder = departure.NewRecorder(m.node, func(member string) wire.Departure_Phase { return m.state.Departure(member) }, m.disk.Departures, m.disk.Entries)
	m.inbox, m.unsaved = nil, nil // the first step saves what the recorder found in the log
}

func (s *simulation) restore(m *machine, snapshot *wire.RaftSnapshot) {
	m.applied = snapshot.Index
	if err := m.state.Restore(snapshot.Data); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) crash(m *machine, down time.Duration) {
	m.disk.Crash(s.rng)
	m.node, m.startAt = nil, s.now+down
}

func (s *simulation) duration(low, high int) time.Duration {
	return time.Duration(low+s.rng.IntN(high-low)) * time.Millisecond
}

// send delivers a message to a machine unless the link is cut or the message is lost.
func (s *simulation) send(from, to int, deliver func(*machine)) {
	if s.cut[[2]int{from, to}] || !s.calm && s.rng.IntN(40) == 0 {
		return
	}
	m := s.machines[to]
	m.inbox = append(m.inbox, message{s.now + s.duration(1, 8), deliver})
}

// run runs one step of a machine.
func (s *simulation) run(m *machine) {
	if m.node == nil && s.now >= m.startAt {
		s.start(m)
	}
	if m.node == nil || m.frozenUntil > s.now {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, received := range inbox {
		if received.at > s.now {
			m.inbox = append(m.inbox, received)
		} else {
			received.deliver(m)
		}
	}
	m.node.Tick(s.now)
	s.manageMembership(m)
	s.saveDepartures(m)
	if m.node == nil {
		return
	}
	if forward := m.recorder.Offer(s.now); forward != nil {
		leader := m.node.Leader()
		for _, other := range s.machines {
			if other.disk.ID == leader {
				request := &wire.DepartureRequest{Target: leader, Record: forward}
				s.send(m.number, other.number, func(receiver *machine) { receiver.recorder.Accept(s.now, request) })
			}
		}
	}
	s.flush(m)
}

// saveDepartures writes departures to the disk and sends the responses. The machine may lose power before the disk has them.
func (s *simulation) saveDepartures(m *machine) {
	if unsaved := m.recorder.Unsaved(); unsaved != nil {
		m.disk.WriteDepartures(unsaved)
		if !s.calm && s.rng.IntN(200) == 0 {
			s.crash(m, s.duration(100, 2000))
			return
		}
		m.disk.Sync()
		m.recorder.Saved()
	}
	for _, respond := range m.unsaved {
		respond()
	}
	m.unsaved = nil
}

func (s *simulation) manageMembership(m *machine) {
	addresses := func() (list []string) {
		for i := range s.machines {
			list = append(list, fmt.Sprint(i))
		}
		return list
	}
	self := s.peer(m, false)
	actions := m.manager.Tick(s.now, self, raft.WantedVoters(tolerated, machines), addresses)
	if actions.Propose.Next != nil {
		m.node.ProposeMembership(s.now, actions.Propose.Next) // the manager repeats a change that fails
	}
	for _, address := range actions.JoinAt {
		s.join(m, self, address)
	}
}

func (s *simulation) join(m *machine, self *wire.Peer, address string) {
	to := int(address[0] - '0')
	if to == m.number {
		return
	}
	s.send(m.number, to, func(other *machine) {
		change, response := other.manager.HandleJoin(s.now, self)
		if change.Next != nil {
			other.node.ProposeMembership(s.now, change.Next)
		}
		s.send(to, m.number, func(joining *machine) {
			if joining.disk.ID == self.Id {
				if leader := joining.manager.HandleJoinResponse(response); leader != "" && leader != address {
					s.join(joining, self, leader)
				}
			}
		})
	})
}

// flush processes the output of the consensus.
func (s *simulation) flush(m *machine) {
	for {
		ready := m.node.Ready()
		if ready.Empty() {
			return
		}
		m.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
		if !s.calm && s.rng.IntN(3000) == 0 {
			s.crash(m, s.duration(100, 2000))
			return
		}
		m.disk.Sync()
		if ready.Snapshot != nil {
			s.restore(m, ready.Snapshot)
		}
		if n := len(ready.Entries); n > 0 {
			m.node.StableTo(ready.Entries[n-1].Index)
		}
		for _, raftMessage := range ready.Messages {
			for _, to := range s.machines {
				if to.disk.ID == raftMessage.To {
					copied := proto.CloneOf(raftMessage)
					s.send(m.number, to.number, func(receiver *machine) { receiver.node.Step(s.now, copied) })
				}
			}
		}
		for _, entry := range ready.CommittedEntries {
			s.apply(m, entry)
		}
		m.recorder.Applied()
		if m.node.Backlog() > compactAfter {
			s.compact(m)
		}
	}
}

func (s *simulation) apply(m *machine, entry *wire.Entry) {
	m.applied = entry.Index
	if entry.Kind != wire.Entry_COMMAND {
		return
	}
	command := new(wire.Command)
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		s.t.Fatal(err)
	}
	m.state.Apply(command)
}

func (s *simulation) compact(m *machine) {
	data, err := m.state.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	if snapshot := m.node.Compact(m.applied, data); snapshot != nil {
		m.disk.Compact(snapshot)
	}
}

// begin starts a call at a random machine that is up, which asks the voters as Server.askVoters does.
func (s *simulation) begin(request *wire.DepartureRequest, atLeast wire.Departure_Phase) {
	m := s.machines[s.rng.IntN(machines)]
	if m.node == nil || m.frozenUntil > s.now || len(request.Record) > 0 && raft.Voters(m.node.Peers()) < raft.MinAckVoters(tolerated, machines) {
		return
	}
	c := &call{round: departure.NewRound(m.node.Peers()), request: request, endsAt: s.now + callTimeout, atLeast: atLeast}
	s.calls = append(s.calls, c)
	s.ask(c, m.number)
}

func (s *simulation) ask(c *call, from int) {
	targets := c.round.Next()
	slices.SortFunc(targets, func(a, b departure.Target) int { return int(a.ID) - int(b.ID) })
	for _, target := range targets {
		to := int(target.Address[0] - '0')
		addressed := &wire.DepartureRequest{Target: target.ID, Record: c.request.Record, Lookup: c.request.Lookup}
		s.send(from, to, func(m *machine) {
			if !m.recorder.Accept(s.now, addressed) {
				return
			}
			m.unsaved = append(m.unsaved, func() {
				response := m.recorder.Response(addressed)
				s.send(to, from, func(*machine) {
					if s.now < c.endsAt {
						c.round.Add(target.ID, response)
						s.ask(c, from)
					}
				})
			})
		})
	}
}

// finishCalls checks the calls that have the responses of a majority.
func (s *simulation) finishCalls() {
	s.calls = slices.DeleteFunc(s.calls, func(c *call) bool {
		if !c.round.Complete() {
			return s.now >= c.endsAt
		}
		s.finish(c)
		return true
	})
}

func (s *simulation) finish(c *call) {
	for _, d := range c.request.Record {
		s.acknowledged[d.Member] = max(s.acknowledged[d.Member], d.Phase)
		if !slices.ContainsFunc(s.machines, func(m *machine) bool { return m.node != nil && m.node.IsLeader() }) {
			s.recorded++
		}
	}
	for _, member := range c.request.Lookup {
		s.lookups++
		found := departure.NewSet(c.round.Found()).Phase(member)
		if found < c.atLeast {
			s.t.Fatalf("seed %d: %v: a majority knows phase %v of %s, but %v was acknowledged", s.seed, s.now, found, member, c.atLeast)
		}
	}
}

// traffic begins calls: more often soon after a fault.
func (s *simulation) traffic() {
	if s.rng.IntN(8) > 0 {
		return
	}
	member := fmt.Sprint("i-", s.rng.IntN(1+int(s.now/(500*time.Millisecond))))
	if s.rng.IntN(2) == 0 {
		phase := wire.Departure_Phase(1 + s.rng.IntN(2))
		s.begin(&wire.DepartureRequest{Record: []*wire.Departure{{Member: member, Phase: phase}}}, 0)
		return
	}
	s.begin(&wire.DepartureRequest{Lookup: []string{member}}, s.acknowledged[member])
}

// fault injects kills of any number of processes, freezes, cuts, and the loss of one disk at a time.
func (s *simulation) fault() {
	m := s.machines[s.rng.IntN(machines)]
	for _, other := range s.machines {
		if other.node != nil && other.node.IsLeader() && s.rng.IntN(2) == 0 {
			m = other
		}
	}
	switch s.rng.IntN(1200) {
	case 0, 1, 2:
		s.crash(m, s.duration(50, 2500))
	case 3:
		for _, other := range s.machines {
			s.crash(other, s.duration(50, 1500))
		}
	case 4, 5:
		m.frozenUntil = s.now + s.duration(100, 2500)
	case 6, 7:
		for other := range s.machines {
			s.cut[[2]int{m.number, other}], s.cut[[2]int{other, m.number}] = true, s.rng.IntN(3) > 0
		}
	case 8, 9, 10, 11:
		clear(s.cut)
	case 12, 13:
		if s.now-s.lastWipe > diskLossPause && s.settled() {
			s.lastWipe, s.wipes = s.now, s.wipes+1
			s.crash(m, s.duration(50, 500))
			m.disk.Wipe()
		}
	}
}

// settled reports whether the disk that was lost last has been replaced: all machines are voters with the same log.
func (s *simulation) settled() bool {
	for _, m := range s.machines {
		if m.node == nil || raft.Voters(m.node.Peers()) < machines || !m.node.MembershipCommitted() || m.applied < s.machines[0].applied {
			return false
		}
		for _, other := range s.machines {
			if !slices.ContainsFunc(m.node.Peers(), func(p *wire.Peer) bool { return p.Id == other.disk.ID && p.Voter }) {
				return false
			}
		}
	}
	return true
}

func (s *simulation) step() {
	s.now += step
	for _, m := range s.machines {
		s.run(m)
	}
	s.finishCalls()
}

// TestSearchOfDepartures guards against an acknowledged departure that a later lookup does not find, through kills of the whole
// quorum, frozen and partitioned members, and replaced disks, with a leader or without.
// To run more seeds: go test ./internal/controlplane/departure -run Search -seeds 2000
func TestSearchOfDepartures(t *testing.T) {
	recorded, lookups, acknowledged, wipes := 0, 0, 0, 0
	for i := range *seeds {
		s := newSimulation(t, *firstSeed+uint64(i))
		for s.now < faultyTime {
			s.fault()
			s.traffic()
			s.step()
		}
		s.calm = true
		clear(s.cut)
		for s.now < faultyTime+calmTime {
			s.step()
		}
		for member, phase := range s.acknowledged {
			for _, m := range s.machines {
				if m.node == nil || m.state.Departure(member) < phase {
					t.Fatalf("seed %d: the replicated state of machine %d lacks the departure of %s", s.seed, m.number, member)
				}
			}
		}
		recorded, lookups, acknowledged, wipes = recorded+s.recorded, lookups+s.lookups, acknowledged+len(s.acknowledged), wipes+s.wipes
	}
	t.Logf("%d departures, %d requests recorded without a leader, %d lookups, %d lost disks", acknowledged, recorded, lookups, wipes)
	if recorded < *seeds || lookups < 100**seeds || wipes == 0 {
		t.Errorf("too few cases: %d recorded without a leader, %d lookups, %d lost disks in %d runs", recorded, lookups, wipes, *seeds)
	}
}

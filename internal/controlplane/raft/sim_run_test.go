package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

// simStep is the simulated time between two turns of a member's driver.
const simStep = 5 * time.Millisecond

// simMember is a quorum member: its disk, and while it runs its node and its state machine.
type simMember struct {
	number      int
	disk        simdisk.Disk
	node        *Node            // nil: down
	state       *catalog.Catalog // what the log keeps, as in service
	applied     uint64
	skew        time.Duration // of its clock
	frozenUntil time.Duration
	downUntil   time.Duration
	syncTime    time.Duration  // that a synced write takes
	senders     map[uint64]int // where the sender of a message stands, by identity
	reads       map[uint64]*operation
	writes      map[uint64]proposal // by index
	inbox       []parcel
	reconciled  time.Duration // when its upkeep of the members last ran
	led         bool
	transfers   map[uint64]sentSnapshot // the last, by the receiver's identity
	fallsAt     time.Duration           // it loses its power then; 0: it does not
}

// sentSnapshot is a snapshot that a leader has begun to send.
type sentSnapshot struct {
	index, term uint64
	at          time.Duration
}

// parcel is a message under way.
type parcel struct {
	at      time.Duration
	from    int
	message *wire.RaftMessage
}

// profile is what a seed draws for its whole run.
type profile struct {
	members   int
	batch     int  // entries in a message
	backlog   int  // entries behind a snapshot before the next is taken
	tail      int  // entries kept in front of it
	churn     bool // voters come and go without need
	hasty     bool // one leader after another falls within some messages' time
	late      bool // some messages arrive again, seconds later
	slowDisks bool // of one member after another
}

func drawProfile(rng *rand.Rand) profile {
	p := profile{batch: []int{maxMessageEntries, 1, 2}[rng.IntN(3)], churn: rng.IntN(3) == 0, members: 3 + rng.IntN(2)}
	if p.hasty = !p.churn && rng.IntN(2) == 0; p.hasty {
		p.batch = 1
	}
	if p.churn {
		p.members = 5
	}
	p.backlog, p.tail = []int{40, 15, 5}[rng.IntN(3)], []int{0, 8, tailEntries}[rng.IntN(3)]
	p.late, p.slowDisks = rng.IntN(3) == 0, rng.IntN(4) == 0
	return p
}

// simulation is a run of members, clients and faults in simulated time. The same seed gives the same run.
type simulation struct {
	profile
	rng     *rand.Rand
	now     time.Duration
	members []*simMember
	cut     map[[2]int]bool // links on which nothing passes
	nextID  uint64
	wipes   int
	calm    bool // nothing fails any more
	clients clients
	checks  checks
}

func newSimulation(rng *rand.Rand) *simulation {
	return &simulation{rng: rng, profile: profile{batch: maxMessageEntries, backlog: 40}, cut: map[[2]int]bool{}, clients: newClients(), checks: newChecks()}
}

// simulate plays one seed: faults from the fourth second on, and calm for the last twelve.
func simulate(seed uint64, length time.Duration) *simulation {
	w := newSimulation(rand.New(rand.NewPCG(seed, 3)))
	w.profile = drawProfile(w.rng)
	w.begin()
	for ; w.now < length && w.checks.broken == ""; w.now += simStep {
		w.calm = w.now > length-12*time.Second // so that what was acknowledged is read at the end
		if w.calm {
			clear(w.cut)
		} else if w.now > 3*time.Second {
			w.drawFault()
		}
		w.callClients()
		for _, m := range w.members {
			w.turnOf(m)
		}
	}
	return w
}

// begin starts all members; the first of them begins the quorum, which the others join.
func (w *simulation) begin() {
	for i := range w.profile.members {
		m := &simMember{number: i, disk: simdisk.Disk{Tail: w.tail}}
		w.members = append(w.members, m)
		if i == 0 {
			w.nextID = 1
			m.disk = simdisk.Disk{Tail: w.tail, ID: 1, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{
				Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 1, Address: "0", Voter: true}}}}}
		}
		w.start(m)
	}
}

// start begins a member's process, from what is on its disk.
func (w *simulation) start(m *simMember) {
	if m.disk.ID == 0 {
		w.nextID++
		m.disk.ID = w.nextID
	}
	m.node = New(m.disk.ID, m.disk.Hard, m.disk.Snap, slices.Clone(m.disk.Entries), w.rng.Uint64(), w.now+m.skew)
	m.node.maxBatchEntries = w.batch
	m.node.SetRetention(m.disk.Tail, catchUpEntries)
	m.restore(m.disk.Snap)
	m.led = false
	m.reads, m.writes = map[uint64]*operation{}, map[uint64]proposal{}
	m.senders, m.transfers, m.inbox = map[uint64]int{}, map[uint64]sentSnapshot{}, nil
}

// crash takes a member's power away for some time.
func (w *simulation) crash(m *simMember, down time.Duration) {
	m.disk.Crash(w.rng)
	m.node, m.downUntil = nil, w.now+down
}

// turnOf is one turn of a member's driver: messages, time, upkeep, output.
func (w *simulation) turnOf(m *simMember) {
	if m.node == nil {
		if w.now >= m.downUntil {
			w.start(m)
		}
		return
	}
	if m.fallsAt > 0 && w.now >= m.fallsAt {
		m.fallsAt = 0
		w.crash(m, w.span(20, 400))
		return
	}
	if m.frozenUntil > w.now {
		return
	}
	w.receive(m)
	m.node.Tick(w.now + m.skew)
	w.checks.leader(w.now, m)
	if w.now-m.reconciled > 250*time.Millisecond || m.node.IsLeader() && !m.led {
		m.reconciled = w.now
		w.reconcile(m)
	}
	w.settle(m)
}

// receive hands a member the messages that are due.
func (w *simulation) receive(m *simMember) {
	due := m.inbox[:0:0]
	rest := m.inbox[:0]
	for _, p := range m.inbox {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	m.inbox = rest
	for _, p := range due {
		if !w.cut[[2]int{p.from, m.number}] {
			m.senders[p.message.From] = p.from
			m.node.Step(w.now+m.skew, p.message)
		}
	}
}

// settle carries out a member's output; it may lose power at any point.
func (w *simulation) settle(m *simMember) {
	for m.node != nil {
		o := m.node.Ready()
		if o.Empty() {
			return
		}
		if !w.save(m, &o) {
			return
		}
		for _, message := range o.Messages {
			w.checks.transfer(w.now, m, message)
			w.send(m, message)
		}
		for _, e := range o.CommittedEntries {
			w.apply(m, e)
		}
		for _, r := range o.ReadStates {
			w.answerRead(m, r)
		}
		w.compact(m)
	}
}

// save writes what has to be on disk. It reports false where the member lost its power meanwhile.
func (w *simulation) save(m *simMember, o *Ready) bool {
	hard := o.HardState
	if *loseVotes {
		hard = nil
	}
	m.disk.Write(o.Snapshot, hard, o.Entries)
	if w.rng.IntN(3000) == 0 {
		w.crash(m, w.span(500, 3000)) // before the sync has returned
		return false
	}
	m.disk.Sync()
	if m.syncTime > 0 && len(o.Entries) > 0 {
		m.node.ObserveSync(m.syncTime)
		m.frozenUntil = w.now + m.syncTime
	}
	if o.Snapshot != nil {
		w.checks.install(w.now, m, o.Snapshot)
		m.restore(o.Snapshot)
	}
	if n := len(o.Entries); n > 0 {
		m.node.StableTo(o.Entries[n-1].Index)
	}
	if w.rng.IntN(3000) == 0 {
		w.crash(m, w.span(500, 3000)) // after the sync, before anybody knows
		return false
	}
	return true
}

// send puts a message on its way: it may be lost, arrive twice, or arrive again much later.
func (w *simulation) send(m *simMember, message *wire.RaftMessage) {
	to, ok := w.find(message.To, m)
	if !ok || w.cut[[2]int{m.number, to}] || w.rng.IntN(50) == 0 {
		return
	}
	post := func(delay time.Duration) {
		w.members[to].inbox = append(w.members[to].inbox, parcel{w.now + delay, m.number, proto.CloneOf(message)})
	}
	for range 1 + w.rng.IntN(30)/29 {
		post(w.span(1, 30))
	}
	if w.late && !w.calm && w.rng.IntN(40) == 0 {
		post(w.span(200, 5000))
	}
}

// find returns where the member of an identity stands.
func (w *simulation) find(id uint64, from *simMember) (int, bool) {
	for i, m := range w.members {
		if m.disk.ID == id {
			return i, true
		}
	}
	n, ok := from.senders[id]
	return n, ok
}

// apply hands a committed entry to the member's state machine.
func (w *simulation) apply(m *simMember, e *wire.Entry) {
	if e.Index != m.applied+1 {
		panic(fmt.Sprintf("member %d applies %d after %d", m.number, e.Index, m.applied))
	}
	m.applied = e.Index
	verdict := applyCommand(m.state, e)
	w.checks.apply(w.now, m, e, verdict)
	if p, ok := m.writes[e.Index]; ok {
		delete(m.writes, e.Index)
		if p.term == e.Term {
			w.finish(p.operation, verdict)
		}
	}
}

// compact takes a snapshot once enough entries stand behind the last.
func (w *simulation) compact(m *simMember) {
	if m.node.Backlog() <= w.backlog {
		return
	}
	data, err := m.state.Snapshot()
	if err != nil {
		panic(err)
	}
	w.checks.snapshot(w.now, m, data)
	first := m.node.First()
	if s := m.node.Compact(m.applied, data); s != nil {
		w.checks.tail(w.now, m, first, w.tail)
		m.disk.Compact(s)
	}
}

// restore takes the state of a snapshot, which may be that of a node without one.
func (m *simMember) restore(s *wire.RaftSnapshot) {
	m.state, m.applied = catalog.New(), s.GetIndex()
	if len(s.GetData()) > 0 {
		if err := m.state.Restore(s.Data); err != nil {
			panic(err)
		}
	}
}

// span draws a time between two numbers of milliseconds.
func (w *simulation) span(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

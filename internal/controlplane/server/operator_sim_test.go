package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

var (
	simSeeds = flag.Int("seeds", 40, "simulated runs of the operators' interface")
	simFirst = flag.Uint64("seed", 1, "the first of them")
)

const (
	simStep     = 2 * time.Millisecond
	simSilence  = time.Second // after which an operator goes on to another member
	simFollows  = 2           // redirects that an operator follows
	simSnapshot = 12          // entries after which the log is compacted
)

// simFiller is what configurations have in common, so that the log holds differences.
var simFiller = strings.Repeat("service", 60)

// simMember is a quorum member: its disk, and while it runs the consensus, the state, and the operator's interface as in
// service.
type simMember struct {
	number   int
	disk     simdisk.Disk
	node     *raft.Node // nil: down
	state    *catalog.Catalog
	requests *requestQueue
	api      operatorRequests
	applied  uint64
	startAt  time.Duration // while it is down
	dark     bool          // while it is down its address is silent; else connections are refused
	frozen   time.Duration // until then
	inbox    []simMessage
}

type simMessage struct {
	arrives time.Duration
	from    int // a member, or operatorSide
	raft    *wire.RaftMessage
	deliver func() // what an operator sends
}

// operatorSide is where operators stand, for links that are cut.
const operatorSide = -1

// operation is what an operator wants done: a read or a change, with all its sends.
type operation struct {
	operator int
	base     uint64
	revision uint64 // 0: a read
	body     []byte
	identity string // of the configuration: two may have one revision
	again    bool   // it was acknowledged before
	call     time.Duration
	finish   time.Duration // -1: there was no clear answer
	result   OperatorResult
	read     string // the identity of what was read

	send      int           // number of the send that is under way
	member    int           // that it was sent to
	silentAt  time.Duration // when that one is given up
	nextAt    time.Duration // when the next one begins; 0: one is under way
	pause     time.Duration
	redirects int
	resent    bool
}

// operatorSim is a quorum with its operators.
type operatorSim struct {
	rng         *rand.Rand
	now         time.Duration
	members     []*simMember
	cut         map[[2]int]bool
	operations  []*operation
	open        []*operation
	known       []uint64 // by operator: the newest revision that it has seen
	newest      uint64   // of all that was acknowledged
	ids         int
	ackLoss     float64
	perOperator int
	memory      int // accepted changes that members remember; 0: as in service
	calm        bool
	quiet       bool   // no new changes, until a restore
	backup      []byte // to be restored at the end of this turn
	backupTerm  uint64
	restored    int
	counts      map[OperatorResult]int
	resends     int
}

func newOperatorSim(seed uint64, members, operators int) *operatorSim {
	w := &operatorSim{rng: rand.New(rand.NewPCG(seed, 17)), cut: map[[2]int]bool{}, known: make([]uint64, operators), counts: map[OperatorResult]int{}, perOperator: 3}
	empty, err := catalog.New().Snapshot()
	if err != nil {
		panic(err)
	}
	for i := range members {
		w.members = append(w.members, &simMember{number: i})
	}
	w.install(empty, 1)
	return w
}

// install starts all members as a new quorum with one state.
func (w *operatorSim) install(data []byte, term uint64) {
	peers := &wire.Peers{}
	for i := range w.members {
		w.ids++
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(w.ids), Address: fmt.Sprint(i), ControlAddress: fmt.Sprint(i), Voter: true})
	}
	for i, m := range w.members {
		m.disk = simdisk.Disk{Tail: 6 * (i % 2), ID: peers.Peers[i].Id, Hard: &wire.HardState{Term: term}, Snap: &wire.RaftSnapshot{Term: term, Index: 1, Peers: peers, Data: data}}
		w.start(m)
	}
}

func (w *operatorSim) start(m *simMember) {
	m.node = raft.New(m.disk.ID, m.disk.Hard, m.disk.Snap, slices.Clone(m.disk.Entries), w.rng.Uint64(), w.now)
	m.node.SetRetention(m.disk.Tail, 8*m.disk.Tail)
	m.restore(m.disk.Snap, w.memory)
	m.requests = newRequestQueue(m.node, func() int { return min(3, len(w.members)) }, w.now)
	m.api = operatorRequests{requests: m.requests, state: func() backup.Backup {
		return backup.Backup{Term: m.node.Term(), Index: m.applied, State: m.state}
	}}
	m.inbox = nil
}

func (m *simMember) restore(s *wire.RaftSnapshot, memory int) {
	m.state, m.applied = catalog.New(), s.Index
	m.state.SetAcceptedLimit(memory)
	if err := m.state.Restore(s.Data); err != nil {
		panic(err)
	}
}

func (w *operatorSim) crash(m *simMember, down time.Duration, dark bool) {
	m.disk.Crash(w.rng)
	m.node, m.startAt, m.dark = nil, w.now+down, dark
	for _, o := range w.open {
		if !dark && o.nextAt == 0 && o.member == m.number {
			o.silentAt = min(o.silentAt, w.now+w.span(1, 12)) // its connection is reset
		}
	}
}

func (w *operatorSim) span(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

// flush carries out a member's output, as the loop in service does. It may lose power before or after a sync.
func (w *operatorSim) flush(m *simMember) {
	for m.node != nil {
		out := m.node.Ready()
		if out.Empty() {
			return
		}
		m.disk.Write(out.Snapshot, out.HardState, out.Entries)
		if !w.calm && w.rng.IntN(4000) == 0 {
			w.crash(m, w.span(300, 3000), w.rng.IntN(2) == 0)
			return
		}
		m.disk.Sync()
		if !w.calm && w.rng.IntN(4000) == 0 {
			w.crash(m, w.span(300, 3000), w.rng.IntN(2) == 0)
			return
		}
		if out.Snapshot != nil {
			m.restore(out.Snapshot, w.memory)
		}
		if len(out.Entries) > 0 {
			m.node.StableTo(out.Entries[len(out.Entries)-1].Index)
		}
		for _, message := range out.Messages {
			w.post(m, message)
		}
		for _, e := range out.CommittedEntries {
			m.applied = e.Index
			update, verdict := applyEntry(m.state, e)
			m.requests.applied(e, update != nil, verdict)
		}
		for _, r := range out.ReadStates {
			m.requests.confirmed(r)
		}
		if m.node.Backlog() > simSnapshot {
			w.compact(m)
		}
	}
}

func (w *operatorSim) compact(m *simMember) {
	data, err := m.state.Snapshot()
	if err != nil {
		panic(err)
	}
	if s := m.node.Compact(m.applied, data); s != nil {
		m.disk.Compact(s)
	}
}

func (w *operatorSim) post(from *simMember, message *wire.RaftMessage) {
	for _, to := range w.members {
		if to.disk.ID == message.To && !w.cut[[2]int{from.number, to.number}] && (w.calm || w.rng.IntN(60) > 0) {
			to.inbox = append(to.inbox, simMessage{arrives: w.now + w.span(1, 8), from: from.number, raft: proto.CloneOf(message)})
		}
	}
}

// run lets a member do what it has to do now.
func (w *operatorSim) run(m *simMember) {
	if m.node == nil {
		if w.now >= m.startAt {
			w.start(m)
		}
		return
	}
	if m.frozen > w.now {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		switch {
		case message.arrives > w.now:
			m.inbox = append(m.inbox, message)
		case message.raft != nil:
			m.node.Step(w.now, message.raft)
		default:
			message.deliver()
		}
	}
	m.node.Tick(w.now)
	m.requests.tick(w.now)
	w.flush(m)
}

// step is one turn of the world.
func (w *operatorSim) step() {
	w.now += simStep
	for _, m := range w.members {
		w.run(m)
	}
	for _, o := range slices.Clone(w.open) {
		w.drive(o)
	}
	if w.backup != nil {
		w.install(w.backup, w.backupTerm)
		w.backup = nil
	}
}

// drive sends an operation, and gives a send up after a silence.
func (w *operatorSim) drive(o *operation) {
	switch {
	case o.nextAt > 0 && w.now >= o.nextAt:
		o.redirects = 0
		w.sendTo(o, w.rng.IntN(len(w.members)))
	case o.nextAt == 0 && w.now >= o.silentAt:
		w.retry(o)
	}
}

// retry sends an operation again after a pause that grows.
func (w *operatorSim) retry(o *operation) {
	o.pause = min(2*o.pause, time.Second)
	o.send++ // an answer to the send before is not read any more
	o.nextAt = w.now + o.pause
	if !o.resent && o.revision > 0 {
		o.resent = true
		w.resends++
	}
	if !w.calm && w.rng.IntN(25) == 0 || o.again && o.send > 10 {
		w.close(o) // the operator gives up; of what was acknowledged long ago, nothing may be known any more
	}
}

func (w *operatorSim) close(o *operation) {
	w.open = slices.DeleteFunc(w.open, func(p *operation) bool { return p == o })
}

// sendTo sends an operation to a member. It is read there when it gets there, however late.
func (w *operatorSim) sendTo(o *operation, number int) {
	o.send++
	o.nextAt, o.silentAt, o.member = 0, w.now+simSilence, number
	send, m := o.send, w.members[number]
	if w.cut[[2]int{operatorSide, number}] {
		return
	}
	arrives := w.now + w.span(1, 12)
	if m.node == nil {
		if !m.dark {
			o.silentAt = arrives // refused
		}
		return
	}
	answer := func(a OperatorAnswer) { w.answer(o, send, number, a) }
	m.inbox = append(m.inbox, simMessage{arrives: arrives, from: operatorSide, deliver: func() {
		deadline := w.now + operatorTimeout
		if o.revision == 0 {
			m.api.read(w.now, deadline, answer)
		} else {
			replacement, err := parseReplacement(m.state.Current(), o.base, o.body)
			if err != nil {
				answer(OperatorAnswer{Result: Invalid})
				return
			}
			m.api.replace(w.now, deadline, replacement, answer)
		}
	}})
}

// answer brings an answer to the operator, unless it is lost or comes too late.
func (w *operatorSim) answer(o *operation, send, member int, a OperatorAnswer) {
	if o.send != send || w.cut[[2]int{member, operatorSide}] {
		return
	}
	w.counts[a.Result]++
	switch a.Result {
	case Unavailable:
		w.retry(o)
	case Redirected:
		if o.redirects++; o.redirects > simFollows {
			w.retry(o)
			return
		}
		number := 0
		fmt.Sscan(a.Leader.ControlAddress, &number)
		w.sendTo(o, number)
	default:
		if w.rng.Float64() < w.ackLoss {
			return
		}
		w.finish(o, a)
	}
}

func (w *operatorSim) finish(o *operation, a OperatorAnswer) {
	o.finish, o.result = w.now, a.Result
	w.close(o)
	switch a.Result {
	case AlreadyAccepted:
		o.result = Accepted
		fallthrough
	case Accepted:
		w.known[o.operator] = max(w.known[o.operator], o.revision)
		w.newest = max(w.newest, o.revision)
	case Found:
		config, err := meshconfig.Parse(a.Body)
		if err != nil {
			panic(err)
		}
		o.read = config.Backends[0].Name
		w.known[o.operator] = config.Revision
	}
}

// newOperation is a read, to be begun now.
func (w *operatorSim) newOperation(operator int) *operation {
	return &operation{operator: operator, call: w.now, finish: -1, nextAt: w.now, pause: 50 * time.Millisecond, base: w.known[operator]}
}

// begin starts an operation of an operator.
func (w *operatorSim) begin(operator int) {
	o := w.newOperation(operator)
	switch odds := w.rng.IntN(20); {
	case odds < 6:
	case odds < 8 && len(w.operations) > 0: // one that was acknowledged, again
		old := w.operations[w.rng.IntN(len(w.operations))]
		if old.revision == 0 || old.finish < 0 || old.result != Accepted {
			return
		}
		o.base, o.revision, o.body, o.identity, o.again = old.base, old.revision, old.body, old.identity, true
	case odds < 9 && o.base > 0: // an old version
		w.describe(o, o.base-uint64(w.rng.IntN(2))*(o.base-1))
	default: // others may pick the same number
		w.describe(o, o.base+1+uint64(w.rng.IntN(2)))
	}
	w.operations = append(w.operations, o)
	w.open = append(w.open, o)
}

// describe makes an operation a change with a configuration of its own.
func (w *operatorSim) describe(o *operation, revision uint64) {
	w.ids++
	o.revision, o.identity = revision, fmt.Sprintf("%d/%d", revision, w.ids)
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: revision, Backends: []meshconfig.Backend{{Name: o.identity}, {Name: simFiller}}})
	if err != nil {
		panic(err)
	}
	o.body = body
}

// trouble lets something fail now and then; mostly it is the leader that is hit.
func (w *operatorSim) trouble() {
	m := w.members[w.rng.IntN(len(w.members))]
	for _, other := range w.members {
		if other.node != nil && other.node.IsLeader() && w.rng.IntN(2) == 0 {
			m = other
		}
	}
	switch w.rng.IntN(3000) {
	case 0, 1, 2:
		if m.node != nil {
			w.crash(m, w.span(100, 3000), w.rng.IntN(2) == 0)
		}
	case 3:
		for _, m := range w.members {
			w.crash(m, w.span(300, 1500), true)
		}
	case 4, 5, 6: // from the others, on both sides or on one
		back := w.rng.IntN(3) > 0
		for other := range w.members {
			w.cut[[2]int{m.number, other}], w.cut[[2]int{other, m.number}] = true, back
		}
	case 7, 8: // from the operators, with what they send or with the answers
		w.cut[[2]int{m.number, operatorSide}] = true
		w.cut[[2]int{operatorSide, m.number}] = w.rng.IntN(2) == 0
	case 9, 10:
		m.frozen = w.now + w.span(200, 2500)
	case 11, 12, 13, 14, 15:
		clear(w.cut)
	}
}

// restore makes a new quorum out of a backup, once nothing has been accepted since it was taken.
func (w *operatorSim) restore() {
	for _, m := range w.members {
		if m.node == nil || !m.node.IsLeader() {
			continue
		}
		m.api.backup(w.now, w.now+operatorTimeout, func(a OperatorAnswer) {
			if a.Result != Found || len(w.open) > 0 {
				return
			}
			b, err := backup.Decode(a.Body)
			if err != nil {
				panic(err)
			}
			data, err := b.State.Snapshot()
			if err != nil {
				panic(err)
			}
			w.restored, w.quiet = w.restored+1, false
			w.backup, w.backupTerm = data, b.Term+5
		})
		return
	}
}

package raft

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/catalog"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/simdisk"
	"ivydeck/internal/wire"
)

var (
	seeds    = flag.Int("seeds", 40, "simulated worlds to play")
	firstOne = flag.Uint64("seed", 1, "the first of them")
	// Breaks of the harness's own, to see that the checker finds them.
	loseVotes = flag.Bool("lose-votes", false, "do not put votes on disk")
	keepID    = flag.Bool("keep-id", false, "let a wiped machine keep its identity and vote")
)

// machine is a core machine: its disk, and while it runs its core and its state.
type machine struct {
	n       int
	disk    simdisk.Disk
	core    *Node
	state   *catalog.Catalog // what the log keeps, as in service
	applied uint64
	skew    time.Duration // of its clock
	frozen  time.Duration // until then
	downTil time.Duration
	heard   map[uint64]int // where a sender of messages stands
	reads   map[uint64]*op
	writes  map[uint64]*op // by index
	inbox   []parcel
	managed time.Duration
	led     bool
	fallAt  time.Duration // it loses its power then; 0: it does not
}

type parcel struct {
	at   time.Duration
	from int
	m    *wire.Raft
}

// op is one call of a client.
type op struct {
	client     int
	base, next string // a write; next empty: a read
	term       uint64
	call, ret  time.Duration
	result     string // "ok", "stale", or what was read; empty: not known
}

type world struct {
	rng      *rand.Rand
	now      time.Duration
	machines []*machine
	cut      map[[2]int]bool
	token    uint64
	history  []*op
	pending  map[int]*op // by client
	lastSeen map[int]string
	nextID   uint64
	wipes    int
	resent   int
	agreed   map[uint64]uint64 // term of the entry that was applied at an index
	split    string            // two machines have applied different entries
	batch    int               // entries in a message
	calm     bool              // nothing fails any more
	churn    bool              // voters come and go without need
	hasty    bool              // one leader after another falls within some messages' time
}

func (w *world) start(m *machine) {
	if m.disk.ID == 0 {
		w.nextID++
		m.disk.ID = w.nextID
	}
	m.core = New(m.disk.ID, m.disk.Hard, m.disk.Snap, slices.Clone(m.disk.Entries), w.rng.Uint64(), w.now+m.skew)
	m.core.batch = w.batch
	m.core.Retain(m.disk.Tail)
	m.restore(m.disk.Snap)
	m.led = false
	m.reads, m.writes, m.heard, m.inbox = map[uint64]*op{}, map[uint64]*op{}, map[uint64]int{}, nil
}

func (w *world) crash(m *machine, down time.Duration) {
	m.disk.Crash(w.rng)
	m.core, m.downTil = nil, w.now+down
}

func (w *world) at(id uint64, from *machine) (int, bool) {
	for i, m := range w.machines {
		if m.disk.ID == id {
			return i, true
		}
	}
	n, ok := from.heard[id]
	return n, ok
}

// settle carries out a machine's output; it may lose power at any point.
func (w *world) settle(m *machine) {
	for m.core != nil {
		o := m.core.Take()
		if o.Empty() {
			return
		}
		hard := o.Hard
		if *loseVotes {
			hard = nil
		}
		m.disk.Write(o.Snapshot, hard, o.Entries)
		if w.rng.IntN(3000) == 0 {
			w.crash(m, w.span(500, 3000)) // before the sync has returned
			return
		}
		m.disk.Sync()
		if o.Snapshot != nil {
			m.restore(o.Snapshot)
		}
		if n := len(o.Entries); n > 0 {
			m.core.Stable(o.Entries[n-1].Index)
		}
		if w.rng.IntN(3000) == 0 {
			w.crash(m, w.span(500, 3000)) // after the sync, before anybody knows
			return
		}
		for _, msg := range o.Messages {
			to, ok := w.at(msg.To, m)
			if !ok || w.cut[[2]int{m.n, to}] || w.rng.IntN(50) == 0 {
				continue
			}
			for range 1 + w.rng.IntN(30)/29 { // now and then twice
				w.machines[to].inbox = append(w.machines[to].inbox, parcel{w.now + w.span(1, 30), m.n, proto.CloneOf(msg)})
			}
		}
		for _, e := range o.Committed {
			w.apply(m, e)
		}
		for _, r := range o.Reads {
			if op := m.reads[r.Token]; op != nil {
				delete(m.reads, r.Token)
				if r.OK && m.applied >= r.Index {
					w.finish(op, m.value())
				}
			}
		}
		if m.core.Backlog() > 40 {
			data, err := m.state.Snapshot()
			if err != nil {
				panic(err)
			}
			if s := m.core.Compact(m.applied, data); s != nil {
				m.disk.Compact(s)
			}
		}
	}
}

func (w *world) apply(m *machine, e *wire.Entry) {
	if e.Index != m.applied+1 {
		panic(fmt.Sprintf("machine %d applies %d after %d", m.n, e.Index, m.applied))
	}
	m.applied = e.Index
	if term, ok := w.agreed[e.Index]; ok && term != e.Term {
		w.split = fmt.Sprintf("at %v machine %d applies entry %d of term %d, and another applied that of term %d", w.now, m.n, e.Index, e.Term, term)
	}
	w.agreed[e.Index] = e.Term
	verdict := ""
	if e.Kind == wire.Entry_COMMAND {
		cmd := new(wire.Command)
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			panic(err)
		}
		switch _, err := m.state.Apply(cmd); {
		case err == nil:
			verdict = "ok"
		case errors.Is(err, catalog.ErrStale):
			verdict = "stale"
		default:
			panic(err)
		}
	}
	if op := m.writes[e.Index]; op != nil {
		delete(m.writes, e.Index)
		if op.term == e.Term {
			w.finish(op, verdict)
		}
	}
}

// restore takes the state of a snapshot, which may be that of a core without one.
func (m *machine) restore(s *wire.RaftSnapshot) {
	m.state, m.applied = catalog.New(), s.GetIndex()
	if len(s.GetData()) > 0 {
		if err := m.state.Restore(s.Data); err != nil {
			panic(err)
		}
	}
}

// value is the revision in force; empty: none.
func (m *machine) value() string {
	if r := m.state.Revision(); r > 0 {
		return strconv.FormatUint(r, 10)
	}
	return ""
}

// configuration is a small valid one.
func configuration(revision string) []byte {
	n, err := strconv.Atoi(revision)
	if err != nil {
		panic(err)
	}
	body, err := msgpack.Marshal(&meshconfig.Config{Revision: uint64(n), Backends: []meshconfig.Backend{{Name: "s"}}})
	if err != nil {
		panic(err)
	}
	return body
}

func (w *world) finish(o *op, result string) {
	if w.pending[o.client] == o {
		o.ret, o.result = w.now, result
		delete(w.pending, o.client)
		if o.next == "" {
			w.lastSeen[o.client] = result
		} else if result == "ok" {
			w.lastSeen[o.client] = o.next
		}
	}
}

func (w *world) span(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

// manage is the leader's upkeep of its members, as the control plane does it.
func (w *world) manage(m *machine) {
	now := w.now + m.skew
	if !m.core.Leads() {
		m.led = false
		return
	}
	if !m.led {
		m.led = true
		if odds := w.rng.IntN(4); !w.calm && (odds == 0 || w.hasty && odds < 3) { // many a leader does not live long
			m.fallAt = w.now + w.span(0, 100)
			if w.hasty {
				m.fallAt = w.now + w.span(0, 40)
			}
			return
		}
	}
	for _, other := range w.machines { // those that ask to join
		if other.core != nil && !w.cut[[2]int{other.n, m.n}] {
			if move, member := m.core.Joining(&wire.Peer{Id: other.disk.ID, Address: fmt.Sprint(other.n)}); !member {
				m.heard[other.disk.ID] = other.n
				m.core.Change(now, move.Next)
				return
			}
		}
	}
	if w.rng.IntN(12) == 0 && m.core.HandOver(now) { // its process is to end, say
		return
	}
	peers := slices.Clone(m.core.Peers())
	if w.churn && w.rng.IntN(2) == 0 {
		for range 2 { // what is refused, as another change is under way, does no harm
			i := w.rng.IntN(len(peers))
			if voters := Voters(peers); peers[i].Voter && voters <= 3 || !peers[i].Voter && voters >= 5 {
				continue
			}
			next := slices.Clone(peers)
			next[i] = &wire.Peer{Id: peers[i].Id, Address: peers[i].Address, Voter: !peers[i].Voter}
			if m.core.Change(now, next) == nil {
				peers = next
			}
		}
		return
	}
	if move := m.core.Reconcile(3); move.Next != nil {
		m.core.Change(now, move.Next)
	}
}

// client begins a call at a machine, or gives one up. A change without a clear answer is sent again unchanged, to
// whoever leads or believes that it does; the first may still happen.
func (w *world) client(c int) {
	var again *op
	if o := w.pending[c]; o != nil {
		if w.now-o.call < w.span(300, 2500) {
			return
		}
		delete(w.pending, c)
		if again = o; o.next == "" || w.rng.IntN(4) == 0 {
			return
		}
	}
	var leaders []*machine // more than one may believe that it is
	for _, m := range w.machines {
		if m.core != nil && m.frozen <= w.now && m.core.Leads() {
			leaders = append(leaders, m)
		}
	}
	if len(leaders) == 0 {
		return
	}
	m := leaders[w.rng.IntN(len(leaders))]
	o := &op{client: c, call: w.now, ret: -1}
	now := w.now + m.skew
	if again == nil && w.rng.IntN(2) == 0 {
		w.token++
		m.reads[w.token] = o
		m.core.Read(now, w.token)
	} else {
		if Voters(m.core.Peers()) < 3 {
			return
		}
		if again != nil {
			o.base, o.next = again.base, again.next
			w.resent++
		} else {
			w.nextID++
			o.base, o.next = w.lastSeen[c], strconv.FormatUint(w.nextID, 10)
		}
		base, _ := strconv.ParseUint(o.base, 10, 64)
		data, err := proto.Marshal(&wire.Command{What: &wire.Command_Config{
			Config: &wire.PutConfig{Base: base, Body: configuration(o.next)}}})
		if err != nil {
			panic(err)
		}
		index, term, err := m.core.Propose(now, data)
		if err != nil {
			return
		}
		o.term = term
		m.writes[index] = o
	}
	w.pending[c] = o
	w.history = append(w.history, o)
}

// trouble lets something fail now and then. No more is lost for good at a time
// than may be: a disk goes only while all others are members with the whole log.
func (w *world) trouble() {
	any := w.rng.IntN(len(w.machines)) // the leader as often as any other
	for i, m := range w.machines {
		if m.core != nil && m.core.Leads() && w.rng.IntN(2) == 0 {
			any = i
		}
	}
	switch w.rng.IntN(1600) { // of 5 ms each
	case 0, 1:
		if m := w.machines[any]; m.core != nil {
			w.crash(m, w.span(200, 4000))
		}
	case 2:
		for _, m := range w.machines { // all power
			w.crash(m, w.span(500, 1500))
		}
	case 3, 4, 15, 16, 17:
		a := any
		for b := range w.machines { // one side hears, or nobody does
			w.cut[[2]int{a, b}] = true
			w.cut[[2]int{b, a}] = w.rng.IntN(3) > 0
		}
	case 12, 13, 14: // two parts
		side := map[int]bool{}
		for b := range w.machines {
			side[b] = w.rng.IntN(2) == 0
		}
		for a := range w.machines {
			for b := range w.machines {
				w.cut[[2]int{a, b}] = side[a] != side[b]
			}
		}
	case 5, 6, 7:
		clear(w.cut)
	case 8:
		w.machines[any].frozen = w.now + w.span(500, 6000)
	case 9:
		w.machines[w.rng.IntN(len(w.machines))].skew += w.span(0, 3000)
	case 10, 11:
		w.wipe(w.machines[any])
	}
}

// wipe takes a disk away, right behind what was acknowledged at times. It waits
// until the members are the machines that there are, so that it is the one loss that
// is to be borne; what the others lag behind is theirs to catch up.
func (w *world) wipe(m *machine) {
	for _, lead := range w.machines {
		if lead.core == nil || !lead.core.Leads() || !lead.core.Settled() || lead.core.QuorumContactAge(w.now+lead.skew) > Heartbeat {
			continue
		}
		peers := lead.core.Peers()
		for _, o := range w.machines {
			if !slices.ContainsFunc(peers, func(p *wire.Peer) bool { return p.Id == o.disk.ID && p.Voter }) {
				return
			}
		}
		if len(peers) != len(w.machines) {
			return
		}
		id := m.disk.ID
		w.crash(m, w.span(100, 2000))
		m.disk.Wipe()
		if *keepID {
			m.disk.ID = id
		}
		w.wipes++
		return
	}
}

// operators is the history's model: a configuration with compare and set, in which one that was taken is taken again
// without effect. Its state holds all that was taken, which a resend may meet at any time.
var operators = porcupine.Model{
	Init: func() any { return held{taken: ","} },
	Step: func(state, in, out any) (bool, any) {
		h, o, result := state.(held), in.(*op), out.(string)
		known := strings.Contains(h.taken, ","+o.next+",")
		after := h
		if !known && h.value == o.base {
			after = held{o.next, h.taken + o.next + ","}
		}
		switch {
		case o.next == "":
			return result == h.value, h
		case result == "ok":
			return known || h.value == o.base, after
		case result == "stale":
			return !known && h.value != o.base, h
		}
		return true, after // not known: it may have been taken
	},
}

// held is the model's state.
type held struct {
	value string
	taken string // each behind a comma
}

func play(seed uint64, length time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), cut: map[[2]int]bool{}, pending: map[int]*op{}, lastSeen: map[int]string{}, agreed: map[uint64]uint64{}}
	w.batch = []int{maxEntries, 1, 2}[w.rng.IntN(3)]
	w.churn = w.rng.IntN(3) == 0
	if w.hasty = !w.churn && w.rng.IntN(2) == 0; w.hasty {
		w.batch = 1
	}
	count := 3 + w.rng.IntN(2)
	if w.churn {
		count = 5
	}
	for i := range count {
		m := &machine{n: i}
		m.disk.Tail = []int{0, 8, tailEntries}[seed%3]
		w.machines = append(w.machines, m)
		if i == 0 {
			w.nextID = 1
			m.disk = simdisk.Disk{Tail: m.disk.Tail, ID: 1, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{
				Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 1, Address: "0", Voter: true}}}}}
		}
		w.start(m)
	}
	const step = 5 * time.Millisecond
	for ; w.now < length; w.now += step {
		w.calm = w.now > length-12*time.Second // so that what was acknowledged is read at the end
		if w.calm {
			clear(w.cut)
		} else if w.now > 3*time.Second {
			w.trouble()
		}
		for c := range 4 {
			if w.rng.IntN(8) == 0 {
				w.client(c)
			}
		}
		for _, m := range w.machines {
			if m.core == nil {
				if w.now >= m.downTil {
					w.start(m)
				}
				continue
			}
			if m.fallAt > 0 && w.now >= m.fallAt {
				m.fallAt = 0
				w.crash(m, w.span(20, 400))
				continue
			}
			if m.frozen > w.now {
				continue
			}
			now := w.now + m.skew
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
				if !w.cut[[2]int{p.from, m.n}] && m.core != nil {
					m.heard[p.m.From] = p.from
					m.core.Step(now, p.m)
				}
			}
			m.core.Tick(now)
			if w.now-m.managed > 250*time.Millisecond || m.core.Leads() && !m.led {
				m.managed = w.now
				w.manage(m)
			}
			w.settle(m)
		}
	}
	return w
}

// TestHistoriesAreLinearizable plays worlds with crashes, lost disks, cuts, frozen
// machines and clocks that step, and checks what clients saw.
func TestHistoriesAreLinearizable(t *testing.T) {
	answered, wipes, resent := 0, 0, 0
	for i := range *seeds {
		seed := *firstOne + uint64(i)
		w := play(seed, 45*time.Second)
		var ops []porcupine.Operation
		late := false
		for _, o := range w.history {
			ret := int64(o.ret)
			if o.ret < 0 && o.next == "" {
				continue // a read that was never answered says nothing
			}
			if o.ret < 0 {
				ret = int64(time.Hour)
			} else {
				answered++
				late = late || o.call > 38*time.Second
			}
			ops = append(ops, porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.call), Output: o.result, Return: ret})
		}
		wipes += w.wipes
		resent += w.resent
		if !late {
			t.Errorf("seed %d: nothing was answered after the troubles had ended", seed)
		}
		if w.split != "" {
			t.Errorf("seed %d: %s", seed, w.split)
		}
		if porcupine.CheckOperationsTimeout(operators, ops, 20*time.Second) == porcupine.Illegal {
			t.Errorf("seed %d: the history is not linearizable (go test -run Linearizable -seed %d -seeds 1)", seed, seed)
		}
	}
	if answered < 50**seeds || *seeds >= 10 && (wipes == 0 || resent < *seeds) {
		t.Errorf("%d calls answered, %d sent again and %d disks lost in %d worlds: hardly a test", answered, resent, wipes, *seeds)
	}
	t.Logf("%d calls answered, %d sent again, %d disks lost", answered, resent, wipes)
}

// ready is a core of n voters with a log of one entry, in a world without troubles.
func ready(n int, seed uint64) *world {
	w := &world{batch: maxEntries, rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]int]bool{}, pending: map[int]*op{}, lastSeen: map[int]string{}, agreed: map[uint64]uint64{}}
	peers := &wire.Peers{}
	for i := range n {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(i + 1), Address: fmt.Sprint(i), Voter: true})
	}
	for i := range n {
		m := &machine{n: i, disk: simdisk.Disk{ID: uint64(i + 1), Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		w.machines = append(w.machines, m)
		w.start(m)
	}
	return w
}

// turn is one millisecond in which nothing fails, and a message takes as long.
func (w *world) turn() {
	w.now += time.Millisecond
	for _, m := range w.machines {
		if m.core == nil {
			continue
		}
		for len(m.inbox) > 0 && m.inbox[0].at <= w.now {
			m.core.Step(w.now, m.inbox[0].m)
			m.inbox = m.inbox[1:]
		}
		m.core.Tick(w.now)
		for o := m.core.Take(); !o.Empty(); o = m.core.Take() {
			m.disk.Write(o.Snapshot, o.Hard, o.Entries)
			m.disk.Sync()
			if n := len(o.Entries); n > 0 {
				m.core.Stable(o.Entries[n-1].Index)
			}
			for _, msg := range o.Messages {
				if to := w.machines[msg.To-1]; !w.cut[[2]int{m.n, to.n}] {
					to.inbox = append(to.inbox, parcel{w.now + time.Millisecond, m.n, msg})
				}
			}
		}
	}
}

// leader is the machine that leads in the newest term; nil: none does.
func (w *world) leader() (lead *machine) {
	for _, m := range w.machines {
		if m.core != nil && m.core.Leads() && (lead == nil || m.core.Term() > lead.core.Term()) {
			lead = m
		}
	}
	return lead
}

// TestElectionAfterLoss measures how long a core of three is without a leader
// after it has lost its own.
func TestElectionAfterLoss(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(*seeds) {
		w := ready(3, seed)
		for w.now < 4*time.Second || w.leader() == nil {
			w.turn()
		}
		w.leader().core = nil
		lost := w.now
		for w.now < 30*time.Second && w.leader() == nil {
			w.turn()
		}
		if w.leader() != nil {
			times = append(times, w.now-lost)
		}
	}
	slices.Sort(times)
	if len(times) < *seeds {
		t.Fatalf("%d of %d cores had a new leader", len(times), *seeds)
	}
	p50, p99 := times[len(times)/2], times[len(times)*99/100]
	t.Logf("a new leader after %v (p50), %v (p99)", p50, p99)
	if p99 > time.Second {
		t.Errorf("the 99th percentile is %v", p99)
	}
}

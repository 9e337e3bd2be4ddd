// Package modelcheck plays the consensus in every way that some bounds allow: each message may arrive at any time or never,
// each machine may fall silent, lose its memory or its disk. It runs package raft's own code, breadth first, and keeps a
// hash of each state that it has met, so that it ends; the first broken property comes with a shortest way there.
//
// A link keeps its messages in order, and holds the newest few: those in front are lost, as may be any. What can't have an
// effect any more is taken off it. So what a simulation finds by luck is found for sure within the bounds, and what lies
// beyond them, such as messages that overtake each other, is the simulation's.
package modelcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivydeck/internal/raft"
	"ivydeck/internal/wire"
)

// Bounds limit what may happen in one history.
type Bounds struct {
	Machines  int    // voters at the start
	Terms     uint64 // the newest that may be reached
	Proposals int    // commands put into the log
	Reads     int
	Beats     int // of leaders, without need
	Crashes   int // each loses what is not on disk
	Wipes     int // each loses the disk, and comes back under a new identity
	Changes   int // of the members, by leaders
	Compacts  int // snapshots taken
	Handovers int
	Link      int  // messages under way from one machine to another, at most
	Batch     int  // entries in one message, at most; 0: as in service
	Old       bool // messages of a term before their receiver's stay on their links
	LoseVotes bool // a break on purpose: votes do not reach the disk
	States    int  // no more are looked at; 0: no bound
}

// Set is bounds with a name.
type Set struct {
	Name string
	Bounds
}

// Named are bounds that together cover what the core does, each within a minute.
var Named = []Set{
	{"elections", Bounds{Machines: 3, Terms: 4, Link: 1}},
	{"log", Bounds{Machines: 3, Terms: 3, Link: 1, Proposals: 1}},
	{"order", Bounds{Machines: 3, Terms: 2, Link: 2, Proposals: 2}},
	{"reads", Bounds{Machines: 3, Terms: 3, Link: 1, Proposals: 1, Reads: 1, States: 800_000}},
	{"crashes", Bounds{Machines: 3, Terms: 3, Link: 1, Crashes: 1}},
	{"members", Bounds{Machines: 3, Terms: 3, Link: 1, Changes: 2, States: 800_000}},
	{"disks", Bounds{Machines: 3, Terms: 3, Link: 1, Changes: 1, Wipes: 1, States: 800_000}},
	{"snapshots", Bounds{Machines: 3, Terms: 3, Link: 1, Proposals: 1, Compacts: 1, States: 800_000}},
	{"cut", Bounds{Machines: 3, Terms: 4, Link: 1, Batch: 1, States: 800_000}},
	{"late", Bounds{Machines: 3, Terms: 3, Link: 1, Old: true, States: 800_000}},
	{"handover", Bounds{Machines: 3, Terms: 3, Link: 1, Proposals: 1, Handovers: 1, States: 800_000}},
}

// Result is what a search came to.
type Result struct {
	States   int // different ones, alike by renaming machines being one
	Steps    int // ways from one to another
	Depth    int // of the longest shortest way
	Complete bool
	Took     time.Duration
	Broken   string   // the first property that does not hold; empty: all hold
	Trace    []string // a shortest way there
}

// quiet is the time after which a voter forgets a leader that it has heard.
const quiet = 300 * time.Millisecond

// machine is one of the core; shared between states until it moves.
type machine struct {
	life    uint64 // of its disk: its identity is its number and this
	hard    *wire.HardState
	snap    *wire.RaftSnapshot
	entries []*wire.Entry
	core    *raft.Node // nil: down
	clock   time.Duration
	applied uint64
	asked   []uint64          // what each read has to see, by token
	mine    map[uint64]uint64 // terms of its own proposals that wait, by index
}

// history is what has happened that properties speak of.
type history struct {
	leads  map[uint64]uint64 // identity of the leader, by term
	agreed []entry           // applied entries, from index 2 on
	acked  uint64            // newest index that a client was told of
}

type entry struct {
	term uint64
	data string
	in   uint64 // the term in which it was first applied
}

// state is one state of the whole core.
type state struct {
	machines []*machine
	net      [][]*wire.Raft // by link, from*machines+to
	history  *history
	left     Bounds // what may still happen
	action   string
	broken   string
}

const machinesMost = 8

// id is the identity that a machine has in its present life: identities tell the machine.
func id(n int, life uint64) uint64 { return uint64(n+1) + machinesMost*life }

func machineOf(id uint64) int { return int((id - 1) % machinesMost) }

func begin(b Bounds) *state {
	peers := &wire.Peers{}
	for i := range b.Machines {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: id(i, 0), Address: strconv.Itoa(i), Voter: true})
	}
	s := &state{history: &history{leads: map[uint64]uint64{}}, left: b, net: make([][]*wire.Raft, b.Machines*b.Machines)}
	for i := range b.Machines {
		m := &machine{hard: &wire.HardState{Term: 1}, snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}
		m.start(i, b.Batch)
		s.machines = append(s.machines, m)
	}
	return s
}

func (m *machine) start(n, batch int) {
	m.core = raft.New(id(n, m.life), m.hard, m.snap, slices.Clone(m.entries), 1, m.clock)
	m.core.Batch(batch)
	m.applied = m.snap.GetIndex()
	m.asked, m.mine = nil, map[uint64]uint64{}
}

// step returns what follows when f happens at a machine.
func (s *state) step(n int, action string, f func(next *state, m *machine)) *state {
	next := &state{
		machines: slices.Clone(s.machines), net: slices.Clone(s.net), history: s.history, left: s.left, action: action,
	}
	m := *s.machines[n]
	if m.core != nil {
		m.core = m.core.Clone()
	}
	m.entries, m.asked, m.mine = slices.Clone(m.entries), slices.Clone(m.asked), maps.Clone(m.mine)
	next.machines[n] = &m
	f(next, &m)
	next.settle(n, &m)
	next.sweep(n, &m)
	return next
}

// breaks notes the first property that does not hold.
func (s *state) breaks(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf(format, args...)
	}
}

// settle is the driver: disk first, then messages, then what is committed, then reads.
func (s *state) settle(n int, m *machine) {
	for m.core != nil {
		o := m.core.Take()
		if o.Empty() {
			break
		}
		if o.Snapshot != nil {
			m.snap, m.entries = o.Snapshot, nil
			m.applied = o.Snapshot.Index
		}
		if o.Hard != nil && !s.left.LoseVotes {
			m.hard = o.Hard
		}
		for _, e := range o.Entries {
			m.entries = append(m.entries[:e.Index-m.snap.GetIndex()-1], e)
		}
		if k := len(o.Entries); k > 0 {
			m.core.Stable(o.Entries[k-1].Index)
		}
		for _, msg := range o.Messages {
			s.send(msg)
		}
		for _, e := range o.Committed {
			s.apply(n, m, e)
		}
		for _, r := range o.Reads {
			if want := m.asked[r.Token]; r.OK && r.Index < want {
				s.breaks("machine %d reads up to entry %d, and entry %d had been acknowledged before it was asked", n, r.Index, want)
			}
		}
	}
	if m.core == nil || !m.core.Leads() {
		return
	}
	me := m.core.ID()
	switch other, known := s.history.leads[m.core.Term()]; {
	case known && other != me:
		s.breaks("machines %d and %d lead in term %d", machineOf(other), n, m.core.Term())
	case !known:
		h := s.own()
		h.leads[m.core.Term()] = me
		for i, e := range h.agreed { // what was applied before is in the log of whoever leads later
			index := uint64(i) + 2
			if index > m.snap.GetIndex() && e.in < m.core.Term() && !m.holds(index, e.term) {
				s.breaks("machine %d leads in term %d without entry %d of term %d, which was applied in term %d", n, m.core.Term(), index, e.term, e.in)
			}
		}
	}
}

func (m *machine) holds(index, term uint64) bool {
	at := index - m.snap.GetIndex() - 1
	return at < uint64(len(m.entries)) && m.entries[at].Term == term
}

// own gives the state a history of its own.
func (s *state) own() *history {
	s.history = &history{leads: maps.Clone(s.history.leads), agreed: slices.Clone(s.history.agreed), acked: s.history.acked}
	return s.history
}

func (s *state) apply(n int, m *machine, e *wire.Entry) {
	if e.Index != m.applied+1 {
		s.breaks("machine %d applies entry %d after %d", n, e.Index, m.applied)
		return
	}
	m.applied = e.Index
	mine := entry{e.Term, string(e.Data), m.core.Term()}
	switch at := int(e.Index) - 2; {
	case at == len(s.history.agreed):
		h := s.own()
		h.agreed = append(h.agreed, mine)
	case at > len(s.history.agreed):
		s.breaks("machine %d applies entry %d before anybody has applied the one in front of it", n, e.Index)
	case s.history.agreed[at].term != e.Term || s.history.agreed[at].data != string(e.Data):
		s.breaks("machine %d applies entry %d of term %d, and another has applied that of term %d", n, e.Index, e.Term, s.history.agreed[at].term)
	}
	if term, ok := m.mine[e.Index]; ok {
		delete(m.mine, e.Index)
		if term == e.Term && e.Index > s.history.acked {
			s.own().acked = e.Index
		}
	}
}

// send puts a message on its link.
func (s *state) send(m *wire.Raft) {
	if m.To == 0 || machineOf(m.To) >= len(s.machines) {
		return
	}
	at := machineOf(m.From)*len(s.machines) + machineOf(m.To)
	link := append(slices.Clone(s.net[at]), m)
	s.net[at] = link[max(0, len(link)-max(1, s.left.Link)):]
}

// sweep takes messages off their links that are for an earlier life of a machine's disk, or of a term before its own: those
// could only tell their senders of the newer term, and count as lost.
func (s *state) sweep(n int, m *machine) {
	if m.core == nil {
		return
	}
	me, term := m.core.ID(), m.core.Term()
	for from := range s.machines {
		at := from*len(s.machines) + n
		dead := func(q *wire.Raft) bool { return q.To != me || q.Term < term && !s.left.Old }
		if slices.ContainsFunc(s.net[at], dead) {
			s.net[at] = slices.DeleteFunc(slices.Clone(s.net[at]), dead)
		}
	}
}

// next returns all that may follow.
func (s *state) next() []*state {
	var list []*state
	add := func(n int, action string, f func(next *state, m *machine)) {
		if next := s.step(n, action, f); next.within() {
			list = append(list, next)
		}
	}
	for at, link := range s.net {
		if len(link) == 0 {
			continue
		}
		msg, n := link[0], at%len(s.machines)
		what := fmt.Sprintf("%s of term %d from %d to %d", msg.Kind, msg.Term, machineOf(msg.From), n)
		if len(link) > 1 || s.machines[n].core == nil {
			add(n, what+" is lost", func(next *state, _ *machine) { next.net[at] = link[1:] })
		}
		if s.machines[n].core == nil {
			continue
		}
		add(n, what, func(next *state, m *machine) {
			next.net[at] = link[1:]
			if msg.Kind == wire.Raft_VOTE { // a voter that hears its leader gives none, which is as if this were lost
				m.clock += quiet
			}
			m.core.Step(m.clock, msg)
		})
	}
	for n, m := range s.machines {
		if m.core == nil {
			add(n, fmt.Sprintf("%d starts", n), func(_ *state, m *machine) { m.start(n, s.left.Batch) })
			continue
		}
		if !m.core.Leads() {
			add(n, fmt.Sprintf("%d wants to lead", n), func(_ *state, m *machine) { m.core.Campaign(m.clock) })
		}
		if s.left.Crashes > 0 {
			add(n, fmt.Sprintf("%d crashes", n), func(next *state, m *machine) {
				next.left.Crashes--
				m.core = nil
			})
		}
		if s.left.Wipes > 0 && s.whole() {
			add(n, fmt.Sprintf("%d loses its disk", n), func(next *state, m *machine) {
				next.left.Wipes--
				*m = machine{life: m.life + 1, clock: m.clock}
			})
		}
		if s.left.Compacts > 0 && m.applied > m.snap.GetIndex() {
			add(n, fmt.Sprintf("%d takes a snapshot", n), func(next *state, m *machine) {
				next.left.Compacts--
				if snap := m.core.Compact(m.applied, nil); snap != nil {
					m.entries = m.entries[snap.Index-m.snap.GetIndex():]
					m.snap = snap
				}
			})
		}
		if !m.core.Leads() {
			continue
		}
		if s.left.Beats > 0 {
			add(n, fmt.Sprintf("%d beats", n), func(next *state, m *machine) {
				next.left.Beats--
				m.clock += raft.Heartbeat
				m.core.Tick(m.clock)
			})
		}
		if s.left.Proposals > 0 {
			add(n, fmt.Sprintf("%d takes a change", n), func(next *state, m *machine) {
				data := strconv.Itoa(next.left.Proposals)
				next.left.Proposals--
				if index, term, err := m.core.Propose(m.clock, []byte(data)); err == nil {
					m.mine[index] = term
				}
			})
		}
		if s.left.Reads > 0 {
			add(n, fmt.Sprintf("%d is asked for what is in force", n), func(next *state, m *machine) {
				next.left.Reads--
				m.asked = append(m.asked, s.history.acked)
				m.core.Read(m.clock, uint64(len(m.asked)-1))
			})
		}
		if s.left.Handovers > 0 {
			add(n, fmt.Sprintf("%d hands the lead over", n), func(next *state, m *machine) {
				next.left.Handovers--
				m.core.HandOver(m.clock)
			})
		}
		if s.left.Changes > 0 {
			for _, c := range s.changes(m.core) {
				add(n, fmt.Sprintf("%d proposes %s", n, c.what), func(next *state, m *machine) {
					next.left.Changes--
					m.core.Change(m.clock, c.peers)
				})
			}
		}
	}
	return list
}

// whole tells whether the loss of a disk is the one that is to be borne: all machines are there, under their first
// identities, and vote.
func (s *state) whole() bool {
	for _, m := range s.machines {
		if m.life > 0 || m.core == nil || raft.Voters(m.core.Peers()) < len(s.machines) {
			return false
		}
	}
	return true
}

type change struct {
	what  string
	peers []*wire.Peer
}

// changes are the sets of members that a leader may propose: one voter less, one more, or a machine that has lost its
// disk taken in.
func (s *state) changes(c *raft.Node) []change {
	var list []change
	peers := c.Peers()
	for i, p := range peers {
		next := slices.Clone(peers)
		next[i] = &wire.Peer{Id: p.Id, Address: p.Address, Voter: !p.Voter}
		if raft.Voters(next) > 0 {
			list = append(list, change{fmt.Sprintf("that %d votes: %v", machineOf(p.Id), !p.Voter), next})
		}
	}
	for n, m := range s.machines {
		if m.core == nil {
			continue
		}
		if move, member := c.Joining(&wire.Peer{Id: id(n, m.life), Address: strconv.Itoa(n)}); !member {
			list = append(list, change{fmt.Sprintf("to take %d in", n), move.Next})
		}
	}
	return list
}

// within tells whether the state keeps to the bounds.
func (s *state) within() bool {
	for _, m := range s.machines {
		if m.core != nil && m.core.Term() > s.left.Terms {
			return false
		}
	}
	return true
}

// key is a hash of the state, alike for states that differ by the machines' names alone.
func (s *state) key() uint64 {
	n := len(s.machines)
	own := make([][]byte, n)
	for i, m := range s.machines { // as seen from itself, whatever the others are called
		own[i] = m.append(nil, i, func(x uint64) uint64 {
			switch {
			case x == 0:
				return 0
			case machineOf(x) == i:
				return 1 + (x-1)/machinesMost*2
			}
			return 2 + (x-1)/machinesMost*2
		})
	}
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return bytes.Compare(own[a], own[b]) })
	best := []byte(nil)
	permute(order, 0, func(a, b int) bool { return bytes.Equal(own[a], own[b]) }, func(order []int) {
		if b := s.append(order); best == nil || bytes.Compare(b, best) < 0 {
			best = b
		}
	})
	return xxhash.Sum64(best)
}

// permute calls f with all orders that differ by places that are alike.
func permute(order []int, from int, alike func(a, b int) bool, f func([]int)) {
	if from == len(order) {
		f(order)
		return
	}
	for i := from; i < len(order) && alike(order[from], order[i]); i++ {
		order[from], order[i] = order[i], order[from]
		permute(order, from+1, alike, f)
		order[from], order[i] = order[i], order[from]
	}
}

// append encodes the state with the machines in an order.
func (s *state) append(order []int) []byte {
	place := make([]uint64, len(order))
	for at, n := range order {
		place[n] = uint64(at)
	}
	rename := func(x uint64) uint64 {
		if x == 0 {
			return 0
		}
		return 1 + place[machineOf(x)] + machinesMost*((x-1)/machinesMost)
	}
	b := make([]byte, 0, 1024)
	for _, n := range order {
		b = s.machines[n].append(b, n, rename)
	}
	for _, from := range order {
		for _, to := range order {
			link := s.net[from*len(order)+to]
			b = binary.AppendUvarint(b, uint64(len(link)))
			for _, m := range link {
				b = raft.AppendMessage(b, m, rename)
			}
		}
	}
	h := s.history
	for _, term := range slices.Sorted(maps.Keys(h.leads)) {
		b = binary.AppendUvarint(b, term)
		b = binary.AppendUvarint(b, rename(h.leads[term]))
	}
	for _, e := range h.agreed {
		b = binary.AppendUvarint(b, e.term)
		b = binary.AppendUvarint(b, e.in)
		b = binary.AppendUvarint(b, uint64(len(e.data)))
		b = append(b, e.data...)
	}
	l := s.left
	for _, x := range []int{int(h.acked), l.Proposals, l.Reads, l.Beats, l.Crashes, l.Wipes, l.Changes, l.Compacts, l.Handovers} {
		b = binary.AppendUvarint(b, uint64(x))
	}
	return b
}

func (m *machine) append(b []byte, n int, rename func(uint64) uint64) []byte {
	b = binary.AppendUvarint(b, m.life)
	if m.core != nil {
		b = append(b, 1)
		b = m.core.AppendState(b, rename)
		for _, want := range m.asked {
			b = binary.AppendUvarint(b, want)
		}
		for _, index := range slices.Sorted(maps.Keys(m.mine)) {
			b = binary.AppendUvarint(b, index)
			b = binary.AppendUvarint(b, m.mine[index])
		}
		return b // its disk has what it has in memory: each output is settled before the next event
	}
	b = append(b, 0)
	b = binary.AppendUvarint(b, m.hard.GetTerm())
	b = binary.AppendUvarint(b, rename(m.hard.GetVote()))
	b = binary.AppendUvarint(b, m.snap.GetIndex())
	for _, e := range m.entries {
		b = raft.AppendEntry(b, e, rename)
	}
	return b
}

// link is where a state was met first.
type link struct {
	parent int32
	action string
}

// Search looks at all states within the bounds, or stops at the first that breaks a property.
func Search(b Bounds) *Result {
	began := time.Now()
	r := &Result{}
	first := begin(b)
	seen := map[uint64]bool{first.key(): true}
	links := []link{{-1, "the start"}}
	level := []*state{first}
	numbers := []int32{0}
	finish := func(complete bool) *Result {
		r.States, r.Complete, r.Took = len(seen), complete, time.Since(began)
		return r
	}
	for len(level) > 0 {
		found := expand(level)
		var next []*state
		var nextNumbers []int32
		for i, list := range found {
			for _, f := range list {
				r.Steps++
				if seen[f.key] {
					continue
				}
				seen[f.key] = true
				links = append(links, link{numbers[i], f.state.action})
				if f.state.broken != "" {
					r.Broken = f.state.broken
					for at := int32(len(links) - 1); at > 0; at = links[at].parent {
						r.Trace = append(r.Trace, links[at].action)
					}
					slices.Reverse(r.Trace)
					r.Depth++
					return finish(false)
				}
				next = append(next, f.state)
				nextNumbers = append(nextNumbers, int32(len(links)-1))
			}
			found[i] = nil
			level[i] = nil
		}
		if len(next) == 0 {
			break
		}
		r.Depth++
		level, numbers = next, nextNumbers
		if b.States > 0 && len(seen) >= b.States {
			return finish(false)
		}
	}
	return finish(true)
}

type found struct {
	state *state
	key   uint64
}

// expand works out what follows on each state of a level, on all processors. The order of what it returns is the
// level's, so that searches repeat.
func expand(level []*state) [][]found {
	out := make([][]found, len(level))
	var running sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	part := (len(level) + workers - 1) / workers
	for from := 0; from < len(level); from += part {
		to := min(from+part, len(level))
		running.Go(func() {
			for i := from; i < to; i++ {
				for _, n := range level[i].next() {
					out[i] = append(out[i], found{n, n.key()})
				}
			}
		})
	}
	running.Wait()
	return out
}

package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

// A simulated quorum for the tests of the membership: processes with disks at addresses, messages and join calls that
// take some milliseconds, cuts, lost disks, empty successors at other addresses, planned ends. All that a process does
// for the membership is MembershipManager's; nothing here knows of it.

const (
	memberTail   = 50 // entries kept in front of a snapshot
	memberStep   = time.Millisecond
	simCall      = 600 * time.Millisecond // a join call that was not answered by then is given up
	simGrace     = 3 * time.Second        // a process that was asked to end is killed then
	simGossipLag = time.Second            // a new address is known to all by then
)

// process is a quorum member, or one that wants to be: it keeps its disk over restarts.
type process struct {
	address   string
	disk      simdisk.Disk
	node      *Node // nil: not running
	manager   *MembershipManager
	heard     map[uint64]string // addresses of those who sent messages
	inbox     []memberDelivery
	frozen    bool
	cut       bool // from and to all others
	deaf      bool // from all others, so that what it sends arrives
	started   time.Duration
	managedAt time.Duration
	applied   uint64
	chain     uint64 // hash of all that was applied
	mine      map[uint64]uint64
	ending    bool          // it was asked to end by plan
	killAt    time.Duration // then at the latest
	askedAt   time.Duration // when it last asked the leader whether it may end
	forgets   bool          // mutation: it takes its own log's word for its membership
}

type memberDelivery struct {
	at   time.Duration
	from *process
	do   func(to *process)
}

type membershipSim struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	processes []*process // all that ever were
	wanted    int
	nextID    uint64
	agreed    map[uint64]uint64 // index: hash of all that was applied up to it
	acked     uint64            // the last index that was acknowledged
	ackedAt   time.Duration
	failed    bool
	inForce   membership
}

func newMembershipSim(t *testing.T, seed uint64, machines, wanted int) *membershipSim {
	w := &membershipSim{t: t, rng: rand.New(rand.NewPCG(seed, 18)), wanted: wanted, agreed: map[uint64]uint64{}}
	first := w.add("m0")
	peer := &wire.Peer{Id: 1, Address: first.address, Voter: true}
	first.disk = simdisk.Disk{Tail: memberTail, ID: 1, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{
		Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{peer}}, Data: make([]byte, 8)}}
	w.nextID = 1
	w.start(first)
	for i := range machines - 1 {
		w.start(w.add(fmt.Sprint("m", i+1)))
	}
	return w
}

func (w *membershipSim) fail(format string, args ...any) {
	if !w.failed {
		w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
	w.failed = true
}

// add makes a machine with an empty disk.
func (w *membershipSim) add(address string) *process {
	p := &process{address: address, disk: simdisk.Disk{Tail: memberTail}}
	w.processes = append(w.processes, p)
	return p
}

func (w *membershipSim) start(p *process) {
	if p.disk.ID == 0 {
		w.nextID++
		p.disk.ID = w.nextID
	}
	p.node = New(p.disk.ID, p.disk.Hard, p.disk.Snap, slices.Clone(p.disk.Entries), w.rng.Uint64(), w.now)
	p.manager = NewMembershipManager(p.node)
	p.heard, p.mine, p.inbox = map[uint64]string{}, map[uint64]uint64{}, nil
	p.started, p.ending, p.frozen = w.now, false, false
	p.restore(p.disk.Snap)
}

func (w *membershipSim) stop(p *process) {
	p.disk.Crash(w.rng)
	p.node, p.manager, p.inbox, p.frozen = nil, nil, nil, false
}

// terminate is a SIGTERM: the process may end once it may leave.
func (w *membershipSim) terminate(p *process) {
	p.ending, p.killAt = true, w.now+simGrace
	p.manager.Leave()
}

func (p *process) restore(s *wire.RaftSnapshot) {
	p.applied, p.chain = s.GetIndex(), 0
	if len(s.GetData()) == 8 {
		p.chain = binary.BigEndian.Uint64(s.Data)
	}
}

func (p *process) state() []byte { return binary.BigEndian.AppendUint64(nil, p.chain) }

func (p *process) self() *wire.Peer { return &wire.Peer{Id: p.disk.ID, Address: p.address} }

func (w *membershipSim) at(address string) *process {
	for _, p := range w.processes {
		if p.address == address && p.node != nil {
			return p
		}
	}
	return nil
}

// carry takes something to a process, unless a cut or an end comes between.
func (w *membershipSim) carry(from, to *process, do func(to *process)) {
	if to == nil || to == from || from.cut || to.cut || to.deaf {
		return
	}
	at := w.now + time.Duration(1+w.rng.IntN(8))*time.Millisecond
	to.inbox = append(to.inbox, memberDelivery{at, from, do})
}

func (w *membershipSim) step() {
	w.now += memberStep
	for _, p := range w.processes {
		if p.node == nil || p.frozen {
			continue
		}
		if p.ending && w.now >= p.killAt {
			w.stop(p)
			continue
		}
		if w.due(p) {
			w.turn(p)
		}
	}
}

// due reports whether a process has something to do: a memberDelivery, its timer, or the membership, to which drivers look at
// least this often.
func (w *membershipSim) due(p *process) bool {
	const look = 10 * time.Millisecond
	return w.now >= p.node.NextTick() || w.now-p.managedAt >= look || slices.ContainsFunc(p.inbox, func(d memberDelivery) bool { return d.at <= w.now })
}

func (w *membershipSim) run(until time.Duration) {
	for w.now < until && !w.failed {
		w.step()
	}
}

// turn is what a driver does: what has arrived, the time, the membership, the disk, messages, what is committed.
func (w *membershipSim) turn(p *process) {
	busy := false
	rest := p.inbox[:0]
	var due []memberDelivery
	for _, d := range p.inbox {
		if d.at <= w.now {
			due = append(due, d)
		} else {
			rest = append(rest, d)
		}
	}
	p.inbox = rest
	for _, d := range due {
		if !p.cut && !p.deaf && !d.from.cut {
			d.do(p)
			busy = true
		}
		if p.node == nil { // it has left
			return
		}
	}
	if busy || w.now >= p.node.NextTick() {
		p.node.Tick(w.now)
	}
	w.manage(p)
	if p.node != nil {
		w.settle(p)
	}
}

func (w *membershipSim) manage(p *process) {
	p.managedAt = w.now
	actions := p.manager.Tick(w.now, p.self(), w.wanted, w.known)
	w.change(p, actions.Propose)
	if !p.forgets || peerIndex(p.node.Peers(), p.disk.ID) < 0 {
		for _, address := range actions.JoinAt {
			w.ask(p, address)
		}
	}
	if p.ending && w.now-p.askedAt >= 50*time.Millisecond {
		p.askedAt = w.now
		w.askToLeave(p)
	}
}

func (w *membershipSim) change(p *process, c MembershipChange) {
	if c.Next == nil {
		return
	}
	if err := p.node.ProposeMembership(w.now, c.Next); err == nil && *trace {
		w.t.Logf("%v %s: %s %s %s: %s", w.now, p.address, c.Event, c.Peer.Address, c.Reason, voterNames(c.Next))
	}
}

func voterNames(peers []*wire.Peer) (names string) {
	for _, p := range peers {
		switch {
		case p.Voter:
			names += " " + p.Address
		default:
			names += " (" + p.Address + ")"
		}
	}
	return names
}

// known is the gossip's word: the addresses of all that have run for a moment.
func (w *membershipSim) known() (known []string) {
	for _, p := range w.processes {
		if p.node != nil && w.now-p.started >= simGossipLag || w.now < simGossipLag {
			known = append(known, p.address)
		}
	}
	return known
}

func (w *membershipSim) ask(p *process, address string) {
	node, self, asked := p.node, p.self(), w.now
	w.carry(p, w.at(address), func(to *process) {
		change, answer := to.manager.HandleJoin(w.now, self)
		w.change(to, change)
		w.carry(to, p, func(*process) {
			if p.node != node || w.now-asked > simCall {
				return
			}
			if leader := p.manager.HandleJoinResponse(answer); leader != "" {
				w.ask(p, leader)
			}
		})
	})
}

func (w *membershipSim) askToLeave(p *process) {
	if p.node.IsLeader() {
		p.node.TransferLeadership(w.now)
		return
	}
	node := p.node
	index, term := node.LastEntry()
	request := &wire.LeaveRequest{Id: p.disk.ID, Index: index, LogTerm: term}
	w.carry(p, w.at(node.leaderAddress()), func(to *process) {
		answer := to.manager.HandleLeave(w.now, request, w.wanted)
		w.carry(to, p, func(*process) {
			if p.node == node && (LeaveStatus{Replicated: answer.Replicated, Removed: answer.Removed, KeepsVote: answer.KeepsVote}).Done() {
				w.stop(p)
			}
		})
	})
}

func (w *membershipSim) settle(p *process) {
	for o := p.node.Ready(); !o.Empty(); o = p.node.Ready() {
		p.disk.Write(o.Snapshot, o.HardState, o.Entries)
		p.disk.Sync()
		if o.Snapshot != nil {
			p.restore(o.Snapshot)
		}
		if n := len(o.Entries); n > 0 {
			p.node.StableTo(o.Entries[n-1].Index)
		}
		for _, m := range o.Messages {
			w.send(p, m)
		}
		for _, e := range o.CommittedEntries {
			w.apply(p, e)
		}
		if p.node.Backlog() > 200 {
			if s := p.node.Compact(p.applied, p.state()); s != nil {
				p.disk.Compact(s)
			}
		}
	}
}

func (w *membershipSim) send(p *process, m *wire.RaftMessage) {
	address := p.heard[m.To]
	if i := peerIndex(p.node.Peers(), m.To); i >= 0 {
		address = p.node.Peers()[i].Address
	}
	sender, m := p.address, proto.CloneOf(m)
	w.carry(p, w.at(address), func(to *process) {
		to.heard[m.From] = sender
		to.node.Step(w.now, m)
	})
}

func (w *membershipSim) apply(p *process, e *wire.Entry) {
	if e.Index != p.applied+1 {
		w.fail("%s applies %d after %d", p.address, e.Index, p.applied)
	}
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(p.state(), e.Term))
	h.Write(e.Data)
	p.applied, p.chain = e.Index, h.Sum64()
	if chain, known := w.agreed[e.Index]; known && chain != p.chain {
		w.fail("%s applies entry %d of term %d, another has applied another one there", p.address, e.Index, e.Term)
	}
	w.agreed[e.Index] = p.chain
	if term, ok := p.mine[e.Index]; ok && term == e.Term {
		w.acked, w.ackedAt = max(w.acked, e.Index), w.now
	}
	delete(p.mine, e.Index)
}

// leader is the process that leads in the newest term and is not frozen or cut off; nil: none.
func (w *membershipSim) leader() (lead *process) {
	for _, p := range w.processes {
		if p.node != nil && p.node.IsLeader() && !p.frozen && !p.cut && !p.deaf && (lead == nil || p.node.Term() > lead.node.Term()) {
			lead = p
		}
	}
	return lead
}

// propose is a client's change, at whoever leads. As in the control plane, nothing is acknowledged by fewer voters than
// keep it over the losses that are to be borne.
func (w *membershipSim) propose() {
	p := w.leader()
	if p == nil || Voters(p.node.Peers()) < MinAckVoters(w.wanted/2, w.wanted) {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, w.rng.Uint64())
	if index, term, err := p.node.Propose(w.now, data); err == nil {
		p.mine[index] = term
	}
}

// committed is the newest membership that any process has ever known to be committed.
func (w *membershipSim) committed() membership {
	for _, p := range w.processes {
		if p.node == nil {
			continue
		}
		for _, m := range p.node.memberships {
			if m.index <= p.node.committed && m.index >= w.inForce.index {
				w.inForce = m
			}
		}
	}
	return w.inForce
}

// votes reports whether a process is a voter of the membership that is committed.
func (w *membershipSim) votes(p *process) bool {
	peers := w.committed().peers
	i := peerIndex(peers, p.disk.ID)
	return i >= 0 && peers[i].Voter && peers[i].Address == p.address
}

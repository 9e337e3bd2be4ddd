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
	memberTail      = 50 // entries kept in front of a snapshot
	memberStep      = time.Millisecond
	joinCallTimeout = 600 * time.Millisecond // a join call that was not answered by then is given up
	shutdownGrace   = 3 * time.Second        // a process that was asked to end is killed then
	gossipDelay     = time.Second            // a new address is known to all by then
)

// process is a quorum member, or one that wants to be: it keeps its disk over restarts.
type simProcess struct {
	address          string
	disk             simdisk.Disk
	node             *Node // nil: not running
	manager          *MembershipManager
	senderAddresses  map[uint64]string // addresses of those who sent messages
	inbox            []processDelivery
	frozen           bool
	isolated         bool // from and to all others
	inboundCut       bool // from all others, so that what it sends arrives
	startedAt        time.Duration
	managedAt        time.Duration
	applied          uint64
	stateHash        uint64 // hash of all that was applied
	proposals        map[uint64]uint64
	terminating      bool          // it was asked to end by plan
	killAt           time.Duration // then at the latest
	leaveRequestedAt time.Duration // when it last asked the leader whether it may end
	forgetsRejoin    bool          // mutation: it takes its own log's word for its membership
}

type processDelivery struct {
	deliverAt time.Duration
	from      *simProcess
	deliver   func(to *simProcess)
}

type membershipSim struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Duration
	processes       []*simProcess // all that ever were
	wantedVoters    int
	nextID          uint64
	hashByIndex     map[uint64]uint64 // index: hash of all that was applied up to it
	ackedIndex      uint64            // the last index that was acknowledged
	ackedAt         time.Duration
	failed          bool
	newestCommitted membership
}

func newMembershipSim(t *testing.T, seed uint64, machines, wanted int) *membershipSim {
	sim := &membershipSim{t: t, rng: rand.New(rand.NewPCG(seed, 18)), wantedVoters: wanted, hashByIndex: map[uint64]uint64{}}
	first := sim.addMachine("m0")
	peer := &wire.Peer{Id: 1, Address: first.address, Voter: true}
	first.disk = simdisk.Disk{Tail: memberTail, ID: 1, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{
		Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{peer}}, Data: make([]byte, 8)}}
	sim.nextID = 1
	sim.start(first)
	for i := range machines - 1 {
		sim.start(sim.addMachine(fmt.Sprint("m", i+1)))
	}
	return sim
}

func (s *membershipSim) reportFailure(format string, args ...any) {
	if !s.failed {
		s.t.Errorf("at %v: %s", s.now, fmt.Sprintf(format, args...))
	}
	s.failed = true
}

// add makes a machine with an empty disk.
func (s *membershipSim) addMachine(address string) *simProcess {
	process := &simProcess{address: address, disk: simdisk.Disk{Tail: memberTail}}
	s.processes = append(s.processes, process)
	return process
}

func (s *membershipSim) start(process *simProcess) {
	if process.disk.ID == 0 {
		s.nextID++
		process.disk.ID = s.nextID
	}
	process.node = New(process.disk.ID, process.disk.Hard, process.disk.Snap, slices.Clone(process.disk.Entries), s.rng.Uint64(), s.now)
	process.manager = NewMembershipManager(process.node)
	process.senderAddresses, process.proposals, process.inbox = map[uint64]string{}, map[uint64]uint64{}, nil
	process.startedAt, process.terminating, process.frozen = s.now, false, false
	process.restore(process.disk.Snap)
}

func (s *membershipSim) stop(process *simProcess) {
	process.disk.Crash(s.rng)
	process.node, process.manager, process.inbox, process.frozen = nil, nil, nil, false
}

// terminate is a SIGTERM: the process may end once it may leave.
func (s *membershipSim) terminate(process *simProcess) {
	process.terminating, process.killAt = true, s.now+shutdownGrace
	process.manager.Leave()
}

func (p *simProcess) restore(snapshot *wire.RaftSnapshot) {
	p.applied, p.stateHash = snapshot.GetIndex(), 0
	if len(snapshot.GetData()) == 8 {
		p.stateHash = binary.BigEndian.Uint64(snapshot.Data)
	}
}

func (p *simProcess) state() []byte { return binary.BigEndian.AppendUint64(nil, p.stateHash) }

func (p *simProcess) peer() *wire.Peer { return &wire.Peer{Id: p.disk.ID, Address: p.address} }

func (s *membershipSim) processAt(address string) *simProcess {
	for _, process := range s.processes {
		if process.address == address && process.node != nil {
			return process
		}
	}
	return nil
}

// carry takes something to a process, unless a cut or an end comes between.
func (s *membershipSim) enqueue(from, to *simProcess, deliver func(to *simProcess)) {
	if to == nil || to == from || from.isolated || to.isolated || to.inboundCut {
		return
	}
	deliverAt := s.now + time.Duration(1+s.rng.IntN(8))*time.Millisecond
	to.inbox = append(to.inbox, processDelivery{deliverAt, from, deliver})
}

func (s *membershipSim) step() {
	s.now += memberStep
	for _, process := range s.processes {
		if process.node == nil || process.frozen {
			continue
		}
		if process.terminating && s.now >= process.killAt {
			s.stop(process)
			continue
		}
		if s.hasWork(process) {
			s.runProcess(process)
		}
	}
}

// due reports whether a process has something to do: a memberDelivery, its timer, or the membership, to which drivers look at
// least this often.
func (s *membershipSim) hasWork(process *simProcess) bool {
	const membershipInterval = 10 * time.Millisecond
	return s.now >= process.node.NextTick() || s.now-process.managedAt >= membershipInterval || slices.ContainsFunc(process.inbox, func(d processDelivery) bool { return d.deliverAt <= s.now })
}

func (s *membershipSim) runUntil(until time.Duration) {
	for s.now < until && !s.failed {
		s.step()
	}
}

// turn is what a driver does: what has arrived, the time, the membership, the disk, messages, what is committed.
func (s *membershipSim) runProcess(process *simProcess) {
	delivered := false
	remaining := process.inbox[:0]
	var due []processDelivery
	for _, delivery := range process.inbox {
		if delivery.deliverAt <= s.now {
			due = append(due, delivery)
		} else {
			remaining = append(remaining, delivery)
		}
	}
	process.inbox = remaining
	for _, delivery := range due {
		if !process.isolated && !process.inboundCut && !delivery.from.isolated {
			delivery.deliver(process)
			delivered = true
		}
		if process.node == nil { // it has left
			return
		}
	}
	if delivered || s.now >= process.node.NextTick() {
		process.node.Tick(s.now)
	}
	s.tickManager(process)
	if process.node != nil {
		s.processReady(process)
	}
}

func (s *membershipSim) tickManager(process *simProcess) {
	process.managedAt = s.now
	actions := process.manager.Tick(s.now, process.peer(), s.wantedVoters, s.knownAddresses)
	s.proposeMembership(process, actions.Propose)
	if !process.forgetsRejoin || peerIndex(process.node.Peers(), process.disk.ID) < 0 {
		for _, address := range actions.JoinAt {
			s.sendJoinRequest(process, address)
		}
	}
	if process.terminating && s.now-process.leaveRequestedAt >= 50*time.Millisecond {
		process.leaveRequestedAt = s.now
		s.sendLeaveRequest(process)
	}
}

func (s *membershipSim) proposeMembership(process *simProcess, change MembershipChange) {
	if change.Next == nil {
		return
	}
	if err := process.node.ProposeMembership(s.now, change.Next); err == nil && *traceMembership {
		s.t.Logf("%v %s: %s %s %s: %s", s.now, process.address, change.Event, change.Peer.Address, change.Reason, formatMembers(change.Next))
	}
}

func formatMembers(peers []*wire.Peer) (names string) {
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
func (s *membershipSim) knownAddresses() (addresses []string) {
	for _, process := range s.processes {
		if process.node != nil && s.now-process.startedAt >= gossipDelay || s.now < gossipDelay {
			addresses = append(addresses, process.address)
		}
	}
	return addresses
}

func (s *membershipSim) sendJoinRequest(process *simProcess, address string) {
	node, self, requestedAt := process.node, process.peer(), s.now
	s.enqueue(process, s.processAt(address), func(to *simProcess) {
		change, response := to.manager.HandleJoin(s.now, self)
		s.proposeMembership(to, change)
		s.enqueue(to, process, func(*simProcess) {
			if process.node != node || s.now-requestedAt > joinCallTimeout {
				return
			}
			if leader := process.manager.HandleJoinResponse(response); leader != "" {
				s.sendJoinRequest(process, leader)
			}
		})
	})
}

func (s *membershipSim) sendLeaveRequest(process *simProcess) {
	if process.node.IsLeader() {
		process.node.TransferLeadership(s.now)
		return
	}
	node := process.node
	index, term := node.LastEntry()
	request := &wire.LeaveRequest{Id: process.disk.ID, Index: index, LogTerm: term}
	s.enqueue(process, s.processAt(node.leaderAddress()), func(to *simProcess) {
		response := to.manager.HandleLeave(s.now, request, s.wantedVoters)
		s.enqueue(to, process, func(*simProcess) {
			if process.node == node && (LeaveStatus{Replicated: response.Replicated, Removed: response.Removed, KeepsVote: response.KeepsVote}).Done() {
				s.stop(process)
			}
		})
	})
}

func (s *membershipSim) processReady(process *simProcess) {
	for ready := process.node.Ready(); !ready.Empty(); ready = process.node.Ready() {
		process.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
		process.disk.Sync()
		if ready.Snapshot != nil {
			process.restore(ready.Snapshot)
		}
		if n := len(ready.Entries); n > 0 {
			process.node.StableTo(ready.Entries[n-1].Index)
		}
		for _, m := range ready.Messages {
			s.send(process, m)
		}
		for _, e := range ready.CommittedEntries {
			s.apply(process, e)
		}
		if process.node.Backlog() > 200 {
			if snapshot := process.node.Compact(process.applied, process.state()); snapshot != nil {
				process.disk.Compact(snapshot)
			}
		}
	}
}

func (s *membershipSim) send(sender *simProcess, m *wire.RaftMessage) {
	address := sender.senderAddresses[m.To]
	if i := peerIndex(sender.node.Peers(), m.To); i >= 0 {
		address = sender.node.Peers()[i].Address
	}
	senderAddress, m := sender.address, proto.CloneOf(m)
	s.enqueue(sender, s.processAt(address), func(to *simProcess) {
		to.senderAddresses[m.From] = senderAddress
		to.node.Step(s.now, m)
	})
}

func (s *membershipSim) apply(process *simProcess, entry *wire.Entry) {
	if entry.Index != process.applied+1 {
		s.reportFailure("%s applies %d after %d", process.address, entry.Index, process.applied)
	}
	hash := fnv.New64a()
	hash.Write(binary.BigEndian.AppendUint64(process.state(), entry.Term))
	hash.Write(entry.Data)
	process.applied, process.stateHash = entry.Index, hash.Sum64()
	if stateHash, known := s.hashByIndex[entry.Index]; known && stateHash != process.stateHash {
		s.reportFailure("%s applies entry %d of term %d, another has applied another one there", process.address, entry.Index, entry.Term)
	}
	s.hashByIndex[entry.Index] = process.stateHash
	if term, ok := process.proposals[entry.Index]; ok && term == entry.Term {
		s.ackedIndex, s.ackedAt = max(s.ackedIndex, entry.Index), s.now
	}
	delete(process.proposals, entry.Index)
}

// leader is the process that leads in the newest term and is not frozen or cut off; nil: none.
func (s *membershipSim) leader() (leader *simProcess) {
	for _, process := range s.processes {
		if process.node != nil && process.node.IsLeader() && !process.frozen && !process.isolated && !process.inboundCut && (leader == nil || process.node.Term() > leader.node.Term()) {
			leader = process
		}
	}
	return leader
}

// propose is a client's change, at whoever leads. As in the control plane, nothing is acknowledged by fewer voters than
// keep it over the losses that are to be borne.
func (s *membershipSim) proposeChange() {
	leader := s.leader()
	if leader == nil || Voters(leader.node.Peers()) < MinAckVoters(s.wantedVoters/2, s.wantedVoters) {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, s.rng.Uint64())
	if index, term, err := leader.node.Propose(s.now, data); err == nil {
		leader.proposals[index] = term
	}
}

// committed is the newest membership that any process has ever known to be committed.
func (s *membershipSim) committedMembership() membership {
	for _, process := range s.processes {
		if process.node == nil {
			continue
		}
		for _, m := range process.node.memberships {
			if m.index <= process.node.committed && m.index >= s.newestCommitted.index {
				s.newestCommitted = m
			}
		}
	}
	return s.newestCommitted
}

// votes reports whether a process is a voter of the membership that is committed.
func (s *membershipSim) isCommittedVoter(process *simProcess) bool {
	peers := s.committedMembership().peers
	i := peerIndex(peers, process.disk.ID)
	return i >= 0 && peers[i].Voter && peers[i].Address == process.address
}

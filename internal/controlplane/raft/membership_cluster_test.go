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

// This file simulates a quorum for the membership tests: processes with disks and addresses, delayed messages and join
// requests, partitions, lost disks, replacements at other addresses and graceful shutdowns. Each process runs a
// MembershipManager, and the simulation itself makes no membership decisions.

const (
	memberTail      = 50 // maximum number of entries kept before a snapshot
	memberStep      = time.Millisecond
	joinCallTimeout = 600 * time.Millisecond // responses to a join request are ignored after this time
	shutdownGrace   = 3 * time.Second        // a process that is shutting down is killed after this time
	gossipDelay     = time.Second            // time until all processes know a new address
)

// simProcess is a process that is a quorum member or joins the quorum. Its disk survives restarts.
type simProcess struct {
	address          string
	disk             simdisk.Disk
	node             *Node // nil while the process is down
	manager          *MembershipManager
	senderAddresses  map[uint64]string // address of each sender of a message, by identity
	inbox            []processDelivery
	frozen           bool
	isolated         bool // cut off from all others in both directions
	inboundCut       bool // receives nothing, but can send
	startedAt        time.Duration
	managedAt        time.Duration // time of the last MembershipManager.Tick
	applied          uint64
	stateHash        uint64            // hash of all applied entries
	proposals        map[uint64]uint64 // terms of the pending proposals, by index
	terminating      bool              // it is shutting down gracefully
	killAt           time.Duration     // end of the grace period of a shutdown
	leaveRequestedAt time.Duration     // time of its last leave request
	skipRejoin       bool              // mutation: it sends no join requests while it is a member in its own log
}

// processDelivery is a message, request or response in flight. deliver handles it at the receiver.
type processDelivery struct {
	deliverAt time.Duration
	from      *simProcess
	deliver   func(to *simProcess)
}

// membershipSim simulates the processes of a quorum.
type membershipSim struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Duration
	processes       []*simProcess // including the stopped ones
	wantedVoters    int
	nextID          uint64
	hashByIndex     map[uint64]uint64 // state hash after the entry at an index
	ackedIndex      uint64            // last index acknowledged to a client
	ackedAt         time.Duration     // time of the last acknowledgement
	failed          bool
	newestCommitted membership // see committedMembership
}

// newMembershipSim starts the given number of machines. The first one is the only voter, and the others join.
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

// reportFailure fails the test, unless the simulation has failed before.
func (s *membershipSim) reportFailure(format string, args ...any) {
	if !s.failed {
		s.t.Errorf("at %v: %s", s.now, fmt.Sprintf(format, args...))
	}
	s.failed = true
}

// addMachine adds a machine with an empty disk. Its process is not started.
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

// stop ends a process, and may lose unsynced writes.
func (s *membershipSim) stop(process *simProcess) {
	process.disk.Crash(s.rng)
	process.node, process.manager, process.inbox, process.frozen = nil, nil, nil, false
}

// terminate begins a graceful shutdown, as SIGTERM does. The process stops when its leave request is accepted or killAt is
// reached.
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

// processAt returns the running process at an address. It returns nil if there is none.
func (s *membershipSim) processAt(address string) *simProcess {
	for _, process := range s.processes {
		if process.address == address && process.node != nil {
			return process
		}
	}
	return nil
}

// enqueue schedules a delivery after a random delay, unless the processes are not connected.
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

// hasWork reports whether a process must run: for a due delivery or timer, or because membershipInterval has passed since
// its last MembershipManager.Tick.
func (s *membershipSim) hasWork(process *simProcess) bool {
	const membershipInterval = 10 * time.Millisecond
	return s.now >= process.node.NextTick() || s.now-process.managedAt >= membershipInterval || slices.ContainsFunc(process.inbox, func(delivery processDelivery) bool { return delivery.deliverAt <= s.now })
}

func (s *membershipSim) runUntil(until time.Duration) {
	for s.now < until && !s.failed {
		s.step()
	}
}

// runProcess runs one iteration of a process's driver loop: due deliveries, Tick, the MembershipManager and Ready.
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
		if process.node == nil { // a leave response has stopped it
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

// tickManager calls MembershipManager.Tick, carries out its actions and sends a leave request if one is due.
func (s *membershipSim) tickManager(process *simProcess) {
	process.managedAt = s.now
	actions := process.manager.Tick(s.now, process.peer(), s.wantedVoters, s.knownAddresses)
	s.proposeMembership(process, actions.Propose)
	if !process.skipRejoin || peerIndex(process.node.Peers(), process.disk.ID) < 0 {
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

// formatMembers returns the members' addresses, each after a space. Those of learners are in parentheses.
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

// knownAddresses returns the addresses of the processes that have run for gossipDelay, as gossip would.
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

// sendLeaveRequest sends a leave request to the leader. If the process is the leader, it transfers leadership instead.
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
		for _, message := range ready.Messages {
			s.send(process, message)
		}
		for _, entry := range ready.CommittedEntries {
			s.apply(process, entry)
		}
		if process.node.Backlog() > 200 {
			if snapshot := process.node.Compact(process.applied, process.state()); snapshot != nil {
				process.disk.Compact(snapshot)
			}
		}
	}
}

func (s *membershipSim) send(sender *simProcess, message *wire.RaftMessage) {
	address := sender.senderAddresses[message.To]
	if i := peerIndex(sender.node.Peers(), message.To); i >= 0 {
		address = sender.node.Peers()[i].Address
	}
	senderAddress, message := sender.address, proto.CloneOf(message)
	s.enqueue(sender, s.processAt(address), func(to *simProcess) {
		to.senderAddresses[message.From] = senderAddress
		to.node.Step(s.now, message)
	})
}

func (s *membershipSim) apply(process *simProcess, entry *wire.Entry) {
	if entry.Index != process.applied+1 {
		s.reportFailure("%s applies entry %d after entry %d", process.address, entry.Index, process.applied)
	}
	hash := fnv.New64a()
	hash.Write(binary.BigEndian.AppendUint64(process.state(), entry.Term))
	hash.Write(entry.Data)
	process.applied, process.stateHash = entry.Index, hash.Sum64()
	if stateHash, known := s.hashByIndex[entry.Index]; known && stateHash != process.stateHash {
		s.reportFailure("the state of %s after entry %d of term %d differs from another process's", process.address, entry.Index, entry.Term)
	}
	s.hashByIndex[entry.Index] = process.stateHash
	if term, ok := process.proposals[entry.Index]; ok && term == entry.Term {
		s.ackedIndex, s.ackedAt = max(s.ackedIndex, entry.Index), s.now
	}
	delete(process.proposals, entry.Index)
}

// leader returns the leader with the newest term that is neither frozen nor cut off. It returns nil if there is none.
func (s *membershipSim) leader() (leader *simProcess) {
	for _, process := range s.processes {
		if process.node != nil && process.node.IsLeader() && !process.frozen && !process.isolated && !process.inboundCut && (leader == nil || process.node.Term() > leader.node.Term()) {
			leader = process
		}
	}
	return leader
}

// proposeChange proposes a client's change on the leader. As in the control plane, it proposes nothing while there are fewer
// voters than MinAckVoters.
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

// committedMembership returns the newest membership that any process has recorded as committed so far.
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

// isCommittedVoter reports whether a process with its current address is a voter of the committed membership.
func (s *membershipSim) isCommittedVoter(process *simProcess) bool {
	peers := s.committedMembership().peers
	i := peerIndex(peers, process.disk.ID)
	return i >= 0 && peers[i].Voter && peers[i].Address == process.address
}

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

// simStep is the simulated time between two iterations of a member's driver loop.
const simStep = 5 * time.Millisecond

// simMember is a machine of the simulated quorum: its disk and, while its process runs, its node and state machine.
type simMember struct {
	number        int
	disk          simdisk.Disk
	node          *Node            // nil while the process is down
	catalog       *catalog.Catalog // state machine, the same as in the control plane
	applied       uint64
	clockSkew     time.Duration // its clock minus the simulated time
	frozenUntil   time.Duration
	downUntil     time.Duration
	syncTime      time.Duration           // duration of a synced write; zero if the disk is fast
	senderNumbers map[uint64]int          // index in simulation.members of each sender of a message, by identity
	pendingReads  map[uint64]*operation   // by ReadIndex token
	pendingWrites map[uint64]pendingWrite // by log index
	inbox         []inFlightMessage
	reconciledAt  time.Duration           // time of its last call of reconcile
	wasLeader     bool                    // whether it was the leader at its last call of reconcile
	lastTransfers map[uint64]sentSnapshot // last transfer to each receiver, by identity
	crashAt       time.Duration           // time of a scheduled power loss; zero if there is none
}

// sentSnapshot is a snapshot that a leader has started to send.
type sentSnapshot struct {
	index, term uint64
	sentAt      time.Duration
}

// inFlightMessage is a message that has been sent and not delivered yet.
type inFlightMessage struct {
	deliverAt time.Duration
	from      int // the sender's index in simulation.members
	message   *wire.RaftMessage
}

// simProfile holds the parameters that a seed selects for a run.
type simProfile struct {
	memberCount           int
	maxBatchEntries       int  // maximum number of entries per message
	maxBacklog            int  // a snapshot is taken if more entries follow the last one
	retainedTail          int  // maximum number of entries kept before a snapshot
	membershipChurn       bool // voters are promoted and demoted at random
	frequentLeaderCrashes bool // most new leaders crash within 40 ms of their election
	delayedDuplicates     bool // some messages are delivered again up to seconds later
	slowDisks             bool // members' disks become slow at random
}

// randomProfile draws a profile. Frequent leader crashes and membership churn exclude each other.
func randomProfile(rng *rand.Rand) simProfile {
	profile := simProfile{maxBatchEntries: []int{maxMessageEntries, 1, 2}[rng.IntN(3)], membershipChurn: rng.IntN(3) == 0, memberCount: 3 + rng.IntN(2)}
	if profile.frequentLeaderCrashes = !profile.membershipChurn && rng.IntN(2) == 0; profile.frequentLeaderCrashes {
		profile.maxBatchEntries = 1
	}
	if profile.membershipChurn {
		profile.memberCount = 5
	}
	profile.maxBacklog, profile.retainedTail = []int{40, 15, 5}[rng.IntN(3)], []int{0, 8, tailEntries}[rng.IntN(3)]
	profile.delayedDuplicates, profile.slowDisks = rng.IntN(3) == 0, rng.IntN(4) == 0
	return profile
}

// simulation runs members, clients and faults in simulated time. Runs with the same seed are identical.
type simulation struct {
	simProfile
	rng         *rand.Rand
	now         time.Duration
	members     []*simMember
	cutLinks    map[[2]int]bool // directed links that drop all messages, as pairs of sender and receiver
	nextID      uint64
	wipedDisks  int
	faultsEnded bool // no more faults are injected
	clients     clients
	invariants  invariants
}

func newSimulation(rng *rand.Rand) *simulation {
	return &simulation{rng: rng, simProfile: simProfile{maxBatchEntries: maxMessageEntries, maxBacklog: 40}, cutLinks: map[[2]int]bool{}, clients: newClients(), invariants: newInvariants()}
}

// simulate runs one seed. Faults are injected from the fourth second on, and not in the last twelve.
func simulate(seed uint64, duration time.Duration) *simulation {
	sim := newSimulation(rand.New(rand.NewPCG(seed, 3)))
	sim.simProfile = randomProfile(sim.rng)
	sim.startMembers()
	for ; sim.now < duration && sim.invariants.violation == ""; sim.now += simStep {
		sim.faultsEnded = sim.now > duration-12*time.Second // so that reads at the end cover the acknowledged writes
		if sim.faultsEnded {
			clear(sim.cutLinks)
		} else if sim.now > 3*time.Second {
			sim.injectRandomFault()
		}
		sim.runClients()
		for _, m := range sim.members {
			sim.runMember(m)
		}
	}
	return sim
}

// startMembers starts all members. The first one is the only voter, and the others join.
func (s *simulation) startMembers() {
	for i := range s.simProfile.memberCount {
		member := &simMember{number: i, disk: simdisk.Disk{Tail: s.retainedTail}}
		s.members = append(s.members, member)
		if i == 0 {
			s.nextID = 1
			member.disk = simdisk.Disk{Tail: s.retainedTail, ID: 1, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{
				Term: 1, Index: 1, Peers: &wire.Peers{Peers: []*wire.Peer{{Id: 1, Address: "0", Voter: true}}}}}
		}
		s.startMember(member)
	}
}

// startMember starts a member's process from the contents of its disk.
func (s *simulation) startMember(member *simMember) {
	if member.disk.ID == 0 {
		s.nextID++
		member.disk.ID = s.nextID
	}
	member.node = New(member.disk.ID, member.disk.Hard, member.disk.Snap, slices.Clone(member.disk.Entries), s.rng.Uint64(), s.now+member.clockSkew)
	member.node.maxBatchEntries = s.maxBatchEntries
	member.node.SetRetention(member.disk.Tail, catchUpEntries)
	member.restore(member.disk.Snap)
	member.wasLeader = false
	member.pendingReads, member.pendingWrites = map[uint64]*operation{}, map[uint64]pendingWrite{}
	member.senderNumbers, member.lastTransfers, member.inbox = map[uint64]int{}, map[uint64]sentSnapshot{}, nil
}

// crash simulates a power loss of a member, which restarts after downtime.
func (s *simulation) crash(member *simMember, downtime time.Duration) {
	member.disk.Crash(s.rng)
	member.node, member.downUntil = nil, s.now+downtime
}

// runMember runs one iteration of a member's driver loop: it receives messages, advances the time, reconciles the
// membership and processes Ready.
func (s *simulation) runMember(member *simMember) {
	if member.node == nil {
		if s.now >= member.downUntil {
			s.startMember(member)
		}
		return
	}
	if member.crashAt > 0 && s.now >= member.crashAt {
		member.crashAt = 0
		s.crash(member, s.randomDuration(20, 400))
		return
	}
	if member.frozenUntil > s.now {
		return
	}
	s.receiveMessages(member)
	member.node.Tick(s.now + member.clockSkew)
	s.invariants.checkLeader(s.now, member)
	if s.now-member.reconciledAt > 250*time.Millisecond || member.node.IsLeader() && !member.wasLeader {
		member.reconciledAt = s.now
		s.reconcile(member)
	}
	s.processReady(member)
}

// receiveMessages delivers the messages that are due to a member.
func (s *simulation) receiveMessages(member *simMember) {
	due := member.inbox[:0:0]
	remaining := member.inbox[:0]
	for _, queued := range member.inbox {
		if queued.deliverAt <= s.now {
			due = append(due, queued)
		} else {
			remaining = append(remaining, queued)
		}
	}
	member.inbox = remaining
	for _, queued := range due {
		if !s.cutLinks[[2]int{queued.from, member.number}] {
			member.senderNumbers[queued.message.From] = queued.from
			member.node.Step(s.now+member.clockSkew, queued.message)
		}
	}
}

// processReady processes a member's Ready until it is empty or the member has crashed.
func (s *simulation) processReady(member *simMember) {
	for member.node != nil {
		ready := member.node.Ready()
		if ready.Empty() {
			return
		}
		if !s.persist(member, &ready) {
			return
		}
		for _, message := range ready.Messages {
			s.invariants.checkTransfer(s.now, member, message)
			s.send(member, message)
		}
		for _, entry := range ready.CommittedEntries {
			s.apply(member, entry)
		}
		for _, readState := range ready.ReadStates {
			s.completeRead(member, readState)
		}
		s.compact(member)
	}
}

// persist saves a Ready to the member's disk. It returns false if the member crashed before or after the sync.
func (s *simulation) persist(member *simMember, ready *Ready) bool {
	hardState := ready.HardState
	if *loseVotes {
		hardState = nil
	}
	member.disk.Write(ready.Snapshot, hardState, ready.Entries)
	if s.rng.IntN(3000) == 0 {
		s.crash(member, s.randomDuration(500, 3000)) // before the sync
		return false
	}
	member.disk.Sync()
	if member.syncTime > 0 && len(ready.Entries) > 0 {
		member.node.ObserveSync(member.syncTime)
		member.frozenUntil = s.now + member.syncTime
	}
	if ready.Snapshot != nil {
		s.invariants.checkInstall(s.now, member, ready.Snapshot)
		member.restore(ready.Snapshot)
	}
	if n := len(ready.Entries); n > 0 {
		member.node.StableTo(ready.Entries[n-1].Index)
	}
	if s.rng.IntN(3000) == 0 {
		s.crash(member, s.randomDuration(500, 3000)) // after the sync, before any message is sent
		return false
	}
	return true
}

// send enqueues a message with a random delay. The message may be lost, or duplicated with another delay.
func (s *simulation) send(sender *simMember, message *wire.RaftMessage) {
	receiver, ok := s.memberNumber(message.To, sender)
	if !ok || s.cutLinks[[2]int{sender.number, receiver}] || s.rng.IntN(50) == 0 {
		return
	}
	enqueue := func(delay time.Duration) {
		s.members[receiver].inbox = append(s.members[receiver].inbox, inFlightMessage{s.now + delay, sender.number, proto.CloneOf(message)})
	}
	for range 1 + s.rng.IntN(30)/29 {
		enqueue(s.randomDuration(1, 30))
	}
	if s.delayedDuplicates && !s.faultsEnded && s.rng.IntN(40) == 0 {
		enqueue(s.randomDuration(200, 5000))
	}
}

// memberNumber returns the index in members of the member with an identity. An identity that no disk has belongs to an
// earlier process, which is found only if the sender has received a message from it.
func (s *simulation) memberNumber(id uint64, sender *simMember) (int, bool) {
	for i, member := range s.members {
		if member.disk.ID == id {
			return i, true
		}
	}
	number, ok := sender.senderNumbers[id]
	return number, ok
}

// apply applies a committed entry to the member's state machine, and completes the call that proposed it.
func (s *simulation) apply(member *simMember, entry *wire.Entry) {
	if entry.Index != member.applied+1 {
		panic(fmt.Sprintf("member %d applies entry %d after entry %d", member.number, entry.Index, member.applied))
	}
	member.applied = entry.Index
	result := applyCommand(member.catalog, entry)
	s.invariants.checkApply(s.now, member, entry, result)
	if write, ok := member.pendingWrites[entry.Index]; ok {
		delete(member.pendingWrites, entry.Index)
		if write.term == entry.Term {
			s.completeCall(write.operation, result)
		}
	}
}

// compact takes a snapshot if more than maxBacklog entries follow the last one.
func (s *simulation) compact(member *simMember) {
	if member.node.Backlog() <= s.maxBacklog {
		return
	}
	data, err := member.catalog.Snapshot()
	if err != nil {
		panic(err)
	}
	s.invariants.checkSnapshot(s.now, member, data)
	first := member.node.First()
	if snapshot := member.node.Compact(member.applied, data); snapshot != nil {
		s.invariants.checkTail(s.now, member, first, s.retainedTail)
		member.disk.Compact(snapshot)
	}
}

// restore replaces the state machine with a snapshot's state, which is empty if the snapshot has no data.
func (m *simMember) restore(snapshot *wire.RaftSnapshot) {
	m.catalog, m.applied = catalog.New(), snapshot.GetIndex()
	if len(snapshot.GetData()) > 0 {
		if err := m.catalog.Restore(snapshot.Data); err != nil {
			panic(err)
		}
	}
}

// randomDuration returns a random duration of at least minMs and less than maxMs milliseconds.
func (s *simulation) randomDuration(minMs, maxMs int) time.Duration {
	return time.Duration(minMs+s.rng.IntN(maxMs-minMs)) * time.Millisecond
}

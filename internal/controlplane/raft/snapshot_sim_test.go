package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

var catchUpSeeds = flag.Int("catchup-seeds", 9, "number of simulated runs of lagging members under a full rate of changes")
var firstCatchUpSeed = flag.Uint64("catchup-seed", 0, "seed of the first simulated run of lagging members")

// This simulation tests how lagging members catch up. A quorum commits changes at full rate, and the transfer of a snapshot
// takes seconds. Members crash, freeze and are cut off, also while a snapshot is transferred, installed or written.
const (
	catchUpStep            = 5 * time.Millisecond
	catchUpFaultPhase      = 14 * time.Second
	catchUpRecovery        = 6 * time.Second // all members must catch up within this time plus that of three transfers
	catchUpBacklog         = 400             // number of entries after a snapshot at which the next one is taken
	catchUpTail            = 300             // maximum number of entries kept before a snapshot
	maxFinalLag            = 600 * time.Millisecond
	progressReportInterval = 200 * time.Millisecond
)

// simReplica is a simulated member.
type simReplica struct {
	number      int
	disk        simdisk.Disk
	node        *Node // nil while the process is down
	restartAt   time.Duration
	frozenUntil time.Duration
	applied     uint64
	stateHash   uint64 // hash of all applied entries in order

	inbox           []replicaMessage
	pendingSnapshot *snapshotWrite    // nil if no snapshot is being written
	receivedBytes   map[uint64]int    // number of received bytes of each snapshot, by its index
	lastTransfer    *snapshotTransfer // newest transfer to this replica
}

// replicaMessage is a message that has been sent and not delivered yet.
type replicaMessage struct {
	deliverAt time.Duration
	message   *wire.RaftMessage
}

// snapshotWrite is a snapshot that is being written to disk.
type snapshotWrite struct {
	doneAt time.Duration
	index  uint64
	data   []byte
}

// snapshotTransfer is a snapshot in transfer between two processes.
type snapshotTransfer struct {
	from, to     *simReplica
	senderNode   *Node  // from.node at the start; differs from it after a restart
	term         uint64 // the sender's term at the start
	receiverNode *Node  // to.node at the start
	snapshot     *wire.RaftSnapshot
	reportedAt   time.Duration // time of the last report of progress
}

// catchUpSim simulates a quorum of three replicas.
type catchUpSim struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	replicas    []*simReplica
	cutLinks    map[[2]int]bool
	cutUntil    time.Duration
	rate        int // changes per second
	stateSize   int // size of a transferred snapshot, in bytes
	bandwidth   int // in bytes per second
	transfers   []*snapshotTransfer
	hashByIndex map[uint64]uint64 // state hash after the entry at an index
	ackedIndex  uint64            // last index acknowledged to a client
	violation   string            // description of the first violation; empty if there is none
	faultsEnded bool              // no more faults are injected

	// Numbers of transfers, installations and snapshot writes.
	completed, resumed, interrupted, interruptedInstalls, interruptedSnapshots int
}

func newCatchUpSim(t *testing.T, seed uint64) *catchUpSim {
	sim := &catchUpSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 21)), cutLinks: map[[2]int]bool{}, hashByIndex: map[uint64]uint64{},
		rate: []int{200, 1000, 2000}[seed%3], bandwidth: 2 << 20,
	}
	sim.stateSize = (1 + sim.rng.IntN(12)) << 20
	peers := newPeers(3)
	for i := range 3 {
		replica := &simReplica{number: i, disk: simdisk.Disk{ID: uint64(i + 1), Tail: catchUpTail, Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		sim.replicas = append(sim.replicas, replica)
		sim.start(replica)
	}
	return sim
}

// reportViolation records a violation, unless there was one before.
func (s *catchUpSim) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// snapshotHash returns the state hash that is the data of a snapshot.
func snapshotHash(snapshot *wire.RaftSnapshot) uint64 {
	if len(snapshot.GetData()) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(snapshot.Data)
}

// maxCatchUpEntries returns the retention limit for members that catch up: 1.5 times the number of entries that are proposed
// during a transfer, and a margin.
func (s *catchUpSim) maxCatchUpEntries() int { return 600 + s.rate*s.stateSize/s.bandwidth*3/2 }

func (s *catchUpSim) start(replica *simReplica) {
	replica.node = New(replica.disk.ID, replica.disk.Hard, replica.disk.Snap, slices.Clone(replica.disk.Entries), s.rng.Uint64(), s.now)
	replica.node.SetRetention(catchUpTail, s.maxCatchUpEntries())
	replica.applied, replica.stateHash = replica.disk.Snap.GetIndex(), snapshotHash(replica.disk.Snap)
	replica.inbox, replica.pendingSnapshot = nil, nil
	if replica.receivedBytes == nil {
		replica.receivedBytes = map[uint64]int{}
	}
}

// crash ends a replica's process, and may lose unsynced writes. After a power loss, received parts of snapshots may be lost
// too.
func (s *catchUpSim) crash(replica *simReplica, powerLoss bool) {
	if replica.pendingSnapshot != nil {
		s.interruptedSnapshots++
	}
	replica.disk.Crash(s.rng)
	if powerLoss {
		for index, received := range replica.receivedBytes {
			replica.receivedBytes[index] = s.rng.IntN(received + 1)
		}
	}
	replica.node, replica.restartAt = nil, s.now+time.Duration(100+s.rng.IntN(5000))*time.Millisecond
}

func (s *catchUpSim) connected(from, to int) bool { return !s.cutLinks[[2]int{from, to}] }

// processReady processes a replica's Ready until it is empty or the replica has crashed.
func (s *catchUpSim) processReady(replica *simReplica) {
	for replica.node != nil {
		ready := replica.node.Ready()
		if ready.Empty() {
			return
		}
		replica.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
		if ready.Snapshot != nil && s.interruptedInstalls == 0 && s.rng.IntN(2) == 0 { // power loss during the first installation of a run, with a probability of 1/2
			s.interruptedInstalls++
			s.crash(replica, true)
			return
		}
		replica.disk.Sync()
		if ready.Snapshot != nil {
			if ready.Snapshot.Index < replica.applied {
				s.reportViolation("replica %d has applied entry %d and installs an older snapshot at entry %d", replica.number, replica.applied, ready.Snapshot.Index)
			}
			replica.applied, replica.stateHash = ready.Snapshot.Index, snapshotHash(ready.Snapshot)
			s.checkState(replica)
		}
		if n := len(ready.Entries); n > 0 {
			replica.node.StableTo(ready.Entries[n-1].Index)
		}
		for _, message := range ready.Messages {
			s.send(replica, message)
		}
		for _, entry := range ready.CommittedEntries {
			s.apply(replica, entry)
		}
		s.compact(replica)
	}
}

func (s *catchUpSim) send(sender *simReplica, message *wire.RaftMessage) {
	receiver := s.replicas[message.To-1]
	if message.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
		s.startTransfer(sender, receiver, message.Snapshot)
		return
	}
	if s.connected(sender.number, receiver.number) && s.rng.IntN(300) != 0 {
		receiver.inbox = append(receiver.inbox, replicaMessage{s.now + time.Duration(1+s.rng.IntN(15))*time.Millisecond, message})
	}
}

func (s *catchUpSim) apply(replica *simReplica, entry *wire.Entry) {
	if entry.Index != replica.applied+1 {
		s.reportViolation("replica %d applies entry %d after entry %d", replica.number, entry.Index, replica.applied)
	}
	hash := fnv.New64a()
	binary.Write(hash, binary.BigEndian, []uint64{replica.stateHash, entry.Index, entry.Term})
	hash.Write(entry.Data)
	replica.applied, replica.stateHash = entry.Index, hash.Sum64()
	s.checkState(replica)
	if replica.node.IsLeader() {
		s.ackedIndex = max(s.ackedIndex, entry.Index)
	}
}

// checkState checks that all replicas have the same state at the same index.
func (s *catchUpSim) checkState(replica *simReplica) {
	if agreed, known := s.hashByIndex[replica.applied]; known && agreed != replica.stateHash {
		s.reportViolation("the state of replica %d at entry %d differs from another replica's", replica.number, replica.applied)
	}
	s.hashByIndex[replica.applied] = replica.stateHash
}

// compact completes a snapshot that has been written, and starts the next one if it is due.
func (s *catchUpSim) compact(replica *simReplica) {
	if write := replica.pendingSnapshot; write != nil && s.now >= write.doneAt {
		replica.pendingSnapshot = nil
		if snapshot := replica.node.Compact(write.index, write.data); snapshot != nil {
			replica.disk.Compact(snapshot)
		}
	}
	if replica.pendingSnapshot == nil && replica.node.Backlog() >= catchUpBacklog {
		duration := time.Duration(10+s.rng.IntN(300)) * time.Millisecond
		replica.pendingSnapshot = &snapshotWrite{s.now + duration, replica.applied, binary.BigEndian.AppendUint64(nil, replica.stateHash)}
	}
}

// startTransfer starts a snapshot transfer, as the driver does for an INSTALL_SNAPSHOT message. It checks that a leader has
// at most one transfer to a member, and that it does not abandon a transfer that can be resumed.
func (s *catchUpSim) startTransfer(from, to *simReplica, snapshot *wire.RaftSnapshot) {
	for _, transfer := range s.transfers {
		if transfer.senderNode != from.node || transfer.to != to {
			continue
		}
		if transfer.snapshot == snapshot {
			if s.now-transfer.reportedAt < snapshotTimeout {
				s.reportViolation("replica %d restarts the transfer of the snapshot at %d to replica %d, %v after the last report of progress", from.number, snapshot.Index, to.number, s.now-transfer.reportedAt)
			}
			return
		}
		if transfer.term == from.node.Term() { // a re-elected leader has lost the state of its earlier transfers
			s.reportViolation("replica %d starts to transfer the snapshot at %d to replica %d while the one at %d is in transfer", from.number, snapshot.Index, to.number, transfer.snapshot.Index)
		}
	}
	s.transfers = slices.DeleteFunc(s.transfers, func(transfer *snapshotTransfer) bool { return transfer.to == to }) // the receiver accepts only the newest transfer
	if to.node == nil || !s.connected(from.number, to.number) || to.node.Committed() >= snapshot.Index {
		event := SnapshotFailed
		if to.node != nil && s.connected(from.number, to.number) {
			event = SnapshotFinished // the receiver already has the snapshot's entries
		}
		from.node.ReportSnapshot(s.now, to.disk.ID, snapshot.Index, event)
		return
	}
	if previous := to.lastTransfer; previous != nil && previous.senderNode == from.node && previous.term == from.node.Term() && previous.snapshot != snapshot && to.receivedBytes[previous.snapshot.Index] > 0 &&
		previous.snapshot.Index >= from.node.base.index {
		s.reportViolation("replica %d abandons the transfer of the snapshot at %d to replica %d after %d bytes, and sends the one at %d; its log begins at %d",
			from.number, previous.snapshot.Index, to.number, to.receivedBytes[previous.snapshot.Index], snapshot.Index, from.node.first())
	}
	if to.receivedBytes[snapshot.Index] > 0 {
		s.resumed++
	}
	for index := range to.receivedBytes {
		if index != snapshot.Index {
			delete(to.receivedBytes, index)
		}
	}
	to.lastTransfer = &snapshotTransfer{from: from, to: to, senderNode: from.node, term: from.node.Term(), receiverNode: to.node, snapshot: snapshot, reportedAt: s.now}
	s.transfers = append(s.transfers, to.lastTransfer)
}

// advanceTransfers advances all transfers by one step. A transfer is interrupted if one of its processes has ended or a link
// between them is cut.
func (s *catchUpSim) advanceTransfers() {
	s.transfers = slices.DeleteFunc(s.transfers, func(transfer *snapshotTransfer) bool {
		snapshot := transfer.snapshot
		if transfer.from.node != transfer.senderNode || transfer.to.node != transfer.receiverNode || !s.connected(transfer.from.number, transfer.to.number) || !s.connected(transfer.to.number, transfer.from.number) {
			s.interrupted++
			if transfer.from.node == transfer.senderNode && transfer.senderNode != nil {
				transfer.senderNode.ReportSnapshot(s.now, transfer.to.disk.ID, snapshot.Index, SnapshotFailed)
			}
			return true
		}
		if !s.faultsEnded && max(transfer.to.frozenUntil, transfer.from.frozenUntil) > s.now {
			return false
		}
		transfer.to.receivedBytes[snapshot.Index] += s.bandwidth / int(time.Second/catchUpStep)
		if transfer.to.receivedBytes[snapshot.Index] < s.stateSize {
			if s.now-transfer.reportedAt > progressReportInterval {
				transfer.reportedAt = s.now
				transfer.senderNode.ReportSnapshot(s.now, transfer.to.disk.ID, snapshot.Index, SnapshotProgress)
			}
			return false
		}
		transfer.to.node.InstallSnapshot(s.now, snapshot)
		s.processReady(transfer.to)
		if transfer.to.node != nil {
			s.completed++
			delete(transfer.to.receivedBytes, snapshot.Index)
			transfer.senderNode.ReportSnapshot(s.now, transfer.to.disk.ID, snapshot.Index, SnapshotFinished)
		} else {
			transfer.senderNode.ReportSnapshot(s.now, transfer.to.disk.ID, snapshot.Index, SnapshotFailed)
		}
		return true
	})
}

// injectRandomFault injects a fault with a small probability.
func (s *catchUpSim) injectRandomFault() {
	replica := s.replicas[s.rng.IntN(len(s.replicas))]
	for _, transfer := range s.transfers { // prefer replicas that receive a snapshot
		if s.rng.IntN(3) == 0 {
			replica = transfer.to
		}
	}
	switch s.rng.IntN(700) {
	case 0, 1:
		if replica.node != nil {
			s.crash(replica, s.rng.IntN(2) == 0)
		}
	case 2:
		for _, other := range s.replicas {
			s.crash(other, true)
		}
	case 3, 4:
		for otherNumber := range s.replicas {
			s.cutLinks[[2]int{replica.number, otherNumber}], s.cutLinks[[2]int{otherNumber, replica.number}] = true, s.rng.IntN(3) > 0
		}
		s.cutUntil = s.now + time.Duration(300+s.rng.IntN(6000))*time.Millisecond
	case 5:
		replica.frozenUntil = s.now + time.Duration(200+s.rng.IntN(2500))*time.Millisecond
	}
}

// step advances the simulation by catchUpStep.
func (s *catchUpSim) step() {
	s.now += catchUpStep
	if s.faultsEnded || s.now > s.cutUntil {
		clear(s.cutLinks)
	}
	if !s.faultsEnded {
		s.injectRandomFault()
	}
	s.advanceTransfers()
	for _, replica := range s.replicas {
		if replica.node == nil {
			if s.now >= replica.restartAt || s.faultsEnded {
				s.start(replica)
			}
			continue
		}
		if replica.frozenUntil > s.now && !s.faultsEnded {
			continue
		}
		wasLeader := replica.node.IsLeader()
		var remaining []replicaMessage
		inbox := replica.inbox
		replica.inbox = nil
		for _, queued := range inbox {
			if queued.deliverAt > s.now {
				remaining = append(remaining, queued)
			} else if s.connected(int(queued.message.From)-1, replica.number) {
				replica.node.Step(s.now, queued.message)
			}
		}
		replica.inbox = append(remaining, replica.inbox...)
		replica.node.Tick(s.now)
		if replica.node.IsLeader() && !wasLeader && replica.node.last() < s.ackedIndex {
			s.reportViolation("replica %d became leader with last index %d, and entry %d was acknowledged", replica.number, replica.node.last(), s.ackedIndex)
		}
		for range s.rate / int(time.Second/catchUpStep) {
			if _, _, err := replica.node.Propose(s.now, []byte("change")); err != nil {
				break
			}
		}
		s.processReady(replica)
	}
}

// maxLag returns the lag of the slowest replica, as the time in which the entries that it lacks are proposed. It returns an
// hour if a replica is down.
func (s *catchUpSim) maxLag() time.Duration {
	maxCommitted, minApplied := uint64(0), ^uint64(0)
	for _, replica := range s.replicas {
		if replica.node == nil {
			return time.Hour
		}
		maxCommitted, minApplied = max(maxCommitted, replica.node.Committed()), min(minApplied, replica.applied)
	}
	return time.Duration(maxCommitted-minApplied) * time.Second / time.Duration(s.rate)
}

// TestMembersCatchUpAtFullRate checks that all members catch up within a bounded time after the faults, while changes
// continue at full rate, and that no acknowledged entry is lost and no snapshot transfer is started twice.
func TestMembersCatchUpAtFullRate(t *testing.T) {
	var total catchUpSim
	for seed := range uint64(*catchUpSeeds) {
		seed += *firstCatchUpSeed
		sim := newCatchUpSim(t, seed)
		for sim.now < catchUpFaultPhase && sim.violation == "" {
			sim.step()
		}
		sim.faultsEnded = true
		recovery := catchUpRecovery + 3*time.Duration(sim.stateSize)*time.Second/time.Duration(sim.bandwidth)
		ackedBefore := sim.ackedIndex
		lastBehindAt := time.Duration(0)
		for sim.now < catchUpFaultPhase+recovery && sim.violation == "" {
			sim.step()
			if sim.maxLag() > maxFinalLag {
				lastBehindAt = sim.now
			}
		}
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		} else if lag := sim.maxLag(); lag > maxFinalLag || sim.ackedIndex < ackedBefore+uint64(sim.rate) {
			t.Errorf("seed %d: a member lags by %v, %v after the faults ended, at %d changes per second with snapshots of %d MB; %d changes were acknowledged in that time",
				seed, lag, recovery, sim.rate, sim.stateSize>>20, sim.ackedIndex-ackedBefore)
		}
		t.Logf("seed %d: %d changes per second, snapshots of %d MB: %d changes acknowledged, all members caught up %v after the faults ended", seed, sim.rate, sim.stateSize>>20, sim.ackedIndex, max(0, lastBehindAt-catchUpFaultPhase))
		total.completed, total.resumed, total.interrupted = total.completed+sim.completed, total.resumed+sim.resumed, total.interrupted+sim.interrupted
		total.interruptedInstalls, total.interruptedSnapshots = total.interruptedInstalls+sim.interruptedInstalls, total.interruptedSnapshots+sim.interruptedSnapshots
	}
	t.Logf("%d transfers completed, %d resumed, %d interrupted; %d installations and %d snapshot writes interrupted", total.completed, total.resumed, total.interrupted, total.interruptedInstalls, total.interruptedSnapshots)
	if total.completed < *catchUpSeeds/4 || total.resumed == 0 || total.interrupted == 0 || total.interruptedInstalls == 0 || total.interruptedSnapshots == 0 {
		t.Error("want at least one completed transfer for every 4 runs, one resumed and one interrupted transfer, and one interrupted installation and snapshot write: see the totals logged above")
	}
}

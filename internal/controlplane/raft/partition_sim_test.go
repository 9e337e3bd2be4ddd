package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

const (
	partitionStep         = 2 * time.Millisecond
	partitionStart        = 4 * time.Second
	partitionDuration     = 20 * time.Second
	longPartitionDuration = 40 * time.Second // a quarter of the partitions last this long
	maxRecoveryTime       = 5 * time.Second  // all members must be current within this time after a partition
	maxCurrentAge         = relay.StaleAfter // maximum contact age of a current member
	maxUnprovenAge        = 21 * time.Second // one second more than the age up to which a relay becomes ready with an unconfirmed state
	partitionTail         = 64               // entries kept before a snapshot; few, so that partitioned members need one
	clockDriftDivisor     = 4000             // relay clocks deviate by at most 1/clockDriftDivisor of the time
)

// partitionMember is a voter or learner with its own clock.
type partitionMember struct {
	number           int
	disk             simdisk.Disk
	node             *Node         // nil while the process is down
	clockOffset      time.Duration // its clock minus the simulated time
	applied          uint64
	contactAt        time.Duration // time of its quorum contact, on its own clock
	restartAt        time.Duration // time of its restart, while it is down
	frozenUntil      time.Duration
	inbox            []partitionMessage
	pendingWrites    map[uint64]uint64        // terms of the pending proposals, by index
	pendingReads     map[uint64]uint64        // index that a pending read must include, by token
	leaderMessagesAt map[uint64]time.Duration // time of the last message of each leader, by identity
	child            *partitionRelay
}

// partitionMessage is a message that has been sent and not delivered yet.
type partitionMessage struct {
	arrivesAt time.Duration
	from      int
	message   *wire.RaftMessage
}

// acknowledgement records that a change was acknowledged to a client.
type acknowledgement struct {
	acknowledgedAt time.Duration
	index          uint64 // largest index acknowledged up to this time
}

// partitionSim simulates a quorum whose members are partitioned, restarted and frozen while clients propose changes.
type partitionSim struct {
	rng              *rand.Rand
	now              time.Duration
	members          []*partitionMember
	cutLinks         map[[2]int]bool
	linkDelays       map[[2]int]time.Duration // maximum additional delay of each slow link
	isolated         []int                    // numbers of the members that are cut off from the majority
	inboundCut       bool                     // the isolated members receive nothing from the others
	noProposalsUntil time.Duration            // changes are proposed from this time on
	acknowledgements []acknowledgement        // in order of time
	lastToken        uint64
	failures         []string
	ackedChanges     int
	answeredReads    int
}

// reportFailure records one of the first five failures.
func (s *partitionSim) reportFailure(format string, args ...any) {
	if len(s.failures) < 5 {
		s.failures = append(s.failures, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

func (s *partitionSim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// clock returns the time on a member's clock.
func (s *partitionSim) clock(m *partitionMember) time.Duration { return s.now + m.clockOffset }

func newPartitionSim(seed uint64, voters, learners int) *partitionSim {
	sim := &partitionSim{rng: rand.New(rand.NewPCG(seed, 18)), cutLinks: map[[2]int]bool{}, linkDelays: map[[2]int]time.Duration{}}
	peers := &wire.Peers{}
	for i := range voters + learners {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(i + 1), Address: fmt.Sprint(i), Voter: i < voters})
	}
	for i := range voters + learners {
		member := &partitionMember{number: i, disk: simdisk.Disk{
			ID: uint64(i + 1), Hard: &wire.HardState{Term: 1}, Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		member.child = sim.newRelay()
		member.child.child = sim.newRelay()
		sim.members = append(sim.members, member)
		sim.start(member)
	}
	return sim
}

func (s *partitionSim) start(member *partitionMember) {
	member.clockOffset = s.randomDuration(0, 10*time.Second) - s.now // the clock changes with each start of the process
	member.node = New(member.disk.ID, member.disk.Hard, member.disk.Snap, slices.Clone(member.disk.Entries), s.rng.Uint64(), s.clock(member))
	member.applied = member.disk.Snap.GetIndex()
	member.node.SetRetention(partitionTail, partitionTail)
	member.contactAt = s.clock(member) - MaxContactAge
	member.pendingWrites, member.pendingReads, member.leaderMessagesAt = map[uint64]uint64{}, map[uint64]uint64{}, map[uint64]time.Duration{}
	if member.frozenUntil < s.now {
		member.inbox = nil
	}
}

func (s *partitionSim) crash(member *partitionMember, downtime time.Duration) {
	member.disk.Crash(s.rng)
	member.node, member.restartAt, member.inbox = nil, s.now+downtime, nil
}

// ackedBefore returns the largest index that was acknowledged before a time.
func (s *partitionSim) ackedBefore(at time.Duration) uint64 {
	count := sort.Search(len(s.acknowledgements), func(i int) bool { return s.acknowledgements[i].acknowledgedAt >= at })
	if count == 0 {
		return 0
	}
	return s.acknowledgements[count-1].index
}

// processReady processes a member's Ready until it is empty, and updates its contactAt.
func (s *partitionSim) processReady(member *partitionMember) {
	for ready := member.node.Ready(); !ready.Empty(); ready = member.node.Ready() {
		member.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
		member.disk.Sync()
		if ready.Snapshot != nil {
			member.applied = ready.Snapshot.Index
		}
		if n := len(ready.Entries); n > 0 {
			member.node.StableTo(ready.Entries[n-1].Index)
		}
		for _, message := range ready.Messages {
			s.send(member, message)
		}
		for _, entry := range ready.CommittedEntries {
			s.apply(member, entry)
		}
		for _, readState := range ready.ReadStates {
			requiredIndex, pending := member.pendingReads[readState.Token]
			delete(member.pendingReads, readState.Token)
			if pending && readState.OK {
				s.answeredReads++
				if member.applied < requiredIndex {
					s.reportFailure("member %d answers a read with entry %d, and entry %d was acknowledged before the read", member.number, member.applied, requiredIndex)
				}
			}
		}
		if member.node.Backlog() > 300 {
			if snapshot := member.node.Compact(member.applied, nil); snapshot != nil {
				member.disk.Compact(snapshot)
			}
		}
	}
	member.contactAt = s.clock(member) - member.node.QuorumContactAge(s.clock(member))
}

// send enqueues a message with a random delay. A link delivers its messages in order.
func (s *partitionSim) send(sender *partitionMember, message *wire.RaftMessage) {
	receiver := s.members[message.To-1]
	link := [2]int{sender.number, receiver.number}
	arrivesAt := s.now + s.randomDuration(time.Millisecond, 10*time.Millisecond)
	if extra := s.linkDelays[link]; extra > 0 {
		arrivesAt += s.randomDuration(0, extra)
	}
	for _, other := range receiver.inbox {
		if other.from == sender.number {
			arrivesAt = max(arrivesAt, other.arrivesAt)
		}
	}
	receiver.inbox = append(receiver.inbox, partitionMessage{arrivesAt, sender.number, proto.CloneOf(message)})
}

func (s *partitionSim) apply(member *partitionMember, entry *wire.Entry) {
	if entry.Index != member.applied+1 {
		s.reportFailure("member %d applies entry %d after entry %d", member.number, entry.Index, member.applied)
	}
	member.applied = entry.Index
	term, pending := member.pendingWrites[entry.Index]
	delete(member.pendingWrites, entry.Index)
	if !pending || term != entry.Term {
		return
	}
	s.ackedChanges++
	largest := entry.Index
	if n := len(s.acknowledgements); n > 0 {
		largest = max(largest, s.acknowledgements[n-1].index)
	}
	s.acknowledgements = append(s.acknowledgements, acknowledgement{s.now, largest})
	if s.inboundCut && slices.Contains(s.isolated, member.number) {
		s.reportFailure("member %d acknowledges entry %d while it receives nothing", member.number, entry.Index)
	}
}

// receiveMessages delivers the messages that are due to a member, and drops those on cut links.
func (s *partitionSim) receiveMessages(member *partitionMember) {
	var due []partitionMessage
	member.inbox = slices.DeleteFunc(member.inbox, func(queued partitionMessage) bool {
		if queued.arrivesAt <= s.now && !s.cutLinks[[2]int{queued.from, member.number}] {
			due = append(due, queued)
		}
		return queued.arrivesAt <= s.now
	})
	for _, queued := range due {
		member.node.Step(s.clock(member), queued.message)
		if queued.message.Kind == wire.RaftMessage_APPEND_ENTRIES || queued.message.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			member.leaderMessagesAt[queued.message.From] = s.now
		}
		s.processReady(member)
	}
}

// sendRequests sends changes and reads to a member that is the leader of its term.
func (s *partitionSim) sendRequests(member *partitionMember) {
	if !member.node.IsLeader() {
		return
	}
	now := s.clock(member)
	if s.now >= s.noProposalsUntil && s.rng.IntN(5) == 0 {
		if index, term, err := member.node.Propose(now, []byte("x")); err == nil {
			member.pendingWrites[index] = term
		}
	}
	if s.rng.IntN(20) == 0 {
		s.lastToken++
		member.pendingReads[s.lastToken] = s.ackedBefore(s.now)
		member.node.ReadIndex(now, s.lastToken)
	}
}

// step advances the simulation by partitionStep.
func (s *partitionSim) step() {
	s.now += partitionStep
	for _, member := range s.members {
		if member.node == nil {
			if s.now >= member.restartAt {
				s.start(member)
			}
			continue
		}
		if s.now < member.frozenUntil {
			continue
		}
		s.receiveMessages(member)
		member.node.Tick(s.clock(member))
		s.sendRequests(member)
		s.processReady(member)
		s.runRelays(member)
		s.check(member)
	}
}

// check verifies that the states of a member and its relays are not older than their contact ages, and that the member reports
// no leader without a message from it within an election timeout.
func (s *partitionSim) check(member *partitionMember) {
	checkAge := func(description string, contact, now time.Duration, applied uint64) {
		age := now - contact
		maxAge := age + age/clockDriftDivisor // the clock may be slow
		if acked := s.ackedBefore(s.now - maxAge); acked > applied {
			s.reportFailure("%s %d has entry %d with a contact age of %v, and entry %d was acknowledged before that contact", description, member.number, applied, age, acked)
		}
	}
	checkAge("member", member.contactAt, s.clock(member), member.applied)
	checkAge("child of member", member.child.contactAt, s.relayClock(member.child), member.child.applied)
	checkAge("grandchild of member", member.child.child.contactAt, s.relayClock(member.child.child), member.child.child.applied)
	leader := member.node.Leader()
	if leader == 0 || leader == member.node.ID() {
		return
	}
	if messageAt, ok := member.leaderMessagesAt[leader]; !ok || s.now-messageAt > maxElectionTimeout+partitionStep {
		s.reportFailure("member %d reports identity %d as the leader, whose last message is %v old", member.number, leader, s.now-messageAt)
	}
}

// isolate cuts members off from all others. receives and sends select the directions that stay connected.
func (s *partitionSim) isolate(numbers []int, receives, sends bool) {
	s.isolated, s.inboundCut = numbers, !receives
	for _, from := range numbers {
		for to := range s.members {
			if slices.Contains(numbers, to) {
				continue
			}
			s.cutLinks[[2]int{from, to}] = !sends
			s.cutLinks[[2]int{to, from}] = !receives
		}
	}
}

// allCurrent reports whether all members run, know a leader and have a contact age of at most maxCurrentAge.
func (s *partitionSim) allCurrent() bool {
	for _, member := range s.members {
		if member.node == nil || s.now < member.frozenUntil || member.node.Leader() == 0 || s.clock(member)-member.contactAt > maxCurrentAge {
			return false
		}
	}
	return true
}

// injectRandomFault injects a fault in addition to the partition, with a small probability.
func (s *partitionSim) injectRandomFault(restarts bool) {
	member := s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(1200) {
	case 0, 7:
		if restarts && member.node != nil {
			s.crash(member, s.randomDuration(100*time.Millisecond, time.Second))
		}
	case 1:
		member.frozenUntil = s.now + s.randomDuration(100*time.Millisecond, 3*time.Second)
	case 2, 3:
		from, to := s.rng.IntN(len(s.members)), s.rng.IntN(len(s.members))
		s.linkDelays[[2]int{from, to}] = s.randomDuration(0, 3*time.Second)
	case 4, 5, 6:
		clear(s.linkDelays)
	case 8, 9, 10:
		s.noProposalsUntil = s.now + s.randomDuration(200*time.Millisecond, 2*time.Second)
	case 11, 12, 13, 14:
		s.startRelay(member.child)
	case 15, 16, 17, 18:
		s.startRelay(member.child.child)
	}
}

// runPartitionSim simulates one partition. It returns the simulation and the time from the partition's end until all members
// were current.
func runPartitionSim(seed uint64) (sim *partitionSim, recovery time.Duration) {
	setupRng := rand.New(rand.NewPCG(seed, 7))
	sim = newPartitionSim(seed, 3+2*setupRng.IntN(2), 1)
	for sim.now < partitionStart {
		sim.step()
	}
	var isolated []int
	switch leader := slices.IndexFunc(sim.members, func(member *partitionMember) bool { return member.node.IsLeader() }); setupRng.IntN(4) {
	case 0:
		isolated = []int{len(sim.members) - 1} // the learner
	case 1:
		isolated = []int{(max(leader, 0) + 1) % (len(sim.members) - 1)} // a follower
	case 2:
		isolated = []int{max(leader, 0), len(sim.members) - 1} // the leader and the learner
	default:
		isolated = []int{max(leader, 0)}
	}
	receives, sends := false, false
	if direction := setupRng.IntN(4); direction == 0 {
		receives = true
	} else if direction == 1 {
		sends = true
	}
	restarts := setupRng.IntN(2) == 0
	isolatedAt := sim.now
	sim.isolate(isolated, receives, sends)
	duration := partitionDuration
	if setupRng.IntN(4) == 0 {
		duration = longPartitionDuration
	}
	for sim.now < isolatedAt+duration {
		sim.injectRandomFault(restarts)
		sim.step()
		if member := sim.members[isolated[0]]; !receives && sim.now > isolatedAt+maxElectionTimeout+partitionStep && sim.now > member.frozenUntil &&
			member.node != nil && member.node.IsLeader() {
			sim.reportFailure("member %d is still leader %v after it was cut off", isolated[0], sim.now-isolatedAt)
		}
	}
	clear(sim.cutLinks)
	clear(sim.linkDelays)
	sim.isolated = nil
	for _, member := range sim.members {
		member.frozenUntil = min(member.frozenUntil, sim.now)
	}
	for end := sim.now; !sim.allCurrent(); sim.step() {
		if recovery = sim.now - end; recovery > 2*maxRecoveryTime {
			break
		}
	}
	for until := sim.now + 2*time.Second; sim.now < until; {
		sim.step()
	}
	return sim, recovery
}

// TestPartitionedMembers cuts members off in one direction or both. No state may be older than its contact age, no read may
// miss an acknowledged change, no isolated leader may stay leader, and all members must recover within maxRecoveryTime.
func TestPartitionedMembers(t *testing.T) {
	var recoveries []time.Duration
	ackedChanges, answeredReads := 0, 0
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		sim, recovery := runPartitionSim(seed)
		for _, failure := range sim.failures {
			t.Errorf("seed %d: %s", seed, failure)
		}
		if recovery > maxRecoveryTime {
			t.Errorf("seed %d: not all members were current %v after the end of the partition", seed, recovery)
		}
		recoveries = append(recoveries, recovery)
		ackedChanges, answeredReads = ackedChanges+sim.ackedChanges, answeredReads+sim.answeredReads
	}
	if ackedChanges < 500**seedCount || answeredReads < 100**seedCount {
		t.Errorf("%d changes acknowledged and %d reads answered in %d runs, want at least 500 changes and 100 reads per run", ackedChanges, answeredReads, *seedCount)
	}
	slices.Sort(recoveries)
	t.Logf("%d changes acknowledged, %d reads answered; time until all members were current: %v (p50), %v (p99)",
		ackedChanges, answeredReads, recoveries[len(recoveries)/2], recoveries[len(recoveries)*99/100])
}

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
	longPartitionDuration = 40 * time.Second // some last as long
	maxRecoveryTime       = 5 * time.Second  // within which a member that was cut off is current again
	maxCurrentAge         = relay.Stale      // age below which a member counts as current
	maxUnprovenAge        = 21 * time.Second // of an unproven state that a data node may start by, and a second
	partitionTail         = 64               // entries in front of a snapshot, so that members that were away need one
	clockDriftDivisor     = 4000             // the clock of a relay is faster or slower by one part of this at most
)

// leaseMember is a member of the quorum, or a learner, with a clock of its own.
type partitionMember struct {
	number          int
	disk            simdisk.Disk
	node            *Node         // nil: down
	clockOffset     time.Duration // of its clock
	applied         uint64
	contactAt       time.Duration // by its clock, as its driver tells the relays
	restartAt       time.Duration // while it is down
	frozenUntil     time.Duration // until then
	inbox           []partitionMessage
	pendingWrites   map[uint64]uint64 // terms of proposals that wait, by index
	pendingReads    map[uint64]uint64 // what a read has to see, by token
	leaderMessageAt map[uint64]time.Duration
	child           *partitionRelay
}

type partitionMessage struct {
	arrivesAt time.Duration
	from      int
	message   *wire.RaftMessage
}

// acknowledgement is a change that an operator was told is in force.
type acknowledgement struct {
	acknowledgedAt time.Duration
	index          uint64 // the largest so far
}

// partitionSim simulates a quorum whose members are partitioned, restarted and frozen while changes go on.
type partitionSim struct {
	rng              *rand.Rand
	now              time.Duration
	members          []*partitionMember
	cutLinks         map[[2]int]bool
	linkDelays       map[[2]int]time.Duration // links with more delay
	isolated         []int                    // members that the cut takes away from the majority
	inboundCut       bool                     // they hear nobody
	noProposalsUntil time.Duration            // until then nothing is proposed
	acknowledgements []acknowledgement
	lastToken        uint64
	failures         []string
	ackedChanges     int
	answeredReads    int // reads
}

func (s *partitionSim) reportFailure(format string, args ...any) {
	if len(s.failures) < 5 {
		s.failures = append(s.failures, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

func (s *partitionSim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// clock is a member's own.
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
	member.clockOffset = s.randomDuration(0, 10*time.Second) - s.now // each process has a clock of its own
	member.node = New(member.disk.ID, member.disk.Hard, member.disk.Snap, slices.Clone(member.disk.Entries), s.rng.Uint64(), s.clock(member))
	member.applied = member.disk.Snap.GetIndex()
	member.node.SetRetention(partitionTail, partitionTail)
	member.contactAt = s.clock(member) - MaxContactAge
	member.pendingWrites, member.pendingReads, member.leaderMessageAt = map[uint64]uint64{}, map[uint64]uint64{}, map[uint64]time.Duration{}
	if member.frozenUntil < s.now {
		member.inbox = nil
	}
}

func (s *partitionSim) crash(member *partitionMember, downtime time.Duration) {
	member.disk.Crash(s.rng)
	member.node, member.restartAt, member.inbox = nil, s.now+downtime, nil
}

// ackedBefore is the largest index that had been acknowledged before a moment.
func (s *partitionSim) ackedBefore(t time.Duration) uint64 {
	count := sort.Search(len(s.acknowledgements), func(i int) bool { return s.acknowledgements[i].acknowledgedAt >= t })
	if count == 0 {
		return 0
	}
	return s.acknowledgements[count-1].index
}

// settle is the driver of a member.
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
					s.reportFailure("member %d answers a read with entry %d, and %d had been acknowledged before it was asked", member.number, member.applied, requiredIndex)
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

// send puts a message on its link, which keeps the order.
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
		s.reportFailure("member %d applies entry %d after %d", member.number, entry.Index, member.applied)
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
		s.reportFailure("member %d acknowledges entry %d while it is cut off", member.number, entry.Index)
	}
}

// receive hands a member what has arrived. A cut loses what arrives while it lasts.
func (s *partitionSim) receiveMessages(member *partitionMember) {
	var due []partitionMessage
	member.inbox = slices.DeleteFunc(member.inbox, func(message partitionMessage) bool {
		if message.arrivesAt <= s.now && !s.cutLinks[[2]int{message.from, member.number}] {
			due = append(due, message)
		}
		return message.arrivesAt <= s.now
	})
	for _, message := range due {
		member.node.Step(s.clock(member), message.message)
		if message.message.Kind == wire.RaftMessage_APPEND_ENTRIES || message.message.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
			member.leaderMessageAt[message.message.From] = s.now
		}
		s.processReady(member)
	}
}

// operate sends changes and reads to every member that believes it leads.
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

// turn is one step of the world.
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

// check sees that nobody's state is older than it says, and that nobody names a leader that it has not heard for an
// election timeout.
func (s *partitionSim) check(member *partitionMember) {
	checkAge := func(description string, contact, now time.Duration, applied uint64) {
		age := now - contact
		maxAge := age + age/clockDriftDivisor // by its own clock
		if acked := s.ackedBefore(s.now - maxAge); acked > applied {
			s.reportFailure("%s member %d says that its state, with entry %d, is %v old; entry %d had been acknowledged before that", description, member.number, applied, age, acked)
		}
	}
	checkAge("", member.contactAt, s.clock(member), member.applied)
	checkAge("the child of", member.child.contactAt, s.relayClock(member.child), member.child.applied)
	checkAge("the grandchild of", member.child.child.contactAt, s.relayClock(member.child.child), member.child.child.applied)
	leader := member.node.Leader()
	if leader == 0 || leader == member.node.ID() {
		return
	}
	if messageAt, ok := member.leaderMessageAt[leader]; !ok || s.now-messageAt > maxElectionTimeout+partitionStep {
		s.reportFailure("member %d names %d as the leader, which it has not heard for %v", member.number, leader, s.now-messageAt)
	}
}

// cutOff takes members away from the others, one way or both.
func (s *partitionSim) isolate(members []int, receives, sends bool) {
	s.isolated, s.inboundCut = members, !receives
	for _, from := range members {
		for to := range s.members {
			if slices.Contains(members, to) {
				continue
			}
			s.cutLinks[[2]int{from, to}] = !sends
			s.cutLinks[[2]int{to, from}] = !receives
		}
	}
}

// current reports whether all members are up, know the leader and have a recent state.
func (s *partitionSim) allCurrent() bool {
	for _, member := range s.members {
		if member.node == nil || s.now < member.frozenUntil || member.node.Leader() == 0 || s.clock(member)-member.contactAt > maxCurrentAge {
			return false
		}
	}
	return true
}

// disturb lets something fail beside the cut.
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

// runPartitionSim runs one partition of twenty seconds. It returns how long after its end all members were current.
func runPartitionSim(seed uint64) (sim *partitionSim, recovered time.Duration) {
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
		isolated = []int{max(leader, 0), len(sim.members) - 1} // the leader, and the learner with it
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
			sim.reportFailure("member %d leads %v after it was cut off", isolated[0], sim.now-isolatedAt)
		}
	}
	clear(sim.cutLinks)
	clear(sim.linkDelays)
	sim.isolated = nil
	for _, member := range sim.members {
		member.frozenUntil = min(member.frozenUntil, sim.now)
	}
	for end := sim.now; !sim.allCurrent(); sim.step() {
		if recovered = sim.now - end; recovered > 2*maxRecoveryTime {
			break
		}
	}
	for until := sim.now + 2*time.Second; sim.now < until; {
		sim.step()
	}
	return sim, recovered
}

// TestPartitionedMembers cuts the leader, a follower or the learner off for twenty seconds or forty, one way or both, with restarts,
// pauses and slow links on both sides. At no moment is a state older than its holder says, down to the second relay below
// each member, and no relay that starts meanwhile is ready by an older one than it may; no read misses a change that was acknowledged before it; a member that hears nobody acknowledges nothing
// and no longer leads after an election timeout; and all are current again soon after the end.
func TestPartitionedMembers(t *testing.T) {
	var recoveries []time.Duration
	ackedChanges, answeredReads := 0, 0
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		sim, recovered := runPartitionSim(seed)
		for _, failure := range sim.failures {
			t.Errorf("seed %d: %s", seed, failure)
		}
		if recovered > maxRecoveryTime {
			t.Errorf("seed %d: not all members were current %v after the cut's end", seed, recovered)
		}
		recoveries = append(recoveries, recovered)
		ackedChanges, answeredReads = ackedChanges+sim.ackedChanges, answeredReads+sim.answeredReads
	}
	if ackedChanges < 500**seedCount || answeredReads < 100**seedCount {
		t.Errorf("%d changes acknowledged and %d reads answered in %d worlds: hardly a test", ackedChanges, answeredReads, *seedCount)
	}
	slices.Sort(recoveries)
	t.Logf("%d changes acknowledged, %d reads answered; all were current %v (p50), %v (p99) after the cut's end",
		ackedChanges, answeredReads, recoveries[len(recoveries)/2], recoveries[len(recoveries)*99/100])
}

package raft

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

var (
	traceMembership = flag.Bool("trace-membership", false, "log each membership change")
	membershipSeeds = flag.Int("membership-seeds", 8, "number of simulated runs of tolerated losses")
	forgetRejoin    = flag.Bool("forget-rejoin", false, "mutation: a process sends no join requests while it is a member in its own log")
)

const (
	maxRejoinTime = 5 * time.Second // a member must be a voter again within this time of its return
	recoveryTime  = 4 * time.Second // bounds.sync_time_s: a restarted or new machine counts as lost for this time
)

// newQuorum returns a quorum in which all machines are voters.
func newQuorum(t *testing.T, seed uint64, machines, wanted int) *membershipSim {
	sim := newMembershipSim(t, seed, machines, wanted)
	for _, process := range sim.processes {
		process.skipRejoin = *forgetRejoin
	}
	for sim.now < 20*time.Second && Voters(sim.committedMembership().peers) < machines {
		sim.step()
	}
	if voterCount := Voters(sim.committedMembership().peers); voterCount != machines {
		t.Fatalf("%d of %d machines are voters after %v", voterCount, machines, sim.now)
	}
	return sim
}

// TestRejoinAfterPartition checks that a partitioned member is a voter again within maxRejoinTime after the partition,
// whether or not it has been replaced.
func TestRejoinAfterPartition(t *testing.T) {
	type testCase struct {
		name        string
		replaced    bool // another machine replaces it during the partition
		restarted   bool // it is restarted during the partition
		moved       bool // it has another address after the restart
		allReplaced bool // all others are replaced by machines at other addresses
		inboundOnly bool // it receives nothing, but can send
	}
	tests := []testCase{
		{name: "kept"}, {name: "kept, inbound cut", inboundOnly: true}, {name: "kept, restarted", restarted: true},
		{name: "kept, moved", restarted: true, moved: true},
		{name: "replaced", replaced: true}, {name: "replaced, inbound cut", replaced: true, inboundOnly: true},
		{name: "replaced, restarted", replaced: true, restarted: true},
		{name: "replaced, moved", replaced: true, restarted: true, moved: true},
		{name: "all addresses changed", replaced: true, restarted: true, moved: true, allReplaced: true},
	}
	for _, duration := range []time.Duration{20 * time.Second, 10 * time.Minute} {
		for _, machines := range []int{3, 4} {
			for _, test := range tests {
				if test.allReplaced && duration < time.Minute || machines > 3 && duration > time.Minute {
					continue // allReplaced needs the long partition, which is run with three machines only
				}
				t.Run(fmt.Sprintf("%v, %d machines, %s", duration, machines, test.name), func(t *testing.T) {
					sim := newQuorum(t, 7, machines, 3)
					member := sim.leader()
					member.isolated, member.inboundCut = !test.inboundOnly, test.inboundOnly
					isolatedAt := sim.now
					if test.replaced {
						sim.runUntil(sim.now + 2*time.Second)
						sim.start(sim.addMachine("successor"))
					}
					if test.allReplaced {
						sim.replaceAllBut(member)
					}
					sim.runUntil(isolatedAt + duration/2)
					if test.restarted {
						sim.stop(member)
						if test.moved {
							member.address = "moved"
						}
						sim.start(member)
					}
					sim.runUntil(isolatedAt + duration)
					if isVoter := sim.isCommittedVoter(member); isVoter != (!test.replaced && !test.moved) { // a moved member must not be a voter yet
						t.Fatalf("at the end of the partition, the member is a voter: %v", isVoter)
					}
					term := sim.leader().node.Term()
					member.isolated, member.inboundCut = false, false
					reconnectedAt := sim.now
					for sim.now < reconnectedAt+maxRejoinTime && !sim.isCommittedVoter(member) {
						sim.step()
					}
					if !sim.isCommittedVoter(member) {
						t.Errorf("the member is not a voter %v after the partition; members:%s", sim.now-reconnectedAt, formatMembers(sim.committedMembership().peers))
					}
					if leader := sim.leader(); leader == nil || leader.node.Term() != term && !test.inboundOnly {
						t.Errorf("the leader of term %d was deposed", term)
					}
				})
			}
		}
	}
}

// replaceAllBut replaces all machines except one and its successor with machines at other addresses, one after the other.
func (s *membershipSim) replaceAllBut(excluded *simProcess) {
	for _, process := range slices.Clone(s.processes) {
		if process == excluded || process.address == "successor" {
			continue
		}
		s.runUntil(s.now + 8*time.Second)
		s.stop(process)
		s.runUntil(s.now + time.Second)
		s.start(s.addMachine(process.address + "-successor"))
	}
}

// TestUnresponsiveVoterKeepsVote checks that an unresponsive voter is not removed without a replacement, with odd and even
// numbers of voters.
func TestUnresponsiveVoterKeepsVote(t *testing.T) {
	for machines := 3; machines <= 5; machines++ {
		sim := newQuorum(t, 3, machines, 3)
		member := sim.processes[1]
		member.isolated = true
		sim.runUntil(sim.now + 2*time.Minute)
		if !sim.isCommittedVoter(member) {
			t.Errorf("with %d voters, an unresponsive one was removed", machines)
		}
	}
}

// machineSlot is a machine of the deployment. Its process changes when the machine is replaced.
type machineSlot struct {
	process   *simProcess
	lost      bool          // its process is down, frozen or cut off
	lostUntil time.Duration // it counts as lost until this time, even if it runs
	rejoinBy  time.Duration // time by which it must be a voter again; zero if there is no limit
}

// lossSim injects losses into a quorum, each as soon as it is tolerated.
type lossSim struct {
	*membershipSim
	machines     []*machineSlot
	tolerated    int // number of machines that may be lost at a time
	scheduled    []scheduledEvent
	injected     []string // kinds of the losses so far
	replacements int

	transferInterval int // average number of steps between leadership transfers
}

// scheduledEvent is a function to be run at a time.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

func (s *lossSim) schedule(delay time.Duration, run func()) {
	s.scheduled = append(s.scheduled, scheduledEvent{s.now + delay, run})
}

func (m *machineSlot) countsAsLost(now time.Duration) bool { return m.lost || now < m.lostUntil }

// remainingLosses returns the number of machines that may be lost in addition to those that count as lost.
func (s *lossSim) remainingLosses() int {
	remaining := s.tolerated
	for _, machine := range s.machines {
		if machine.countsAsLost(s.now) {
			remaining--
		}
	}
	return remaining
}

// machineReturned marks a machine as running again. It still counts as lost for recoveryTime.
func (s *lossSim) machineReturned(machine *machineSlot) {
	machine.lost, machine.lostUntil, machine.rejoinBy = false, s.now+recoveryTime, s.now+maxRejoinTime
}

// replaceMachine starts a process with an empty disk at another address, in the place of the machine's process.
func (s *lossSim) replaceMachine(machine *machineSlot) {
	s.replacements++
	machine.process = s.addMachine(fmt.Sprintf("%s.%d", machine.process.address[:2], s.replacements))
	machine.process.skipRejoin = *forgetRejoin
	s.start(machine.process)
	s.machineReturned(machine)
}

// injectRandomLoss injects a loss of a random machine, which is the leader's in at least half of all cases. It does nothing
// if the machine already counts as lost.
func (s *lossSim) injectRandomLoss() {
	machine := s.machines[s.rng.IntN(len(s.machines))]
	if leader := s.leader(); leader != nil && s.rng.IntN(2) == 0 {
		for _, other := range s.machines {
			if other.process == leader {
				machine = other
			}
		}
	}
	if machine.countsAsLost(s.now) {
		return
	}
	machine.rejoinBy = 0
	process := machine.process
	downtime := time.Duration(200+s.rng.IntN(2800)) * time.Millisecond
	kind := s.rng.IntN(7)
	if *traceMembership {
		s.t.Logf("%v %s: loss %d", s.now, process.address, kind)
	}
	switch kind {
	case 0:
		s.recordLoss("wipe")
		machine.lost = true
		s.stop(process)
		s.schedule(downtime, func() { process.disk.Wipe(); s.start(process); s.machineReturned(machine) })
	case 1, 2:
		s.recordLoss("replace")
		machine.lost = true
		s.stop(process)
		s.schedule([]time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}[s.rng.IntN(3)], func() { s.replaceMachine(machine) })
	case 3:
		s.recordLoss("planned replacement")
		s.replaceMachine(machine) // counts as lost for recoveryTime
		s.schedule(recoveryTime, func() { s.terminate(process) })
	case 4:
		s.recordLoss("restart")
		machine.lost = true
		s.stop(process)
		s.schedule(downtime, func() { s.start(process); s.machineReturned(machine) })
	case 5:
		s.recordLoss("freeze")
		machine.lost, process.frozen = true, true
		s.schedule(2*downtime, func() { process.frozen = false; s.machineReturned(machine) })
	case 6:
		s.recordLoss("partition")
		machine.lost = true
		process.isolated = s.rng.IntN(3) > 0
		process.inboundCut = !process.isolated
		s.schedule([]time.Duration{downtime, 20 * time.Second}[s.rng.IntN(2)], func() { process.isolated, process.inboundCut = false, false; s.machineReturned(machine) })
	}
}

func (s *lossSim) recordLoss(kind string) { s.injected = append(s.injected, kind) }

// checkFaultTolerance checks that the available voters would still be a majority after all remaining tolerated losses. It
// checks the committed membership and the leader's newest one.
func (s *lossSim) checkFaultTolerance() {
	candidates := []membership{s.committedMembership()}
	if leader := s.leader(); leader != nil {
		newest := leader.node.memberships[len(leader.node.memberships)-1]
		if newest.index > candidates[0].index { // older if the leader was frozen or cut off
			candidates = append(candidates, newest)
		}
	}
	for _, candidate := range candidates {
		if available := s.availableVoters(candidate.peers); available-max(0, s.remainingLosses()) < Voters(candidate.peers)/2+1 {
			s.reportFailure("%d of the voters%s are available, and %d more may be lost (losses: %v)", available, formatMembers(candidate.peers), s.remainingLosses(), s.injected)
		}
	}
}

// availableVoters returns the number of voters that run and do not count as lost. A process that is shutting down is
// available until it stops.
func (s *lossSim) availableVoters(peers []*wire.Peer) (count int) {
	for _, peer := range peers {
		process := s.processAt(peer.Address)
		if !peer.Voter || process == nil || process.disk.ID != peer.Id {
			continue
		}
		if !slices.ContainsFunc(s.machines, func(machine *machineSlot) bool { return machine.process == process && machine.countsAsLost(s.now) }) {
			count++
		}
	}
	return count
}

// checkRejoins checks that the machines that have returned are voters in time.
func (s *lossSim) checkRejoins() {
	for _, machine := range s.machines {
		if machine.rejoinBy == 0 || s.now < machine.rejoinBy {
			continue
		}
		machine.rejoinBy = 0
		if !s.isCommittedVoter(machine.process) {
			s.reportFailure("%s is not a voter %v after its return; members:%s (losses: %v)", machine.process.address, maxRejoinTime, formatMembers(s.committedMembership().peers), s.injected)
		}
	}
}

// TestToleratedLosses injects losses as soon as they are tolerated. The quorum must stay available after any further
// tolerated loss, acknowledged changes must not be lost, and machines that return must be voters within maxRejoinTime.
func TestToleratedLosses(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(*membershipSeeds) {
		sizes := [][2]int{{3, 1}, {4, 1}, {3, 1}, {5, 2}}[(*firstSeed+seed)%4]
		sim := newQuorum(t, *firstSeed+seed, sizes[0], 2*sizes[1]+1)
		losses := &lossSim{membershipSim: sim, tolerated: sizes[1], transferInterval: []int{4000, 1500}[sim.rng.IntN(2)]}
		for _, process := range sim.processes {
			losses.machines = append(losses.machines, &machineSlot{process: process})
		}
		losses.runLosses(sim.now + 120*time.Second)
		for _, kind := range losses.injected {
			kinds[kind]++
		}
		if sim.failed {
			t.Fatalf("seed %d, %d machines, %d tolerated losses: reproduce with go test -run %s -membership-seeds 1 -seed %d -trace-membership",
				seed, sizes[0], sizes[1], t.Name(), *firstSeed+seed)
		}
	}
	t.Logf("losses: %v", kinds)
}

// runLosses runs the simulation with losses. At the end it checks that the leader has committed all acknowledged changes,
// and that changes are still acknowledged.
func (s *lossSim) runLosses(until time.Duration) {
	const quietPhase = 12 * time.Second // time without losses at the end
	for ; s.now < until && !s.failed; s.step() {
		s.runScheduled()
		if s.now < until-quietPhase && s.remainingLosses() > 0 {
			s.injectRandomLoss()
		}
		if s.rng.IntN(30) == 0 {
			s.proposeChange()
		}
		if leader := s.leader(); leader != nil && s.now < until-quietPhase && s.rng.IntN(s.transferInterval) == 0 {
			leader.node.TransferLeadership(s.now)
		}
		s.checkFaultTolerance()
		s.checkRejoins()
	}
	leader := s.leader()
	if s.failed {
		return
	}
	if leader == nil || leader.node.Committed() < s.ackedIndex || until-s.ackedAt > quietPhase/2 {
		s.reportFailure("at the end: there is a leader: %v; last acknowledged entry %d at %v (losses: %v)", leader != nil, s.ackedIndex, s.ackedAt, s.injected)
	}
}

// runScheduled runs the scheduled events that are due.
func (s *lossSim) runScheduled() {
	due := slices.Clone(s.scheduled)
	s.scheduled = slices.DeleteFunc(s.scheduled, func(event scheduledEvent) bool { return event.at <= s.now })
	for _, event := range due {
		if event.at <= s.now {
			event.run()
		}
	}
}

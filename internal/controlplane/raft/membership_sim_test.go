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
	traceMembership = flag.Bool("trace-membership", false, "print each change of the membership")
	membershipSeeds = flag.Int("membership-seeds", 8, "simulated runs of losses")
	forgetRejoin    = flag.Bool("forget-rejoin", false, "mutation: a process takes its own log's word for its membership")
)

const (
	maxRejoinTime = 5 * time.Second // of a member that was away, until it votes again
	recoveryTime  = 4 * time.Second // the pages' sync_time_s: what a machine that is back or new may take
)

// grown returns a quorum in which all machines vote.
func newQuorum(t *testing.T, seed uint64, machines, wanted int) *membershipSim {
	sim := newMembershipSim(t, seed, machines, wanted)
	for _, process := range sim.processes {
		process.forgetsRejoin = *forgetRejoin
	}
	for sim.now < 20*time.Second && Voters(sim.committedMembership().peers) < machines {
		sim.step()
	}
	if voterCount := Voters(sim.committedMembership().peers); voterCount != machines {
		t.Fatalf("%d of %d machines vote after %v", voterCount, machines, sim.now)
	}
	return sim
}

// TestRejoinAfterPartition: a member that was cut off, whether or not another has taken its place meanwhile, is
// a voter again within seconds of the cut's end, without a hand.
func TestRejoinAfterPartition(t *testing.T) {
	type variant struct {
		name        string
		replaced    bool // an empty machine takes its place meanwhile
		restarted   bool // it starts again during the cut
		moved       bool // it comes back at another address
		allReplaced bool // all others are replaced meanwhile, by machines at other addresses
		inboundOnly bool // it hears nothing, and what it sends arrives
	}
	variants := []variant{
		{name: "kept"}, {name: "kept, deaf", inboundOnly: true}, {name: "kept, restarted", restarted: true},
		{name: "kept, moved", restarted: true, moved: true},
		{name: "replaced", replaced: true}, {name: "replaced, deaf", replaced: true, inboundOnly: true},
		{name: "replaced, restarted", replaced: true, restarted: true},
		{name: "replaced, moved", replaced: true, restarted: true, moved: true},
		{name: "all addresses changed", replaced: true, restarted: true, moved: true, allReplaced: true},
	}
	for _, duration := range []time.Duration{20 * time.Second, 10 * time.Minute} {
		for _, machines := range []int{3, 4} {
			for _, v := range variants {
				if v.allReplaced && duration < time.Minute || machines > 3 && duration > time.Minute {
					continue // it takes longer; and it is played often enough
				}
				t.Run(fmt.Sprintf("%v, %d machines, %s", duration, machines, v.name), func(t *testing.T) {
					sim := newQuorum(t, 7, machines, 3)
					member := sim.leader()
					member.isolated, member.inboundCut = !v.inboundOnly, v.inboundOnly
					isolatedAt := sim.now
					if v.replaced {
						sim.runUntil(sim.now + 2*time.Second)
						sim.start(sim.addMachine("successor"))
					}
					if v.allReplaced {
						sim.replaceAllBut(member)
					}
					sim.runUntil(isolatedAt + duration/2)
					if v.restarted {
						sim.stop(member)
						if v.moved {
							member.address = "moved"
						}
						sim.start(member)
					}
					sim.runUntil(isolatedAt + duration)
					if isVoter := sim.isCommittedVoter(member); isVoter != (!v.replaced && !v.moved) { // at its present address
						t.Fatalf("at the end of the cut it votes: %v", isVoter)
					}
					term := sim.leader().node.Term()
					member.isolated, member.inboundCut = false, false
					reconnectedAt := sim.now
					for sim.now < reconnectedAt+maxRejoinTime && !sim.isCommittedVoter(member) {
						sim.step()
					}
					if !sim.isCommittedVoter(member) {
						t.Errorf("no voter %v after the cut:%s", sim.now-reconnectedAt, formatMembers(sim.committedMembership().peers))
					}
					if leader := sim.leader(); leader == nil || leader.node.Term() != term && !v.inboundOnly {
						t.Errorf("the leader of term %d was disturbed", term)
					}
				})
			}
		}
	}
}

// replaceAllBut replaces all machines but one by empty ones at other addresses, one after the other.
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

// TestUnresponsiveVoterKeepsVote: a voter that is silent and has no successor keeps its vote, in odd and even sets.
func TestUnresponsiveVoterKeepsVote(t *testing.T) {
	for machines := 3; machines <= 5; machines++ {
		sim := newQuorum(t, 3, machines, 3)
		member := sim.processes[1]
		member.isolated = true
		sim.runUntil(sim.now + 2*time.Minute)
		if !sim.isCommittedVoter(member) {
			t.Errorf("of %d voters a silent one has lost its vote", machines)
		}
	}
}

// machineSlot is a machine of the deployment: its process, and what the pages say of it.
type machineSlot struct {
	process   *simProcess
	lost      bool          // down, frozen or cut off
	lostUntil time.Duration // and so it counts until then
	rejoinBy  time.Duration // it has to vote again by then; 0: nothing is due
}

// losses plays tolerated losses on a quorum, each at the first moment at which it may come.
type lossSim struct {
	*membershipSim
	machines     []*machineSlot
	tolerated    int
	scheduled    []scheduledEvent
	injected     []string
	replacements int

	transferInterval int // steps between two elections without a loss, on average
}

type scheduledEvent struct {
	at  time.Duration
	run func()
}

func (s *lossSim) schedule(delay time.Duration, run func()) {
	s.scheduled = append(s.scheduled, scheduledEvent{s.now + delay, run})
}

func (m *machineSlot) countsAsLost(now time.Duration) bool { return m.lost || now < m.lostUntil }

// budget is how many more machines may be lost at this moment.
func (s *lossSim) remainingLosses() int {
	remaining := s.tolerated
	for _, machine := range s.machines {
		if machine.countsAsLost(s.now) {
			remaining--
		}
	}
	return remaining
}

// back notes that a machine is there again, and counts as lost for syncTime more.
func (s *lossSim) machineReturned(machine *machineSlot) {
	machine.lost, machine.lostUntil, machine.rejoinBy = false, s.now+recoveryTime, s.now+maxRejoinTime
}

func (s *lossSim) replaceMachine(machine *machineSlot) {
	s.replacements++
	machine.process = s.addMachine(fmt.Sprintf("%s.%d", machine.process.address[:2], s.replacements))
	machine.process.forgetsRejoin = *forgetRejoin
	s.start(machine.process)
	s.machineReturned(machine)
}

// strike begins a loss: the leader's as often as all others'.
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
		s.replaceMachine(machine) // counts as lost until syncTime is over
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
		s.recordLoss("cut")
		machine.lost = true
		process.isolated = s.rng.IntN(3) > 0
		process.inboundCut = !process.isolated
		s.schedule([]time.Duration{downtime, 20 * time.Second}[s.rng.IntN(2)], func() { process.isolated, process.inboundCut = false, false; s.machineReturned(machine) })
	}
}

func (s *lossSim) recordLoss(kind string) { s.injected = append(s.injected, kind) }

// checkSpare fails where the machines that the pages do not count as lost, less those that may be lost at this moment,
// are no majority of a membership that may be in force.
func (s *lossSim) checkFaultTolerance() {
	candidates := []membership{s.committedMembership()}
	if leader := s.leader(); leader != nil {
		newest := leader.node.memberships[len(leader.node.memberships)-1]
		if newest.index > candidates[0].index { // else it has been cut off or frozen, and does not know yet
			candidates = append(candidates, newest)
		}
	}
	for _, candidate := range candidates {
		if available := s.availableVoters(candidate.peers); available-max(0, s.remainingLosses()) < Voters(candidate.peers)/2+1 {
			s.reportFailure("%d of the voters%s can do their part while %d more may be lost (%v)", available, formatMembers(candidate.peers), s.remainingLosses(), s.injected)
		}
	}
}

// able counts the voters whose processes run and are not counted as lost; one that is about to end does its part until
// it may.
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

func (s *lossSim) checkRejoins() {
	for _, machine := range s.machines {
		if machine.rejoinBy == 0 || s.now < machine.rejoinBy {
			continue
		}
		machine.rejoinBy = 0
		if !s.isCommittedVoter(machine.process) {
			s.reportFailure("%s is no voter %v after it came back:%s (%v)", machine.process.address, maxRejoinTime, formatMembers(s.committedMembership().peers), s.injected)
		}
	}
}

// TestToleratedLosses plays losses of disks, replacements, planned ones too, cuts, freezes and restarts, with
// elections in between, each at the first moment at which it is tolerated. At every step the voters that do not
// count as lost are enough, even after as many more losses as are allowed at that moment; what was acknowledged stays;
// a machine that is back votes again in time.
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
			t.Fatalf("seed %d, %d machines of which %d may be lost: go test -run %s -membership-seeds 1 -seed %d -trace-membership",
				seed, sizes[0], sizes[1], t.Name(), *firstSeed+seed)
		}
	}
	t.Logf("losses: %v", kinds)
}

func (s *lossSim) runLosses(until time.Duration) {
	const quietPhase = 12 * time.Second // at the end, for what was acknowledged to be read
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
		s.reportFailure("after the last loss: leader %v, last acknowledged %d at %v (%v)", leader != nil, s.ackedIndex, s.ackedAt, s.injected)
	}
}

func (s *lossSim) runScheduled() {
	due := slices.Clone(s.scheduled)
	s.scheduled = slices.DeleteFunc(s.scheduled, func(event scheduledEvent) bool { return event.at <= s.now })
	for _, event := range due {
		if event.at <= s.now {
			event.run()
		}
	}
}

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
	trace           = flag.Bool("trace-membership", false, "print each change of the membership")
	membershipSeeds = flag.Int("membership-seeds", 8, "simulated runs of losses")
	forgetRejoin    = flag.Bool("forget-rejoin", false, "mutation: a process takes its own log's word for its membership")
)

const (
	rejoinWithin = 5 * time.Second // of a member that was away, until it votes again
	syncTime     = 4 * time.Second // the pages' sync_time_s: what a machine that is back or new may take
)

// grown returns a quorum in which all machines vote.
func grown(t *testing.T, seed uint64, machines, wanted int) *membershipSim {
	w := newMembershipSim(t, seed, machines, wanted)
	for _, p := range w.processes {
		p.forgets = *forgetRejoin
	}
	for w.now < 20*time.Second && Voters(w.committed().peers) < machines {
		w.step()
	}
	if n := Voters(w.committed().peers); n != machines {
		t.Fatalf("%d of %d machines vote after %v", n, machines, w.now)
	}
	return w
}

// TestRejoinAfterPartition: a member that was cut off, whether or not another has taken its place meanwhile, is
// a voter again within seconds of the cut's end, without a hand.
func TestRejoinAfterPartition(t *testing.T) {
	type variant struct {
		name     string
		replaced bool // an empty machine takes its place meanwhile
		restart  bool // it starts again during the cut
		moved    bool // it comes back at another address
		others   bool // all others are replaced meanwhile, by machines at other addresses
		deaf     bool // it hears nothing, and what it sends arrives
	}
	variants := []variant{
		{name: "kept"}, {name: "kept, deaf", deaf: true}, {name: "kept, restarted", restart: true},
		{name: "kept, moved", restart: true, moved: true},
		{name: "replaced", replaced: true}, {name: "replaced, deaf", replaced: true, deaf: true},
		{name: "replaced, restarted", replaced: true, restart: true},
		{name: "replaced, moved", replaced: true, restart: true, moved: true},
		{name: "all addresses changed", replaced: true, restart: true, moved: true, others: true},
	}
	for _, length := range []time.Duration{20 * time.Second, 10 * time.Minute} {
		for _, machines := range []int{3, 4} {
			for _, v := range variants {
				if v.others && length < time.Minute || machines > 3 && length > time.Minute {
					continue // it takes longer; and it is played often enough
				}
				t.Run(fmt.Sprintf("%v, %d machines, %s", length, machines, v.name), func(t *testing.T) {
					w := grown(t, 7, machines, 3)
					away := w.leader()
					away.cut, away.deaf = !v.deaf, v.deaf
					cutAt := w.now
					if v.replaced {
						w.run(w.now + 2*time.Second)
						w.start(w.add("successor"))
					}
					if v.others {
						w.replaceAllBut(away)
					}
					w.run(cutAt + length/2)
					if v.restart {
						w.stop(away)
						if v.moved {
							away.address = "moved"
						}
						w.start(away)
					}
					w.run(cutAt + length)
					if votes := w.votes(away); votes != (!v.replaced && !v.moved) { // at its present address
						t.Fatalf("at the end of the cut it votes: %v", votes)
					}
					term := w.leader().node.Term()
					away.cut, away.deaf = false, false
					back := w.now
					for w.now < back+rejoinWithin && !w.votes(away) {
						w.step()
					}
					if !w.votes(away) {
						t.Errorf("no voter %v after the cut:%s", w.now-back, voterNames(w.committed().peers))
					}
					if lead := w.leader(); lead == nil || lead.node.Term() != term && !v.deaf {
						t.Errorf("the leader of term %d was disturbed", term)
					}
				})
			}
		}
	}
}

// replaceAllBut replaces all machines but one by empty ones at other addresses, one after the other.
func (w *membershipSim) replaceAllBut(spared *process) {
	for _, p := range slices.Clone(w.processes) {
		if p == spared || p.address == "successor" {
			continue
		}
		w.run(w.now + 8*time.Second)
		w.stop(p)
		w.run(w.now + time.Second)
		w.start(w.add(p.address + "-successor"))
	}
}

// TestUnresponsiveVoterKeepsVote: a voter that is silent and has no successor keeps its vote, in odd and even sets.
func TestUnresponsiveVoterKeepsVote(t *testing.T) {
	for machines := 3; machines <= 5; machines++ {
		w := grown(t, 3, machines, 3)
		away := w.processes[1]
		away.cut = true
		w.run(w.now + 2*time.Minute)
		if !w.votes(away) {
			t.Errorf("of %d voters a silent one has lost its vote", machines)
		}
	}
}

// machineSlot is a machine of the deployment: its process, and what the pages say of it.
type machineSlot struct {
	process   *process
	lost      bool          // down, frozen or cut off
	lostUntil time.Duration // and so it counts until then
	rejoinBy  time.Duration // it has to vote again by then; 0: nothing is due
}

// losses plays tolerated losses on a quorum, each at the first moment at which it may come.
type losses struct {
	*membershipSim
	slots     []*machineSlot
	tolerated int
	later     []laterEvent
	played    []string
	serial    int

	handOverGap int // steps between two elections without a loss, on average
}

type laterEvent struct {
	at time.Duration
	do func()
}

func (l *losses) after(d time.Duration, do func()) {
	l.later = append(l.later, laterEvent{l.now + d, do})
}

func (s *machineSlot) counts(now time.Duration) bool { return s.lost || now < s.lostUntil }

// budget is how many more machines may be lost at this moment.
func (l *losses) budget() int {
	n := l.tolerated
	for _, s := range l.slots {
		if s.counts(l.now) {
			n--
		}
	}
	return n
}

// back notes that a machine is there again, and counts as lost for syncTime more.
func (l *losses) back(s *machineSlot) {
	s.lost, s.lostUntil, s.rejoinBy = false, l.now+syncTime, l.now+rejoinWithin
}

func (l *losses) newMachine(s *machineSlot) {
	l.serial++
	s.process = l.add(fmt.Sprintf("%s.%d", s.process.address[:2], l.serial))
	s.process.forgets = *forgetRejoin
	l.start(s.process)
	l.back(s)
}

// strike begins a loss: the leader's as often as all others'.
func (l *losses) strike() {
	s := l.slots[l.rng.IntN(len(l.slots))]
	if lead := l.leader(); lead != nil && l.rng.IntN(2) == 0 {
		for _, o := range l.slots {
			if o.process == lead {
				s = o
			}
		}
	}
	if s.counts(l.now) {
		return
	}
	s.rejoinBy = 0
	p := s.process
	shortly := time.Duration(200+l.rng.IntN(2800)) * time.Millisecond
	kind := l.rng.IntN(7)
	if *trace {
		l.t.Logf("%v %s: loss %d", l.now, p.address, kind)
	}
	switch kind {
	case 0:
		l.note("wipe")
		s.lost = true
		l.stop(p)
		l.after(shortly, func() { p.disk.Wipe(); l.start(p); l.back(s) })
	case 1, 2:
		l.note("replace")
		s.lost = true
		l.stop(p)
		l.after([]time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}[l.rng.IntN(3)], func() { l.newMachine(s) })
	case 3:
		l.note("planned replacement")
		l.newMachine(s) // counts as lost until syncTime is over
		l.after(syncTime, func() { l.terminate(p) })
	case 4:
		l.note("restart")
		s.lost = true
		l.stop(p)
		l.after(shortly, func() { l.start(p); l.back(s) })
	case 5:
		l.note("freeze")
		s.lost, p.frozen = true, true
		l.after(2*shortly, func() { p.frozen = false; l.back(s) })
	case 6:
		l.note("cut")
		s.lost = true
		p.cut = l.rng.IntN(3) > 0
		p.deaf = !p.cut
		l.after([]time.Duration{shortly, 20 * time.Second}[l.rng.IntN(2)], func() { p.cut, p.deaf = false, false; l.back(s) })
	}
}

func (l *losses) note(kind string) { l.played = append(l.played, kind) }

// checkSpare fails where the machines that the pages do not count as lost, less those that may be lost at this moment,
// are no majority of a membership that may be in force.
func (l *losses) checkSpare() {
	sets := []membership{l.committed()}
	if lead := l.leader(); lead != nil {
		newest := lead.node.memberships[len(lead.node.memberships)-1]
		if newest.index > sets[0].index { // else it has been cut off or frozen, and does not know yet
			sets = append(sets, newest)
		}
	}
	for _, set := range sets {
		if able := l.able(set.peers); able-max(0, l.budget()) < Voters(set.peers)/2+1 {
			l.fail("%d of the voters%s can do their part while %d more may be lost (%v)", able, voterNames(set.peers), l.budget(), l.played)
		}
	}
}

// able counts the voters whose processes run and are not counted as lost; one that is about to end does its part until
// it may.
func (l *losses) able(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		process := l.at(p.Address)
		if !p.Voter || process == nil || process.disk.ID != p.Id {
			continue
		}
		if !slices.ContainsFunc(l.slots, func(s *machineSlot) bool { return s.process == process && s.counts(l.now) }) {
			n++
		}
	}
	return n
}

func (l *losses) checkRejoins() {
	for _, s := range l.slots {
		if s.rejoinBy == 0 || l.now < s.rejoinBy {
			continue
		}
		s.rejoinBy = 0
		if !l.votes(s.process) {
			l.fail("%s is no voter %v after it came back:%s (%v)", s.process.address, rejoinWithin, voterNames(l.committed().peers), l.played)
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
		sizes := [][2]int{{3, 1}, {4, 1}, {3, 1}, {5, 2}}[(*firstOne+seed)%4]
		w := grown(t, *firstOne+seed, sizes[0], 2*sizes[1]+1)
		l := &losses{membershipSim: w, tolerated: sizes[1], handOverGap: []int{4000, 1500}[w.rng.IntN(2)]}
		for _, p := range w.processes {
			l.slots = append(l.slots, &machineSlot{process: p})
		}
		l.play(w.now + 120*time.Second)
		for _, kind := range l.played {
			kinds[kind]++
		}
		if w.failed {
			t.Fatalf("seed %d, %d machines of which %d may be lost: go test -run %s -membership-seeds 1 -seed %d -trace-membership",
				seed, sizes[0], sizes[1], t.Name(), *firstOne+seed)
		}
	}
	t.Logf("losses: %v", kinds)
}

func (l *losses) play(until time.Duration) {
	const calm = 12 * time.Second // at the end, for what was acknowledged to be read
	for ; l.now < until && !l.failed; l.step() {
		l.runLater()
		if l.now < until-calm && l.budget() > 0 {
			l.strike()
		}
		if l.rng.IntN(30) == 0 {
			l.propose()
		}
		if lead := l.leader(); lead != nil && l.now < until-calm && l.rng.IntN(l.handOverGap) == 0 {
			lead.node.TransferLeadership(l.now)
		}
		l.checkSpare()
		l.checkRejoins()
	}
	lead := l.leader()
	if l.failed {
		return
	}
	if lead == nil || lead.node.Committed() < l.acked || until-l.ackedAt > calm/2 {
		l.fail("after the last loss: leader %v, last acknowledged %d at %v (%v)", lead != nil, l.acked, l.ackedAt, l.played)
	}
}

func (l *losses) runLater() {
	due := slices.Clone(l.later)
	l.later = slices.DeleteFunc(l.later, func(e laterEvent) bool { return e.at <= l.now })
	for _, e := range due {
		if e.at <= l.now {
			e.do()
		}
	}
}

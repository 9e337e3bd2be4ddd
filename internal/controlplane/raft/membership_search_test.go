package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

const generatedLeaders = 2000 // number of leaders that each test generates

// generatedLeader is a leader with random progress of its members. Its methods check the leader's decisions independently of
// the implementation.
type generatedLeader struct {
	*Node
	rng          *rand.Rand
	wantedVoters int
	samples      []lastIndexSample
}

// lastIndexSample is the leader's last index at a time.
type lastIndexSample struct {
	at    time.Duration
	index uint64
}

// newGeneratedLeader returns a leader of 2 to 6 voters and up to two learners, each with a random match index and time of
// the last response. Members may be leaving, and learners may have the address of a voter whose disk is lost.
func newGeneratedLeader(t *testing.T, seed uint64) *generatedLeader {
	rng := rand.New(rand.NewPCG(seed, 0x3e3b))
	size := 2 + rng.IntN(5)
	leader := &generatedLeader{Node: newLeaderWithContacts(t, size, otherIDs(size)...), rng: rng, wantedVoters: []int{3, 3, 5}[rng.IntN(3)]}
	for i, p := range leader.Peers() {
		p.Address = fmt.Sprint("m", i+1)
	}
	learners := rng.IntN(3)
	for i := range learners {
		address := fmt.Sprint("new", i)
		if rng.IntN(4) == 0 {
			address = fmt.Sprint("m", 2+rng.IntN(size-1)) // the address of a voter whose disk is lost
		}
		change, _ := leader.JoinChange(&wire.Peer{Id: uint64(101 + i), Address: address})
		if err := leader.ProposeMembership(leader.now, change.Next); err != nil {
			t.Fatal(err)
		}
		processReady(leader.Node)
		respondAll(leader.Node, leader.now, otherIDs(size)...)
	}
	leader.runOneSecond(t, size)
	for _, p := range leader.Peers() {
		leader.randomizeProgress(p.Id)
	}
	return leader
}

// runOneSecond runs the leader for a second in which it proposes entries, and samples its last index as Reconcile does.
func (g *generatedLeader) runOneSecond(t *testing.T, size int) {
	for range 20 {
		now := g.now + 50*time.Millisecond
		g.Tick(now)
		if g.rng.IntN(2) == 0 {
			if _, _, err := g.Propose(now, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		processReady(g.Node)
		respondAll(g.Node, now, otherIDs(size)...)
		g.samples = append(g.samples, lastIndexSample{now, g.last()})
		g.catchUp.sample(now, g.last())
	}
}

// randomizeProgress sets a member's progress to random values.
func (g *generatedLeader) randomizeProgress(id uint64) {
	p := g.progress[id]
	if p == nil || id == g.id {
		return
	}
	contactAges := []time.Duration{0, 0, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, time.Minute}
	p.lastContact = g.now - contactAges[g.rng.IntN(len(contactAges))]
	if g.rng.IntN(8) == 0 {
		p.heartbeatRound = 0 // it has never responded to this leader
	} else {
		p.heartbeatRound = g.heartbeatRound
	}
	matches := []uint64{0, g.membershipIndex() - 1, g.membershipIndex(), g.committed - 1, g.committed, g.last()}
	p.match = matches[g.rng.IntN(len(matches))]
	if g.rng.IntN(4) == 0 {
		g.leaving[id] = g.now - []time.Duration{0, 700 * time.Millisecond, 3 * time.Second}[g.rng.IntN(3)]
	}
}

func (g *generatedLeader) membershipIndex() uint64 { return g.memberships[len(g.memberships)-1].index }

// responds reports whether a member has responded within 200 ms and has the newest membership.
func (g *generatedLeader) responds(id uint64) bool {
	if id == g.id {
		return true
	}
	p := g.progress[id]
	return p.heartbeatRound > 0 && g.now-p.lastContact < 200*time.Millisecond && p.match >= g.membershipIndex()
}

// announcedLeave reports whether a member has announced its shutdown and has not responded a second or more after that.
func (g *generatedLeader) announcedLeave(id uint64) bool {
	announcedAt, ok := g.leaving[id]
	return ok && g.progress[id].lastContact-announcedAt < time.Second
}

// failureMargin returns the number of voters that respond and are not leaving, minus the number that a majority needs.
func (g *generatedLeader) failureMargin(peers []*wire.Peer) int {
	voters, available := 0, 0
	for _, p := range peers {
		if !p.Voter {
			continue
		}
		voters++
		if g.responds(p.Id) && !g.announcedLeave(p.Id) {
			available++
		}
	}
	return available - (voters/2 + 1)
}

// majorityResponds reports whether a majority of the voters responds.
func (g *generatedLeader) majorityResponds(peers []*wire.Peer) bool {
	voters, responding := 0, 0
	for _, p := range peers {
		if p.Voter {
			voters++
			if g.responds(p.Id) {
				responding++
			}
		}
	}
	return responding > voters/2
}

// caughtUp reports whether a member has all committed entries, or those that the leader had 300 ms ago.
func (g *generatedLeader) caughtUp(id uint64) bool {
	match := g.progress[id].match
	if match >= g.committed {
		return true
	}
	for _, sample := range slices.Backward(g.samples) {
		if g.now-sample.at >= 300*time.Millisecond {
			return match >= sample.index
		}
	}
	return false
}

// violatedRule describes the rule that a change violates. It returns an empty string if there is none.
func (g *generatedLeader) violatedRule(change MembershipChange) string {
	margin := g.failureMargin(g.Peers())
	switch change.Event {
	case MemberRemoved:
		switch {
		case g.failureMargin(change.Next) < margin:
			return fmt.Sprintf("%d failures are tolerated after the change, %d before", g.failureMargin(change.Next), margin)
		case !g.majorityResponds(change.Next):
			return "no majority of the remaining voters responds"
		case Voters(change.Next) < g.wantedVoters-1:
			return fmt.Sprintf("%d voters remain", Voters(change.Next))
		case change.Reason == ReasonReplaced && g.responds(change.Peer.Id):
			return "the replaced voter responds"
		}
	case MemberPromoted:
		switch {
		case !g.responds(change.Peer.Id):
			return "the learner does not respond, or lacks the newest membership"
		case !g.caughtUp(change.Peer.Id):
			return fmt.Sprintf("the learner has %d of %d entries", g.progress[change.Peer.Id].match, g.last())
		}
	}
	return ""
}

// TestSearchOfMembershipChanges generates random leaders. No change of Reconcile may reduce the number of tolerated
// failures, leave the voters without a responding majority, or promote a learner that has not caught up.
func TestSearchOfMembershipChanges(t *testing.T) {
	changes := map[MembershipEvent]int{}
	for seed := range uint64(generatedLeaders) {
		leader := newGeneratedLeader(t, seed)
		change := leader.Reconcile(leader.wantedVoters)
		if change.Next == nil {
			continue
		}
		changes[change.Event]++
		if violation := leader.violatedRule(change); violation != "" {
			t.Fatalf("seed %d, %d voters wanted: %s of %s (%s) in%s: %s", seed, leader.wantedVoters, change.Event, change.Peer.Address,
				change.Reason, formatMembers(leader.Peers()), violation)
		}
	}
	for _, event := range []MembershipEvent{MemberRemoved, MemberPromoted, LearnerRemoved} {
		if changes[event] < generatedLeaders/100 {
			t.Errorf("%d changes are %s, want at least one for every 100 generated leaders", changes[event], event)
		}
	}
	t.Logf("changes: %v", changes)
}

// TestSearchOfLeaves generates random leaders and leave requests with random last entries. A leader must report the entry as
// replicated only if it has the entry and a majority of the remaining voters has it too.
func TestSearchOfLeaves(t *testing.T) {
	allowed := 0
	for seed := range uint64(generatedLeaders) {
		leader := newGeneratedLeader(t, seed)
		peers := leader.Peers()
		id := peers[1+leader.rng.IntN(len(peers)-1)].Id
		index := leader.membershipIndex() + leader.rng.Uint64N(leader.last()+2-leader.membershipIndex())
		term := leader.Term() - leader.rng.Uint64N(2)
		status, ok := leader.Leave(leader.now, id, index, term, leader.wantedVoters)
		if !ok {
			t.Fatalf("seed %d: the leader did not handle the leave request", seed)
		}
		if !status.Replicated {
			continue
		}
		allowed++
		voters, holders := 0, 0
		for _, p := range peers {
			if !p.Voter || p.Id == id {
				continue
			}
			voters++
			if p.Id == leader.id || leader.progress[p.Id].match >= index {
				holders++
			}
		}
		ownTerm, known := leader.term(index)
		if index <= leader.snapshot.Index { // these entries are committed
			ownTerm, known = term, true
		}
		if holders <= voters/2 || !known || ownTerm != term {
			t.Fatalf("seed %d: leave request of member %d: entry %d of term %d is reported as replicated, but %d of the %d other voters have it", seed, id, index, term, holders, voters)
		}
	}
	if allowed < generatedLeaders/10 {
		t.Errorf("%d entries are reported as replicated, want at least one for every 10 generated leaders", allowed)
	}
}

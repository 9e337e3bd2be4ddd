package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

const generatedLeaders = 2000 // drawn by each of the searches below

// drawnQuorum is a leader whose knowledge of its members is drawn at random, and what the rules below need to know
// beside it.
type generatedLeader struct {
	*Node
	rng          *rand.Rand
	wantedVoters int
	samples      []lastIndexSample
}

// logMark is the leader's last index at a moment.
type lastIndexSample struct {
	at    time.Duration
	index uint64
}

// drawQuorum returns a leader of 2 to 6 voters with up to two learners, of which each has answered at some moment, as far
// as some index, may be about to end, and may have lost its disk.
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
			address = fmt.Sprint("m", 2+rng.IntN(size-1)) // the machine of a voter, with an empty disk
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

// pass lets a second go by in which entries are proposed and the leader looks at its members, as it does in service.
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

// drawMember draws what the leader knows of a member.
func (g *generatedLeader) randomizeProgress(id uint64) {
	p := g.progress[id]
	if p == nil || id == g.id {
		return
	}
	contactAges := []time.Duration{0, 0, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, time.Minute}
	p.lastContact = g.now - contactAges[g.rng.IntN(len(contactAges))]
	if g.rng.IntN(8) == 0 {
		p.heartbeatRound = 0 // it has never answered
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

// answers reports whether a member does its part at this moment, as far as a leader can know.
func (g *generatedLeader) responds(id uint64) bool {
	if id == g.id {
		return true
	}
	p := g.progress[id]
	return p.heartbeatRound > 0 && g.now-p.lastContact < 200*time.Millisecond && p.match >= g.membershipIndex()
}

// leaves reports whether a member has said that it ends, and has not been heard a second later.
func (g *generatedLeader) announcedLeave(id uint64) bool {
	announcedAt, ok := g.leaving[id]
	return ok && g.progress[id].lastContact-announcedAt < time.Second
}

// toSpare counts the voters that stay and answer, beyond a majority of all.
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

// answerMajority reports whether a majority of the voters answers.
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

// hadLately reports whether a member has what was in the log 300 ms ago, or all that is committed.
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

// complaint says which rule a change breaks; empty: none.
func (g *generatedLeader) violatedRule(change MembershipChange) string {
	margin := g.failureMargin(g.Peers())
	switch change.Event {
	case MemberRemoved:
		switch {
		case g.failureMargin(change.Next) < margin:
			return fmt.Sprintf("%d to spare, %d before", g.failureMargin(change.Next), margin)
		case !g.majorityResponds(change.Next):
			return "those that are left are no majority"
		case Voters(change.Next) < g.wantedVoters-1:
			return fmt.Sprintf("%d voters are left", Voters(change.Next))
		case change.Reason == ReasonReplaced && g.responds(change.Peer.Id):
			return "it answers"
		}
	case MemberPromoted:
		switch {
		case !g.responds(change.Peer.Id):
			return "it does not answer, or lacks the membership"
		case !g.caughtUp(change.Peer.Id):
			return fmt.Sprintf("it has %d of %d entries", g.progress[change.Peer.Id].match, g.last())
		}
	}
	return ""
}

// TestSearchOfMembershipChanges draws what leaders may know of their members: no change that they would make leaves less
// to spare, takes a majority away, or lets a learner vote that lacks what the others have.
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
			t.Errorf("%d changes are %s: hardly a search", changes[event], event)
		}
	}
	t.Logf("changes: %v", changes)
}

// TestSearchOfLeaves draws the same, and a member that is about to end with a last entry of any index and term: it is
// let go only when that entry was never committed, or is on a majority of the voters that stay.
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
			t.Fatalf("seed %d: no answer", seed)
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
		if index <= leader.snapshot.Index { // all of that is committed
			ownTerm, known = term, true
		}
		if holders <= voters/2 || !known || ownTerm != term {
			t.Fatalf("seed %d: member %d is let go with entry %d of term %d, which %d of the %d others have", seed, id, index, term, holders, voters)
		}
	}
	if allowed < generatedLeaders/10 {
		t.Errorf("%d members are let go: hardly a search", allowed)
	}
}

package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

const searchedQuorums = 2000 // drawn by each of the searches below

// drawnQuorum is a leader whose knowledge of its members is drawn at random, and what the rules below need to know
// beside it.
type drawnQuorum struct {
	*Node
	rng    *rand.Rand
	wanted int
	marks  []logMark
}

// logMark is the leader's last index at a moment.
type logMark struct {
	at   time.Duration
	last uint64
}

// drawQuorum returns a leader of 2 to 6 voters with up to two learners, of which each has answered at some moment, as far
// as some index, may be about to end, and may have lost its disk.
func drawQuorum(t *testing.T, seed uint64) *drawnQuorum {
	rng := rand.New(rand.NewPCG(seed, 0x3e3b))
	size := 2 + rng.IntN(5)
	q := &drawnQuorum{Node: leadingOf(t, size, others(size)...), rng: rng, wanted: []int{3, 3, 5}[rng.IntN(3)]}
	for i, p := range q.Peers() {
		p.Address = fmt.Sprint("m", i+1)
	}
	learners := rng.IntN(3)
	for i := range learners {
		address := fmt.Sprint("new", i)
		if rng.IntN(4) == 0 {
			address = fmt.Sprint("m", 2+rng.IntN(size-1)) // the machine of a voter, with an empty disk
		}
		change, _ := q.JoinChange(&wire.Peer{Id: uint64(101 + i), Address: address})
		if err := q.ProposeMembership(q.now, change.Next); err != nil {
			t.Fatal(err)
		}
		settle(q.Node)
		answering(q.Node, q.now, others(size)...)
	}
	q.pass(t, size)
	for _, p := range q.Peers() {
		q.drawMember(p.Id)
	}
	return q
}

// pass lets a second go by in which entries are proposed and the leader looks at its members, as it does in service.
func (q *drawnQuorum) pass(t *testing.T, size int) {
	for range 20 {
		now := q.now + 50*time.Millisecond
		q.Tick(now)
		if q.rng.IntN(2) == 0 {
			if _, _, err := q.Propose(now, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		settle(q.Node)
		answering(q.Node, now, others(size)...)
		q.marks = append(q.marks, logMark{now, q.last()})
		q.catchUp.sample(now, q.last())
	}
}

// drawMember draws what the leader knows of a member.
func (q *drawnQuorum) drawMember(id uint64) {
	p := q.progress[id]
	if p == nil || id == q.id {
		return
	}
	silences := []time.Duration{0, 0, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, time.Minute}
	p.lastContact = q.now - silences[q.rng.IntN(len(silences))]
	if q.rng.IntN(8) == 0 {
		p.heartbeatRound = 0 // it has never answered
	} else {
		p.heartbeatRound = q.heartbeatRound
	}
	reached := []uint64{0, q.membershipIndex() - 1, q.membershipIndex(), q.committed - 1, q.committed, q.last()}
	p.match = reached[q.rng.IntN(len(reached))]
	if q.rng.IntN(4) == 0 {
		q.leaving[id] = q.now - []time.Duration{0, 700 * time.Millisecond, 3 * time.Second}[q.rng.IntN(3)]
	}
}

func (q *drawnQuorum) membershipIndex() uint64 { return q.memberships[len(q.memberships)-1].index }

// answers reports whether a member does its part at this moment, as far as a leader can know.
func (q *drawnQuorum) answers(id uint64) bool {
	if id == q.id {
		return true
	}
	p := q.progress[id]
	return p.heartbeatRound > 0 && q.now-p.lastContact < 200*time.Millisecond && p.match >= q.membershipIndex()
}

// leaves reports whether a member has said that it ends, and has not been heard a second later.
func (q *drawnQuorum) leaves(id uint64) bool {
	said, ok := q.leaving[id]
	return ok && q.progress[id].lastContact-said < time.Second
}

// toSpare counts the voters that stay and answer, beyond a majority of all.
func (q *drawnQuorum) toSpare(peers []*wire.Peer) int {
	voters, stay := 0, 0
	for _, p := range peers {
		if !p.Voter {
			continue
		}
		voters++
		if q.answers(p.Id) && !q.leaves(p.Id) {
			stay++
		}
	}
	return stay - (voters/2 + 1)
}

// answerMajority reports whether a majority of the voters answers.
func (q *drawnQuorum) answerMajority(peers []*wire.Peer) bool {
	voters, answer := 0, 0
	for _, p := range peers {
		if p.Voter {
			voters++
			if q.answers(p.Id) {
				answer++
			}
		}
	}
	return answer > voters/2
}

// hadLately reports whether a member has what was in the log 300 ms ago, or all that is committed.
func (q *drawnQuorum) hadLately(id uint64) bool {
	match := q.progress[id].match
	if match >= q.committed {
		return true
	}
	for _, m := range slices.Backward(q.marks) {
		if q.now-m.at >= 300*time.Millisecond {
			return match >= m.last
		}
	}
	return false
}

// complaint says which rule a change breaks; empty: none.
func (q *drawnQuorum) complaint(c MembershipChange) string {
	spare := q.toSpare(q.Peers())
	switch c.Event {
	case MemberRemoved:
		switch {
		case q.toSpare(c.Next) < spare:
			return fmt.Sprintf("%d to spare, %d before", q.toSpare(c.Next), spare)
		case !q.answerMajority(c.Next):
			return "those that are left are no majority"
		case Voters(c.Next) < q.wanted-1:
			return fmt.Sprintf("%d voters are left", Voters(c.Next))
		case c.Reason == ReasonReplaced && q.answers(c.Peer.Id):
			return "it answers"
		}
	case MemberPromoted:
		switch {
		case !q.answers(c.Peer.Id):
			return "it does not answer, or lacks the membership"
		case !q.hadLately(c.Peer.Id):
			return fmt.Sprintf("it has %d of %d entries", q.progress[c.Peer.Id].match, q.last())
		}
	}
	return ""
}

// TestSearchOfMembershipChanges draws what leaders may know of their members: no change that they would make leaves less
// to spare, takes a majority away, or lets a learner vote that lacks what the others have.
func TestSearchOfMembershipChanges(t *testing.T) {
	found := map[MembershipEvent]int{}
	for seed := range uint64(searchedQuorums) {
		q := drawQuorum(t, seed)
		change := q.Reconcile(q.wanted)
		if change.Next == nil {
			continue
		}
		found[change.Event]++
		if complaint := q.complaint(change); complaint != "" {
			t.Fatalf("seed %d, %d voters wanted: %s of %s (%s) in%s: %s", seed, q.wanted, change.Event, change.Peer.Address,
				change.Reason, voterNames(q.Peers()), complaint)
		}
	}
	for _, event := range []MembershipEvent{MemberRemoved, MemberPromoted, LearnerRemoved} {
		if found[event] < searchedQuorums/100 {
			t.Errorf("%d changes are %s: hardly a search", found[event], event)
		}
	}
	t.Logf("changes: %v", found)
}

// TestSearchOfLeaves draws the same, and a member that is about to end with a last entry of any index and term: it is
// let go only when that entry was never committed, or is on a majority of the voters that stay.
func TestSearchOfLeaves(t *testing.T) {
	let := 0
	for seed := range uint64(searchedQuorums) {
		q := drawQuorum(t, seed)
		peers := q.Peers()
		id := peers[1+q.rng.IntN(len(peers)-1)].Id
		index := q.membershipIndex() + q.rng.Uint64N(q.last()+2-q.membershipIndex())
		term := q.Term() - q.rng.Uint64N(2)
		departure, ok := q.Leave(q.now, id, index, term, q.wanted)
		if !ok {
			t.Fatalf("seed %d: no answer", seed)
		}
		if !departure.Replicated {
			continue
		}
		let++
		voters, holders := 0, 0
		for _, p := range peers {
			if !p.Voter || p.Id == id {
				continue
			}
			voters++
			if p.Id == q.id || q.progress[p.Id].match >= index {
				holders++
			}
		}
		own, known := q.term(index)
		if index <= q.snapshot.Index { // all of that is committed
			own, known = term, true
		}
		if holders <= voters/2 || !known || own != term {
			t.Fatalf("seed %d: member %d is let go with entry %d of term %d, which %d of the %d others have", seed, id, index, term, holders, voters)
		}
	}
	if let < searchedQuorums/10 {
		t.Errorf("%d members are let go: hardly a search", let)
	}
}

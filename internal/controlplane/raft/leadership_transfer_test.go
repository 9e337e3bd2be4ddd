package raft

import (
	"testing"
	"time"
)

// TestLeadershipTransfer checks that leadership moves quickly from a leader that shuts down or whose disk is much slower
// than the others'. Proposals are rejected during the transfer, and a transfer to an unresponsive member is abandoned.
func TestLeadershipTransfer(t *testing.T) {
	for _, test := range []struct {
		name           string
		transfer       func(sim *simulation, leader *simMember) // makes the leader start a transfer
		timeout        time.Duration                            // time within which the transfer must complete
		expectTransfer bool                                     // whether another member must become the leader
	}{
		{"shutdown", func(sim *simulation, leader *simMember) {
			if !leader.node.TransferLeadership(sim.now) {
				t.Error("there is no candidate for the leadership transfer")
			}
			if _, _, err := leader.node.Propose(sim.now, []byte("x")); err != ErrProposalDropped {
				t.Errorf("proposal during a leadership transfer: error is %v, want ErrProposalDropped", err)
			}
		}, 50 * time.Millisecond, true},
		{"slow leader disk", func(sim *simulation, leader *simMember) {
			for range 20 {
				leader.node.ObserveSync(60 * time.Millisecond)
			}
		}, 400 * time.Millisecond, true},
		{"all disks slow", func(sim *simulation, leader *simMember) {
			for _, member := range sim.members {
				for range 20 {
					member.node.ObserveSync(60 * time.Millisecond)
				}
			}
			for range 200 { // the followers report their sync times to the leader
				sim.stepFaultless()
			}
		}, 400 * time.Millisecond, false},
		{"unresponsive followers", func(sim *simulation, leader *simMember) {
			for _, member := range sim.members {
				if member != leader {
					sim.cutLinks[[2]int{leader.number, member.number}] = true
				}
			}
			leader.node.TransferLeadership(sim.now)
		}, 150 * time.Millisecond, false},
	} {
		sim := newFaultlessSimulation(3, 7)
		var leader *simMember
		for ; leader == nil || sim.now < 3*time.Second; sim.stepFaultless() {
			leader = sim.leader()
		}
		for _, member := range sim.members {
			member.node.ObserveSync(time.Millisecond)
		}
		for until := sim.now + 300*time.Millisecond; sim.now < until; sim.stepFaultless() { // the followers report their sync times to the leader
		}
		leader = sim.leader()
		term := leader.node.Term()
		test.transfer(sim, leader)
		until := sim.now + test.timeout
		for sim.now < until && (sim.leader() == leader || sim.leader() == nil) {
			if leader.node.ShouldTransferLeadership() {
				leader.node.TransferLeadership(sim.now)
			}
			sim.stepFaultless()
		}
		if current := sim.leader(); (current != nil && current != leader) != test.expectTransfer {
			t.Errorf("%s: leadership was transferred: %v, want %v", test.name, current != leader, test.expectTransfer)
		} else if test.expectTransfer && current.node.Term() != term+1 {
			t.Errorf("%s: term changed from %d to %d, want an increase by one", test.name, term, current.node.Term())
		}
		if !test.expectTransfer {
			clear(sim.cutLinks)
			for until := sim.now + 2*time.Second; sim.now < until; sim.stepFaultless() {
			}
			if current := sim.leader(); current == nil {
				t.Errorf("%s: there is no leader afterwards", test.name)
			} else if _, _, err := current.node.Propose(sim.now, nil); err != nil {
				t.Errorf("%s: proposal after the transfer: %v", test.name, err)
			}
		}
	}
}

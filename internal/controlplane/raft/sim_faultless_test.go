package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

// newFaultlessSimulation returns a simulation of memberCount voters without faults.
func newFaultlessSimulation(memberCount int, seed uint64) *simulation {
	sim := newSimulation(rand.New(rand.NewPCG(seed, 9)))
	peers := &wire.Peers{}
	for i := range memberCount {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(i + 1), Address: fmt.Sprint(i), Voter: true})
	}
	for i := range memberCount {
		member := &simMember{number: i, disk: simdisk.Disk{ID: uint64(i + 1), Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		sim.members = append(sim.members, member)
		sim.startMember(member)
	}
	return sim
}

// stepFaultless advances the simulation by one millisecond, which is also the delay of each message.
func (s *simulation) stepFaultless() {
	s.now += time.Millisecond
	for _, member := range s.members {
		if member.node == nil {
			continue
		}
		for len(member.inbox) > 0 && member.inbox[0].deliverAt <= s.now {
			member.node.Step(s.now, member.inbox[0].message)
			member.inbox = member.inbox[1:]
		}
		member.node.Tick(s.now)
		for ready := member.node.Ready(); !ready.Empty(); ready = member.node.Ready() {
			member.disk.Write(ready.Snapshot, ready.HardState, ready.Entries)
			member.disk.Sync()
			if n := len(ready.Entries); n > 0 {
				member.node.StableTo(ready.Entries[n-1].Index)
			}
			for _, message := range ready.Messages {
				if receiver := s.members[message.To-1]; !s.cutLinks[[2]int{member.number, receiver.number}] {
					receiver.inbox = append(receiver.inbox, inFlightMessage{s.now + time.Millisecond, member.number, message})
				}
			}
		}
	}
}

// leader returns the leader with the newest term. It returns nil if there is none.
func (s *simulation) leader() (leader *simMember) {
	for _, member := range s.members {
		if member.node != nil && member.node.IsLeader() && (leader == nil || member.node.Term() > leader.node.Term()) {
			leader = member
		}
	}
	return leader
}

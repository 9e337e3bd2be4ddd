package raft

import (
	"fmt"
	"slices"

	"ivydeck/internal/transport/wire"
)

// reconcile makes a leader propose the next membership change, as the control plane does. It also schedules crashes of new
// leaders and starts leadership transfers at random.
func (s *simulation) reconcile(member *simMember) {
	now := s.now + member.clockSkew
	if !member.node.IsLeader() {
		member.wasLeader = false
		return
	}
	if !member.wasLeader {
		member.wasLeader = true
		if crashDraw := s.rng.IntN(4); !s.faultsEnded && (crashDraw == 0 || s.frequentLeaderCrashes && crashDraw < 3) { // crash soon after the election
			member.crashAt = s.now + s.randomDuration(0, 100)
			if s.frequentLeaderCrashes {
				member.crashAt = s.now + s.randomDuration(0, 40)
			}
			return
		}
	}
	for _, other := range s.members { // join requests
		if other.node != nil && !s.cutLinks[[2]int{other.number, member.number}] {
			if change, isMember := member.node.JoinChange(&wire.Peer{Id: other.disk.ID, Address: fmt.Sprint(other.number)}); !isMember {
				member.senderNumbers[other.disk.ID] = other.number
				member.node.ProposeMembership(now, change.Next)
				return
			}
		}
	}
	if s.rng.IntN(12) == 0 && member.node.TransferLeadership(now) { // as in a graceful shutdown
		return
	}
	peers := slices.Clone(member.node.Peers())
	if s.membershipChurn && s.rng.IntN(2) == 0 {
		for range 2 { // the second change is rejected if the first is in progress
			i := s.rng.IntN(len(peers))
			if voters := Voters(peers); peers[i].Voter && voters <= 3 || !peers[i].Voter && voters >= 5 {
				continue
			}
			next := slices.Clone(peers)
			next[i] = &wire.Peer{Id: peers[i].Id, Address: peers[i].Address, Voter: !peers[i].Voter}
			if member.node.ProposeMembership(now, next) == nil {
				peers = next
			}
		}
		return
	}
	if change := member.node.Reconcile(3); change.Next != nil {
		member.node.ProposeMembership(now, change.Next)
	}
}

// injectRandomFault injects a fault or ends network partitions, with a small probability.
func (s *simulation) injectRandomFault() {
	target := s.rng.IntN(len(s.members)) // the leader is selected in at least half of all cases
	for i, member := range s.members {
		if member.node != nil && member.node.IsLeader() && s.rng.IntN(2) == 0 {
			target = i
		}
	}
	switch s.rng.IntN(1600) {
	case 0, 1:
		if member := s.members[target]; member.node != nil {
			s.crash(member, s.randomDuration(200, 4000))
		}
	case 2:
		for _, member := range s.members { // power loss of all members
			s.crash(member, s.randomDuration(500, 1500))
		}
	case 3, 4, 15, 16, 17:
		from := target
		for to := range s.members { // cut off in one direction or both
			s.cutLinks[[2]int{from, to}] = true
			s.cutLinks[[2]int{to, from}] = s.rng.IntN(3) > 0
		}
	case 12, 13, 14: // partition into two sets of members
		side := map[int]bool{}
		for to := range s.members {
			side[to] = s.rng.IntN(2) == 0
		}
		for from := range s.members {
			for to := range s.members {
				s.cutLinks[[2]int{from, to}] = side[from] != side[to]
			}
		}
	case 5, 6, 7:
		clear(s.cutLinks)
	case 8:
		s.members[target].frozenUntil = s.now + s.randomDuration(500, 6000)
	case 9:
		s.members[s.rng.IntN(len(s.members))].clockSkew += s.randomDuration(0, 3000)
	case 10, 11:
		s.wipeDisk(s.members[target])
	case 18, 19, 20:
		if s.slowDisks {
			s.members[target].syncTime = s.randomDuration(0, 60)
		}
	}
}

// wipeDisk crashes a member and wipes its disk. It does nothing unless a leader in contact with its quorum has committed a
// membership that consists of all machines as voters. The loss is then within the number that the quorum tolerates.
func (s *simulation) wipeDisk(member *simMember) {
	for _, leader := range s.members {
		if leader.node == nil || !leader.node.IsLeader() || !leader.node.MembershipCommitted() || leader.node.QuorumContactAge(s.now+leader.clockSkew) > Heartbeat {
			continue
		}
		peers := leader.node.Peers()
		for _, other := range s.members {
			if !slices.ContainsFunc(peers, func(p *wire.Peer) bool { return p.Id == other.disk.ID && p.Voter }) {
				return
			}
		}
		if len(peers) != len(s.members) {
			return
		}
		id := member.disk.ID
		s.crash(member, s.randomDuration(100, 2000))
		member.disk.Wipe()
		if *keepID {
			member.disk.ID = id
		}
		s.wipedDisks++
		return
	}
}

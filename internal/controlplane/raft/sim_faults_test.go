package raft

import (
	"fmt"
	"slices"

	"ivydeck/internal/transport/wire"
)

// reconcile is the leader's upkeep of its members, as the control plane does it.
func (w *simulation) reconcile(m *simMember) {
	now := w.now + m.skew
	if !m.node.IsLeader() {
		m.led = false
		return
	}
	if !m.led {
		m.led = true
		if odds := w.rng.IntN(4); !w.calm && (odds == 0 || w.hasty && odds < 3) { // many a leader does not live long
			m.fallsAt = w.now + w.span(0, 100)
			if w.hasty {
				m.fallsAt = w.now + w.span(0, 40)
			}
			return
		}
	}
	for _, other := range w.members { // those that ask to join
		if other.node != nil && !w.cut[[2]int{other.number, m.number}] {
			if move, member := m.node.JoinChange(&wire.Peer{Id: other.disk.ID, Address: fmt.Sprint(other.number)}); !member {
				m.senders[other.disk.ID] = other.number
				m.node.ProposeMembership(now, move.Next)
				return
			}
		}
	}
	if w.rng.IntN(12) == 0 && m.node.TransferLeadership(now) { // its process is to end, say
		return
	}
	peers := slices.Clone(m.node.Peers())
	if w.churn && w.rng.IntN(2) == 0 {
		for range 2 { // what is refused, as another change is under way, does no harm
			i := w.rng.IntN(len(peers))
			if voters := Voters(peers); peers[i].Voter && voters <= 3 || !peers[i].Voter && voters >= 5 {
				continue
			}
			next := slices.Clone(peers)
			next[i] = &wire.Peer{Id: peers[i].Id, Address: peers[i].Address, Voter: !peers[i].Voter}
			if m.node.ProposeMembership(now, next) == nil {
				peers = next
			}
		}
		return
	}
	if move := m.node.Reconcile(3); move.Next != nil {
		m.node.ProposeMembership(now, move.Next)
	}
}

// drawFault lets something fail now and then. No more is lost for good at a time
// than may be: a disk goes only while all others are members with the whole log.
func (w *simulation) drawFault() {
	any := w.rng.IntN(len(w.members)) // the leader as often as any other
	for i, m := range w.members {
		if m.node != nil && m.node.IsLeader() && w.rng.IntN(2) == 0 {
			any = i
		}
	}
	switch w.rng.IntN(1600) { // of 5 ms each
	case 0, 1:
		if m := w.members[any]; m.node != nil {
			w.crash(m, w.span(200, 4000))
		}
	case 2:
		for _, m := range w.members { // all power
			w.crash(m, w.span(500, 1500))
		}
	case 3, 4, 15, 16, 17:
		a := any
		for b := range w.members { // one side hears, or nobody does
			w.cut[[2]int{a, b}] = true
			w.cut[[2]int{b, a}] = w.rng.IntN(3) > 0
		}
	case 12, 13, 14: // two parts
		side := map[int]bool{}
		for b := range w.members {
			side[b] = w.rng.IntN(2) == 0
		}
		for a := range w.members {
			for b := range w.members {
				w.cut[[2]int{a, b}] = side[a] != side[b]
			}
		}
	case 5, 6, 7:
		clear(w.cut)
	case 8:
		w.members[any].frozenUntil = w.now + w.span(500, 6000)
	case 9:
		w.members[w.rng.IntN(len(w.members))].skew += w.span(0, 3000)
	case 10, 11:
		w.wipe(w.members[any])
	case 18, 19, 20:
		if w.slowDisks {
			w.members[any].syncTime = w.span(0, 60)
		}
	}
}

// wipe takes a disk away, right behind what was acknowledged at times. It waits
// until the members are the machines that there are, so that it is the one loss that
// is to be borne; what the others lag behind is theirs to catch up.
func (w *simulation) wipe(m *simMember) {
	for _, lead := range w.members {
		if lead.node == nil || !lead.node.IsLeader() || !lead.node.MembershipCommitted() || lead.node.QuorumContactAge(w.now+lead.skew) > Heartbeat {
			continue
		}
		peers := lead.node.Peers()
		for _, o := range w.members {
			if !slices.ContainsFunc(peers, func(p *wire.Peer) bool { return p.Id == o.disk.ID && p.Voter }) {
				return
			}
		}
		if len(peers) != len(w.members) {
			return
		}
		id := m.disk.ID
		w.crash(m, w.span(100, 2000))
		m.disk.Wipe()
		if *keepID {
			m.disk.ID = id
		}
		w.wipes++
		return
	}
}

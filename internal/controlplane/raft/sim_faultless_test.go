package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ivydeck/internal/simulation/simdisk"
	"ivydeck/internal/transport/wire"
)

// newFaultless is a quorum of n voters with a log of one entry, without faults.
func newFaultless(n int, seed uint64) *simulation {
	w := newSimulation(rand.New(rand.NewPCG(seed, 9)))
	peers := &wire.Peers{}
	for i := range n {
		peers.Peers = append(peers.Peers, &wire.Peer{Id: uint64(i + 1), Address: fmt.Sprint(i), Voter: true})
	}
	for i := range n {
		m := &simMember{number: i, disk: simdisk.Disk{ID: uint64(i + 1), Snap: &wire.RaftSnapshot{Term: 1, Index: 1, Peers: peers}}}
		w.members = append(w.members, m)
		w.start(m)
	}
	return w
}

// turn is one millisecond in which nothing fails, and a message takes as long.
func (w *simulation) turn() {
	w.now += time.Millisecond
	for _, m := range w.members {
		if m.node == nil {
			continue
		}
		for len(m.inbox) > 0 && m.inbox[0].at <= w.now {
			m.node.Step(w.now, m.inbox[0].message)
			m.inbox = m.inbox[1:]
		}
		m.node.Tick(w.now)
		for o := m.node.Ready(); !o.Empty(); o = m.node.Ready() {
			m.disk.Write(o.Snapshot, o.HardState, o.Entries)
			m.disk.Sync()
			if n := len(o.Entries); n > 0 {
				m.node.StableTo(o.Entries[n-1].Index)
			}
			for _, msg := range o.Messages {
				if to := w.members[msg.To-1]; !w.cut[[2]int{m.number, to.number}] {
					to.inbox = append(to.inbox, parcel{w.now + time.Millisecond, m.number, msg})
				}
			}
		}
	}
}

// leader is the member that leads in the newest term; nil: none does.
func (w *simulation) leader() (lead *simMember) {
	for _, m := range w.members {
		if m.node != nil && m.node.IsLeader() && (lead == nil || m.node.Term() > lead.node.Term()) {
			lead = m
		}
	}
	return lead
}

package raft

import (
	"testing"
	"time"
)

// TestLeadershipTransfer: a leader that ends, or whose disk is far slower than the others', is followed by another within some
// messages' time; what is proposed meanwhile is turned away unrun, and a transfer target that says nothing is not waited for.
func TestLeadershipTransfer(t *testing.T) {
	for _, c := range []struct {
		name  string
		hand  func(w *simulation, lead *simMember) // makes the leader give the lead away
		after time.Duration                        // within which another leads
		other bool                                 // another leads then
	}{
		{"an end", func(w *simulation, m *simMember) {
			if !m.node.TransferLeadership(w.now) {
				t.Error("nobody could take the lead")
			}
			if _, _, err := m.node.Propose(w.now, []byte("x")); err != ErrProposalDropped {
				t.Errorf("a proposal while the lead is handed over: %v", err)
			}
		}, 50 * time.Millisecond, true},
		{"a slow disk", func(w *simulation, m *simMember) {
			for range 20 {
				m.node.ObserveSync(60 * time.Millisecond)
			}
		}, 400 * time.Millisecond, true},
		{"disks that are all slow", func(w *simulation, m *simMember) {
			for _, o := range w.members {
				for range 20 {
					o.node.ObserveSync(60 * time.Millisecond)
				}
			}
			for range 200 { // the leader hears of it
				w.turn()
			}
		}, 400 * time.Millisecond, false},
		{"others that say nothing", func(w *simulation, m *simMember) {
			for _, o := range w.members {
				if o != m {
					w.cut[[2]int{m.number, o.number}] = true
				}
			}
			m.node.TransferLeadership(w.now)
		}, 150 * time.Millisecond, false},
	} {
		w := newFaultless(3, 7)
		var lead *simMember
		for ; lead == nil || w.now < 3*time.Second; w.turn() {
			lead = w.leader()
		}
		for _, m := range w.members {
			m.node.ObserveSync(time.Millisecond)
		}
		for until := w.now + 300*time.Millisecond; w.now < until; w.turn() { // they tell the leader
		}
		lead = w.leader()
		term := lead.node.Term()
		c.hand(w, lead)
		until := w.now + c.after
		for w.now < until && (w.leader() == lead || w.leader() == nil) {
			if lead.node.ShouldTransferLeadership() {
				lead.node.TransferLeadership(w.now)
			}
			w.turn()
		}
		if now := w.leader(); (now != nil && now != lead) != c.other {
			t.Errorf("%s: the lead has moved: %v, want %v", c.name, now != lead, c.other)
		} else if c.other && now.node.Term() != term+1 {
			t.Errorf("%s: from term %d to %d", c.name, term, now.node.Term())
		}
		if !c.other {
			clear(w.cut)
			for until := w.now + 2*time.Second; w.now < until; w.turn() {
			}
			if lead := w.leader(); lead == nil {
				t.Errorf("%s: nobody leads afterwards", c.name)
			} else if _, _, err := lead.node.Propose(w.now, nil); err != nil {
				t.Errorf("%s: afterwards a proposal comes to %v", c.name, err)
			}
		}
	}
}

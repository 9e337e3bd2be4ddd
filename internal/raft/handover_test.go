package raft

import (
	"testing"
	"time"
)

// TestHandOver: a leader that ends, or whose disk is far slower than the others', is followed by another within some
// messages' time; what is proposed meanwhile is turned away unrun, and a transfer target that says nothing is not waited for.
func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		hand  func(w *world, lead *machine) // makes the leader give the lead away
		after time.Duration                 // within which another leads
		other bool                          // another leads then
	}{
		{"an end", func(w *world, m *machine) {
			if !m.core.HandOver(w.now) {
				t.Error("nobody could take the lead")
			}
			if _, _, err := m.core.Propose(w.now, []byte("x")); err != ErrBusy {
				t.Errorf("a proposal while the lead is handed over: %v", err)
			}
		}, 50 * time.Millisecond, true},
		{"a slow disk", func(w *world, m *machine) {
			for range 20 {
				m.core.Synced(60 * time.Millisecond)
			}
		}, 400 * time.Millisecond, true},
		{"disks that are all slow", func(w *world, m *machine) {
			for _, o := range w.machines {
				for range 20 {
					o.core.Synced(60 * time.Millisecond)
				}
			}
			for range 200 { // the leader hears of it
				w.turn()
			}
		}, 400 * time.Millisecond, false},
		{"others that say nothing", func(w *world, m *machine) {
			for _, o := range w.machines {
				if o != m {
					w.cut[[2]int{m.n, o.n}] = true
				}
			}
			m.core.HandOver(w.now)
		}, 150 * time.Millisecond, false},
	} {
		w := ready(3, 7)
		var lead *machine
		for ; lead == nil || w.now < 3*time.Second; w.turn() {
			lead = w.leader()
		}
		for _, m := range w.machines {
			m.core.Synced(time.Millisecond)
		}
		for until := w.now + 300*time.Millisecond; w.now < until; w.turn() { // they tell the leader
		}
		lead = w.leader()
		term := lead.core.Term()
		c.hand(w, lead)
		until := w.now + c.after
		for w.now < until && (w.leader() == lead || w.leader() == nil) {
			if lead.core.Ill() {
				lead.core.HandOver(w.now)
			}
			w.turn()
		}
		if now := w.leader(); (now != nil && now != lead) != c.other {
			t.Errorf("%s: the lead has moved: %v, want %v", c.name, now != lead, c.other)
		} else if c.other && now.core.Term() != term+1 {
			t.Errorf("%s: from term %d to %d", c.name, term, now.core.Term())
		}
		if !c.other {
			clear(w.cut)
			for until := w.now + 2*time.Second; w.now < until; w.turn() {
			}
			if lead := w.leader(); lead == nil {
				t.Errorf("%s: nobody leads afterwards", c.name)
			} else if _, _, err := lead.core.Propose(w.now, nil); err != nil {
				t.Errorf("%s: afterwards a proposal comes to %v", c.name, err)
			}
		}
	}
}

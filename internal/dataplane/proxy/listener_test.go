package proxy

import (
	"testing"
	"time"
)

// TestAConnectionIsIdleFromItsAnswerOn: an answer that took long leaves its client the whole time to use the connection
// again, and so does a configuration that allows more.
func TestAConnectionIsIdleFromItsAnswerOn(t *testing.T) {
	idle := 5 * time.Second
	c := &client{f: &Listener{Bounds: func() Bounds { return Bounds{Idle: idle} }}}
	began := time.Now()
	check := func(what string, now, want time.Time) {
		t.Helper()
		if until, ok := c.idleUntil(now, began); !ok || !until.Equal(want) {
			t.Errorf("%s: until %v after the request, %v", what, until.Sub(began), ok)
		}
	}
	check("no request yet", began, began.Add(idle))
	c.pending = 1
	check("a request under way", began.Add(time.Hour), began.Add(time.Hour+idle))
	c.pending, c.answered = 0, began.Add(3*time.Second)
	check("an answer after 3 s", began.Add(4*time.Second), began.Add(8*time.Second))
	idle = 15 * time.Second
	check("a configuration that allows more", began.Add(8*time.Second), began.Add(18*time.Second))
	c.stopped = true
	if _, ok := c.idleUntil(began, began); ok {
		t.Error("a connection that reads nothing more waits on")
	}
}

package proxy

import (
	"testing"
	"time"
)

// TestIdleTimeoutAfterResponse checks that the idle timeout runs from the last response, so that a slow response does
// not shorten it, and that a configured increase applies at once.
func TestIdleTimeoutAfterResponse(t *testing.T) {
	idle := 5 * time.Second
	conn := &clientConn{listener: &Listener{Bounds: func() Bounds { return Bounds{Idle: idle} }}}
	start := time.Now()
	check := func(name string, now, want time.Time) {
		t.Helper()
		if deadline, ok := conn.idleDeadline(now, start); !ok || !deadline.Equal(want) {
			t.Errorf("%s: deadline %v after the start of the wait, reading: %v", name, deadline.Sub(start), ok)
		}
	}
	check("no request yet", start, start.Add(idle))
	conn.pending = 1
	check("a pending request", start.Add(time.Hour), start.Add(time.Hour+idle))
	conn.pending, conn.lastResponseAt = 0, start.Add(3*time.Second)
	check("a response after 3 s", start.Add(4*time.Second), start.Add(8*time.Second))
	idle = 15 * time.Second
	check("a configuration that allows more", start.Add(8*time.Second), start.Add(18*time.Second))
	conn.readStopped = true
	if _, ok := conn.idleDeadline(start, start); ok {
		t.Error("idleDeadline reports true although reads have been stopped")
	}
}

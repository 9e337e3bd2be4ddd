// Package timerpool keeps timers that are not in use: a request waits several times, mostly for something that comes
// before the time is up, and a timer with its channel is dear to make.
package timerpool

import (
	"context"
	"sync"
	"time"
)

var idle sync.Pool

// Get returns a timer that fires after d, on its channel only. Put returns it to the pool.
func Get(d time.Duration) *time.Timer {
	if t, ok := idle.Get().(*time.Timer); ok {
		t.Reset(d)
		return t
	}
	return time.NewTimer(d)
}

// Put stops a timer that came from Get; it is not used after that. What it has not delivered by then it never does.
func Put(t *time.Timer) {
	t.Stop()
	idle.Put(t)
}

// Sleep waits, or returns with the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	timer := Get(d)
	defer Put(timer)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

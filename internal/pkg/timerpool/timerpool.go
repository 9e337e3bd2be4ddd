// Package timerpool reuses timers, to save the allocation of a timer and its channel for each wait of a request.
package timerpool

import (
	"context"
	"sync"
	"time"
)

var idle sync.Pool

// Get returns a timer that sends on its channel after d. The caller returns it with Put.
func Get(d time.Duration) *time.Timer {
	if t, ok := idle.Get().(*time.Timer); ok {
		t.Reset(d)
		return t
	}
	return time.NewTimer(d)
}

// Put stops a timer and returns it to the pool. The caller must not use it afterwards. A time that was not received before
// is discarded.
func Put(t *time.Timer) {
	t.Stop()
	idle.Put(t)
}

// Sleep returns after d or when ctx is done, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := Get(d)
	defer Put(timer)
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

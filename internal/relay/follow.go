package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"curlewring/internal/rpc"
	"curlewring/internal/wire"
)

// Follower keeps a node's hub fed by a parent.
type Follower struct {
	Node    string
	Hub     *Hub
	Pool    *rpc.Pool
	Parents func() []string // candidates, the best first
	Log     *slog.Logger

	mu      sync.Mutex
	freshAt time.Time // when the source was last known to be in touch, by this node's clock
}

// Age tells how old the news may be.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return time.Hour
	}
	return time.Since(f.freshAt)
}

func (f *Follower) fresh(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Now().Add(-age); at.After(f.freshAt) {
		f.freshAt = at
	}
}

// Run follows one parent after another until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		parents := f.Parents()
		if len(parents) == 0 {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		addr := parents[next%len(parents)]
		began := time.Now()
		why := f.follow(ctx, addr, next%len(parents) == 0)
		if ctx.Err() != nil {
			return
		}
		f.Log.Debug("relay.parent", "address", addr, "why", why)
		switch {
		case why == again:
			next = 0
			continue
		case time.Since(began) > 5*time.Second:
			next = 0
		default:
			next++
		}
		if next%len(parents) == 0 {
			pause(ctx, 100*time.Millisecond)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// again is the end of a subscription that has to be renewed at once.
const again = "again"

// follow takes news of one parent until that fails, and says why it did.
func (f *Follower) follow(ctx context.Context, addr string, best bool) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The stream has no deadline of its own: silence ends it.
	watchdog := time.AfterFunc(Silence, cancel)
	defer watchdog.Stop()
	s, err := f.Pool.Open(ctx, addr, "subscribe", &wire.Subscribe{Have: f.Hub.Number(), Node: f.Node})
	if err != nil {
		return err.Error()
	}
	defer s.Close()
	began := time.Now()
	for {
		feed := new(wire.Feed)
		if err := s.Recv(feed); err != nil {
			return err.Error()
		}
		watchdog.Reset(Silence)
		age := time.Duration(feed.AgeMs) * time.Millisecond
		if age > Stale && time.Since(began) > Beat {
			return "the parent is out of touch"
		}
		if feed.Whole != nil {
			f.Hub.Load(feed.Whole)
		}
		if !f.Hub.Add(feed.Items...) {
			return again
		}
		if feed.Head == f.Hub.Number() { // else it says nothing of what is newest here
			f.fresh(age)
		}
		f.Hub.Deeper(feed.Depth)
		if !best && time.Since(began) > 3*time.Second {
			return again // back to its place in the tree
		}
		if best && len(f.Parents()) > 0 && f.Parents()[0] != addr {
			return again // its place has moved
		}
	}
}

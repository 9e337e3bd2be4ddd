package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/rpc"
	"ivydeck/internal/wire"
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
	began := time.Now()
	var climb Climb
	for ctx.Err() == nil {
		addr, wait := climb.Next(time.Since(began), f.Parents())
		if addr == "" {
			pause(ctx, wait)
			continue
		}
		why := f.follow(ctx, &climb, addr, began)
		if ctx.Err() == nil {
			f.Log.Debug("relay.parent", "address", addr, "why", why)
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

// follow takes news of one parent until that fails, and says why it did.
func (f *Follower) follow(ctx context.Context, climb *Climb, addr string, began time.Time) (why string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { climb.Ended(time.Since(began), why) }()
	// The stream has no deadline of its own: silence ends it.
	watchdog := time.AfterFunc(Silence, cancel)
	defer watchdog.Stop()
	s, err := f.Pool.Open(ctx, addr, "subscribe", &wire.Subscribe{Have: f.Hub.Number(), Node: f.Node})
	if err != nil {
		return err.Error()
	}
	defer s.Close()
	for {
		feed := new(wire.Feed)
		if err := s.Recv(feed); err != nil {
			return err.Error()
		}
		watchdog.Reset(Silence)
		now := time.Since(began)
		if why := climb.Judge(now, feed); why != "" {
			return why
		}
		fresh, ok := f.Hub.Take(feed)
		if fresh {
			f.fresh(time.Duration(feed.AgeMs) * time.Millisecond)
		}
		if !ok || climb.Moves(now, f.Parents()) {
			return Again
		}
	}
}

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

	mu        sync.Mutex
	contactAt time.Time // when a quorum is known to have confirmed the state here, by this node's clock; zero: never
}

// Age is an upper bound of the time since a quorum confirmed the state here: all that was acknowledged before then is
// in it.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contactAt.IsZero() {
		return never
	}
	return time.Since(f.contactAt)
}

func (f *Follower) confirmed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.contactAt) {
		f.contactAt = at
	}
}

// Run follows one parent after another until the context ends.
func (f *Follower) Run(ctx context.Context) {
	began := time.Now()
	var selector Selector
	for ctx.Err() == nil {
		addr, wait := selector.Next(time.Since(began), f.Parents())
		if addr == "" {
			pause(ctx, wait)
			continue
		}
		why := f.follow(ctx, &selector, addr, began)
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

// follow takes the updates of one parent until that fails, and says why it did.
func (f *Follower) follow(ctx context.Context, selector *Selector, addr string, began time.Time) (why string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { selector.Ended(time.Since(began), why) }()
	// The stream has no deadline of its own: silence ends it.
	watchdog := time.AfterFunc(Silence, cancel)
	defer watchdog.Stop()
	subscription := Subscription{AskedAt: time.Since(began)}
	s, err := f.Pool.Open(ctx, addr, "subscribe", &wire.Subscribe{Have: f.Hub.Index(), Node: f.Node, Format: Format})
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
		if err := CheckFormat("the parent", feed.Format); err != nil {
			f.Log.Error("relay.format", "address", addr, "err", err)
			return err.Error()
		}
		if err := unpack(feed); err != nil {
			f.Log.Error("relay.unreadable", "address", addr, "err", err)
			return err.Error()
		}
		now := time.Since(began)
		contactAt := subscription.ContactAt(now, feed)
		if why := selector.Check(now, now-contactAt); why != "" {
			return why
		}
		current, ok := f.Hub.Receive(feed)
		if current {
			f.confirmed(began.Add(contactAt))
		}
		if !ok || selector.ShouldMove(now, f.Parents()) || subscription.Outdated(now, feed) {
			return Renew
		}
	}
}

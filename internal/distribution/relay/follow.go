package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// Follower subscribes a node's hub to one parent after another.
type Follower struct {
	Node    string          // node_name of this machine
	Hub     *Hub            // receives the feeds
	Pool    *rpc.Pool       // for the connections to parents
	Parents func() []string // addresses, the best first
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
		return ageUnknown
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

// Run subscribes to one parent after another until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	began := time.Now()
	var selector Selector
	for ctx.Err() == nil {
		addr, wait := selector.Next(time.Since(began), f.Parents())
		if addr == "" {
			timerpool.Sleep(ctx, wait)
			continue
		}
		reason, err := f.follow(ctx, &selector, addr, began)
		selector.Ended(time.Since(began), reason)
		if ctx.Err() == nil {
			f.Log.Debug("relay.parent_left", "address", addr, "reason", string(reason), "err", err)
		}
	}
}

// follow applies the feeds of one parent until the subscription ends, and returns the reason.
func (f *Follower) follow(ctx context.Context, selector *Selector, addr string, began time.Time) (EndReason, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The stream has no deadline of its own: it ends without a frame for FeedTimeout. A full state on a slow link has many
	// frames.
	watchdog := time.AfterFunc(FeedTimeout, cancel)
	defer watchdog.Stop()
	subscription := Subscription{RequestedAt: time.Since(began)}
	s, err := f.Pool.Open(ctx, addr, "subscribe", &wire.SubscribeRequest{Have: f.Hub.Index(), Node: f.Node, Format: Format})
	if err != nil {
		return Failed, err
	}
	defer s.Close()
	s.OnFrame(func() { watchdog.Reset(FeedTimeout) })
	for {
		feed := new(wire.Feed)
		if err := s.Recv(feed); err != nil {
			return Failed, err
		}
		if err := decodeFeed(feed); err != nil {
			f.Log.Error(decodeErrorEvent(err), "address", addr, "err", err)
			return Failed, err
		}
		now := time.Since(began)
		contactAt := subscription.ContactAt(now, feed)
		if reason := selector.Check(now, now-contactAt); reason != Continue {
			return reason, nil
		}
		_, ok := f.Hub.Receive(feed, func() { f.confirmed(began.Add(contactAt)) })
		if !ok || selector.ShouldMove(now, f.Parents()) || subscription.NeedsRenewal(now, feed) {
			return Renew, nil
		}
	}
}

// decodeErrorEvent is the log event of a feed that can't be decoded.
func decodeErrorEvent(err error) string {
	if errors.Is(err, ErrFormat) {
		return "relay.format_unknown"
	}
	return "relay.decode_failed"
}

// decodeFeed checks a feed's format and decompresses its changes.
func decodeFeed(feed *wire.Feed) error {
	if err := CheckFormat("the parent", feed.Format); err != nil {
		return err
	}
	return unpack(feed)
}

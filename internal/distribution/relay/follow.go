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

// Follower keeps a node's Hub subscribed to a parent, and selects another parent when a subscription ends.
type Follower struct {
	Node    string          // node_name of this node
	Hub     *Hub            // receives the feeds
	Pool    *rpc.Pool       // connections to parents
	Parents func() []string // returns addresses in order of preference
	Log     *slog.Logger

	mu        sync.Mutex
	contactAt time.Time // last known time, on this node's clock, at which a quorum confirmed the state; zero if none
}

// Age returns an upper bound of the time since a quorum confirmed the state here. The state contains all changes acknowledged
// before then.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contactAt.IsZero() {
		return ageUnknown
	}
	return time.Since(f.contactAt)
}

// recordContact raises the time of the last contact with a quorum.
func (f *Follower) recordContact(contactAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if contactAt.After(f.contactAt) {
		f.contactAt = contactAt
	}
}

// Run subscribes to one parent after another until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	start := time.Now()
	var selector Selector
	for ctx.Err() == nil {
		addr, wait := selector.Next(time.Since(start), f.Parents())
		if addr == "" {
			timerpool.Sleep(ctx, wait)
			continue
		}
		reason, err := f.follow(ctx, &selector, addr, start)
		selector.Ended(time.Since(start), reason)
		if ctx.Err() == nil {
			f.Log.Debug("relay.parent_left", "address", addr, "reason", string(reason), "err", err)
		}
	}
}

// follow subscribes to a parent and applies its feeds until the subscription ends. It returns the reason for the end. start
// is the origin of the Selector's times.
func (f *Follower) follow(ctx context.Context, selector *Selector, addr string, start time.Time) (EndReason, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The stream has no deadline, as a full state takes many frames on a slow link. The watchdog cancels it if no frame arrives
	// for FeedTimeout.
	watchdog := time.AfterFunc(FeedTimeout, cancel)
	defer watchdog.Stop()
	subscription := Subscription{RequestedAt: time.Since(start)}
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
		now := time.Since(start)
		contactAt := subscription.ContactAt(now, feed)
		if reason := selector.Check(now, now-contactAt); reason != Continue {
			return reason, nil
		}
		_, ok := f.Hub.Receive(feed, func() { f.recordContact(start.Add(contactAt)) })
		if !ok || selector.ShouldMove(now, f.Parents()) || subscription.NeedsRenewal(now, feed) {
			return Renew, nil
		}
	}
}

// decodeErrorEvent returns the log event for a feed that cannot be decoded.
func decodeErrorEvent(err error) string {
	if errors.Is(err, ErrFormat) {
		return "relay.format_unknown"
	}
	return "relay.decode_failed"
}

// decodeFeed checks a feed's format and unpacks its changes.
func decodeFeed(feed *wire.Feed) error {
	if err := CheckFormat("the parent", feed.Format); err != nil {
		return err
	}
	return unpack(feed)
}

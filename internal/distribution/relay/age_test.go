package relay

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestAgeWithTransitTime guards against a contact that looks later to the child than it was, however long the feed was in
// transit, or earlier by more than the request's transit and the clock drift.
func TestAgeWithTransitTime(t *testing.T) {
	const (
		parentOffset = 5 * time.Hour // offset of the parent's clock from true time
		childOffset  = 2 * time.Hour
	)
	for _, c := range []struct{ requested, received, contact, sent, delivered time.Duration }{
		{1000, 1001, 990, 1001, 1002}, // in milliseconds of true time
		{1000, 1800, 1750, 1850, 1851},
		{1000, 1001, 3000, 3100, 6100},
		{1000, 1300, 20_000, 20_010, 22_500},
		{100_000, 100_001, 80_000, 100_001, 100_050},
	} {
		ms := time.Millisecond
		feed := &wire.Feed{}
		SetAge(feed, c.sent*ms+parentOffset, c.contact*ms+parentOffset, c.received*ms+parentOffset)
		subscription := Subscription{RequestedAt: c.requested*ms + childOffset}
		got := subscription.ContactAt(c.delivered*ms+childOffset, feed) - childOffset
		drift := ((c.contact - c.received) * ms).Abs() / (maxClockDriftDivisor - 1)
		if underestimate := c.contact*ms - got; underestimate < 0 || underestimate > (c.received-c.requested)*ms+drift {
			t.Errorf("%+v: contact at %v computed as %v", c, c.contact*ms, got)
		}
	}
}

// TestSubscriptionRenewal guards against subscriptions that are not renewed after clock drift or a slow transit, and against
// renewal at every feed.
func TestSubscriptionRenewal(t *testing.T) {
	for _, c := range []struct {
		name                   string
		elapsed, request, feed time.Duration // transit of the request and of the feed
		age                    time.Duration
		want                   bool
	}{
		{"fast request and feed", 10 * time.Second, time.Millisecond, time.Millisecond, 100 * time.Millisecond, false},
		{"old subscription", renewAfter + time.Second, time.Millisecond, time.Millisecond, 100 * time.Millisecond, true},
		{"slow request", 2 * time.Second, time.Second, time.Millisecond, 100 * time.Millisecond, true},
		{"slow request, recent subscription", 500 * time.Millisecond, 400 * time.Millisecond, time.Millisecond, 100 * time.Millisecond, false},
		{"slow request, parent without quorum contact", 2 * time.Second, time.Second, time.Millisecond, 30 * 24 * time.Hour, false},
	} {
		feed := &wire.Feed{}
		sent := c.elapsed - c.feed
		SetAge(feed, sent, sent-c.age, c.request)
		if got := (Subscription{}).NeedsRenewal(c.elapsed, feed); got != c.want {
			t.Errorf("%s: NeedsRenewal returned %v", c.name, got)
		}
	}
}

// TestAgeIsReadBeforeTheState guards against a feed whose age is newer than its state: changes applied after the age is read
// must be in the feed.
func TestAgeIsReadBeforeTheState(t *testing.T) {
	var hub *Hub
	hub = NewHub(func() time.Duration {
		hub.Apply(&wire.Changes{To: 1})
		return 0
	})
	if feed, _ := hub.Feed(0, 0, 0); feed.Latest != 1 {
		t.Errorf("the age was read after the state, which has index %d", feed.Latest)
	}
}

// TestAgeWithClockDrift guards against a contact that looks later than it was because of drift between the two clocks.
func TestAgeWithClockDrift(t *testing.T) {
	for _, contact := range []time.Duration{-20 * time.Second, time.Second, renewAfter} { // time since the subscription
		for _, driftSign := range []time.Duration{-1, 1} {
			measured := contact + driftSign*contact/(2*maxClockDriftDivisor) // on the parent's clock
			feed := &wire.Feed{}
			SetAge(feed, measured, measured, 0)
			want := contact - driftSign*contact/(2*maxClockDriftDivisor) // on the child's clock
			if got := (Subscription{}).ContactAt(contact, feed); got > want+time.Microsecond {
				t.Errorf("contact at %v computed as %v", want, got)
			}
		}
	}
}

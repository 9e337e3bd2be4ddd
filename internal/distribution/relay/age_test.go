package relay

import (
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestTransitDoesNotHideAge: whatever time a feed spends on its way, the child's moment of contact is the parent's one or
// an earlier one, and no earlier than by the request's own transit.
func TestTransitDoesNotHideAge(t *testing.T) {
	const (
		parentOffset = 5 * time.Hour // of the parent's clock
		childOffset  = 2 * time.Hour
	)
	for _, c := range []struct{ asked, received, contact, sent, taken time.Duration }{
		{1000, 1001, 990, 1001, 1002}, // milliseconds of true time
		{1000, 1800, 1750, 1850, 1851},
		{1000, 1001, 3000, 3100, 6100},
		{1000, 1300, 20_000, 20_010, 22_500},
		{100_000, 100_001, 80_000, 100_001, 100_050},
	} {
		ms := time.Millisecond
		f := &wire.Feed{}
		SetAge(f, c.sent*ms+parentOffset, c.contact*ms+parentOffset, c.received*ms+parentOffset)
		subscription := Subscription{RequestedAt: c.asked*ms + childOffset}
		got := subscription.ContactAt(c.taken*ms+childOffset, f) - childOffset
		drift := ((c.contact - c.received) * ms).Abs() / (maxClockDriftDivisor - 1)
		if early := c.contact*ms - got; early < 0 || early > (c.received-c.asked)*ms+drift {
			t.Errorf("%+v: a contact at %v is taken for one at %v", c, c.contact*ms, got)
		}
	}
}

// TestSubscriptionRenewal: where the two clocks may have drifted apart, and where something was long on its way, but
// not at each feed.
func TestSubscriptionRenewal(t *testing.T) {
	for _, c := range []struct {
		name                  string
		lasted, request, feed time.Duration // transit of the request and of the feed
		age                   time.Duration
		want                  bool
	}{
		{"as usual", 10 * time.Second, time.Millisecond, time.Millisecond, 100 * time.Millisecond, false},
		{"an old one", renewAfter + time.Second, time.Millisecond, time.Millisecond, 100 * time.Millisecond, true},
		{"a slow request", 2 * time.Second, time.Second, time.Millisecond, 100 * time.Millisecond, true},
		{"a slow request of just now", 500 * time.Millisecond, 400 * time.Millisecond, time.Millisecond, 100 * time.Millisecond, false},
		{"a parent that is out of touch", 2 * time.Second, time.Second, time.Millisecond, 30 * 24 * time.Hour, false},
	} {
		f := &wire.Feed{}
		sent := c.lasted - c.feed
		SetAge(f, sent, sent-c.age, c.request)
		if got := (Subscription{}).NeedsRenewal(c.lasted, f); got != c.want {
			t.Errorf("%s: renewed %v", c.name, got)
		}
	}
}

// TestAgeIsReadBeforeTheState: what comes in between is in the feed, or the feed would be called as recent as it.
func TestAgeIsReadBeforeTheState(t *testing.T) {
	var h *Hub
	h = NewHub(func() time.Duration {
		h.Apply(&wire.Changes{To: 1})
		return 0
	})
	if f, _ := h.Feed(0, 0, 0); f.Latest != 1 {
		t.Errorf("the age was read after a state of index %d", f.Latest)
	}
}

// TestDriftDoesNotHideAge: a parent's clock that is faster than the child's makes no contact look later than it was.
func TestDriftDoesNotHideAge(t *testing.T) {
	for _, contact := range []time.Duration{-20 * time.Second, time.Second, renewAfter} { // since the subscription
		for _, fast := range []time.Duration{-1, 1} {
			measured := contact + fast*contact/(2*maxClockDriftDivisor) // by the parent
			f := &wire.Feed{}
			SetAge(f, measured, measured, 0)
			want := contact - fast*contact/(2*maxClockDriftDivisor) // by the child
			if got := (Subscription{}).ContactAt(contact, f); got > want+time.Microsecond {
				t.Errorf("a contact at %v is taken for one at %v", want, got)
			}
		}
	}
}

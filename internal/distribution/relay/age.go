package relay

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	maxClockDriftDivisor  = 2000                   // clocks of two machines differ in rate by one part of this at most
	renewAfter  = 2 * time.Minute        // a subscription is renewed, so that the drift since then stays small
	maxTransit  = 250 * time.Millisecond // the same, where a feed may have been on its way for longer ...
	renewPause  = time.Second            // ... but not more often than this
	ageUnknown       = 50 * 365 * 24 * time.Hour
	maxReportedAge = time.Hour // of Feed.age_ms, which is for people
)

// Subscription relates a child's clock to that of its parent. The parent has received the request after the child sent
// it, so a moment that lies so much before or after the receipt lies at least as far before, and at most as far after,
// the sending. It takes the child's durations since a moment of the driver's choice.
type Subscription struct {
	RequestedAt time.Duration // before the request was sent
}

// ContactAt returns the moment at which a quorum is known to have confirmed the state that a feed leads up to: all that
// was acknowledged before then is in it. The time that the feed was on its way does not matter. now is when it was
// received.
func (s Subscription) ContactAt(now time.Duration, f *wire.Feed) time.Duration {
	if f.ContactNs == nil { // a parent of the version before
		return now - time.Duration(f.AgeMs)*time.Millisecond
	}
	offset := time.Duration(*f.ContactNs)
	drift := offset.Abs() / (maxClockDriftDivisor - 1) // of a span that is itself measured by the faster clock
	return s.RequestedAt + offset - drift
}

// NeedsRenewal reports whether the subscription is to be renewed because it no longer relates the two clocks well.
func (s Subscription) NeedsRenewal(now time.Duration, f *wire.Feed) bool {
	lasted := now - s.RequestedAt
	transit := now - s.ContactAt(now, f) - time.Duration(f.AgeMs)*time.Millisecond
	recent := f.AgeMs < uint32(maxReportedAge.Milliseconds())
	return lasted > renewAfter || recent && transit > maxTransit && lasted > renewPause
}

// SetAge says in a feed how old its state is. All times are the parent's: contactAt was read before the state, and
// subscribedAt is when the child's request was received.
func SetAge(f *wire.Feed, now, contactAt, subscribedAt time.Duration) {
	f.AgeMs = uint32((min(now-contactAt, maxReportedAge) + time.Millisecond - 1) / time.Millisecond)
	offset := int64(contactAt - subscribedAt)
	f.ContactNs = &offset
}

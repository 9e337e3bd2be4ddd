package relay

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	maxClockDriftDivisor = 2000                   // clocks of two machines differ in rate by one part of this at most
	renewAfter           = 2 * time.Minute        // a subscription is renewed, so that the drift since then stays small
	maxTransit           = 250 * time.Millisecond // the same, where a feed may have been on its way for longer ...
	renewPause           = time.Second            // ... but not more often than this
	ageUnknown           = 50 * 365 * 24 * time.Hour
	maxReportedAge       = time.Hour // of Feed.age_ms, which is for people
)

// Subscription relates a child's clock to its parent's. The parent received the request after the child had sent it, so a
// moment so much before or after the receipt is at least as far before, and at most as far after, the sending. Times are
// durations of the child's clock since a moment of the driver's choice.
type Subscription struct {
	RequestedAt time.Duration // before the request was sent
}

// ContactAt returns a moment at which a quorum had confirmed the state that a feed leads up to: all that was acknowledged
// before then is in it, however long the feed was delayed. now is when it was received.
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

// SetAge sets the age of a feed's state. All times are of the parent's clock: contactAt was read before the state, and
// subscribedAt is the receipt of the child's request.
func SetAge(f *wire.Feed, now, contactAt, subscribedAt time.Duration) {
	f.AgeMs = uint32((min(now-contactAt, maxReportedAge) + time.Millisecond - 1) / time.Millisecond)
	offset := int64(contactAt - subscribedAt)
	f.ContactNs = &offset
}

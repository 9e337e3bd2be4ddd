package relay

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	maxClockDriftDivisor = 2000                      // the clocks of two machines drift apart by at most 1/2000 of the elapsed time
	renewAfter           = 2 * time.Minute           // a longer subscription is renewed, to bound the drift
	maxTransit           = 250 * time.Millisecond    // transit time of a request and a feed; if it may have been longer, the subscription is renewed
	renewPause           = time.Second               // minimum age of a subscription that is renewed for its transit time
	ageUnknown           = 50 * 365 * 24 * time.Hour // age of a state that no quorum has confirmed
	maxReportedAge       = time.Hour                 // upper limit of Feed.age_ms
)

// Subscription relates a child's clock to its parent's. The parent receives the request no earlier than the child sends it,
// so an event at a given offset from the receipt happens no earlier than RequestedAt plus that offset. Times are durations
// on the child's clock since a start chosen by the driver.
type Subscription struct {
	RequestedAt time.Duration // a time before the request was sent
}

// ContactAt returns a time at which a quorum had confirmed the state up to a feed's latest index: the state contains all
// changes acknowledged before then, however long the feed was delayed. now is the time of receipt.
func (s Subscription) ContactAt(now time.Duration, feed *wire.Feed) time.Duration {
	if feed.ContactNs == nil { // from a parent of the previous version
		return now - time.Duration(feed.AgeMs)*time.Millisecond
	}
	offset := time.Duration(*feed.ContactNs)
	drift := offset.Abs() / (maxClockDriftDivisor - 1) // the offset may be measured by the faster clock
	return s.RequestedAt + offset - drift
}

// NeedsRenewal reports whether the subscription should be renewed, because clock drift or the time in transit makes the
// result of ContactAt imprecise.
func (s Subscription) NeedsRenewal(now time.Duration, feed *wire.Feed) bool {
	elapsed := now - s.RequestedAt
	transit := now - s.ContactAt(now, feed) - time.Duration(feed.AgeMs)*time.Millisecond
	recent := feed.AgeMs < uint32(maxReportedAge.Milliseconds())
	return elapsed > renewAfter || recent && transit > maxTransit && elapsed > renewPause
}

// SetAge sets a feed's age fields. All times are on the parent's clock: contactAt is the last time at which a quorum confirmed
// the state, and must be read before the state; subscribedAt is the receipt of the child's request.
func SetAge(feed *wire.Feed, now, contactAt, subscribedAt time.Duration) {
	feed.AgeMs = uint32((min(now-contactAt, maxReportedAge) + time.Millisecond - 1) / time.Millisecond)
	offset := int64(contactAt - subscribedAt)
	feed.ContactNs = &offset
}

package relay

import "time"

const (
	stableAfter = 5 * time.Second // a parent that lasted as long was a good one
	fallbackFor = 3 * time.Second // so long a node stays below one that is not its place
	retryPause = 100 * time.Millisecond
)

// EndReason says why a subscription has ended.
type EndReason string

// The reasons.
const (
	Continue   EndReason = ""                           // it has not ended
	Renew      EndReason = "renew"                      // it is to be renewed at once, or the node's place is elsewhere
	ParentStale EndReason = "the parent is out of touch" // what the parent sends is too old
	Failed     EndReason = "failed"                     // no connection, silence, a refusal, or a feed that can't be read
)

// Selector decides which parent a node subscribes to. It is a pure state machine: it takes the
// time and an event, and says what to do. Times are durations since a moment of
// the driver's choice. Its zero value has no parent.
type Selector struct {
	attempts  int           // counts the candidates that were tried
	candidates int           // of how many
	parent  string        // of the parent
	preferred  bool          // it was the first of the candidates
	subscribedAt time.Duration // of the subscription
	pausedUntil time.Duration // of the pause after all candidates have failed
}

// Next returns the parent to subscribe to, out of the candidates, the best first, or how long to
// wait before the next question. The driver subscribes, and says with Ended when
// that has failed.
func (s *Selector) Next(now time.Duration, parents []string) (addr string, wait time.Duration) {
	if len(parents) == 0 {
		return "", retryPause
	}
	if now < s.pausedUntil {
		return "", s.pausedUntil - now
	}
	s.candidates = len(parents)
	at := s.attempts % s.candidates
	s.parent, s.preferred, s.subscribedAt = parents[at], at == 0, now
	return s.parent, 0
}

// Check says whether a parent should be left for the age of what it has sent.
func (s *Selector) Check(now, age time.Duration) EndReason {
	if age > Stale && now-s.subscribedAt > Heartbeat {
		return ParentStale
	}
	return Continue
}

// ShouldMove reports whether the node's place is elsewhere by now.
func (s *Selector) ShouldMove(now time.Duration, parents []string) bool {
	if !s.preferred {
		return now-s.subscribedAt > fallbackFor
	}
	return len(parents) > 0 && parents[0] != s.parent
}

// Ended takes the end of a subscription.
func (s *Selector) Ended(now time.Duration, reason EndReason) {
	switch {
	case reason == Renew, now-s.subscribedAt > stableAfter && !s.preferred:
		s.attempts = 0
	case now-s.subscribedAt > stableAfter:
		// The best one has failed: while its connection looks sound, another try would take as long again to show it.
		s.attempts = 1
	default:
		if s.attempts++; s.attempts%s.candidates == 0 {
			s.pausedUntil = now + retryPause
		}
	}
	s.parent = ""
}

package relay

import "time"

const (
	stableAfter = 5 * time.Second // a subscription that lasted so long counts as a success
	fallbackFor = 3 * time.Second // time under a parent that is not the preferred one
	retryPause  = 100 * time.Millisecond
)

// EndReason says why a subscription has ended.
type EndReason string

// The reasons.
const (
	Continue    EndReason = ""                           // it has not ended
	Renew       EndReason = "renew"                      // it is to be renewed at once, or the node's place is elsewhere
	ParentStale EndReason = "the parent is out of touch" // what the parent sends is too old
	Failed      EndReason = "failed"                     // no connection, silence, a refusal, or a feed that can't be read
)

// Selector decides to which parent a node subscribes. It is a pure state machine: it takes the time and events, and
// returns what to do. Times are durations since a moment of the driver's choice. The zero value has no parent.
type Selector struct {
	attempts     int           // counts the candidates that were tried
	candidates   int           // of how many
	parent       string        // of the parent
	preferred    bool          // it was the first of the candidates
	subscribedAt time.Duration // of the subscription
	pausedUntil  time.Duration // of the pause after all candidates have failed
}

// Next returns the parent to subscribe to, out of the candidates with the best first, or the time to wait before the next
// call. The driver subscribes, and calls Ended when the subscription has ended.
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

// Check returns ParentStale for a parent whose state is too old.
func (s *Selector) Check(now, age time.Duration) EndReason {
	if age > Stale && now-s.subscribedAt > Heartbeat {
		return ParentStale
	}
	return Continue
}

// ShouldMove reports whether another parent is the best one by now.
func (s *Selector) ShouldMove(now time.Duration, parents []string) bool {
	if !s.preferred {
		return now-s.subscribedAt > fallbackFor
	}
	return len(parents) > 0 && parents[0] != s.parent
}

// Ended takes the end of a subscription, with its reason.
func (s *Selector) Ended(now time.Duration, reason EndReason) {
	switch {
	case reason == Renew, now-s.subscribedAt > stableAfter && !s.preferred:
		s.attempts = 0
	case now-s.subscribedAt > stableAfter:
		// The preferred parent has failed: another attempt would take as long to fail as long as its connection seems fine.
		s.attempts = 1
	default:
		if s.attempts++; s.attempts%s.candidates == 0 {
			s.pausedUntil = now + retryPause
		}
	}
	s.parent = ""
}

package relay

import "time"

const (
	stableAfter = 5 * time.Second        // a subscription that lasts longer counts as successful
	fallbackFor = 3 * time.Second        // time with a parent that is not the preferred one, before the preferred one is tried again
	retryPause  = 100 * time.Millisecond // pause after all candidates have failed, or while there are none
)

// EndReason is the reason for the end of a subscription.
type EndReason string

// Values of EndReason.
const (
	Continue    EndReason = ""             // the subscription has not ended
	Renew       EndReason = "renew"        // the subscription should be renewed, or another parent is preferred
	ParentStale EndReason = "stale parent" // the age of the parent's state exceeds StaleAfter
	Failed      EndReason = "failed"       // no connection, FeedTimeout, a rejection, or a feed that cannot be decoded
)

// Selector decides to which parent a node subscribes. It is a pure state machine: it takes the time and events, and returns
// the actions. Times are durations since a start chosen by the driver. The zero value has no parent.
type Selector struct {
	attempts     int    // failed attempts since the last success; modulo candidates, the index of the next one
	candidates   int    // number of candidates
	parent       string // address of the current parent
	preferred    bool   // the current parent is the first candidate
	subscribedAt time.Duration
	pausedUntil  time.Duration // end of the pause after all candidates have failed
}

// Next returns the parent to subscribe to, or the time to wait before the next call. parents are the candidates in order of
// preference. The driver subscribes, and calls Ended when the subscription has ended.
func (s *Selector) Next(now time.Duration, parents []string) (addr string, wait time.Duration) {
	if len(parents) == 0 {
		return "", retryPause
	}
	if now < s.pausedUntil {
		return "", s.pausedUntil - now
	}
	s.candidates = len(parents)
	index := s.attempts % s.candidates
	s.parent, s.preferred, s.subscribedAt = parents[index], index == 0, now
	return s.parent, 0
}

// Check returns ParentStale if the age of the parent's state exceeds StaleAfter. It allows any age for one Heartbeat after
// the subscription.
func (s *Selector) Check(now, age time.Duration) EndReason {
	if age > StaleAfter && now-s.subscribedAt > Heartbeat {
		return ParentStale
	}
	return Continue
}

// ShouldMove reports whether the node should subscribe again. A node leaves its preferred parent once another one is
// preferred, and any other parent after fallbackFor.
func (s *Selector) ShouldMove(now time.Duration, parents []string) bool {
	if !s.preferred {
		return now-s.subscribedAt > fallbackFor
	}
	return len(parents) > 0 && parents[0] != s.parent
}

// Ended records the end of a subscription and its reason.
func (s *Selector) Ended(now time.Duration, reason EndReason) {
	switch {
	case reason == Renew, now-s.subscribedAt > stableAfter && !s.preferred:
		s.attempts = 0
	case now-s.subscribedAt > stableAfter:
		// The preferred parent has failed. Skip it: while its connection seems alive, another attempt would take as long to
		// fail.
		s.attempts = 1
	default:
		if s.attempts++; s.attempts%s.candidates == 0 {
			s.pausedUntil = now + retryPause
		}
	}
	s.parent = ""
}

package relay

import "time"

const (
	settledFor = 5 * time.Second // a parent that lasted as long was a good one
	substitute = 3 * time.Second // so long a node stays below one that is not its place
	roundPause = 100 * time.Millisecond
)

// EndReason says why a subscription has ended.
type EndReason string

// The reasons.
const (
	Continue   EndReason = ""                           // it has not ended
	Renew      EndReason = "renew"                      // it is to be renewed at once, or the node's place is elsewhere
	OutOfTouch EndReason = "the parent is out of touch" // what the parent sends is too old
	Failed     EndReason = "failed"                     // no connection, silence, a refusal, or a feed that can't be read
)

// Selector decides which parent a node subscribes to. It is a pure state machine: it takes the
// time and an event, and says what to do. Times are durations since a moment of
// the driver's choice. Its zero value has no parent.
type Selector struct {
	turn  int           // counts the candidates that were tried
	among int           // of how many
	addr  string        // of the parent
	best  bool          // it was the first of the candidates
	began time.Duration // of the subscription
	until time.Duration // of the pause after all candidates have failed
}

// Next returns the parent to subscribe to, out of the candidates, the best first, or how long to
// wait before the next question. The driver subscribes, and says with Ended when
// that has failed.
func (s *Selector) Next(now time.Duration, parents []string) (addr string, wait time.Duration) {
	if len(parents) == 0 {
		return "", roundPause
	}
	if now < s.until {
		return "", s.until - now
	}
	s.among = len(parents)
	at := s.turn % s.among
	s.addr, s.best, s.began = parents[at], at == 0, now
	return s.addr, 0
}

// Check says whether a parent should be left for the age of what it has sent.
func (s *Selector) Check(now, age time.Duration) EndReason {
	if age > Stale && now-s.began > Heartbeat {
		return OutOfTouch
	}
	return Continue
}

// ShouldMove reports whether the node's place is elsewhere by now.
func (s *Selector) ShouldMove(now time.Duration, parents []string) bool {
	if !s.best {
		return now-s.began > substitute
	}
	return len(parents) > 0 && parents[0] != s.addr
}

// Ended takes the end of a subscription.
func (s *Selector) Ended(now time.Duration, why EndReason) {
	switch {
	case why == Renew, now-s.began > settledFor && !s.best:
		s.turn = 0
	case now-s.began > settledFor:
		// The best one has failed: while its connection looks sound, another try would take as long again to show it.
		s.turn = 1
	default:
		if s.turn++; s.turn%s.among == 0 {
			s.until = now + roundPause
		}
	}
	s.addr = ""
}

package relay

import "time"

const (
	settledFor = 5 * time.Second // a parent that lasted as long was a good one
	substitute = 3 * time.Second // so long a node stays below one that is not its place
	roundPause = 100 * time.Millisecond
)

// Again is the end of a subscription that is to be renewed at once.
const Again = "again"

// Climb decides whom a node follows. It is a pure state machine: it takes the
// time and an event, and says what to do. Times are durations since a moment of
// the driver's choice. Its zero value follows nobody.
type Climb struct {
	turn  int           // counts the candidates that were tried
	among int           // of how many
	addr  string        // followed now
	best  bool          // it was the first of the candidates
	began time.Duration // of following it
	until time.Duration // of the rest after all candidates have failed
}

// Next says whom to follow, out of the candidates, the best first, or how long to
// wait before the next question. The driver subscribes, and says with Ended when
// that has failed.
func (c *Climb) Next(now time.Duration, parents []string) (addr string, wait time.Duration) {
	if len(parents) == 0 {
		return "", roundPause
	}
	if now < c.until {
		return "", c.until - now
	}
	c.among = len(parents)
	at := c.turn % c.among
	c.addr, c.best, c.began = parents[at], at == 0, now
	return c.addr, 0
}

// Judge says why a parent should be left for the age of what it has sent; empty: it should not.
func (c *Climb) Judge(now, age time.Duration) string {
	if age > Stale && now-c.began > Beat {
		return "the parent is out of touch"
	}
	return ""
}

// Moves tells whether the node's place is elsewhere by now.
func (c *Climb) Moves(now time.Duration, parents []string) bool {
	if !c.best {
		return now-c.began > substitute
	}
	return len(parents) > 0 && parents[0] != c.addr
}

// Ended takes the end of a subscription.
func (c *Climb) Ended(now time.Duration, why string) {
	switch {
	case why == Again, now-c.began > settledFor:
		c.turn = 0
	default:
		if c.turn++; c.turn%c.among == 0 {
			c.until = now + roundPause
		}
	}
	c.addr = ""
}

package relay

import "time"

const (
	// minFeedInterval is the minimum time between two feeds to a child. Updates within it share a feed.
	minFeedInterval = 25 * time.Millisecond

	// relayHeartbeat is the interval after which a relay sends a heartbeat if it has received none from its parent. It exceeds
	// Heartbeat, so that relays normally forward the heartbeats of the quorum member at the root.
	relayHeartbeat = Heartbeat + Heartbeat/4
)

// Pacing decides when a child receives its next feed: after a change or a newer contact with the quorum as soon as
// minFeedInterval allows, otherwise as a periodic heartbeat. A forwarded heartbeat ages the state only by its transit time.
// If each level sent heartbeats by its own timer, every level would add up to one interval to the age.
//
// Pacing is a pure state machine. Times are durations since a start chosen by the driver.
type Pacing struct {
	sentAt  time.Duration
	pending bool // a change or a newer contact was not sent yet
}

// Sent records that a feed was sent, which included everything pending.
func (p *Pacing) Sent(now time.Duration) { p.sentAt, p.pending = now, false }

// MarkPending records a change or a newer contact with the quorum.
func (p *Pacing) MarkPending() { p.pending = true }

// Due returns the time at which the next feed is due. depth is this node's level in the tree; quorum members are at 0.
func (p *Pacing) Due(depth uint32) time.Duration {
	switch {
	case p.pending:
		return p.sentAt + minFeedInterval
	case depth > 0:
		return p.sentAt + relayHeartbeat
	}
	return p.sentAt + Heartbeat
}

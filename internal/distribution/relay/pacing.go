package relay

import "time"

const (
	// minFeedInterval is the minimal time between two feeds to a child, so that more frequent updates share one. The first
	// after a pause is sent at once.
	minFeedInterval = 25 * time.Millisecond

	// relayHeartbeat is the time after which a relay sends a heartbeat although none has come from its own parent: a little
	// more than Heartbeat, so that the heartbeats in the tree are those of the quorum member at its root.
	relayHeartbeat = Heartbeat + Heartbeat/4
)

// Pacing decides when a child receives its next feed: at once when there is a change or a newer contact with the quorum,
// and else as a heartbeat. Heartbeats that each level sent by its own timer would age the state by up to one interval at
// each level; forwarded as they come, they age it by their transit alone.
//
// It is a pure state machine. Times are durations since a moment of the driver's choice.
type Pacing struct {
	sentAt  time.Duration
	pending bool // there is something to forward
}

// Sent notes that a feed was sent, with all that was pending.
func (p *Pacing) Sent(now time.Duration) { p.sentAt, p.pending = now, false }

// MarkPending notes a change, or a newer contact with the quorum.
func (p *Pacing) MarkPending() { p.pending = true }

// Due returns when the next feed is to be sent. depth is this node's level in the tree; quorum members are at 0.
func (p *Pacing) Due(depth uint32) time.Duration {
	switch {
	case p.pending:
		return p.sentAt + minFeedInterval
	case depth > 0:
		return p.sentAt + relayHeartbeat
	}
	return p.sentAt + Heartbeat
}

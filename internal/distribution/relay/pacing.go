package relay

import "time"

const (
	// minFeedInterval is the least time between two feeds to a child, so that updates that come faster share one. The first
	// after a pause goes at once.
	minFeedInterval = 25 * time.Millisecond

	// relayHeartbeat is the time after which a relay sends a heartbeat although none has come from its own parent: a little
	// more than Heartbeat, so that what goes down the tree is in step with the quorum member at its top.
	relayHeartbeat = Heartbeat + Heartbeat/4
)

// Pacing decides when a child is sent its next feed: at once when there is something to pass on, which is a change or a newer
// contact with the quorum, and else as a heartbeat. Heartbeats that each level of the tree sent by its own clock would make the
// state older by up to one of them at each level; passed on as they come, they make it older by their way alone.
//
// It is a pure state machine. Times are durations since a moment of the driver's choice.
type Pacing struct {
	sentAt  time.Duration
	pending bool // there is something to pass on
}

// Sent takes the moment of a feed: all that was to be passed on is in it.
func (p *Pacing) Sent(now time.Duration) { p.sentAt, p.pending = now, false }

// MarkPending notes that there is something to pass on.
func (p *Pacing) MarkPending() { p.pending = true }

// Due returns when the next feed is to be sent. depth is this node's place below the quorum, whose members are at 0.
func (p *Pacing) Due(depth uint32) time.Duration {
	switch {
	case p.pending:
		return p.sentAt + minFeedInterval
	case depth > 0:
		return p.sentAt + relayHeartbeat
	}
	return p.sentAt + Heartbeat
}

package raft

import (
	"time"
)

// SetMaxBatchEntries sets the maximum number of entries in one message, and does nothing if entries is not positive. With
// a small maximum, model checkers need fewer entries to reach the same orders of events.
func (n *Node) SetMaxBatchEntries(entries int) {
	if entries > 0 {
		n.maxBatchEntries = entries
	}
}

// SetRetention sets the maximum number of entries kept before a snapshot, normally (tail) and while a member catches up
// (catchUp). With small values, model checkers reach snapshot transfers with short logs.
func (n *Node) SetRetention(tail, catchUp int) { n.tailEntries, n.catchUpEntries = tail, catchUp }

// Campaign starts an election without a pre-vote, if this member is electable and not the leader. Pre-votes only avoid
// needless elections: safety must not depend on them.
func (n *Node) Campaign(now time.Duration) {
	n.now = now
	if n.state != stateLeader && n.electable() {
		n.campaign(campaignElection)
	}
}

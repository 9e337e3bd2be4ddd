package raft

import (
	"time"
)

// SetMaxBatchEntries sets the maximum of entries in one message; 0: the usual one. With a small one, checkers reach with
// few entries the orders of events that else take many.
func (n *Node) SetMaxBatchEntries(entries int) {
	if entries > 0 {
		n.maxBatchEntries = entries
	}
}

// SetRetention sets how many entries are kept before a snapshot, and how many while a member catches up. With few,
// checkers reach transfers of snapshots with short logs.
func (n *Node) SetRetention(tail, catchUp int) { n.tailEntries, n.catchUpEntries = tail, catchUp }

// Campaign makes this member request votes at once, without a pre-vote. A pre-vote spares needless elections; safety
// must not depend on it.
func (n *Node) Campaign(now time.Duration) {
	n.now = now
	if n.state != stateLeader && n.electable() {
		n.campaign(campaignElection)
	}
}

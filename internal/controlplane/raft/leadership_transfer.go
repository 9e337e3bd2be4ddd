package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	leadTransferTimeout = electionMin            // a transfer that takes longer is abandoned
	slowSync            = 8 * time.Millisecond   // a leader whose synced writes take less keeps the leadership ...
	slowSyncFactor      = 4                      // ... and so does one whose writes take less than this times another's
	maxSyncTime         = 10 * time.Second       // a longer write counts as one of this
	syncTimeWeight      = 0.25                   // of the newest write in the moving average
	recentContact       = 200 * time.Millisecond // a transferee has answered within this time
)

// ObserveSync takes the duration of a synced write on this member's disk. Members report the average to the leader, which
// transfers leadership to one with a far faster disk: every change waits for the leader's own.
func (n *Node) ObserveSync(took time.Duration) {
	took = max(time.Microsecond, min(took, maxSyncTime))
	if n.syncTime == 0 {
		n.syncTime = took
	}
	n.syncTime += time.Duration(syncTimeWeight * float64(took-n.syncTime))
}

// ShouldTransferLeadership reports whether the leader's disk is far slower than that of another voter that could lead.
func (n *Node) ShouldTransferLeadership() bool {
	if n.state != stateLeader || n.syncTime < slowSync {
		return false
	}
	p := n.progress[n.transferCandidate()]
	return p != nil && p.syncTime > 0 && n.syncTime > slowSyncFactor*p.syncTime
}

// transferCandidate is the voter that could best take over: the one with the longest log, and of these the one with the
// fastest disk; noID: no other voter is in contact.
func (n *Node) transferCandidate() (best uint64) {
	for _, p := range n.Peers() {
		o := n.progress[p.Id]
		if !p.Voter || o == nil || n.now-o.lastContact > recentContact || o.match == 0 {
			continue
		}
		if b := n.progress[best]; b == nil || o.match > b.match || o.match == b.match && o.syncTime < b.syncTime {
			best = p.Id
		}
	}
	return best
}

// TransferLeadership begins a leadership transfer (thesis, 3.10): once another voter has the complete log, it is asked to
// start an election. Proposals are dropped meanwhile. It reports false if this member does not lead or no other could. A
// transfer that takes longer than leadTransferTimeout is abandoned.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.now = now
	if n.state != stateLeader {
		return false
	}
	if n.leadTransferee != noID {
		return true
	}
	if n.leadTransferee = n.transferCandidate(); n.leadTransferee == noID {
		return false
	}
	n.leadTransferDeadline = now + leadTransferTimeout
	n.sendTimeoutNow(n.leadTransferee)
	return true
}

// sendTimeoutNow asks the transferee to start an election, once it has the complete log.
func (n *Node) sendTimeoutNow(id uint64) {
	if p := n.progress[id]; id != noID && id == n.leadTransferee && p != nil && p.match == n.last() {
		n.send(&wire.RaftMessage{Kind: wire.RaftMessage_TIMEOUT_NOW, To: id})
	}
}

package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	leadTransferTimeout = electionMin            // so long a transfer target is waited for
	slowSync            = 8 * time.Millisecond   // a leader whose writes take less keeps the lead ...
	slowSyncFactor      = 4                      // ... and so does one that takes less than this many times what another takes
	maxSyncTime         = 10 * time.Second       // a write counts for as long at most
	syncTimeWeight      = 0.25                   // of the newest write in the average
	recentContact       = 200 * time.Millisecond // a member that was heard more lately may lead
)

// ObserveSync takes how long a synced write has taken here. Members tell the leader, which gives the lead away where
// another's disk is far faster: every change waits for the leader's own.
func (n *Node) ObserveSync(took time.Duration) {
	took = max(time.Microsecond, min(took, maxSyncTime))
	if n.syncTime == 0 {
		n.syncTime = took
	}
	n.syncTime += time.Duration(syncTimeWeight * float64(took-n.syncTime))
}

// ShouldTransferLeadership tells whether the leader's disk is far slower than that of another voter that could lead.
func (n *Node) ShouldTransferLeadership() bool {
	if n.state != stateLeader || n.syncTime < slowSync {
		return false
	}
	p := n.progress[n.transferCandidate()]
	return p != nil && p.syncTime > 0 && n.syncTime > slowSyncFactor*p.syncTime
}

// transferCandidate is the voter that could best take the lead: the one that has the most, and of these the one with the
// fastest disk; 0: nobody is in touch.
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

// TransferLeadership is the leadership transfer of the thesis (3.10): it gives the lead away as soon as another voter has all that
// is in the log; what is proposed meanwhile is turned away unrun. It reports false where this member does not lead or
// nobody could. A transfer target that does not take the lead in time is no longer waited for.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.now = now
	if n.state != stateLeader {
		return false
	}
	if n.leadTransferee != 0 {
		return true
	}
	if n.leadTransferee = n.transferCandidate(); n.leadTransferee == 0 {
		return false
	}
	n.leadTransferDeadline = now + leadTransferTimeout
	n.sendTimeoutNow(n.leadTransferee)
	return true
}

// sendTimeoutNow tells the transfer target to lead, once it has everything.
func (n *Node) sendTimeoutNow(id uint64) {
	if p := n.progress[id]; id != 0 && id == n.leadTransferee && p != nil && p.match == n.last() {
		n.send(&wire.RaftMessage{Kind: wire.RaftMessage_TIMEOUT_NOW, To: id})
	}
}

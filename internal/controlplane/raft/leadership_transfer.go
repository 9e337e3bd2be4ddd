package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	transferTimeout = minElectionTimeout     // a transfer is abandoned after this time
	slowSync        = 8 * time.Millisecond   // a leader with a lower sync time keeps the leadership
	slowSyncFactor  = 4                      // a leader keeps the leadership unless its sync time exceeds the candidate's by this factor
	maxSyncTime     = 10 * time.Second       // longer samples are clamped to this value
	syncTimeWeight  = 0.25                   // weight of the newest sample in the moving average
	recentContact   = 200 * time.Millisecond // a transferee must have responded within this time
)

// ObserveSync records the duration of a synced write on this member's disk. Members report the moving average to the
// leader. Every change waits for the leader's disk, so leadership moves to a voter with a much faster disk.
func (n *Node) ObserveSync(duration time.Duration) {
	duration = max(time.Microsecond, min(duration, maxSyncTime))
	if n.syncTime == 0 {
		n.syncTime = duration
	}
	n.syncTime += time.Duration(syncTimeWeight * float64(duration-n.syncTime))
}

// ShouldTransferLeadership reports whether this member leads and its disk is much slower than the transfer candidate's.
func (n *Node) ShouldTransferLeadership() bool {
	if n.state != stateLeader || n.syncTime < slowSync {
		return false
	}
	p := n.progress[n.transferCandidate()]
	return p != nil && p.syncTime > 0 && n.syncTime > slowSyncFactor*p.syncTime
}

// transferCandidate returns the voter with the longest log, and among equals the one with the fastest disk. It returns
// noID if no other voter is in contact.
func (n *Node) transferCandidate() (best uint64) {
	for _, p := range n.Peers() {
		candidate := n.progress[p.Id]
		if !p.Voter || candidate == nil || n.now-candidate.lastContact > recentContact || candidate.match == 0 {
			continue
		}
		if current := n.progress[best]; current == nil || candidate.match > current.match ||
			candidate.match == current.match && candidate.syncTime < current.syncTime {
			best = p.Id
		}
	}
	return best
}

// TransferLeadership begins a leadership transfer (thesis, 3.10). Once the transferee has the complete log, the leader
// sends it a TIMEOUT_NOW message. Proposals are dropped until the transfer has ended or transferTimeout has passed. It
// returns false if this member is not the leader or there is no candidate.
func (n *Node) TransferLeadership(now time.Duration) bool {
	n.now = now
	if n.state != stateLeader {
		return false
	}
	if n.transferee != noID {
		return true
	}
	if n.transferee = n.transferCandidate(); n.transferee == noID {
		return false
	}
	n.transferDeadline = now + transferTimeout
	n.sendTimeoutNow(n.transferee)
	return true
}

// sendTimeoutNow requests an election from a member if it is the transferee and has the complete log.
func (n *Node) sendTimeoutNow(id uint64) {
	if p := n.progress[id]; id != noID && id == n.transferee && p != nil && p.match == n.last() {
		n.send(&wire.RaftMessage{Kind: wire.RaftMessage_TIMEOUT_NOW, To: id})
	}
}

package raft

import (
	"math"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// progress is a leader's view of the replication to another member.
type progress struct {
	match          uint64        // newest index that is known to be on its disk
	next           uint64        // first index that has not been sent to it
	heartbeatRound uint64        // newest round that it has answered
	lastContact    time.Duration // last answer, or the begin of the leadership
	readySince     time.Duration // of a learner that has caught up; 0: it has not
	syncTime       time.Duration // of a synced write there; 0: not known
	stamp          *wire.Stamp   // the newest one of its clock
	stampAt        time.Duration // receipt of stamp

	snapshot        *wire.RaftSnapshot // being sent to it; nil: none
	snapshotRetryAt time.Duration      // no transfer begins before
}

// Lag returns how many entries a member lacks (math.MaxUint64: not known yet) and the time since it last answered; ok
// is false unless this member leads and the other is a member.
func (n *Node) Lag(id uint64) (lag uint64, sinceContact time.Duration, ok bool) {
	p := n.progress[id]
	if n.state != stateLeader || p == nil {
		return 0, 0, false
	}
	if lag = n.last() - min(p.match, n.last()); p.match == 0 {
		lag = math.MaxUint64
	}
	return lag, n.now - p.lastContact, true
}

// resetProgress keeps a progress for each other member of the newest membership.
func (n *Node) resetProgress() {
	for _, p := range n.Peers() {
		if p.Id != n.id && n.progress[p.Id] == nil {
			n.progress[p.Id] = &progress{next: n.last(), lastContact: n.now}
		}
	}
	for id := range n.progress {
		if !slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
			delete(n.progress, id)
		}
	}
}

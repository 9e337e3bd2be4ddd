package raft

import (
	"math"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// progress is what a leader knows of another member.
type progress struct {
	match, next    uint64
	heartbeatRound uint64 // newest round that it has answered
	lastContact    time.Duration
	readySince     time.Duration // of a learner that has caught up; 0: it has not
	syncTime       time.Duration // that a synced write takes there; 0: not known
	stamp          *wire.Stamp   // the newest of its clock
	stampAt        time.Duration // when that was received

	snapshot        *wire.RaftSnapshot // under way to it; nil: none
	snapshotRetryAt time.Duration      // a transfer is not begun before
}

// Lag returns how many entries a member lacks, as far as it has said what it
// has, and since when it has been silent; ok only on the leader.
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

// resetProgress keeps a progress for each other member.
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

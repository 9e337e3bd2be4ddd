package raft

import (
	"math"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// progress is the state of replication from the leader to another member.
type progress struct {
	match          uint64        // last index known to be on the member's disk
	next           uint64        // first index that has not been sent
	heartbeatRound uint64        // last heartbeat round that the member has responded to
	lastContact    time.Duration // time of the last response; initially the time of this struct's creation
	readySince     time.Duration // time at which a learner was first found caught up and in contact; zero if it is not
	syncTime       time.Duration // moving average of the member's synced writes; zero if unknown
	stamp          *wire.Stamp   // newest stamp received from the member
	stampAt        time.Duration // time at which stamp was received

	snapshot        *wire.RaftSnapshot // snapshot in transfer; nil if there is none
	snapshotRetryAt time.Duration      // time before which no INSTALL_SNAPSHOT message is sent
}

// Lag returns the number of entries that a member lacks, or math.MaxUint64 if it is unknown, and the time since its last
// response. ok is false unless this node is the leader and id is another member.
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

// updateProgress adds and removes entries of the progress map, which has one for each other member of the newest membership.
func (n *Node) updateProgress() {
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

package raft

import (
	"maps"
	"math/rand/v2"
	"slices"

	"ivydeck/internal/transport/wire"
)

// Clone returns a copy that shares nothing that either of the two changes, for checkers that explore what could happen
// next. It is to be called when Ready has nothing to return. The two draw different random numbers.
func (n *Node) Clone() *Node {
	c := &Node{
		raftLog:              n.raftLog.clone(),
		id:                   n.id,
		rng:                  rand.New(rand.NewPCG(n.id, n.hardState.Term)),
		now:                  n.now,
		startedAt:            n.startedAt,
		state:                n.state,
		leaderID:             n.leaderID,
		hardState:            wire.HardState{Term: n.hardState.Term, Vote: n.hardState.Vote},
		savedHardState:       wire.HardState{Term: n.savedHardState.Term, Vote: n.savedHardState.Vote},
		proposed:             n.proposed,
		electionDeadline:     n.electionDeadline,
		leaderContactAt:      n.leaderContactAt,
		campaignAt:           n.campaignAt,
		votes:                maps.Clone(n.votes),
		process:              n.process,
		contactAt:            n.contactAt,
		progress:             make(map[uint64]*progress, len(n.progress)),
		heartbeatAt:          n.heartbeatAt,
		heartbeatRound:       n.heartbeatRound,
		roundStartedAt:       maps.Clone(n.roundStartedAt),
		quorumContactAt:      n.quorumContactAt,
		leaderSince:          n.leaderSince,
		pendingReads:         slices.Clone(n.pendingReads),
		catchUp:              n.catchUp,
		leaving:              maps.Clone(n.leaving),
		syncTime:             n.syncTime,
		leadTransferee:       n.leadTransferee,
		leadTransferDeadline: n.leadTransferDeadline,
		removedElsewhere:     n.removedElsewhere,
		maxBatchEntries:      n.maxBatchEntries,
	}
	for id, p := range n.progress {
		copied := *p
		c.progress[id] = &copied
	}
	return c
}

// clone returns a copy of a log without a pending snapshot.
func (l *raftLog) clone() raftLog {
	c := *l
	c.pendingSnapshot = nil
	c.entries = slices.Clone(l.entries)
	c.memberships = slices.Clone(l.memberships)
	return c
}

package raft

import (
	"maps"
	"math/rand/v2"
	"slices"

	"ivydeck/internal/transport/wire"
)

// Clone returns a copy that shares only immutable data with n, for model checkers. It must be called only when Ready has
// nothing to return. The copy has its own random number generator.
func (n *Node) Clone() *Node {
	c := &Node{
		raftLog:             n.raftLog.clone(),
		id:                  n.id,
		rng:                 rand.New(rand.NewPCG(n.id, n.hardState.Term)),
		now:                 n.now,
		startedAt:           n.startedAt,
		state:               n.state,
		leaderID:            n.leaderID,
		hardState:           wire.HardState{Term: n.hardState.Term, Vote: n.hardState.Vote},
		savedHardState:      wire.HardState{Term: n.savedHardState.Term, Vote: n.savedHardState.Vote},
		hasUnsentProposals:  n.hasUnsentProposals,
		electionDeadline:    n.electionDeadline,
		leaderContactAt:     n.leaderContactAt,
		campaignStartedAt:   n.campaignStartedAt,
		votes:               maps.Clone(n.votes),
		processID:           n.processID,
		contactAt:           n.contactAt,
		progress:            make(map[uint64]*progress, len(n.progress)),
		heartbeatAt:         n.heartbeatAt,
		heartbeatRound:      n.heartbeatRound,
		roundStartedAt:      maps.Clone(n.roundStartedAt),
		quorumContactAt:     n.quorumContactAt,
		leaderSince:         n.leaderSince,
		pendingReads:        slices.Clone(n.pendingReads),
		catchUp:             n.catchUp,
		leaving:             maps.Clone(n.leaving),
		syncTime:            n.syncTime,
		transferee:          n.transferee,
		transferDeadline:    n.transferDeadline,
		rejectedAsNonMember: n.rejectedAsNonMember,
		maxBatchEntries:     n.maxBatchEntries,
	}
	for id, p := range n.progress {
		copied := *p
		c.progress[id] = &copied
	}
	return c
}

// clone returns a copy of the log without its pending snapshot.
func (l *raftLog) clone() raftLog {
	c := *l
	c.pendingSnapshot = nil
	c.entries = slices.Clone(l.entries)
	c.memberships = slices.Clone(l.memberships)
	return c
}

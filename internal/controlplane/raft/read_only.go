package raft

import "time"

// ReadState is the result of a call of ReadIndex.
type ReadState struct {
	Token uint64 // the argument of ReadIndex
	Index uint64 // index that must be applied before the read is answered
	OK    bool   // false if the leadership could not be confirmed or too many reads are pending; the read can be retried
}

// pendingRead is a read that waits until a majority has responded to heartbeatRound or a later round.
type pendingRead struct {
	token, index, heartbeatRound uint64
}

// rejectPendingReads rejects all pending reads when the leadership ends.
func (n *Node) rejectPendingReads() {
	for _, r := range n.pendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: r.token})
	}
	n.pendingReads = nil
}

// ReadIndex requests the index that must be applied before a linearizable read (thesis, 6.4). Ready returns it as a
// ReadState with the same token, once a majority has confirmed the leadership after this call.
func (n *Node) ReadIndex(now time.Duration, token uint64) {
	n.now = now
	t, _ := n.term(n.committed)
	if n.state != stateLeader || t != n.hardState.Term || len(n.pendingReads) >= maxPendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: token})
		return
	}
	if n.heartbeatUnsent { // the round's messages are sent after this call, so its responses confirm this read
		n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound})
		n.updateQuorumContact()
		return
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound + 1})
	n.broadcastHeartbeat()
}

// updateQuorumContact updates quorumContactAt from the newest heartbeat round that a majority has answered, and completes
// the reads that this round confirms.
func (n *Node) updateQuorumContact() {
	round := n.quorumValue(n.heartbeatRound, func(p *progress) uint64 { return p.heartbeatRound })
	if at, ok := n.roundStartedAt[round]; ok {
		n.quorumContactAt = max(n.quorumContactAt, at)
	}
	kept := 0
	for _, read := range n.pendingReads {
		if read.heartbeatRound <= round {
			n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: read.token, Index: read.index, OK: true})
		} else {
			n.pendingReads[kept] = read
			kept++
		}
	}
	n.pendingReads = n.pendingReads[:kept]
}

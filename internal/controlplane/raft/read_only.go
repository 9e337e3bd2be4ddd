package raft

import "time"

// ReadState is the outcome of a ReadIndex.
type ReadState struct {
	Token uint64 // as it was given to ReadIndex
	Index uint64 // to be applied before the read is answered
	OK    bool   // false: this member does not lead, or can't be sure of it; the read may be tried again
}

// pendingRead waits for a majority to answer a round of heartbeats that began after it.
type pendingRead struct {
	token, index, heartbeatRound uint64
}

// rejectPendingReads answers all reads that wait, at the end of the leadership.
func (n *Node) rejectPendingReads() {
	for _, r := range n.pendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: r.token})
	}
	n.pendingReads = nil
}

// ReadIndex asks for the index that a linearizable read has to see (thesis, 6.4). The answer is a ReadState of a Ready,
// once a majority has confirmed the leadership after this call.
func (n *Node) ReadIndex(now time.Duration, token uint64) {
	n.now = now
	t, _ := n.term(n.committed)
	if n.state != stateLeader || t != n.hardState.Term || len(n.pendingReads) >= maxPendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: token})
		return
	}
	if n.heartbeatUnsent { // the round's messages are sent after this call, so it counts for the read
		n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound})
		n.confirmContact()
		return
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound + 1})
	n.broadcastHeartbeat()
}

// confirmContact notes the newest round that a majority has answered, and answers the reads that it confirms.
func (n *Node) confirmContact() {
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

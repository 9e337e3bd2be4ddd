package raft

import (
	"time"
)

// ReadIndex is a read that has been confirmed, or refused.
type ReadState struct {
	Token uint64
	Index uint64 // to be applied before the answer
	OK    bool
}

type pendingRead struct {
	token, index, heartbeatRound uint64
}

func (n *Node) rejectPendingReads() {
	for _, r := range n.pendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: r.token})
	}
	n.pendingReads = nil
}

// ReadIndex asks for the place in the log that a read has to see. The answer comes
// in an Output, once a majority has confirmed the lead after this call.
func (n *Node) ReadIndex(now time.Duration, token uint64) {
	n.now = now
	t, _ := n.term(n.committed)
	if n.state != stateLeader || t != n.hardState.Term || len(n.pendingReads) >= maxPendingReads {
		n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: token})
		return
	}
	if n.heartbeatUnsent { // its messages go out after this call
		n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound})
		n.confirmContact()
		return
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token, n.committed, n.heartbeatRound + 1})
	n.broadcastHeartbeat()
}

// confirmContact confirms what the rounds answered by a majority prove.
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

package server

import (
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/distribution/relay"
)

// observeContact publishes how old the state here is, and logs when the member loses touch with the quorum and when it
// is back. The loop calls it once what is committed is applied.
func (n *Node) observeContact(now time.Duration) {
	age := n.consensus.QuorumContactAge(now)
	n.contactAt.Store(int64(now - age))
	outOfTouch := age > relay.Stale
	if outOfTouch == n.outOfTouch {
		return
	}
	n.outOfTouch = outOfTouch
	if outOfTouch {
		n.log.Warn("quorum.out_of_touch", "age", age, "term", n.consensus.Term(), "leader", n.leader().GetAddress())
		return
	}
	n.log.Info("quorum.in_touch", "age", age, "term", n.consensus.Term(), "leader", n.leader().GetAddress())
}

// contactAge is an upper bound of the time since a quorum confirmed the state here, from outside of the loop.
func (n *Node) contactAge() time.Duration {
	return min(n.now()-time.Duration(n.contactAt.Load()), raft.MaxContactAge)
}

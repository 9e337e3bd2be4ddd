package server

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

func (n *Node) self(voter bool) *wire.Peer {
	set := n.set.Load()
	return &wire.Peer{Id: n.store.ID, Address: set.Internal(), ControlAddress: set.Control, Voter: voter}
}

// leader returns the leader as this node knows it, or nil.
func (n *Node) leader() *wire.Peer {
	for _, p := range n.consensus.Peers() {
		if p.Id == n.consensus.Leader() {
			return p
		}
	}
	return nil
}

// ask returns the leader from outside of the loop.
func (n *Node) ask(ctx context.Context) (leader *wire.Peer, self bool) {
	type reply struct {
		leader *wire.Peer
		self   bool
	}
	c := make(chan reply, 1)
	if !n.do(func() { c <- reply{n.leader(), n.consensus.IsLeader()} }) {
		return nil, false
	}
	select {
	case r := <-c:
		return r.leader, r.self
	case <-ctx.Done():
		return nil, false
	case <-time.After(answerWithin):
		return nil, false
	}
}

// manage is the leader's upkeep: whether another should lead, and which servers are gone. The members are the
// membershipManager's.
func (n *Node) manage() {
	if !n.consensus.IsLeader() {
		if n.wasLead {
			n.log.Info("leadership.lost", "term", n.consensus.Term())
		}
		n.wasLead = false
		return
	}
	if !n.wasLead {
		n.wasLead, n.ledSince = true, n.now()
		n.log.Info("leadership.acquired", "term", n.consensus.Term(), "members", len(n.consensus.Peers()))
	}
	if n.consensus.ShouldTransferLeadership() && n.consensus.TransferLeadership(n.now()) {
		n.log.Warn("leadership.transferring", "term", n.consensus.Term(), "why", "the disk is far slower than another's")
		return
	}
	n.manageServers()
}

// manageServers takes servers off the list whose machines are gone.
func (n *Node) manageServers() {
	gone := n.catalog.On(func(node string) bool { return n.gossip.Lost(node, n.now()-n.ledSince) })
	if len(gone) == 0 || len(n.requests.proposed) > 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}})
	if err == nil {
		if _, _, err = n.consensus.Propose(n.now(), data); err == nil {
			n.log.Info("servers.gone", "members", gone)
		}
	}
}

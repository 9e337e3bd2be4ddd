package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/raft"
	"ivydeck/internal/wire"
)

func (n *Node) self(voter bool) *wire.Peer {
	set := n.set.Load()
	return &wire.Peer{Id: n.store.ID, Address: set.Internal(), Control: set.Control, Voter: voter}
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
	if !n.do(func() { c <- reply{n.leader(), n.consensus.Leads()} }) {
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

// joinLoop asks to be a member until it is one.
func (n *Node) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		member := make(chan bool, 1)
		if !n.do(func() {
			member <- slices.ContainsFunc(n.consensus.Peers(), func(p *wire.Peer) bool {
				return p.Id == n.store.ID && p.Address == n.set.Load().Internal()
			})
		}) {
			return
		}
		var joined bool
		select {
		case joined = <-member:
		case <-ctx.Done(): // the loop may have ended with the question unread
			return
		}
		if joined {
			n.pause(time.Second)
			continue
		}
		n.askToJoin(ctx)
		n.pause(250 * time.Millisecond)
	}
}

func (n *Node) askToJoin(ctx context.Context) {
	asked := map[string]bool{n.set.Load().Internal(): true}
	ask := n.set.Load().SeedNodes()
	for _, m := range n.gossip.Members() {
		if m.Core {
			ask = append(ask, m.Address)
		}
	}
	for i := 0; i < len(ask) && i < 16; i++ {
		if asked[ask[i]] {
			continue
		}
		asked[ask[i]] = true
		call, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		answer := new(wire.JoinedCore)
		err := n.pool.Call(call, ask[i], "join", &wire.JoinCore{Peer: n.self(false)}, answer)
		cancel()
		if err == nil && answer.Member {
			return
		}
		if err == nil && answer.Leader != "" && !asked[answer.Leader] {
			ask = slices.Insert(ask, i+1, answer.Leader)
		}
	}
}

// join takes a machine in as a learner: it has no vote before it has the log.
func (n *Node) join(ctx context.Context, j *wire.JoinCore) (*wire.JoinedCore, error) {
	p := j.GetPeer()
	if p.GetId() == 0 || p.GetAddress() == "" {
		return nil, errors.New("no identity or address")
	}
	c := make(chan *wire.JoinedCore, 1)
	n.do(func() {
		if !n.consensus.Leads() {
			c <- &wire.JoinedCore{Leader: n.leader().GetAddress()}
			return
		}
		move, member := n.consensus.Joining(p)
		if member {
			c <- &wire.JoinedCore{Member: true}
			return
		}
		n.move(move)
		c <- &wire.JoinedCore{}
	})
	select {
	case r := <-c:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// manage is the leader's upkeep: who is a member, and which servers are gone.
func (n *Node) manage() {
	if !n.consensus.Leads() {
		if n.wasLead {
			n.log.Info("core.follows", "term", n.consensus.Term())
		}
		n.wasLead = false
		return
	}
	if !n.wasLead {
		n.wasLead, n.ledSince = true, n.now()
		n.log.Info("core.leads", "term", n.consensus.Term(), "members", len(n.consensus.Peers()))
	}
	if n.consensus.Ill() && n.consensus.HandOver(n.now()) {
		n.log.Warn("core.hands", "term", n.consensus.Term(), "why", "the disk is far slower than another's")
		return
	}
	n.move(n.consensus.Reconcile(n.fewest()))
	n.manageServers()
}

// move proposes a change of the members; another one under way comes first.
func (n *Node) move(m raft.Move) {
	if m.Next == nil {
		return
	}
	if err := n.consensus.Change(n.now(), m.Next); err == nil {
		n.log.Info(m.Event, "address", m.Peer.Address, "identity", fmt.Sprintf("%016x", m.Peer.Id))
	}
}

// manageServers takes servers off the list whose machines are gone.
func (n *Node) manageServers() {
	gone := n.catalog.On(func(node string) bool { return n.gossip.Lost(node, n.now()-n.ledSince) })
	if len(gone) == 0 || len(n.requests.proposed) > 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{What: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: gone}}})
	if err == nil {
		if _, _, err = n.consensus.Propose(n.now(), data); err == nil {
			n.log.Info("servers.gone", "members", gone)
		}
	}
}

package raft

import (
	"slices"
	"time"

	"ivydeck/internal/wire"
)

const (
	learnerLag = 32              // entries, with which a learner becomes a voter
	deadFor    = 6 * time.Second // silence after which a voter may be taken out
	learnerFor = 30 * time.Second
	maxVoters  = 7
)

// Move is a change of the members that a leader should propose.
type Move struct {
	Next  []*wire.Peer // the members after it; nil: no change
	Peer  *wire.Peer   // whom it concerns
	Event string       // for the log: core.join, core.voter, core.forget, core.remove
}

// Voters counts the members that vote.
func Voters(peers []*wire.Peer) (n int) {
	for _, p := range peers {
		if p.Voter {
			n++
		}
	}
	return n
}

// Reconcile is a leader's upkeep of its members: learners that have the log become
// voters, and voters that are gone are taken out once enough others are there:
// first in, then out, one at a time. fewest is the number of voters that the
// losses to be borne ask for.
func (c *Node) Reconcile(fewest int) Move {
	peers := c.Peers()
	alive := 0
	for _, p := range peers {
		if _, silent, ok := c.Lag(p.Id); p.Voter && (p.Id == c.id || ok && silent < deadFor) {
			alive++
		}
	}
	for i, p := range peers {
		lag, silent, ok := c.Lag(p.Id)
		if !ok {
			continue
		}
		without := slices.Delete(slices.Clone(peers), i, i+1)
		switch {
		case !p.Voter && lag <= learnerLag && silent < time.Second && Voters(peers) < maxVoters:
			next := slices.Clone(peers)
			next[i] = &wire.Peer{Id: p.Id, Address: p.Address, Control: p.Control, Voter: true}
			return Move{next, p, "core.voter"}
		case !p.Voter && silent > learnerFor:
			return Move{without, p, "core.forget"}
		case p.Voter && superseded(p, peers), p.Voter && silent > deadFor && alive >= fewest:
			return Move{without, p, "core.remove"}
		}
	}
	return Move{}
}

// superseded tells whether another voter has a member's address: the disk that the
// identity stood for is gone. To wait for its silence would leave the core short of
// one more loss for as long.
func superseded(p *wire.Peer, peers []*wire.Peer) bool {
	return slices.ContainsFunc(peers, func(q *wire.Peer) bool { return q.Voter && q.Id != p.Id && q.Address == p.Address })
}

// Joining is the change that takes a machine in, as a learner: it has no vote
// before it has the log. member tells that it is one already.
func (c *Node) Joining(p *wire.Peer) (m Move, member bool) {
	peers := slices.Clone(c.Peers())
	i := slices.IndexFunc(peers, func(q *wire.Peer) bool { return q.Id == p.Id })
	switch {
	case i < 0:
		peers = append(peers, &wire.Peer{Id: p.Id, Address: p.Address, Control: p.Control})
	case peers[i].Address == p.Address && peers[i].Control == p.Control:
		return Move{}, true
	default:
		peers[i] = &wire.Peer{Id: p.Id, Address: p.Address, Control: p.Control, Voter: peers[i].Voter}
	}
	return Move{peers, p, "core.join"}, false
}

package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/transport/wire"
)

// membership is the set of members from an index of the log on.
type membership struct {
	index uint64
	peers []*wire.Peer
}

// position names a place in the log.
type position struct {
	index, term uint64
}

// first is the index of the oldest entry that the log holds. It is at most one beyond the snapshot's: a tail of
// older entries is kept, see retention.go.
func (c *Node) first() uint64 { return c.base.index + 1 }

func (c *Node) last() uint64 { return c.base.index + uint64(len(c.entries)) }

// term returns the term of an index; ok is false where it is not in the log.
func (c *Node) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == c.base.index:
		return c.base.term, true
	case index < c.first() || index > c.last():
		return 0, false
	}
	return c.entries[index-c.first()].Term, true
}

func (c *Node) lastTerm() uint64 {
	t, _ := c.term(c.last())
	return t
}

// append adds entries at the end of the log.
func (c *Node) append(entries ...*wire.Entry) {
	for _, e := range entries {
		c.entries = append(c.entries, e)
		c.trackMembership(e)
		c.backlogBytes += len(e.Data)
		if c.unsaved == 0 {
			c.unsaved = e.Index
		}
	}
}

func (c *Node) trackMembership(e *wire.Entry) {
	if e.Kind != wire.Entry_MEMBERSHIP {
		return
	}
	var peers wire.Peers
	if proto.Unmarshal(e.Data, &peers) == nil {
		c.memberships = append(c.memberships, membership{e.Index, peers.Peers})
	}
}

// truncate drops all entries from an index on.
func (c *Node) truncate(from uint64) {
	for _, e := range c.entries[from-c.first():] {
		c.backlogBytes -= len(e.Data)
	}
	c.entries = c.entries[:from-c.first()]
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= from {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.stable = min(c.stable, from-1)
	if c.unsaved == 0 || c.unsaved > from {
		c.unsaved = from
	}
}

// Stable says that all entries up to an index are on disk.
func (c *Node) Stable(index uint64) {
	c.stable = max(c.stable, min(index, c.last()))
	if c.role == leader {
		c.advance()
	}
}

// advance commits what a majority has on disk.
func (c *Node) advance() {
	index := c.quorum(c.stable, func(p *progress) uint64 { return p.match })
	if t, _ := c.term(index); index <= c.commit || t != c.hard.Term {
		return
	}
	c.commit = index
	for _, p := range c.Peers() { // the others' clients wait for it as well
		if p.Id != c.id {
			c.replicate(p.Id, true)
		}
	}
	if c.Settled() && !slices.ContainsFunc(c.Peers(), func(p *wire.Peer) bool { return p.Id == c.id }) {
		c.becomeFollower(c.hard.Term, 0) // it has been taken out
	}
}

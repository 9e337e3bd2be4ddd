package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// A planned end: the process that got the signal hands over the lead (HandOver), then asks the leader until what its
// log holds is on a majority of the voters that stay. See MembershipManager.Leave for its side.

// Departure is the answer to a member that is about to end.
type Departure struct {
	Held    bool // a majority of the voters that stay has the member's last entry on disk
	Removed bool // it is no member any longer, and that is committed
	Stays   bool // no more voters than wanted are there, and nobody to take its place: it keeps its vote and may come back
}

// Done tells whether the member may end.
func (d Departure) Done() bool { return d.Held && (d.Removed || d.Stays) }

// Depart notes that a member is about to end, and answers how far that has come; ok is false where this process does not
// lead. Where more voters than wanted are there, or a learner is ready to take its place, Reconcile removes it.
func (c *Node) Depart(now time.Duration, id, index, term uint64, wanted int) (d Departure, ok bool) {
	c.now = now
	if c.role != leader || id == c.id {
		return d, false
	}
	d.Held = c.heldWithout(id, index, term)
	place := peerIndex(c.Peers(), id)
	if place < 0 {
		d.Removed = c.Settled()
		return d, true
	}
	d.Stays = c.Settled() && c.Peers()[place].Voter && Voters(c.Peers()) <= wanted && c.readyLearner() < 0
	if d.Held {
		c.departing[id] = now
	}
	return d, true
}

// isDeparting tells whether a member has said that it is about to end, and has not come back since: one that answers
// long after it last said so has been started again.
func (c *Node) isDeparting(id uint64) bool {
	said, known := c.departing[id]
	p := c.progress[id]
	return known && p != nil && p.lastContact-said < silentAfter
}

// heldWithout tells whether a majority of the voters but one has an entry on disk. An entry that is not in this leader's
// log was never committed; the member drops it with the next message and asks for what it has then. Up to the snapshot
// there is nothing to compare: it is committed.
func (c *Node) heldWithout(id, index, term uint64) bool {
	if t, ok := c.term(index); index > c.snap.Index && (!ok || t != term) {
		return false
	}
	voters, holders := 0, 0
	for _, p := range c.Peers() {
		if !p.Voter || p.Id == id {
			continue
		}
		voters++
		if p.Id == c.id && c.stable >= index || c.progress[p.Id] != nil && c.progress[p.Id].match >= index {
			holders++
		}
	}
	return holders > voters/2
}

// LastEntry returns the index and the term of the log's end.
func (c *Node) LastEntry() (index, term uint64) { return c.last(), c.lastTerm() }

// staleRefusal says why a message of an older term was refused.
func (c *Node) staleRefusal(from uint64) wire.RaftMessage_Refusal {
	if !c.isMember(from) && len(c.Peers()) > 0 {
		return wire.RaftMessage_NOT_MEMBER
	}
	return wire.RaftMessage_STALE_TERM
}

// refusal says why a vote was refused, or none of it; see wire.Raft_Refusal.
func (c *Node) refusal(m *wire.RaftMessage, heard, current bool) wire.RaftMessage_Refusal {
	switch {
	case !c.isMember(m.From) && len(c.Peers()) > 0:
		return wire.RaftMessage_NOT_MEMBER
	case m.Term < c.hard.Term:
		return wire.RaftMessage_STALE_TERM
	case heard:
		return wire.RaftMessage_LEADER_ALIVE
	case !current:
		return wire.RaftMessage_STALE_LOG
	}
	return wire.RaftMessage_ALREADY_VOTED
}

package raft

import (
	"math"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// progress is what a leader knows of another member.
type progress struct {
	match, next uint64
	round       uint64 // newest round that it has answered
	lastContact time.Duration
	readySince  time.Duration // of a learner that has caught up; 0: it has not
	syncTime    time.Duration // that a synced write takes there; 0: not known
	stamp       *wire.Stamp   // the newest of its clock
	stampAt     time.Duration // when that was received

	transfer        *wire.RaftSnapshot // under way to it; nil: none
	transferRetryAt time.Duration      // a transfer is not begun before
}

// Lag returns how many entries a member lacks, as far as it has said what it
// has, and since when it has been silent; ok only on the leader.
func (c *Node) Lag(id uint64) (lag uint64, silent time.Duration, ok bool) {
	p := c.progress[id]
	if c.role != leader || p == nil {
		return 0, 0, false
	}
	if lag = c.last() - min(p.match, c.last()); p.match == 0 {
		lag = math.MaxUint64
	}
	return lag, c.now - p.lastContact, true
}

// trackPeers keeps a progress for each other member.
func (c *Node) trackPeers() {
	for _, p := range c.Peers() {
		if p.Id != c.id && c.progress[p.Id] == nil {
			c.progress[p.Id] = &progress{next: c.last(), lastContact: c.now}
		}
	}
	for id := range c.progress {
		if !slices.ContainsFunc(c.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
			delete(c.progress, id)
		}
	}
}

// broadcastHeartbeat begins a round of contact with all others.
func (c *Node) broadcastHeartbeat() {
	c.round++
	c.roundUnsent = true
	c.roundStartedAt[c.round] = c.now
	delete(c.roundStartedAt, c.round-64)
	c.heartbeatAt = c.now + Heartbeat
	for _, p := range c.Peers() { // in the log's order, so that runs repeat
		if p.Id != c.id {
			c.endTransfer(c.progress[p.Id])
			c.replicate(p.Id, true)
		}
	}
	c.confirmContact() // alone, it is its own majority
}

// replicate sends a member what it lacks, or with heartbeat a sign of life at least.
func (c *Node) replicate(id uint64, heartbeat bool) {
	p := c.progress[id]
	if p == nil {
		return
	}
	prev, ok := c.term(p.next - 1)
	if !ok {
		c.transfer(id, p, heartbeat)
		return
	}
	m := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: p.next - 1, LogTerm: prev, Commit: c.commit, HeartbeatRound: c.round}
	bytes := 0
	for i := p.next; i <= c.last() && len(m.Entries) < c.batch && bytes < maxBytes; i++ {
		e := c.entries[i-c.first()]
		m.Entries = append(m.Entries, e)
		bytes += len(e.Data)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(m.Entries)) // what gets lost shows in the next round
	c.send(m)
}

// rejected goes back to where a member's log may join, over whole terms that only one of the two has. Entry by entry, a log
// that differs in more of them than rounds go between two heartbeats would never join: each heartbeat asks for the end.
func (c *Node) rejected(p *progress, m *wire.RaftMessage) {
	hint := m.Index
	for t, ok := c.term(hint); ok && 0 < m.LogTerm && m.LogTerm < t; t, ok = c.term(hint) {
		hint--
	}
	// It may have come by a snapshot to where the log leads on.
	joins := p.next <= c.base.index && hint == m.Index && m.LogTerm > 0 && hint >= c.base.index
	if hint >= p.next-1 && !joins {
		return // to an earlier message
	}
	p.next = max(hint, p.match) + 1
	c.replicate(m.From, false)
}

// replicateAll sends all members what they lack and have not been sent.
func (c *Node) replicateAll() {
	for _, p := range c.Peers() {
		if p.Id != c.id {
			c.replicateRest(p.Id)
		}
	}
}

// replicateRest sends a member all that it lacks and has not been sent, in as many messages as that takes.
func (c *Node) replicateRest(id uint64) {
	p := c.progress[id]
	for p != nil && p.next <= c.last() {
		sent := p.next
		if c.replicate(id, false); p.next == sent {
			return
		}
	}
}

// Propose adds a command to the log. It is committed once an entry with this
// index and term is; another leader may replace it before.
func (c *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTarget != 0 { // what is taken now would keep the transfer target from having all
		return 0, 0, ErrBusy
	}
	if c.last()-c.commit > 4*maxEntries {
		return 0, 0, ErrBusy
	}
	e := &wire.Entry{Term: c.hard.Term, Index: c.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	c.append(e)
	c.proposed = true // sent with all others that are proposed before the next output
	return e.Index, e.Term, nil
}

// confirmContact confirms what the rounds answered by a majority prove.
func (c *Node) confirmContact() {
	round := c.quorum(c.round, func(p *progress) uint64 { return p.round })
	if at, ok := c.roundStartedAt[round]; ok {
		c.quorumContactAt = max(c.quorumContactAt, at)
	}
	n := 0
	for _, r := range c.reads {
		if r.round <= round {
			c.out.Reads = append(c.out.Reads, Read{Token: r.token, Index: r.index, OK: true})
		} else {
			c.reads[n] = r
			n++
		}
	}
	c.reads = c.reads[:n]
}

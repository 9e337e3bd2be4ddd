package raft

import "ivydeck/internal/transport/wire"

// What stands behind a snapshot before the next is due: whichever comes first. A large state is written less often
// than a small one, so that snapshots never cost more writes than snapshotShare times the log itself.
const (
	snapshotEntries    = 512
	maxSnapshotEntries = 8 * snapshotEntries
	snapshotBytes      = 16 << 20
	snapshotShare      = 2
)

// The tail of entries that is kept in front of a snapshot, for members that lag: some seconds of changes at 2,000 a
// second. For a member that is being fed by entries, or is to be once it has a snapshot that is under way, the leader's
// tail reaches back to what the member has, within the larger bounds.
const (
	tailEntries    = 8192
	tailBytes      = 16 << 20
	catchUpEntries = 8 * tailEntries
	catchUpBytes   = 4 * tailBytes
)

// Backlog is the number of entries that stand behind the snapshot.
func (c *Node) Backlog() int { return int(c.last() - c.snap.Index) }

// First is the index of the oldest entry that has to stay on disk, which tells the term in front of the log. Where it
// is the snapshot's own, there need not be one.
func (c *Node) First() uint64 { return c.base.index }

// SnapshotDue tells whether a snapshot is due, so that log and disk stay bounded whatever
// the size of what is proposed.
func (c *Node) SnapshotDue() bool {
	switch {
	case c.backlogBytes >= snapshotBytes, c.Backlog() >= maxSnapshotEntries:
		return true
	}
	return c.Backlog() >= snapshotEntries && snapshotShare*c.backlogBytes >= len(c.snap.Data)
}

// Retain sets how many entries are kept in front of a snapshot, at most, and how many for members that catch up. Checkers
// set few, to reach transfers of snapshots with short logs.
func (c *Node) Retain(tail, catchUp int) { c.tailEntries, c.catchUpEntries = tail, catchUp }

// Compact takes a snapshot of the state as it was at an applied index, and drops the entries in front of it that are
// beyond the tail to be kept. It returns nil where the log stands on a newer snapshot already.
func (c *Node) Compact(index uint64, data []byte) *wire.RaftSnapshot {
	if index > c.applied || index <= c.snap.Index {
		return nil
	}
	term, _ := c.term(index)
	peers := c.memberships[0].peers
	n := 0
	for i, f := range c.memberships {
		if f.index <= index {
			peers, n = f.peers, i
		}
	}
	c.snap = &wire.RaftSnapshot{Term: term, Index: index, Peers: &wire.Peers{Peers: peers}, Data: data}
	c.memberships = append([]membership{{index, peers}}, c.memberships[n+1:]...)
	c.trimTail()
	c.countBacklog()
	return c.snap
}

// trimTail drops the oldest entries, down to the tail that is to be kept.
func (c *Node) trimTail() {
	base := c.tailBase(c.tailEntries, tailBytes)
	if c.role == leader {
		for _, p := range c.progress {
			base = min(base, c.neededBy(p))
		}
	}
	base = max(base, c.tailBase(c.catchUpEntries, catchUpBytes))
	if base <= c.base.index {
		return
	}
	term, _ := c.term(base)
	c.entries = append([]*wire.Entry(nil), c.entries[base-c.base.index:]...)
	c.base = position{base, term}
}

// neededBy is the index behind which a member needs all entries to catch up.
func (c *Node) neededBy(p *progress) uint64 {
	switch {
	case c.now-p.lastContact > catchUpSilence:
		return c.last()
	case p.transfer != nil:
		return p.transfer.Index
	case p.match >= c.base.index:
		return p.match
	}
	return c.last() // it needs a snapshot, and will get the newest
}

// tailBase is the index below which entries go, if so many are kept in front of the snapshot.
func (c *Node) tailBase(entries, bytes int) uint64 {
	base := c.snap.Index
	for base > c.base.index && entries > 0 {
		bytes -= len(c.entries[base-c.first()].Data)
		if bytes < 0 {
			break
		}
		entries--
		base--
	}
	return base
}

// countBacklog counts the bytes of the entries behind the snapshot.
func (c *Node) countBacklog() {
	c.backlogBytes = 0
	for _, e := range c.entries[c.snap.Index-c.base.index:] {
		c.backlogBytes += len(e.Data)
	}
}

// load takes the log as the disk has it: entries up to the snapshot's index are its tail. The first of them only tells
// what precedes the rest.
func (c *Node) load(entries []*wire.Entry) {
	c.base = position{c.snap.Index, c.snap.Term}
	if len(entries) > 0 && entries[0].Index <= c.snap.Index {
		c.base = position{entries[0].Index, entries[0].Term}
		entries = entries[1:]
	}
	c.entries = entries
	for _, e := range entries {
		if e.Index > c.snap.Index {
			c.trackMembership(e)
		}
	}
	c.countBacklog()
	c.stable = c.last()
}

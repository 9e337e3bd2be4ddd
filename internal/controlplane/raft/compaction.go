package raft

import (
	"slices"

	"ivydeck/internal/transport/wire"
)

// The backlog after a snapshot with which the next one is due: at least snapshotEntries and a share of the state's size,
// or one of the maxima. So a large state is written less often than a small one, and snapshots never write more than
// snapshotShare times what the log itself writes.
const (
	snapshotEntries    = 512
	maxSnapshotEntries = 8 * snapshotEntries
	snapshotBytes      = 16 << 20
	snapshotShare      = 2
)

// The tail of entries that is kept before a snapshot, for members that lag: some seconds of changes at 2,000 a second. A
// leader keeps more, within the catch-up bounds, while a member is sent entries or a snapshot after which it will need
// them.
const (
	tailEntries    = 8192
	tailBytes      = 16 << 20
	catchUpEntries = 8 * tailEntries
	catchUpBytes   = 4 * tailBytes
)

// Backlog is the number of entries after the snapshot.
func (l *raftLog) Backlog() int { return int(l.last() - l.snapshot.Index) }

// First is the index of the oldest entry that has to stay on disk, for the term that precedes the log. Where it is the
// snapshot's own index, the entry may be missing.
func (l *raftLog) First() uint64 { return l.base.index }

// SnapshotDue reports whether the state should be compacted, which bounds the log in memory and on disk whatever the
// size of the proposals.
func (l *raftLog) SnapshotDue() bool {
	switch {
	case l.backlogBytes >= snapshotBytes, l.Backlog() >= maxSnapshotEntries:
		return true
	}
	return l.Backlog() >= snapshotEntries && snapshotShare*l.backlogBytes >= len(l.snapshot.Data)
}

// Compact makes a snapshot of the state as it was at an applied index the log's own, and drops the entries before it
// that are beyond the tail to be kept (thesis, 5.1). It returns nil if the log has a newer snapshot already.
func (n *Node) Compact(index uint64, data []byte) *wire.RaftSnapshot {
	if index > n.applied || index <= n.snapshot.Index {
		return nil
	}
	term, _ := n.term(index)
	n.dropMembershipsBefore(index)
	peers := &wire.Peers{Peers: n.memberships[0].peers}
	n.snapshot = &wire.RaftSnapshot{Term: term, Index: index, Peers: peers, Data: data}
	n.trimTail()
	n.countBacklog()
	return n.snapshot
}

// dropMembershipsBefore makes the membership in force at an index the first one.
func (l *raftLog) dropMembershipsBefore(index uint64) {
	inForce := 0
	for i, m := range l.memberships {
		if m.index <= index {
			inForce = i
		}
	}
	l.memberships = slices.Clone(l.memberships[inForce:])
	l.memberships[0].index = index
}

// trimTail drops the oldest entries that need not be kept.
func (n *Node) trimTail() {
	base := n.tailBase(n.tailEntries, tailBytes)
	if n.state == stateLeader {
		for _, p := range n.progress {
			base = min(base, n.neededBy(p))
		}
	}
	base = max(base, n.tailBase(n.catchUpEntries, catchUpBytes))
	if base <= n.base.index {
		return
	}
	term, _ := n.term(base)
	n.entries = append([]*wire.Entry(nil), n.entries[base-n.base.index:]...)
	n.base = position{base, term}
}

// neededBy is the index after which a member needs all entries to catch up.
func (n *Node) neededBy(p *progress) uint64 {
	switch {
	case n.now-p.lastContact > catchUpTimeout:
		return n.last()
	case p.snapshot != nil:
		return p.snapshot.Index
	case p.match >= n.base.index:
		return p.match
	}
	return n.last() // it needs a snapshot, and will get the newest one
}

// tailBase is the index up to which entries are dropped if so many entries and bytes are kept before the snapshot.
func (l *raftLog) tailBase(entries, bytes int) uint64 {
	base := l.snapshot.Index
	for base > l.base.index && entries > 0 {
		bytes -= len(l.entries[base-l.first()].Data)
		if bytes < 0 {
			break
		}
		entries--
		base--
	}
	return base
}

// countBacklog counts the bytes of the entries after the snapshot.
func (l *raftLog) countBacklog() {
	l.backlogBytes = 0
	for _, e := range l.entries[l.snapshot.Index-l.base.index:] {
		l.backlogBytes += len(e.Data)
	}
}

package raft

import (
	"slices"

	"ivydeck/internal/transport/wire"
)

// A snapshot is due when the backlog (the entries after the last snapshot) reaches one of the maxima. It is also due if the
// backlog has minBacklogEntries and the last snapshot is at most snapshotWriteRatio times as large as the backlog. Below
// the maxima, snapshots therefore write at most snapshotWriteRatio times as many bytes as the log, and a large state is written
// less often than a small one.
const (
	minBacklogEntries  = 512
	maxBacklogEntries  = 8 * minBacklogEntries
	maxBacklogBytes    = 16 << 20
	snapshotWriteRatio = 2
)

// The tail of entries before the snapshot is kept for members that lag: some seconds of changes at 2,000 a second. A leader keeps up to catchUpEntries and
// catchUpBytes while a member needs them to catch up.
const (
	tailEntries    = 8192
	tailBytes      = 16 << 20
	catchUpEntries = 8 * tailEntries
	catchUpBytes   = 4 * tailBytes
)

// Backlog returns the number of entries after the snapshot.
func (l *raftLog) Backlog() int { return int(l.last() - l.snapshot.Index) }

// First returns the index of the oldest entry that must stay on disk. This entry precedes those in memory, and its term is
// needed to match the first of them. It may be missing on disk if its index is the snapshot's.
func (l *raftLog) First() uint64 { return l.base.index }

// SnapshotDue reports whether the log should be compacted. Compaction bounds the log in memory and on disk, regardless of
// the size of the proposals.
func (l *raftLog) SnapshotDue() bool {
	switch {
	case l.backlogBytes >= maxBacklogBytes, l.Backlog() >= maxBacklogEntries:
		return true
	}
	return l.Backlog() >= minBacklogEntries && snapshotWriteRatio*l.backlogBytes >= len(l.snapshot.Data)
}

// Compact sets the snapshot to data, the state at an applied index, and drops the entries before the retained tail
// (thesis, 5.1). It returns nil if index is not applied yet or not newer than the current snapshot.
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

// dropMembershipsBefore drops the memberships before the one in force at index, which becomes the first.
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

// trimTail drops the entries before the snapshot that no longer have to be kept.
func (n *Node) trimTail() {
	base := n.tailBase(n.tailEntries, tailBytes)
	if n.state == stateLeader {
		for _, p := range n.progress {
			base = min(base, n.catchUpBase(p))
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

// catchUpBase returns the index after which entries must be kept so that a member can catch up.
func (n *Node) catchUpBase(p *progress) uint64 {
	switch {
	case n.now-p.lastContact > catchUpTimeout:
		return n.last()
	case p.snapshot != nil:
		return p.snapshot.Index
	case p.match >= n.base.index:
		return p.match
	}
	return n.last() // the member needs a snapshot, and is sent the newest one
}

// tailBase returns the index up to which entries can be dropped if at most the given numbers of entries and bytes are kept
// before the snapshot.
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

// countBacklog recomputes backlogBytes.
func (l *raftLog) countBacklog() {
	l.backlogBytes = 0
	for _, e := range l.entries[l.snapshot.Index-l.base.index:] {
		l.backlogBytes += len(e.Data)
	}
}

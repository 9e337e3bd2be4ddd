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
func (n *Node) Backlog() int { return int(n.last() - n.snapshot.Index) }

// First is the index of the oldest entry that has to stay on disk, which tells the term in front of the log. Where it
// is the snapshot's own, there need not be one.
func (n *Node) First() uint64 { return n.base.index }

// SnapshotDue tells whether a snapshot is due, so that log and disk stay bounded whatever
// the size of what is proposed.
func (n *Node) SnapshotDue() bool {
	switch {
	case n.backlogBytes >= snapshotBytes, n.Backlog() >= maxSnapshotEntries:
		return true
	}
	return n.Backlog() >= snapshotEntries && snapshotShare*n.backlogBytes >= len(n.snapshot.Data)
}

// SetRetention sets how many entries are kept in front of a snapshot, at most, and how many for members that catch up. Checkers
// set few, to reach transfers of snapshots with short logs.
func (n *Node) SetRetention(tail, catchUp int) { n.tailEntries, n.catchUpEntries = tail, catchUp }

// Compact takes a snapshot of the state as it was at an applied index, and drops the entries in front of it that are
// beyond the tail to be kept. It returns nil where the log stands on a newer snapshot already.
func (n *Node) Compact(index uint64, data []byte) *wire.RaftSnapshot {
	if index > n.applied || index <= n.snapshot.Index {
		return nil
	}
	term, _ := n.term(index)
	peers := n.memberships[0].peers
	newest := 0
	for i, f := range n.memberships {
		if f.index <= index {
			peers, newest = f.peers, i
		}
	}
	n.snapshot = &wire.RaftSnapshot{Term: term, Index: index, Peers: &wire.Peers{Peers: peers}, Data: data}
	n.memberships = append([]membership{{index, peers}}, n.memberships[newest+1:]...)
	n.trimTail()
	n.countBacklog()
	return n.snapshot
}

// trimTail drops the oldest entries, down to the tail that is to be kept.
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

// neededBy is the index behind which a member needs all entries to catch up.
func (n *Node) neededBy(p *progress) uint64 {
	switch {
	case n.now-p.lastContact > catchUpTimeout:
		return n.last()
	case p.snapshot != nil:
		return p.snapshot.Index
	case p.match >= n.base.index:
		return p.match
	}
	return n.last() // it needs a snapshot, and will get the newest
}

// tailBase is the index below which entries go, if so many are kept in front of the snapshot.
func (n *Node) tailBase(entries, bytes int) uint64 {
	base := n.snapshot.Index
	for base > n.base.index && entries > 0 {
		bytes -= len(n.entries[base-n.first()].Data)
		if bytes < 0 {
			break
		}
		entries--
		base--
	}
	return base
}

// countBacklog counts the bytes of the entries behind the snapshot.
func (n *Node) countBacklog() {
	n.backlogBytes = 0
	for _, e := range n.entries[n.snapshot.Index-n.base.index:] {
		n.backlogBytes += len(e.Data)
	}
}

// load takes the log as the disk has it: entries up to the snapshot's index are its tail. The first of them only tells
// what precedes the rest.
func (n *Node) load(entries []*wire.Entry) {
	n.base = position{n.snapshot.Index, n.snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= n.snapshot.Index {
		n.base = position{entries[0].Index, entries[0].Term}
		entries = entries[1:]
	}
	n.entries = entries
	for _, e := range entries {
		if e.Index > n.snapshot.Index {
			n.trackMembership(e)
		}
	}
	n.countBacklog()
	n.stable = n.last()
}

package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// raftLog is a member's log in memory: a snapshot, the tail of entries before it that is kept for lagging members (see
// compaction.go), and all entries after it.
//
//	base ....... snapshot.Index ....... applied <= committed ....... last()
//	     tail                   backlog
//
// Invariants: entries[i] has the index base.index+1+i; base.index <= snapshot.Index <= applied <= committed; and
// stable <= last().
type raftLog struct {
	snapshot        *wire.RaftSnapshot
	pendingSnapshot *wire.RaftSnapshot // to be returned by the next Ready; nil if there is none
	base            position           // position of the entry before entries[0]
	entries         []*wire.Entry
	backlogBytes    int    // size of the entries after the snapshot
	stable          uint64 // last index on disk
	firstUnsaved    uint64 // first index that has not been returned by Ready; zero if there is none
	committed       uint64
	applied         uint64
	memberships     []membership // in ascending order of index; the first is the snapshot's

	tailEntries    int // maximum number of entries kept before the snapshot
	catchUpEntries int // the same maximum while a member catches up
}

// membership is the set of members from a log index on. A member uses the newest membership in its log, committed or not
// (thesis, 4.1).
type membership struct {
	index uint64
	peers []*wire.Peer
}

// position identifies a log entry. By the log matching property, two logs that both have the entry are identical up to it
// (thesis, 3.5).
type position struct {
	index, term uint64
}

// newLog returns the log that is stored on disk. The entries up to the snapshot's index are the tail, and the first of
// them only provides the base position.
func newLog(snapshot *wire.RaftSnapshot, entries []*wire.Entry) raftLog {
	l := raftLog{
		snapshot:       snapshot,
		base:           position{snapshot.Index, snapshot.Term},
		committed:      snapshot.Index,
		applied:        snapshot.Index,
		memberships:    []membership{{snapshot.Index, snapshot.GetPeers().GetPeers()}},
		tailEntries:    tailEntries,
		catchUpEntries: catchUpEntries,
	}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		l.base = position{entries[0].Index, entries[0].Term}
		entries = entries[1:]
	}
	l.entries = entries
	for _, e := range entries {
		if e.Index > snapshot.Index {
			l.trackMembership(e)
		}
	}
	l.countBacklog()
	l.stable = l.last()
	return l
}

// first returns the index of the oldest entry in memory.
func (l *raftLog) first() uint64 { return l.base.index + 1 }

// last returns the index of the newest entry, or the base index if there are no entries.
func (l *raftLog) last() uint64 { return l.base.index + uint64(len(l.entries)) }

// lastTerm returns the term at the last index.
func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index. ok is false if index is not in the log.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index < l.first() || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

// append adds entries to the end of the log. Ready returns them to be saved.
func (l *raftLog) append(entries ...*wire.Entry) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.trackMembership(e)
		l.backlogBytes += len(e.Data)
		if l.firstUnsaved == 0 {
			l.firstUnsaved = e.Index
		}
	}
}

// trackMembership adds the membership of a membership entry to memberships. It ignores other entries.
func (l *raftLog) trackMembership(e *wire.Entry) {
	if e.Kind != wire.Entry_MEMBERSHIP {
		return
	}
	var peers wire.Peers
	if proto.Unmarshal(e.Data, &peers) == nil { // cannot fail: a leader marshalled the data, and its checksum was verified
		l.memberships = append(l.memberships, membership{e.Index, peers.Peers})
	}
}

// truncate drops all entries from an index on, because they conflict with the leader's.
func (l *raftLog) truncate(from uint64) {
	for _, e := range l.entries[from-l.first():] {
		l.backlogBytes -= len(e.Data)
	}
	l.entries = l.entries[:from-l.first()]
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	l.stable = min(l.stable, from-1)
	if l.firstUnsaved == 0 || l.firstUnsaved > from {
		l.firstUnsaved = from
	}
}

// restore replaces the log with a snapshot that is ahead of the commit index. A log that contains the snapshot's position is
// kept, since the entries after it may have been acknowledged. restore returns the index up to which the log matches the
// leader's.
func (l *raftLog) restore(s *wire.RaftSnapshot) (matched uint64) {
	if t, ok := l.term(s.GetIndex()); ok && t == s.GetTerm() {
		l.committed = max(l.committed, s.GetIndex())
		return l.committed
	}
	if s.GetIndex() > l.committed {
		l.snapshot, l.pendingSnapshot = s, s
		l.entries, l.firstUnsaved, l.backlogBytes = nil, 0, 0
		l.base = position{s.Index, s.Term}
		l.committed, l.applied, l.stable = s.Index, s.Index, s.Index
		l.memberships = []membership{{s.Index, s.GetPeers().GetPeers()}}
	}
	return l.committed
}

// takeSnapshot returns the snapshot that has replaced the log since the last call. It returns nil if there is none.
func (l *raftLog) takeSnapshot() *wire.RaftSnapshot {
	s := l.pendingSnapshot
	l.pendingSnapshot = nil
	return s
}

// takeUnsaved returns the entries that have been appended since the last call and must be saved.
func (l *raftLog) takeUnsaved() []*wire.Entry {
	if l.firstUnsaved == 0 {
		return nil
	}
	unsaved := slices.Clone(l.entries[l.firstUnsaved-l.first():])
	l.firstUnsaved = 0
	return unsaved
}

// takeCommitted returns the entries that have been committed since the last call, and marks them as applied.
func (l *raftLog) takeCommitted() []*wire.Entry {
	if l.committed <= l.applied {
		return nil
	}
	committed := slices.Clone(l.entries[l.applied-l.base.index : l.committed-l.base.index])
	l.applied = l.committed
	return committed
}

// Committed returns the last index known to be committed.
func (l *raftLog) Committed() uint64 { return l.committed }

// LastEntry returns the index and the term of the newest entry.
func (l *raftLog) LastEntry() (index, term uint64) { return l.last(), l.lastTerm() }

// Peers returns the newest membership. The caller must not change it.
func (l *raftLog) Peers() []*wire.Peer { return l.newestMembership().peers }

// MembershipCommitted reports whether the newest membership is committed.
func (l *raftLog) MembershipCommitted() bool { return l.newestMembership().index <= l.committed }

func (l *raftLog) newestMembership() membership { return l.memberships[len(l.memberships)-1] }

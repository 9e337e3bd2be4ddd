package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// handleAppendEntries appends the leader's entries if the log matches at the entry before them (thesis, 3.5). Otherwise it
// rejects them with the result of conflictHint.
func (n *Node) handleAppendEntries(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{
		Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound,
		SyncUs: uint32(n.syncTime.Microseconds()),
	}
	index, entries := m.Index, m.Entries
	for len(entries) > 0 && index < n.snapshot.Index { // skip entries that are in the snapshot
		index, entries = entries[0].Index, entries[1:]
	}
	t, ok := n.term(index)
	switch {
	case index < n.snapshot.Index:
		reply.Index = n.committed // committed entries always match
	case !ok || index == m.Index && t != m.LogTerm:
		reply.Reject = true
		reply.Index, reply.LogTerm = n.conflictHint(index, m.LogTerm)
	default:
		n.appendMissing(entries)
		reply.Index = index + uint64(len(entries))
		n.committed = max(n.committed, min(m.Commit, reply.Index))
	}
	n.send(reply)
}

// appendMissing appends the entries that are not in the log. It truncates the log at the first conflicting entry.
func (n *Node) appendMissing(entries []*wire.Entry) {
	for i, e := range entries {
		t, ok := n.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.append(entries[i:]...)
		break
	}
}

// conflictHint returns the index and term from which the leader should retry, after its entry at index did not match. It
// skips the entries of terms after logTerm, which cannot match.
func (n *Node) conflictHint(index, logTerm uint64) (hint, hintTerm uint64) {
	hint = min(index-1, n.last())
	for hint > n.committed {
		if t, _ := n.term(hint); t <= logTerm {
			break
		}
		hint--
	}
	hintTerm, _ = n.term(hint)
	return hint, hintTerm
}

// handleAppendEntriesResponse processes a member's response to entries, a heartbeat or a snapshot.
func (n *Node) handleAppendEntriesResponse(m *wire.RaftMessage) {
	p := n.progress[m.From]
	if n.state != stateLeader || p == nil {
		return
	}
	p.lastContact, p.syncTime = n.now, time.Duration(m.SyncUs)*time.Microsecond
	n.storeStamp(p, m.Stamp)
	if m.HeartbeatRound > p.heartbeatRound {
		p.heartbeatRound = m.HeartbeatRound
		n.updateQuorumContact()
	}
	if m.Reject {
		n.handleRejection(p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		n.maybeCommit()
	}
	n.maybeEndSnapshot(p)
	n.replicate(m.From, false)
	n.sendTimeoutNow(m.From)
}

package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

// handleAppendEntries appends a leader's entries where they join the own log (thesis, 3.5).
func (n *Node) handleAppendEntries(m *wire.RaftMessage) {
	reply := &wire.RaftMessage{
		Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound,
		SyncUs: uint32(n.syncTime.Microseconds()),
	}
	index, entries := m.Index, m.Entries
	for len(entries) > 0 && index < n.snapshot.Index { // these are in the snapshot
		index, entries = entries[0].Index, entries[1:]
	}
	t, ok := n.term(index)
	switch {
	case index < n.snapshot.Index:
		reply.Index = n.committed // all of it matches
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

// appendMissing appends the entries that the log lacks, in place of those that conflict with them.
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

// conflictHint returns the position to which the leader may go back at once, over whole terms, after its entry at an
// index did not match.
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

// handleAppendEntriesResponse takes a member's answer to entries, a heartbeat or a snapshot.
func (n *Node) handleAppendEntriesResponse(m *wire.RaftMessage) {
	p := n.progress[m.From]
	if n.state != stateLeader || p == nil {
		return
	}
	p.lastContact, p.syncTime = n.now, time.Duration(m.SyncUs)*time.Microsecond
	n.keepStamp(p, m.Stamp)
	if m.HeartbeatRound > p.heartbeatRound {
		p.heartbeatRound = m.HeartbeatRound
		n.confirmContact()
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

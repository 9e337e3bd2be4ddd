package raft

import "ivydeck/internal/transport/wire"

// maxRoundsTracked is how many rounds of heartbeats may be unanswered by a majority and still count when they are.
const maxRoundsTracked = 64

// broadcastHeartbeat begins a round of heartbeats to all other members.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRound++
	n.heartbeatUnsent = true
	n.roundStartedAt[n.heartbeatRound] = n.now
	delete(n.roundStartedAt, n.heartbeatRound-maxRoundsTracked)
	n.heartbeatAt = n.now + Heartbeat
	for _, p := range n.Peers() { // in the order of the log, so that simulations repeat
		if p.Id != n.id {
			n.maybeEndSnapshot(n.progress[p.Id])
			n.replicate(p.Id, true)
		}
	}
	n.confirmContact() // a single voter is its own majority
}

// replicate sends a member the entries that follow the last ones sent, or nothing; with heartbeat, an empty message at
// least.
func (n *Node) replicate(id uint64, heartbeat bool) {
	p := n.progress[id]
	if p == nil {
		return
	}
	prev, ok := n.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p, heartbeat)
		return
	}
	m := &wire.RaftMessage{
		Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: p.next - 1, LogTerm: prev,
		Commit: n.committed, HeartbeatRound: n.heartbeatRound,
	}
	bytes := 0
	for i := p.next; i <= n.last() && len(m.Entries) < n.maxBatchEntries && bytes < maxBytes; i++ {
		e := n.entries[i-n.first()]
		m.Entries = append(m.Entries, e)
		bytes += len(e.Data)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(m.Entries)) // optimistic: a lost message shows by the rejection of the next one
	n.send(m)
}

// handleRejection goes back to where a member's log may match, over whole terms that only one of the two has. Entry by
// entry, a log with more conflicts than round trips fit between two heartbeats would never match, since each heartbeat
// begins at the end again.
func (n *Node) handleRejection(p *progress, m *wire.RaftMessage) {
	hint := m.Index
	for t, ok := n.term(hint); ok && 0 < m.LogTerm && m.LogTerm < t; t, ok = n.term(hint) {
		hint--
	}
	// By a snapshot, the member may be at a position from which the log leads on.
	joins := p.next <= n.base.index && hint == m.Index && m.LogTerm > 0 && hint >= n.base.index
	if hint >= p.next-1 && !joins {
		return // a rejection of an earlier message
	}
	p.next = max(hint, p.match) + 1
	n.replicate(m.From, false)
}

// replicateAll sends all members the entries that have not been sent to them.
func (n *Node) replicateAll() {
	for _, p := range n.Peers() {
		if p.Id != n.id {
			n.replicateRest(p.Id)
		}
	}
}

// replicateRest sends a member all entries that have not been sent to it, in as many messages as that takes.
func (n *Node) replicateRest(id uint64) {
	p := n.progress[id]
	for p != nil && p.next <= n.last() {
		sent := p.next
		if n.replicate(id, false); p.next == sent {
			return
		}
	}
}

// StableTo says that all entries up to an index are on disk.
func (n *Node) StableTo(index uint64) {
	n.stable = max(n.stable, min(index, n.last()))
	if n.state == stateLeader {
		n.maybeCommit()
	}
}

// maybeCommit commits what a majority has on disk. Entries of earlier terms are committed by one of the leader's own
// term alone (thesis, 3.6.2).
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.stable, func(p *progress) uint64 { return p.match })
	if t, _ := n.term(index); index <= n.committed || t != n.hardState.Term {
		return
	}
	n.committed = index
	for _, p := range n.Peers() { // the followers apply it as well, and clients wait for that
		if p.Id != n.id {
			n.replicate(p.Id, true)
		}
	}
	if n.MembershipCommitted() && !n.isMember(n.id) {
		n.becomeFollower(n.hardState.Term, noID) // it has removed itself (thesis, 4.2.2)
	}
}

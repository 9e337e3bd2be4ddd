package raft

import "ivydeck/internal/transport/wire"

// maxRoundsTracked is the number of most recent heartbeat rounds whose start times are kept. Responses to older rounds do
// not update quorumContactAt.
const maxRoundsTracked = 64

// broadcastHeartbeat starts a heartbeat round to all other members.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRound++
	n.heartbeatUnsent = true
	n.roundStartedAt[n.heartbeatRound] = n.now
	delete(n.roundStartedAt, n.heartbeatRound-maxRoundsTracked)
	n.heartbeatAt = n.now + Heartbeat
	for _, p := range n.Peers() { // in a fixed order, so that simulations are reproducible
		if p.Id != n.id {
			n.maybeEndSnapshot(n.progress[p.Id])
			n.replicate(p.Id, true)
		}
	}
	n.updateQuorumContact() // a single voter is its own majority
}

// replicate sends a member the next unsent entries, or a snapshot if the log no longer has them. If there are no unsent
// entries, it sends an empty message if heartbeat is set, and otherwise nothing.
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
	for i := p.next; i <= n.last() && len(m.Entries) < n.maxBatchEntries && bytes < maxMessageBytes; i++ {
		e := n.entries[i-n.first()]
		m.Entries = append(m.Entries, e)
		bytes += len(e.Data)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(m.Entries)) // optimistic: after a lost message, the member rejects the next one
	n.send(m)
}

// handleRejection moves next back to where the member's log may match, and skips whole terms that only one of the two logs
// has. If it moved back one entry per round trip, a log with more conflicting entries than round trips per heartbeat
// interval would never match, since each heartbeat starts at the end of the log again.
func (n *Node) handleRejection(p *progress, m *wire.RaftMessage) {
	hint := m.Index
	for t, ok := n.term(hint); ok && 0 < m.LogTerm && m.LogTerm < t; t, ok = n.term(hint) {
		hint--
	}
	// After installing a snapshot, the member may be at a position that is in this log.
	canResume := p.next <= n.base.index && hint == m.Index && m.LogTerm > 0 && hint >= n.base.index
	if hint >= p.next-1 && !canResume {
		return // rejection of an earlier message
	}
	p.next = max(hint, p.match) + 1
	n.replicate(m.From, false)
}

// replicateAll sends every other member all entries that have not been sent to it.
func (n *Node) replicateAll() {
	for _, p := range n.Peers() {
		if p.Id != n.id {
			n.replicateUnsent(p.Id)
		}
	}
}

// replicateUnsent sends a member all unsent entries, in as many messages as needed.
func (n *Node) replicateUnsent(id uint64) {
	p := n.progress[id]
	for p != nil && p.next <= n.last() {
		previousNext := p.next
		if n.replicate(id, false); p.next == previousNext {
			return
		}
	}
}

// StableTo records that all entries up to index are on disk.
func (n *Node) StableTo(index uint64) {
	n.stable = max(n.stable, min(index, n.last()))
	if n.state == stateLeader {
		n.maybeCommit()
	}
}

// maybeCommit commits the entries that a majority has on disk. Entries of earlier terms are only committed together with
// an entry of the leader's own term (thesis, 3.6.2).
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.stable, func(p *progress) uint64 { return p.match })
	if t, _ := n.term(index); index <= n.committed || t != n.hardState.Term {
		return
	}
	n.committed = index
	for _, p := range n.Peers() { // at once, since clients wait until the followers apply the entries
		if p.Id != n.id {
			n.replicate(p.Id, true)
		}
	}
	if n.MembershipCommitted() && !n.isMember(n.id) {
		n.becomeFollower(n.hardState.Term, noID) // this leader's removal is committed (thesis, 4.2.2)
	}
}

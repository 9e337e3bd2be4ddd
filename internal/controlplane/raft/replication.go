package raft

import (
	"math"
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// progress is what a leader knows of another member.
type progress struct {
	match, next    uint64
	heartbeatRound uint64 // newest round that it has answered
	lastContact    time.Duration
	readySince     time.Duration // of a learner that has caught up; 0: it has not
	syncTime       time.Duration // that a synced write takes there; 0: not known
	stamp          *wire.Stamp   // the newest of its clock
	stampAt        time.Duration // when that was received

	snapshot        *wire.RaftSnapshot // under way to it; nil: none
	snapshotRetryAt time.Duration      // a transfer is not begun before
}

// Lag returns how many entries a member lacks, as far as it has said what it
// has, and since when it has been silent; ok only on the leader.
func (n *Node) Lag(id uint64) (lag uint64, sinceContact time.Duration, ok bool) {
	p := n.progress[id]
	if n.state != stateLeader || p == nil {
		return 0, 0, false
	}
	if lag = n.last() - min(p.match, n.last()); p.match == 0 {
		lag = math.MaxUint64
	}
	return lag, n.now - p.lastContact, true
}

// resetProgress keeps a progress for each other member.
func (n *Node) resetProgress() {
	for _, p := range n.Peers() {
		if p.Id != n.id && n.progress[p.Id] == nil {
			n.progress[p.Id] = &progress{next: n.last(), lastContact: n.now}
		}
	}
	for id := range n.progress {
		if !slices.ContainsFunc(n.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
			delete(n.progress, id)
		}
	}
}

// broadcastHeartbeat begins a round of contact with all others.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRound++
	n.heartbeatUnsent = true
	n.roundStartedAt[n.heartbeatRound] = n.now
	delete(n.roundStartedAt, n.heartbeatRound-64)
	n.heartbeatAt = n.now + Heartbeat
	for _, p := range n.Peers() { // in the log's order, so that runs repeat
		if p.Id != n.id {
			n.maybeEndSnapshot(n.progress[p.Id])
			n.replicate(p.Id, true)
		}
	}
	n.confirmContact() // alone, it is its own majority
}

// replicate sends a member what it lacks, or with heartbeat a sign of life at least.
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
	m := &wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: p.next - 1, LogTerm: prev, Commit: n.committed, HeartbeatRound: n.heartbeatRound}
	bytes := 0
	for i := p.next; i <= n.last() && len(m.Entries) < n.maxBatchEntries && bytes < maxBytes; i++ {
		e := n.entries[i-n.first()]
		m.Entries = append(m.Entries, e)
		bytes += len(e.Data)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(m.Entries)) // what gets lost shows in the next round
	n.send(m)
}

// handleRejection goes back to where a member's log may join, over whole terms that only one of the two has. Entry by entry, a log
// that differs in more of them than rounds go between two heartbeats would never join: each heartbeat asks for the end.
func (n *Node) handleRejection(p *progress, m *wire.RaftMessage) {
	hint := m.Index
	for t, ok := n.term(hint); ok && 0 < m.LogTerm && m.LogTerm < t; t, ok = n.term(hint) {
		hint--
	}
	// It may have come by a snapshot to where the log leads on.
	joins := p.next <= n.base.index && hint == m.Index && m.LogTerm > 0 && hint >= n.base.index
	if hint >= p.next-1 && !joins {
		return // to an earlier message
	}
	p.next = max(hint, p.match) + 1
	n.replicate(m.From, false)
}

// replicateAll sends all members what they lack and have not been sent.
func (n *Node) replicateAll() {
	for _, p := range n.Peers() {
		if p.Id != n.id {
			n.replicateRest(p.Id)
		}
	}
}

// replicateRest sends a member all that it lacks and has not been sent, in as many messages as that takes.
func (n *Node) replicateRest(id uint64) {
	p := n.progress[id]
	for p != nil && p.next <= n.last() {
		sent := p.next
		if n.replicate(id, false); p.next == sent {
			return
		}
	}
}

// Propose adds a command to the log. It is committed once an entry with this
// index and term is; another leader may replace it before.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.now = now
	if n.state != stateLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leadTransferee != 0 { // what is taken now would keep the transfer target from having all
		return 0, 0, ErrProposalDropped
	}
	if n.last()-n.committed > 4*maxEntries {
		return 0, 0, ErrProposalDropped
	}
	e := &wire.Entry{Term: n.hardState.Term, Index: n.last() + 1, Kind: wire.Entry_COMMAND, Data: data}
	n.append(e)
	n.proposed = true // sent with all others that are proposed before the next output
	return e.Index, e.Term, nil
}

// confirmContact confirms what the rounds answered by a majority prove.
func (n *Node) confirmContact() {
	round := n.quorumValue(n.heartbeatRound, func(p *progress) uint64 { return p.heartbeatRound })
	if at, ok := n.roundStartedAt[round]; ok {
		n.quorumContactAt = max(n.quorumContactAt, at)
	}
	kept := 0
	for _, read := range n.pendingReads {
		if read.heartbeatRound <= round {
			n.output.ReadStates = append(n.output.ReadStates, ReadState{Token: read.token, Index: read.index, OK: true})
		} else {
			n.pendingReads[kept] = read
			kept++
		}
	}
	n.pendingReads = n.pendingReads[:kept]
}

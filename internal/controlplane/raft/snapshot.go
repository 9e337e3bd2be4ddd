package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	snapshotTimeout    = time.Second            // a transfer without progress for so long is begun again
	snapshotRetryPause = 250 * time.Millisecond // after a failed transfer
	catchUpTimeout     = 10 * time.Second       // no entries are kept for a member without contact for so long
)

// SnapshotEvent is what the driver reports of a snapshot's transfer.
type SnapshotEvent int

// The events of a transfer. A failed one is resumed later, with the same snapshot as long as the log leads on from it.
const (
	SnapshotProgress SnapshotEvent = iota + 1
	SnapshotFinished
	SnapshotFailed
)

// ReportSnapshot takes an event of the transfer of the snapshot with an index to a member. A transfer begins with an
// INSTALL_SNAPSHOT message in a Ready; a driver that reports nothing gets the message again after a second.
func (n *Node) ReportSnapshot(now time.Duration, to, index uint64, event SnapshotEvent) {
	n.now = now
	p := n.progress[to]
	if n.state != stateLeader || p == nil || p.snapshot == nil || p.snapshot.Index != index {
		return
	}
	switch event {
	case SnapshotProgress:
		p.snapshotRetryAt = now + snapshotTimeout
	case SnapshotFailed:
		p.snapshotRetryAt = now + snapshotRetryPause
	case SnapshotFinished:
		p.snapshotRetryAt = now + snapshotTimeout
		if index >= n.base.index { // match follows with the member's own answer
			p.next = max(p.next, index+1)
			n.replicate(to, true)
		}
	}
}

// InstallSnapshot takes a snapshot that the driver has received completely. Its state was committed, whoever leads by
// now, so no term comes with it.
func (n *Node) InstallSnapshot(now time.Duration, s *wire.RaftSnapshot) {
	n.now = now
	n.restore(s)
}

// SnapshotInTransfer returns the index of the snapshot that is being sent to a member, or that the member has not yet
// confirmed; 0: none.
func (n *Node) SnapshotInTransfer(id uint64) (index uint64) {
	if p := n.progress[id]; p != nil {
		return p.snapshot.GetIndex()
	}
	return 0
}

// sendSnapshot begins or resumes the transfer of a snapshot to a member whose next entry the log no longer has. While
// one is in progress, or the member is unresponsive, it sends a heartbeat alone. A newer snapshot replaces the one in
// progress only if the log does not lead on from that: a member that is slower than the changes would else never
// receive a complete one.
func (n *Node) sendSnapshot(id uint64, p *progress, heartbeat bool) {
	if n.now < p.snapshotRetryAt || n.now-p.lastContact >= snapshotTimeout {
		if heartbeat {
			n.send(&wire.RaftMessage{
				Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: n.snapshot.Index, LogTerm: n.snapshot.Term,
				HeartbeatRound: n.heartbeatRound, Commit: n.committed,
			})
		}
		return
	}
	if p.snapshot == nil || p.snapshot.Index < n.base.index {
		p.snapshot = n.snapshot
	}
	p.snapshotRetryAt = n.now + snapshotTimeout
	n.send(&wire.RaftMessage{
		Kind: wire.RaftMessage_INSTALL_SNAPSHOT, To: id, Snapshot: p.snapshot,
		HeartbeatRound: n.heartbeatRound, Commit: n.committed,
	})
}

// maybeEndSnapshot forgets a transfer that its member has confirmed, or whose member has been without contact for long.
func (n *Node) maybeEndSnapshot(p *progress) {
	if p != nil && p.snapshot != nil && (p.match >= p.snapshot.Index || n.now-p.lastContact > catchUpTimeout) {
		p.snapshot = nil
	}
}

// handleInstallSnapshot takes a leader's snapshot whose data is in the message itself.
func (n *Node) handleInstallSnapshot(m *wire.RaftMessage) {
	n.send(&wire.RaftMessage{
		Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound,
		Index: n.restore(m.Snapshot),
	})
}

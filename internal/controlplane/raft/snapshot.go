package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	snapshotTimeout    = time.Second            // a transfer without progress for this time is restarted
	snapshotRetryPause = 250 * time.Millisecond // delay before a failed transfer is resumed
	catchUpTimeout     = 10 * time.Second       // no entries are kept for a member without contact for this time
)

// SnapshotEvent is an event of a snapshot transfer that the driver reports.
type SnapshotEvent int

// The events of a snapshot transfer. A failed transfer is resumed later, with the same snapshot if the log still has all
// entries after it.
const (
	SnapshotProgress SnapshotEvent = iota + 1
	SnapshotFinished
	SnapshotFailed
)

// ReportSnapshot handles an event of the transfer of the snapshot at index to a member. A transfer begins with an
// INSTALL_SNAPSHOT message in a Ready. If the driver reports no event, the message is repeated after snapshotTimeout.
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
		if index >= n.base.index { // match is updated by the member's own response
			p.next = max(p.next, index+1)
			n.replicate(to, true)
		}
	}
}

// InstallSnapshot restores a snapshot that the driver has received completely. It needs no term, since the snapshot's
// state is committed regardless of the current leader.
func (n *Node) InstallSnapshot(now time.Duration, s *wire.RaftSnapshot) {
	n.now = now
	n.restore(s)
}

// SnapshotInTransfer returns the index of the snapshot that is being sent to a member or that the member has not confirmed
// yet. It returns zero if there is none.
func (n *Node) SnapshotInTransfer(id uint64) (index uint64) {
	if p := n.progress[id]; p != nil {
		return p.snapshot.GetIndex()
	}
	return 0
}

// sendSnapshot starts or resumes a snapshot transfer to a member whose next entry is no longer in the log. While a transfer
// is in progress, or if the member is unresponsive, it only sends an empty message if heartbeat is set. A newer snapshot
// replaces the one in progress only if the log no longer has all entries after that one. Otherwise a member that receives
// snapshots more slowly than they are created would never receive a complete one.
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

// maybeEndSnapshot ends a transfer that the member has confirmed, or whose member has been without contact for
// catchUpTimeout.
func (n *Node) maybeEndSnapshot(p *progress) {
	if p != nil && p.snapshot != nil && (p.match >= p.snapshot.Index || n.now-p.lastContact > catchUpTimeout) {
		p.snapshot = nil
	}
}

// handleInstallSnapshot restores a snapshot whose data is in the leader's message.
func (n *Node) handleInstallSnapshot(m *wire.RaftMessage) {
	n.send(&wire.RaftMessage{
		Kind: wire.RaftMessage_APPEND_ENTRIES_RESPONSE, To: m.From, HeartbeatRound: m.HeartbeatRound,
		Index: n.restore(m.Snapshot),
	})
}

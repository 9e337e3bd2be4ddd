package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	snapshotTimeout    = time.Second            // without progress, after which a transfer is begun again
	snapshotRetryPause = 250 * time.Millisecond // after one that failed
	catchUpTimeout     = 10 * time.Second       // of a member, after which nothing is kept for it
)

// SnapshotEvent is what the driver reports of a snapshot's transfer.
type SnapshotEvent int

// The events of a transfer. One that fails is resumed later, with the same snapshot as long as the log leads on from it.
const (
	SnapshotProgress SnapshotEvent = iota + 1
	SnapshotFinished
	SnapshotFailed
)

// ReportSnapshot takes an event of the transfer of a snapshot to a member. The message that begins a transfer is a SNAPSHOT
// in an Output; a driver that reports nothing gets it again after a second.
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
		if index >= n.base.index { // it counts once the member's own log says so
			p.next = max(p.next, index+1)
			n.replicate(to, true)
		}
	}
}

// InstallSnapshot takes a snapshot that has come in full by a transfer. What it holds was committed, whoever leads by now, so that
// no term is needed with it.
func (n *Node) InstallSnapshot(now time.Duration, s *wire.RaftSnapshot) {
	n.now = now
	n.restore(s)
}

// SnapshotInTransfer tells which snapshot is under way to a member, or has come and is not yet known to count; 0: none.
func (n *Node) SnapshotInTransfer(id uint64) (index uint64) {
	if p := n.progress[id]; p != nil {
		return p.snapshot.GetIndex()
	}
	return 0
}

// snapshot begins or resumes the transfer of a snapshot to a member whose next entry the log no longer holds, or, while one
// is under way or the member is silent, sends it a heartbeat alone. A newer snapshot takes the place of the one under way only where the log does not lead on from
// that: a member that gets changes slower than they come would else never see the end of one.
func (n *Node) sendSnapshot(id uint64, p *progress, heartbeat bool) {
	if n.now < p.snapshotRetryAt || n.now-p.lastContact >= snapshotTimeout {
		if heartbeat {
			n.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: n.snapshot.Index, LogTerm: n.snapshot.Term, HeartbeatRound: n.heartbeatRound, Commit: n.committed})
		}
		return
	}
	if p.snapshot == nil || p.snapshot.Index < n.base.index {
		p.snapshot = n.snapshot
	}
	p.snapshotRetryAt = n.now + snapshotTimeout
	n.send(&wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, To: id, Snapshot: p.snapshot, HeartbeatRound: n.heartbeatRound, Commit: n.committed})
}

// maybeEndSnapshot forgets a transfer that has reached its member, or whose member is gone.
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

package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	transferSilence = time.Second            // without progress, after which a transfer is begun again
	transferPause   = 250 * time.Millisecond // after one that failed
	catchUpSilence  = 10 * time.Second       // of a member, after which nothing is kept for it
)

// TransferEvent is what the driver reports of a snapshot's transfer.
type TransferEvent int

// The events of a transfer. One that fails is resumed later, with the same snapshot as long as the log leads on from it.
const (
	TransferProgress TransferEvent = iota + 1
	TransferFinished
	TransferFailed
)

// Transfer takes an event of the transfer of a snapshot to a member. The message that begins a transfer is a SNAPSHOT
// in an Output; a driver that reports nothing gets it again after a second.
func (c *Node) Transfer(now time.Duration, to, index uint64, event TransferEvent) {
	c.now = now
	p := c.progress[to]
	if c.role != leader || p == nil || p.transfer == nil || p.transfer.Index != index {
		return
	}
	switch event {
	case TransferProgress:
		p.transferRetryAt = now + transferSilence
	case TransferFailed:
		p.transferRetryAt = now + transferPause
	case TransferFinished:
		p.transferRetryAt = now + transferSilence
		if index >= c.base.index { // it counts once the member's own log says so
			p.next = max(p.next, index+1)
			c.replicate(to, true)
		}
	}
}

// Install takes a snapshot that has come in full by a transfer. What it holds was committed, whoever leads by now, so that
// no term is needed with it.
func (c *Node) Install(now time.Duration, s *wire.RaftSnapshot) {
	c.now = now
	c.install(s)
}

// Transferring tells which snapshot is under way to a member, or has come and is not yet known to count; 0: none.
func (c *Node) Transferring(id uint64) (index uint64) {
	if p := c.progress[id]; p != nil {
		return p.transfer.GetIndex()
	}
	return 0
}

// transfer begins or resumes the transfer of a snapshot to a member whose next entry the log no longer holds, or, while one
// is under way or the member is silent, sends it a heartbeat alone. A newer snapshot takes the place of the one under way only where the log does not lead on from
// that: a member that gets changes slower than they come would else never see the end of one.
func (c *Node) transfer(id uint64, p *progress, heartbeat bool) {
	if c.now < p.transferRetryAt || c.now-p.lastContact >= transferSilence {
		if heartbeat {
			c.send(&wire.RaftMessage{Kind: wire.RaftMessage_APPEND_ENTRIES, To: id, Index: c.snap.Index, LogTerm: c.snap.Term, HeartbeatRound: c.round, Commit: c.commit})
		}
		return
	}
	if p.transfer == nil || p.transfer.Index < c.base.index {
		p.transfer = c.snap
	}
	p.transferRetryAt = c.now + transferSilence
	c.send(&wire.RaftMessage{Kind: wire.RaftMessage_INSTALL_SNAPSHOT, To: id, Snapshot: p.transfer, HeartbeatRound: c.round, Commit: c.commit})
}

// endTransfer forgets a transfer that has reached its member, or whose member is gone.
func (c *Node) endTransfer(p *progress) {
	if p != nil && p.transfer != nil && (p.match >= p.transfer.Index || c.now-p.lastContact > catchUpSilence) {
		p.transfer = nil
	}
}

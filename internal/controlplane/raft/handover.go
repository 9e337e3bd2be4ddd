package raft

import (
	"time"

	"ivydeck/internal/transport/wire"
)

const (
	transferWait = electionMin            // so long a transfer target is waited for
	slowSync     = 8 * time.Millisecond   // a leader whose writes take less keeps the lead ...
	slowX        = 4                      // ... and so does one that takes less than this many times what another takes
	maxSyncTime  = 10 * time.Second       // a write counts for as long at most
	syncGain     = 0.25                   // of the newest write in the average
	freshLag     = 200 * time.Millisecond // a member that was heard more lately may lead
)

// Synced takes how long a synced write has taken here. Members tell the leader, which gives the lead away where
// another's disk is far faster: every change waits for the leader's own.
func (c *Node) Synced(took time.Duration) {
	took = max(time.Microsecond, min(took, maxSyncTime))
	if c.syncTime == 0 {
		c.syncTime = took
	}
	c.syncTime += time.Duration(syncGain * float64(took-c.syncTime))
}

// Ill tells whether the leader's disk is far slower than that of another voter that could lead.
func (c *Node) Ill() bool {
	if c.role != leader || c.syncTime < slowSync {
		return false
	}
	p := c.progress[c.successor()]
	return p != nil && p.syncTime > 0 && c.syncTime > slowX*p.syncTime
}

// successor is the voter that could best take the lead: the one that has the most, and of these the one with the
// fastest disk; 0: nobody is in touch.
func (c *Node) successor() (best uint64) {
	for _, p := range c.Peers() {
		o := c.progress[p.Id]
		if !p.Voter || o == nil || c.now-o.lastContact > freshLag || o.match == 0 {
			continue
		}
		if b := c.progress[best]; b == nil || o.match > b.match || o.match == b.match && o.syncTime < b.syncTime {
			best = p.Id
		}
	}
	return best
}

// HandOver is the leadership transfer of the thesis (3.10): it gives the lead away as soon as another voter has all that
// is in the log; what is proposed meanwhile is turned away unrun. It reports false where this member does not lead or
// nobody could. A transfer target that does not take the lead in time is no longer waited for.
func (c *Node) HandOver(now time.Duration) bool {
	c.now = now
	if c.role != leader {
		return false
	}
	if c.transferTarget != 0 {
		return true
	}
	if c.transferTarget = c.successor(); c.transferTarget == 0 {
		return false
	}
	c.transferDeadline = now + transferWait
	c.handOver(c.transferTarget)
	return true
}

// handOver tells the transfer target to lead, once it has everything.
func (c *Node) handOver(id uint64) {
	if p := c.progress[id]; id != 0 && id == c.transferTarget && p != nil && p.match == c.last() {
		c.send(&wire.RaftMessage{Kind: wire.RaftMessage_TIMEOUT_NOW, To: id})
	}
}

package raft

import (
	"time"
)

// Read is a read that has been confirmed, or refused.
type Read struct {
	Token uint64
	Index uint64 // to be applied before the answer
	OK    bool
}

type pendingRead struct {
	token, index, round uint64
}

func (c *Node) refuseReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, Read{Token: r.token})
	}
	c.reads = nil
}

// Read asks for the place in the log that a read has to see. The answer comes
// in an Output, once a majority has confirmed the lead after this call.
func (c *Node) Read(now time.Duration, token uint64) {
	c.now = now
	t, _ := c.term(c.commit)
	if c.role != leader || t != c.hard.Term || len(c.reads) >= maxPendingReads {
		c.out.Reads = append(c.out.Reads, Read{Token: token})
		return
	}
	if c.roundUnsent { // its messages go out after this call
		c.reads = append(c.reads, pendingRead{token, c.commit, c.round})
		c.confirmContact()
		return
	}
	c.reads = append(c.reads, pendingRead{token, c.commit, c.round + 1})
	c.broadcastHeartbeat()
}

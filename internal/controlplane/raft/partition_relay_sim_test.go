package raft

import (
	"time"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

// leaseRelay is a data node below a member or below another relay, with a clock of its own. It is driven by package
// relay's own arithmetic.
type leaseRelay struct {
	offset       time.Duration
	drift        float64 // of the rate of its clock
	applied      uint64
	contact      time.Duration // by its clock
	subscription relay.Subscription
	subscribedAt time.Duration // by the parent's clock; -1: the request is under way
	requestAt    time.Duration // when the request arrives
	incarnation  *int          // stands for its process
	parentLife   any           // the process that it has subscribed to
	startedAt    time.Duration // by its clock
	owed         uint64        // what had been acknowledged by then
	readiness    relay.Readiness
	ready        bool
	sentAt       time.Duration // of the newest feed
	feeds        []leaseFeed
	child        *leaseRelay
}

type leaseFeed struct {
	arrives time.Duration
	feed    *wire.Feed
}

func (w *partitionSim) newRelay() *leaseRelay {
	c := &leaseRelay{}
	w.startRelay(c)
	return c
}

// startRelay begins a process of a data node, which has nothing yet.
func (w *partitionSim) startRelay(c *leaseRelay) {
	drift := (2*w.rng.Float64() - 1) / leaseDrift
	*c = leaseRelay{offset: w.span(0, time.Hour), drift: drift, subscribedAt: -1, incarnation: new(int), child: c.child, owed: w.ackedBefore(w.now)}
	c.startedAt = w.relayClock(c)
	c.contact = c.startedAt - MaxContactAge
}

// relayClock is a relay's own.
func (w *partitionSim) relayClock(c *leaseRelay) time.Duration {
	return w.now + c.offset + time.Duration(c.drift*float64(w.now))
}

// feed drives the two relays below a member.
func (w *partitionSim) feed(m *leaseMember) {
	w.feedOne(m.child, m.node, w.clock(m), m.contact, m.applied)
	c := m.child
	w.feedOne(c.child, c.incarnation, w.relayClock(c), c.contact, c.applied)
	w.serve("the child of", m, c)
	w.serve("the grandchild of", m, c.child)
}

// serve sees that a data node is not ready by an older state than its start allows.
func (w *partitionSim) serve(who string, m *leaseMember, c *leaseRelay) {
	if c.ready {
		return
	}
	now := w.relayClock(c)
	switch proof := c.readiness.Check(now-c.startedAt, now-c.contact, c.applied); {
	case proof == relay.NoProof:
		return
	case proof == relay.Unconfirmed && w.ackedBefore(w.now-leaseOldest) > c.applied:
		w.fault("%s member %d is ready by entry %d, and a later one had been acknowledged %v before", who, m.number, c.applied, leaseOldest)
	case proof != relay.Unconfirmed && c.applied < c.owed:
		w.fault("%s member %d is ready (%s) by entry %d, and %d had been acknowledged before its start", who, m.number, proof, c.applied, c.owed)
	}
	c.ready = true
}

// feedOne drives one child of a parent, whose clock, contact and state are given.
func (w *partitionSim) feedOne(c *leaseRelay, incarnation any, parentNow, parentContact time.Duration, head uint64) {
	own := w.relayClock(c)
	delay := func() time.Duration { // now and then seconds, as of a machine that does not read
		if w.rng.IntN(12) == 0 {
			return w.span(0, 2*time.Second)
		}
		return w.span(time.Millisecond, 20*time.Millisecond)
	}
	subscribe := func() {
		c.parentLife, c.subscription, c.subscribedAt = incarnation, relay.Subscription{RequestedAt: own}, -1
		c.requestAt, c.feeds = w.now+delay(), nil
	}
	if c.parentLife != incarnation {
		subscribe()
	}
	if c.subscribedAt < 0 && w.now >= c.requestAt {
		c.subscribedAt, c.sentAt = parentNow, -relay.Heartbeat
	}
	if c.subscribedAt >= 0 && w.now-c.sentAt >= relay.Heartbeat {
		f := &wire.Feed{Latest: head}
		relay.SetAge(f, parentNow, parentContact, c.subscribedAt)
		arrives := w.now + delay()
		if n := len(c.feeds); n > 0 {
			arrives = max(arrives, c.feeds[n-1].arrives)
		}
		c.feeds, c.sentAt = append(c.feeds, leaseFeed{arrives, f}), w.now
	}
	for len(c.feeds) > 0 && c.feeds[0].arrives <= w.now {
		f := c.feeds[0].feed
		c.feeds = c.feeds[1:]
		c.applied = max(c.applied, f.Latest)
		if c.applied == f.Latest {
			c.contact = max(c.contact, c.subscription.ContactAt(own, f))
		}
		if c.subscription.NeedsRenewal(own, f) {
			subscribe()
		}
	}
}

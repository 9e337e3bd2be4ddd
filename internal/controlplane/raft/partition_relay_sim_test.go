package raft

import (
	"time"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

// leaseRelay is a data node below a member or below another relay, with a clock of its own. It is driven by package
// relay's own arithmetic.
type partitionRelay struct {
	clockOffset      time.Duration
	clockDrift       float64 // of the rate of its clock
	applied          uint64
	contactAt        time.Duration // by its clock
	subscription     relay.Subscription
	subscribedAt     time.Duration // by the parent's clock; -1: the request is under way
	requestArrivesAt time.Duration // when the request arrives
	processID        *int          // stands for its process
	parentProcess    any           // the process that it has subscribed to
	startedAt        time.Duration // by its clock
	ackedAtStart     uint64        // what had been acknowledged by then
	readiness        relay.Readiness
	ready            bool
	feedSentAt       time.Duration // of the newest feed
	feeds            []relayFeed
	child            *partitionRelay
}

type relayFeed struct {
	arrivesAt time.Duration
	feed      *wire.Feed
}

func (s *partitionSim) newRelay() *partitionRelay {
	r := &partitionRelay{}
	s.startRelay(r)
	return r
}

// startRelay begins a process of a data node, which has nothing yet.
func (s *partitionSim) startRelay(r *partitionRelay) {
	drift := (2*s.rng.Float64() - 1) / clockDriftDivisor
	*r = partitionRelay{clockOffset: s.randomDuration(0, time.Hour), clockDrift: drift, subscribedAt: -1, processID: new(int), child: r.child, ackedAtStart: s.ackedBefore(s.now)}
	r.startedAt = s.relayClock(r)
	r.contactAt = r.startedAt - MaxContactAge
}

// relayClock is a relay's own.
func (s *partitionSim) relayClock(r *partitionRelay) time.Duration {
	return s.now + r.clockOffset + time.Duration(r.clockDrift*float64(s.now))
}

// feed drives the two relays below a member.
func (s *partitionSim) runRelays(member *partitionMember) {
	s.runRelay(member.child, member.node, s.clock(member), member.contactAt, member.applied)
	child := member.child
	s.runRelay(child.child, child.processID, s.relayClock(child), child.contactAt, child.applied)
	s.checkReadiness("the child of", member, child)
	s.checkReadiness("the grandchild of", member, child.child)
}

// serve sees that a data node is not ready by an older state than its start allows.
func (s *partitionSim) checkReadiness(description string, member *partitionMember, dataNode *partitionRelay) {
	if dataNode.ready {
		return
	}
	now := s.relayClock(dataNode)
	switch proof := dataNode.readiness.Check(now-dataNode.startedAt, now-dataNode.contactAt, dataNode.applied); {
	case proof == relay.NoProof:
		return
	case proof == relay.Unconfirmed && s.ackedBefore(s.now-maxUnprovenAge) > dataNode.applied:
		s.reportFailure("%s member %d is ready by entry %d, and a later one had been acknowledged %v before", description, member.number, dataNode.applied, maxUnprovenAge)
	case proof != relay.Unconfirmed && dataNode.applied < dataNode.ackedAtStart:
		s.reportFailure("%s member %d is ready (%s) by entry %d, and %d had been acknowledged before its start", description, member.number, proof, dataNode.applied, dataNode.ackedAtStart)
	}
	dataNode.ready = true
}

// feedOne drives one child of a parent, whose clock, contact and state are given.
func (s *partitionSim) runRelay(child *partitionRelay, parentProcess any, parentNow, parentContact time.Duration, parentApplied uint64) {
	ownNow := s.relayClock(child)
	randomDelay := func() time.Duration { // now and then seconds, as of a machine that does not read
		if s.rng.IntN(12) == 0 {
			return s.randomDuration(0, 2*time.Second)
		}
		return s.randomDuration(time.Millisecond, 20*time.Millisecond)
	}
	subscribe := func() {
		child.parentProcess, child.subscription, child.subscribedAt = parentProcess, relay.Subscription{RequestedAt: ownNow}, -1
		child.requestArrivesAt, child.feeds = s.now+randomDelay(), nil
	}
	if child.parentProcess != parentProcess {
		subscribe()
	}
	if child.subscribedAt < 0 && s.now >= child.requestArrivesAt {
		child.subscribedAt, child.feedSentAt = parentNow, -relay.Heartbeat
	}
	if child.subscribedAt >= 0 && s.now-child.feedSentAt >= relay.Heartbeat {
		feed := &wire.Feed{Latest: parentApplied}
		relay.SetAge(feed, parentNow, parentContact, child.subscribedAt)
		arrivesAt := s.now + randomDelay()
		if n := len(child.feeds); n > 0 {
			arrivesAt = max(arrivesAt, child.feeds[n-1].arrivesAt)
		}
		child.feeds, child.feedSentAt = append(child.feeds, relayFeed{arrivesAt, feed}), s.now
	}
	for len(child.feeds) > 0 && child.feeds[0].arrivesAt <= s.now {
		feed := child.feeds[0].feed
		child.feeds = child.feeds[1:]
		child.applied = max(child.applied, feed.Latest)
		if child.applied == feed.Latest {
			child.contactAt = max(child.contactAt, child.subscription.ContactAt(ownNow, feed))
		}
		if child.subscription.NeedsRenewal(ownNow, feed) {
			subscribe()
		}
	}
}

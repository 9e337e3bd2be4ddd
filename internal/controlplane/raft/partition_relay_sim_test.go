package raft

import (
	"time"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

// partitionRelay is a data node that gets feeds from a member or from another relay. It has its own clock, and computes
// ages, subscriptions and readiness with package relay.
type partitionRelay struct {
	clockOffset      time.Duration // its clock minus the simulated time, at time zero
	clockDrift       float64       // relative deviation of its clock's rate
	applied          uint64
	contactAt        time.Duration // time of the quorum contact of its state, on its own clock
	subscription     relay.Subscription
	subscribedAt     time.Duration // time of the subscription on the parent's clock; -1 while the request is in flight
	requestArrivesAt time.Duration // time at which the request arrives at the parent
	processID        *int          // its address identifies the process
	parentProcess    any           // identity of the process that it has subscribed to
	startedAt        time.Duration // time of its start, on its own clock
	ackedAtStart     uint64        // last index acknowledged before its start
	readiness        relay.Readiness
	ready            bool
	feedSentAt       time.Duration // time at which the parent sent the newest feed
	feeds            []relayFeed
	child            *partitionRelay
}

// relayFeed is a feed that has been sent and not received yet.
type relayFeed struct {
	arrivesAt time.Duration
	feed      *wire.Feed
}

func (s *partitionSim) newRelay() *partitionRelay {
	r := &partitionRelay{}
	s.startRelay(r)
	return r
}

// startRelay restarts a relay with an empty state and another clock. It keeps its child.
func (s *partitionSim) startRelay(r *partitionRelay) {
	drift := (2*s.rng.Float64() - 1) / clockDriftDivisor
	*r = partitionRelay{clockOffset: s.randomDuration(0, time.Hour), clockDrift: drift, subscribedAt: -1, processID: new(int), child: r.child, ackedAtStart: s.ackedBefore(s.now)}
	r.startedAt = s.relayClock(r)
	r.contactAt = r.startedAt - MaxContactAge
}

// relayClock returns the time on a relay's clock.
func (s *partitionSim) relayClock(r *partitionRelay) time.Duration {
	return s.now + r.clockOffset + time.Duration(r.clockDrift*float64(s.now))
}

// runRelays runs one step of a member's child and grandchild, and checks their readiness.
func (s *partitionSim) runRelays(member *partitionMember) {
	s.runRelay(member.child, member.node, s.clock(member), member.contactAt, member.applied)
	child := member.child
	s.runRelay(child.child, child.processID, s.relayClock(child), child.contactAt, child.applied)
	s.checkReadiness("child of member", member, child)
	s.checkReadiness("grandchild of member", member, child.child)
}

// checkReadiness checks that a relay becomes ready only with a state that has all changes acknowledged before its start. An
// unconfirmed state may lack changes of the last maxUnprovenAge.
func (s *partitionSim) checkReadiness(description string, member *partitionMember, dataNode *partitionRelay) {
	if dataNode.ready {
		return
	}
	now := s.relayClock(dataNode)
	switch proof := dataNode.readiness.Check(now-dataNode.startedAt, now-dataNode.contactAt, dataNode.applied); {
	case proof == relay.NoProof:
		return
	case proof == relay.Unconfirmed && s.ackedBefore(s.now-maxUnprovenAge) > dataNode.applied:
		s.reportFailure("%s %d became ready with entry %d, and a later entry was acknowledged %v earlier", description, member.number, dataNode.applied, maxUnprovenAge)
	case proof != relay.Unconfirmed && dataNode.applied < dataNode.ackedAtStart:
		s.reportFailure("%s %d became ready (%s) with entry %d, and entry %d was acknowledged before its start", description, member.number, proof, dataNode.applied, dataNode.ackedAtStart)
	}
	dataNode.ready = true
}

// runRelay runs one step of a child: the parent accepts its subscription and sends a feed if one is due, and the child
// processes the feeds that have arrived. parentNow and parentContact are times on the parent's clock.
func (s *partitionSim) runRelay(child *partitionRelay, parentProcess any, parentNow, parentContact time.Duration, parentApplied uint64) {
	ownNow := s.relayClock(child)
	randomDelay := func() time.Duration { // sometimes up to two seconds, as for a receiver that stalls
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

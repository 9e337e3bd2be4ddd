package lab

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/dataplane/budget"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/wire"
)

var (
	errNotCompleted = errors.New("the leader did not complete the operation")
	errTooFewVoters = errors.New("too few voters to acknowledge a proposal")
)

const (
	maintenanceInterval = 500 * time.Millisecond
	readinessRetryPause = 100 * time.Millisecond
	readinessInterval   = 20 * time.Millisecond
	deadlineMargin      = 15 * time.Millisecond // subtracted from the deadline of a request at the node
	headerBytes         = 300                   // size of a request or response without its body, in bytes
)

// node is a simulated sidecar machine. It drives membership, relay, router and local
// server as internal/dataplane/sidecar does.
type node struct {
	machine
	peerView
	parents    relay.ParentCache
	selector   relay.Selector
	parent     *child // subscription at the parent; nil while there is none
	lastFeedAt time.Duration
	contactAt  time.Duration // latest known time at which a quorum confirmed the state
	readiness  relay.Readiness

	table            *router.Table
	admission        *localserver.Registry[*ticket]
	shares           budget.Shares
	server           *server
	unverified       localserver.Unverified // servers that the process does not know yet
	verifying        bool                   // a lookup of their departures is in progress
	startedAt        time.Duration
	cluster          router.ClusterStateBuilder
	registered       catalog.NodeServers
	membersVersion   uint64 // version of the membership list in the routing table
	registering      bool   // a registration is in flight
	ready            bool   // the node has passed its readiness check
	requiredRevision uint64 // last revision acknowledged before the start, which a ready node must have
}

func (n *node) start() {
	s := n.sim
	s.incarnations++
	n.incarnation, n.up, n.powered, n.startedAt = s.incarnations, true, true, s.now
	n.parents = relay.ParentCache{Self: n.name, Zone: n.zone}
	n.selector, n.parent, n.contactAt, n.registering = relay.Selector{}, nil, -time.Hour, false
	n.cluster, n.registered, n.membersVersion = router.ClusterStateBuilder{}, catalog.NodeServers{Node: n.name}, 0
	n.hub = relay.NewHub(func() time.Duration { return s.now - n.contactAt })
	n.table = router.NewTable(router.Options{Node: n.name, Zone: n.zone, RetryRatio: s.scenario.Retry.Ratio, RetryWindow: sec(s.scenario.Retry.WindowS), Seed: s.rng.Uint64()})
	n.unverified, n.verifying = localserver.Unverified{}, false
	n.admission = localserver.New[*ticket](ms(s.scenario.DrainMs), ms(s.scenario.HeartbeatMs))
	n.shares = budget.Shares{Slack: s.scenario.Retry.Slack, Window: sec(s.scenario.Retry.WindowS), FirstStart: s.now == 0}
	n.peerView.start(s, &n.machine)
	n.ready, n.requiredRevision = false, s.ackedRevision
	incarnation := n.incarnation
	n.startReadiness(incarnation)
	s.after(time.Duration(s.rng.Int64N(int64(maintenanceInterval))), func() { n.maintain(incarnation) })
	s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { n.subscribe(incarnation) })
}

// startReadiness restarts the checks that make the node ready once its state is recent
// enough (see relay.Readiness).
func (n *node) startReadiness(incarnation uint64) {
	n.readiness = relay.Readiness{}
	n.requestLatestIndex(incarnation)
	n.checkReadiness(incarnation)
}

// requestLatestIndex reads the index of the last update from the leader, and retries until
// the read succeeds.
func (n *node) requestLatestIndex(incarnation uint64) {
	s := n.sim
	if !n.up || n.incarnation != incarnation || n.ready {
		return
	}
	var latest uint64
	s.callLeader(&n.machine, rpcBytes, func(leader *quorumMember, answer func(error)) {
		leader.read(func(ok bool) {
			if !ok {
				answer(errNotCompleted)
				return
			}
			latest = leader.catalog.Index()
			answer(nil)
		})
	}, func(err error) {
		switch {
		case err != nil:
			s.after(readinessRetryPause, func() { n.requestLatestIndex(incarnation) })
		case n.up && n.incarnation == incarnation:
			n.readiness.Confirmed(latest)
		}
	})
}

func (n *node) checkReadiness(incarnation uint64) {
	s := n.sim
	if !n.up || n.incarnation != incarnation {
		return
	}
	proof := n.readiness.Check(s.now-n.startedAt, s.now-n.contactAt, n.hub.Index())
	if proof == relay.NoProof {
		s.after(readinessInterval, func() { n.checkReadiness(incarnation) })
		return
	}
	n.ready = true
	if c := n.hub.Config(); proof != relay.Unconfirmed && n.requiredRevision > 0 && (c == nil || c.Revision < n.requiredRevision) {
		s.recordViolation("%s is ready without revision %d, which was acknowledged before its start (proof: %s)", n.name, n.requiredRevision, proof)
	}
}

func (n *node) stop(powerOff bool) {
	if n.up {
		n.sim.stop(&n.machine, powerOff)
		if n.server != nil {
			n.server.breakRuns()
		}
	}
}

// candidates returns the addresses of the parents that the node may subscribe to, or the
// seeds if there are none.
func (n *node) candidates() []string {
	if list := n.parents.Parents(n.memberlist.Version(), n.memberlist.Members); len(list) > 0 {
		return list
	}
	return n.sim.seeds
}

// subscribe subscribes to a parent unless the node has one.
func (n *node) subscribe(incarnation uint64) {
	if !n.up || n.incarnation != incarnation || n.parent != nil {
		return
	}
	addr, wait := n.selector.Next(n.sim.now, n.candidates())
	if addr == "" {
		n.sim.after(wait, func() { n.subscribe(incarnation) })
		return
	}
	subscription := &child{node: n, incarnation: incarnation, sentIndex: n.hub.Index(), subscription: relay.Subscription{RequestedAt: n.sim.now}}
	n.parent, n.lastFeedAt = subscription, n.sim.now
	parentView := n.sim.peerViews[addr]
	n.sim.call(&n.machine, parentView.host, rpcBytes, relay.FeedTimeout, func(answer func(int, func())) {
		if parentView.liveChildren() >= relay.MaxChildren {
			answer(rpcBytes, func() { n.leaveParent(subscription, relay.Failed) })
			return
		}
		subscription.subscribedAt = n.sim.now
		parentView.children = append(parentView.children, subscription)
		answer(rpcBytes, func() {})
		parentView.feedChild(subscription)
	}, func(bool) { n.leaveParent(subscription, relay.Failed) })
	n.watchParent(subscription)
}

// watchParent leaves a parent that sends nothing for relay.FeedTimeout.
func (n *node) watchParent(c *child) {
	if n.parent != c {
		return
	}
	if n.sim.now-n.lastFeedAt >= relay.FeedTimeout {
		n.leaveParent(c, relay.Failed)
		return
	}
	n.sim.at(n.lastFeedAt+relay.FeedTimeout, func() { n.watchParent(c) })
}

// leaveParent ends the subscription c and subscribes again, unless c is no longer the
// node's subscription.
func (n *node) leaveParent(c *child, reason relay.EndReason) {
	if n.up && n.incarnation == c.incarnation && n.parent == c {
		n.parent.ended, n.parent = true, nil
		n.selector.Ended(n.sim.now, reason)
		n.subscribe(n.incarnation)
	}
}

// handleFeed applies a feed from the parent, and forwards new updates to the children.
func (n *node) handleFeed(c *child, feed *wire.Feed) {
	if n.parent != c {
		return
	}
	n.lastFeedAt = n.sim.now
	contactAt := c.subscription.ContactAt(n.sim.now, feed)
	if reason := n.selector.Check(n.sim.now, n.sim.now-contactAt); reason != relay.Continue {
		n.sim.measurements.staleParents++
		n.leaveParent(c, reason)
		return
	}
	before := n.hub.Index()
	current, ok := n.hub.Receive(feed, func() { n.contactAt = max(n.contactAt, contactAt) })
	after := n.hub.Index()
	if after < before {
		n.sim.recordViolation("the update index of %s decreased from %d to %d", n.name, before, after)
	}
	if after > before {
		n.sim.measurements.updatesReceived(n.sim.now, before, after)
		n.sim.measurements.maxRelayDepth = max(n.sim.measurements.maxRelayDepth, int(n.hub.Depth()))
	}
	if current || after > before {
		n.feed()
	}
	if !ok || n.selector.ShouldMove(n.sim.now, n.candidates()) || c.subscription.NeedsRenewal(n.sim.now, feed) {
		n.leaveParent(c, relay.Renew)
	}
}

// maintain is the node's periodic work. It sweeps the local servers, sets the node's share
// of the retry slack, and registers changes of the local servers.
func (n *node) maintain(incarnation uint64) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	_, grants := n.admission.Sweep(n.sim.now)
	n.deliverGrants(grants)
	nodes := len(n.memberlist.Members()) - len(n.sim.members)
	n.table.SetRetrySlack(n.shares.Share(n.sim.now-n.startedAt, nodes))
	if n.server != nil && !n.registering {
		n.register()
	}
	n.sim.after(maintenanceInterval, func() { n.maintain(incarnation) })
}

// register proposes the next command, if any, that brings the registered servers in line
// with the local ones.
func (n *node) register() {
	self := localserver.Machine{Node: n.name, Address: n.name, Zone: n.zone}
	changes, _ := n.hub.State(n.registered.Index())
	n.registered.Apply(changes)
	n.adopt()
	local := localserver.Local{Servers: n.admission.Servers(), Departed: n.admission.Departed, JustStarted: n.sim.now-n.startedAt < ms(2*n.sim.scenario.HeartbeatMs)}
	commands := localserver.Reconcile(self, local, n.registered.Servers())
	if len(commands) == 0 {
		return
	}
	n.registering = true
	n.sim.callLeader(&n.machine, proto.Size(commands[0]), func(leader *quorumMember, answer func(error)) { leader.propose(commands[0], answer) }, func(error) {
		n.registering = false
	})
}

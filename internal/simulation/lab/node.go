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
	errProposalDropped = errors.New("another entry took the index")
	errTooFewVoters    = errors.New("the quorum has too few voters")
)

const (
	upkeepInterval      = 500 * time.Millisecond
	readinessRetryPause = 100 * time.Millisecond
	readinessCheck      = 20 * time.Millisecond
	deadlineMargin      = 15 * time.Millisecond
	headerBytes         = 300 // size of a request or a response without its body
)

// node is a sidecar machine: it drives membership, relay, router and local server as
// the real one does (internal/dataplane/sidecar).
type node struct {
	machine
	peerView
	parents    relay.ParentCache
	selector   relay.Selector
	parent     *child // this node's subscription at its parent
	receivedAt time.Duration
	freshAt    time.Duration
	readiness  relay.Readiness

	table          *router.Table
	admission      *localserver.Registry[*ticket]
	shares         budget.Shares
	server         *server
	startedAt      time.Duration
	cluster        router.ClusterStateBuilder
	registered     catalog.NodeServers
	membersVersion uint64 // version of the membership list in the routing table
	registering    bool
	ready          bool   // it takes requests
	mustKnow       uint64 // the last revision acknowledged before its start; ready nodes must know it
}

func (n *node) start() {
	s := n.s
	s.incarnations++
	n.incarnation, n.up, n.powered, n.startedAt = s.incarnations, true, true, s.now
	n.parents = relay.ParentCache{Self: n.name, Zone: n.zone}
	n.selector, n.parent, n.freshAt, n.registering = relay.Selector{}, nil, -time.Hour, false
	n.cluster, n.registered, n.membersVersion = router.ClusterStateBuilder{}, catalog.NodeServers{Node: n.name}, 0
	n.hub = relay.NewHub(func() time.Duration { return s.now - n.freshAt })
	n.table = router.NewTable(router.Options{Node: n.name, Zone: n.zone, RetryRatio: s.scenario.Retry.Ratio, RetryWindow: sec(s.scenario.Retry.WindowS), Seed: s.rng.Uint64()})
	n.admission = localserver.New[*ticket](ms(s.scenario.DrainMs), ms(s.scenario.HeartbeatMs))
	n.shares = budget.Shares{Slack: s.scenario.Retry.Slack, Window: sec(s.scenario.Retry.WindowS), FirstStart: s.now == 0}
	n.peerView.start(s, &n.machine)
	n.ready, n.mustKnow = false, s.ackedRevision
	incarnation := n.incarnation
	n.startReadiness(incarnation)
	s.after(time.Duration(s.rng.Int64N(int64(upkeepInterval))), func() { n.upkeep(incarnation) })
	s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { n.subscribe(incarnation) })
}

// startReadiness makes the node ready once its state is recent enough: see
// relay.Readiness.
func (n *node) startReadiness(incarnation uint64) {
	n.readiness = relay.Readiness{}
	n.requestLatestIndex(incarnation)
	n.checkReadiness(incarnation)
}

// requestLatestIndex asks the leader for the index of the last update, until it has an
// answer.
func (n *node) requestLatestIndex(incarnation uint64) {
	s := n.s
	if !n.up || n.incarnation != incarnation || n.ready {
		return
	}
	var latest uint64
	s.callLeader(&n.machine, rpcBytes, func(c *quorumMember, answer func(error)) {
		c.read(func(ok bool) {
			if !ok {
				answer(errProposalDropped)
				return
			}
			latest = c.catalog.Index()
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
	s := n.s
	if !n.up || n.incarnation != incarnation {
		return
	}
	proof := n.readiness.Check(s.now-n.startedAt, s.now-n.freshAt, n.hub.Index())
	if proof == relay.NoProof {
		s.after(readinessCheck, func() { n.checkReadiness(incarnation) })
		return
	}
	n.ready = true
	if c := n.hub.Config(); proof != relay.Unconfirmed && n.mustKnow > 0 && (c == nil || c.Revision < n.mustKnow) {
		s.violation("%s is ready without revision %d, which was acknowledged before its start (proof: %s)", n.name, n.mustKnow, proof)
	}
}

func (n *node) stop(power bool) {
	if n.up {
		n.s.stop(&n.machine, power)
		if n.server != nil {
			n.server.breakRuns()
		}
	}
}

// candidates are the addresses of the parents that the node may subscribe to.
func (n *node) candidates() []string {
	if list := n.parents.Parents(n.group.Version(), n.group.Members); len(list) > 0 {
		return list
	}
	return n.s.seeds
}

// subscribe subscribes to a parent, unless the node has one.
func (n *node) subscribe(incarnation uint64) {
	if !n.up || n.incarnation != incarnation || n.parent != nil {
		return
	}
	addr, wait := n.selector.Next(n.s.now, n.candidates())
	if addr == "" {
		n.s.after(wait, func() { n.subscribe(incarnation) })
		return
	}
	c := &child{node: n, incarnation: incarnation, have: n.hub.Index(), subscription: relay.Subscription{RequestedAt: n.s.now}}
	n.parent, n.receivedAt = c, n.s.now
	to := n.s.views[addr]
	n.s.call(&n.machine, to.m, rpcBytes, relay.FeedTimeout, func(answer func(int, func())) {
		if to.liveChildren() >= relay.MaxChildren {
			answer(rpcBytes, func() { n.abandon(c, relay.Failed) })
			return
		}
		c.subscribedAt = n.s.now
		to.children = append(to.children, c)
		answer(rpcBytes, func() {})
		to.feedOne(c)
	}, func(bool) { n.abandon(c, relay.Failed) })
	n.watchParent(c)
}

// watchParent abandons a parent that sends nothing.
func (n *node) watchParent(c *child) {
	if n.parent != c {
		return
	}
	if n.s.now-n.receivedAt >= relay.FeedTimeout {
		n.abandon(c, relay.Failed)
		return
	}
	n.s.at(n.receivedAt+relay.FeedTimeout, func() { n.watchParent(c) })
}

// abandon leaves a parent and subscribes to another.
func (n *node) abandon(c *child, reason relay.EndReason) {
	if n.up && n.incarnation == c.incarnation && n.parent == c {
		n.parent.ended, n.parent = true, nil
		n.selector.Ended(n.s.now, reason)
		n.subscribe(n.incarnation)
	}
}

// receive handles a feed of the parent.
func (n *node) receive(c *child, f *wire.Feed) {
	if n.parent != c {
		return
	}
	n.receivedAt = n.s.now
	contactAt := c.subscription.ContactAt(n.s.now, f)
	if reason := n.selector.Check(n.s.now, n.s.now-contactAt); reason != relay.Continue {
		n.s.measurements.staleParents++
		n.abandon(c, reason)
		return
	}
	before := n.hub.Index()
	current, ok := n.hub.Receive(f, func() { n.freshAt = max(n.freshAt, contactAt) })
	after := n.hub.Index()
	if after < before {
		n.s.violation("%s went back from update %d to %d", n.name, before, after)
	}
	if after > before {
		n.s.measurements.updatesReceived(n.s.now, before, after)
		n.s.measurements.depth = max(n.s.measurements.depth, int(n.hub.Depth()))
	}
	if current || after > before {
		n.feed()
	}
	if !ok || n.selector.ShouldMove(n.s.now, n.candidates()) || c.subscription.NeedsRenewal(n.s.now, f) {
		n.abandon(c, relay.Renew)
	}
}

// upkeep is the periodic work: it sweeps the local servers, shares the retry slack, and
// keeps the registry in line.
func (n *node) upkeep(incarnation uint64) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	_, v := n.admission.Sweep(n.s.now)
	n.deliver(v)
	nodes := len(n.group.Members()) - len(n.s.members)
	n.table.SetRetrySlack(n.shares.Share(n.s.now-n.startedAt, nodes))
	if n.server != nil && !n.registering {
		n.register()
	}
	n.s.after(upkeepInterval, func() { n.upkeep(incarnation) })
}

func (n *node) register() {
	m := localserver.Machine{Node: n.name, Address: n.name, Zone: n.zone}
	changes, _ := n.hub.State(n.registered.Index())
	n.registered.Apply(changes)
	todo := localserver.Difference(m, n.admission.Servers(), n.registered.Servers(), n.s.now-n.startedAt < ms(2*n.s.scenario.HeartbeatMs))
	if len(todo) == 0 {
		return
	}
	n.registering = true
	n.s.callLeader(&n.machine, proto.Size(todo[0]), func(c *quorumMember, answer func(error)) { c.propose(todo[0], answer) }, func(error) {
		n.registering = false
	})
}

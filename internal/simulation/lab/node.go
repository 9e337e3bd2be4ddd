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
	errLost  = errors.New("another entry took its place")
	errYoung = errors.New("the core has too few members yet")
)

const (
	upkeepEvery    = 500 * time.Millisecond
	readinessPause = 100 * time.Millisecond
	readinessCheck = 20 * time.Millisecond
	answerMargin   = 15 * time.Millisecond
	headBytes      = 300 // of a request or an answer without its body
)

// node is a sidecar machine.
type node struct {
	machine
	peerView
	place     relay.ParentCache
	selector  relay.Selector
	parent    *child // as the parent has it
	heardAt   time.Duration
	freshAt   time.Duration
	readiness relay.Readiness

	table     *router.Table
	admission *localserver.Registry[*ticket]
	shares    budget.Shares
	server    *server
	began     time.Duration
	cluster   router.ClusterStateBuilder
	listed    catalog.NodeServers
	members   uint64 // the version of them that the table has been told
	proposes  bool
	ready     bool   // it takes clients: its state is as new as what had been acknowledged when it started
	owed      uint64 // the revision that had been
}

func (n *node) start() {
	s := n.s
	s.lives++
	n.incarnation, n.up, n.powered, n.began = s.lives, true, true, s.now
	n.place = relay.ParentCache{Self: n.name, Zone: n.zone}
	n.selector, n.parent, n.freshAt, n.proposes = relay.Selector{}, nil, -time.Hour, false
	n.cluster, n.listed, n.members = router.ClusterStateBuilder{}, catalog.NodeServers{Node: n.name}, 0
	n.hub = relay.NewHub(func() time.Duration { return s.now - n.freshAt })
	n.table = router.NewTable(router.Options{Node: n.name, Zone: n.zone, RetryRatio: s.w.Retry.Ratio, RetryWindow: sec(s.w.Retry.WindowS), Seed: s.rng.Uint64()})
	n.admission = localserver.New[*ticket](ms(s.w.DrainMs), ms(s.w.BeatMs))
	n.shares = budget.Shares{Slack: s.w.Retry.Slack, Window: sec(s.w.Retry.WindowS), Known: s.now == 0}
	n.peerView.start(s, &n.machine)
	n.ready, n.owed = false, s.acked
	incarnation := n.incarnation
	n.startReadiness(incarnation)
	s.after(time.Duration(s.rng.Int64N(int64(upkeepEvery))), func() { n.upkeep(incarnation) })
	s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { n.follow(incarnation) })
}

// startReadiness lets the node serve once its state may be served by: see relay.Readiness.
func (n *node) startReadiness(incarnation uint64) {
	n.readiness = relay.Readiness{}
	n.askLatest(incarnation)
	n.checkReadiness(incarnation)
}

// askLatest asks the leader how far the updates have come, until it has an answer.
func (n *node) askLatest(incarnation uint64) {
	s := n.s
	if !n.up || n.incarnation != incarnation || n.ready {
		return
	}
	var latest uint64
	s.atLeader(&n.machine, rpcBytes, func(c *core, answer func(error)) {
		c.read(func(ok bool) {
			if !ok {
				answer(errLost)
				return
			}
			latest = c.catalog.Index()
			answer(nil)
		})
	}, func(err error) {
		switch {
		case err != nil:
			s.after(readinessPause, func() { n.askLatest(incarnation) })
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
	proof := n.readiness.Check(s.now-n.began, s.now-n.freshAt, n.hub.Index())
	if proof == relay.NoProof {
		s.after(readinessCheck, func() { n.checkReadiness(incarnation) })
		return
	}
	n.ready = true
	if c := n.hub.Config(); proof != relay.Unconfirmed && n.owed > 0 && (c == nil || c.Revision < n.owed) {
		s.broken("%s is ready without revision %d, which was acknowledged before its start (proof: %s)", n.name, n.owed, proof)
	}
}

func (n *node) stop(power bool) {
	if n.up {
		n.s.down(&n.machine, power)
		if n.server != nil {
			n.server.orphan()
		}
	}
}

// parents are whom the node may follow.
func (n *node) parents() []string {
	if list := n.place.Parents(n.group.Version(), n.group.Members); len(list) > 0 {
		return list
	}
	return n.s.seeds
}

// follow subscribes to a parent, unless there is one.
func (n *node) follow(incarnation uint64) {
	if !n.up || n.incarnation != incarnation || n.parent != nil {
		return
	}
	addr, wait := n.selector.Next(n.s.now, n.parents())
	if addr == "" {
		n.s.after(wait, func() { n.follow(incarnation) })
		return
	}
	c := &child{node: n, incarnation: incarnation, have: n.hub.Index(), subscription: relay.Subscription{RequestedAt: n.s.now}}
	n.parent, n.heardAt = c, n.s.now
	to := n.s.views[addr]
	n.s.call(&n.machine, to.m, rpcBytes, relay.FeedTimeout, func(answer func(int, func())) {
		if to.fed() >= relay.MaxChildren {
			answer(rpcBytes, func() { n.abandon(c, relay.Failed) })
			return
		}
		c.subscribedAt = n.s.now
		to.children = append(to.children, c)
		answer(rpcBytes, func() {})
		to.feedOne(c)
	}, func(bool) { n.abandon(c, relay.Failed) })
	n.watch(c)
}

// watch gives a parent up that is silent.
func (n *node) watch(c *child) {
	if n.parent != c {
		return
	}
	if n.s.now-n.heardAt >= relay.FeedTimeout {
		n.abandon(c, relay.Failed)
		return
	}
	n.s.at(n.heardAt+relay.FeedTimeout, func() { n.watch(c) })
}

// abandon leaves a parent, and looks for another.
func (n *node) abandon(c *child, why relay.EndReason) {
	if n.up && n.incarnation == c.incarnation && n.parent == c {
		n.parent.gone, n.parent = true, nil
		n.selector.Ended(n.s.now, why)
		n.follow(n.incarnation)
	}
}

// hear takes updates from a parent.
func (n *node) hear(c *child, f *wire.Feed) {
	if n.parent != c {
		return
	}
	n.heardAt = n.s.now
	contactAt := c.subscription.ContactAt(n.s.now, f)
	if why := n.selector.Check(n.s.now, n.s.now-contactAt); why != relay.Continue {
		n.s.m.outOfTouch++
		n.abandon(c, why)
		return
	}
	before := n.hub.Index()
	current, ok := n.hub.Receive(f, func() { n.freshAt = max(n.freshAt, contactAt) })
	after := n.hub.Index()
	if after < before {
		n.s.broken("%s went back from update %d to %d", n.name, before, after)
	}
	if after > before {
		n.s.m.heard(n.s.now, before, after)
		n.s.m.depth = max(n.s.m.depth, int(n.hub.Depth()))
	}
	if current || after > before {
		n.feed()
	}
	if !ok || n.selector.ShouldMove(n.s.now, n.parents()) || c.subscription.NeedsRenewal(n.s.now, f) {
		n.abandon(c, relay.Renew)
	}
}

// upkeep sweeps, splits the slack, and keeps the core's list in line.
func (n *node) upkeep(incarnation uint64) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	_, v := n.admission.Sweep(n.s.now)
	n.deliver(v)
	nodes := len(n.group.Members()) - len(n.s.cores)
	n.table.SetRetrySlack(n.shares.Share(n.s.now-n.began, nodes))
	if n.server != nil && !n.proposes {
		n.register()
	}
	n.s.after(upkeepEvery, func() { n.upkeep(incarnation) })
}

func (n *node) register() {
	m := localserver.Machine{Node: n.name, Address: n.name, Zone: n.zone}
	changes, _ := n.hub.State(n.listed.Index())
	n.listed.Apply(changes)
	todo := localserver.Difference(m, n.admission.Servers(), n.listed.Servers(), n.s.now-n.began < ms(2*n.s.w.BeatMs))
	if len(todo) == 0 {
		return
	}
	n.proposes = true
	n.s.atLeader(&n.machine, proto.Size(todo[0]), func(c *core, answer func(error)) { c.propose(todo[0], answer) }, func(error) {
		n.proposes = false
	})
}

package lab

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/decide"
	"ivydeck/internal/budget"
	"ivydeck/internal/catalog"
	"ivydeck/internal/entry"
	"ivydeck/internal/health"
	"ivydeck/internal/localserver"
	"ivydeck/internal/meshconfig"
	"ivydeck/internal/relay"
	"ivydeck/internal/wire"
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
	place     relay.Place
	selector  relay.Selector
	parent    *child // as the parent has it
	heardAt   time.Duration
	freshAt   time.Duration
	readiness relay.Readiness

	table     *entry.Table
	admission *localserver.Admission[*ticket]
	shares    budget.Shares
	server    *server
	began     time.Duration
	cluster   entry.ClusterStateBuilder
	listed    catalog.Local
	members   uint64 // the version of them that the table has been told
	proposes  bool
	ready     bool   // it takes clients: its state is as new as what had been acknowledged when it started
	owed      uint64 // the revision that had been
}

// ticket is a request that waits for a slot at a server.
type ticket struct{ verdict func(bool) }

func (n *node) start() {
	s := n.s
	s.lives++
	n.incarnation, n.up, n.powered, n.began = s.lives, true, true, s.now
	n.place = relay.Place{Self: n.name, Zone: n.zone}
	n.selector, n.parent, n.freshAt, n.proposes = relay.Selector{}, nil, -time.Hour, false
	n.cluster, n.listed, n.members = entry.ClusterStateBuilder{}, catalog.Local{Node: n.name}, 0
	n.hub = relay.NewHub(func() time.Duration { return s.now - n.freshAt })
	n.table = entry.NewTable(entry.Options{Node: n.name, Zone: n.zone, Ratio: s.w.Retry.Ratio, Window: sec(s.w.Retry.WindowS), Seed: s.rng.Uint64()})
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
	c := &child{node: n, incarnation: incarnation, have: n.hub.Index(), subscription: relay.Subscription{AskedAt: n.s.now}}
	n.parent, n.heardAt = c, n.s.now
	to := n.s.views[addr]
	n.s.call(&n.machine, to.m, rpcBytes, relay.Silence, func(answer func(int, func())) {
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
	if n.s.now-n.heardAt >= relay.Silence {
		n.abandon(c, relay.Failed)
		return
	}
	n.s.at(n.heardAt+relay.Silence, func() { n.watch(c) })
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
	if !ok || n.selector.ShouldMove(n.s.now, n.parents()) || c.subscription.Outdated(n.s.now, f) {
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
	n.table.Share(n.shares.Part(n.s.now-n.began, nodes))
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

func (n *node) deliver(verdicts []localserver.Verdict[*ticket]) {
	for _, v := range verdicts {
		v.Ticket.verdict(v.Go)
	}
}

// refresh brings the table up to what the node has been told. The real node does so
// at once; here it is put off until somebody asks.
func (n *node) refresh() bool {
	members := n.group.Version()
	if members != n.members {
		n.cluster.Members(n.group.Members(), func(name string) bool { return n.group.Gone(n.s.now, name) > 0 })
	}
	if n.hub.Index() != n.cluster.Index() || members != n.members {
		n.members = members
		n.cluster.Apply(n.hub.State(n.cluster.Index()))
		n.table.Update(n.s.now, n.cluster.ClusterState())
	}
	return n.table.ClusterState().Config != nil
}

// handle gives one request its final answer; the answer's After is positive where
// it promises that the request has not run.
func (n *node) handle(t *try, done func(f entry.Final)) {
	s := n.s
	if !n.refresh() {
		done(entry.Final{Status: 503, Why: "no configuration", After: 500 * time.Millisecond})
		return
	}
	var route *meshconfig.Route
	if route = n.table.ClusterState().Config.Find(host, "/"+t.req.route.Name+"/"); route == nil {
		done(entry.Final{Status: 404, Why: "no route"})
		return
	}
	e := entry.Entrant{Route: route, Service: n.table.Choose(route), Arrived: s.now}
	e.Until = s.now + min(route.Timeout(), t.until-s.now) - answerMargin
	e.Inner, e.Again = n.admission.Graph(t.id, e.Service)
	s.m.entered(s.now, e.Service)
	if e.Again {
		s.m.repeated(s.now, e.Service)
	}
	r, refused := n.table.Enter(s.now, e)
	if refused != nil {
		done(*refused)
		return
	}
	incarnation := n.incarnation
	over := false
	end := func(f entry.Final) {
		over = true
		r.Leave(s.now)
		if e.Inner && f.Status >= 400 {
			n.admission.CallFailed(t.id)
		}
		done(f)
	}
	open := 0
	var step func()
	try := func(next entry.Step) {
		open++
		n.attempt(t, r, next, func(out *wire.Outcome, result decide.Result) {
			open--
			if over {
				r.Late(s.now, next.Server, out, result)
				return
			}
			final, pass := r.Done(s.now, next.Server, out, result)
			switch {
			case final != nil:
				end(*final)
			case pass:
				end(entry.Final{Status: int(out.Status)})
			case open == 0:
				step()
			}
		})
	}
	step = func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		switch next := r.Next(s.now); {
		case next.Final != nil:
			end(*next.Final)
		case next.Server == "":
			s.after(next.Wait, step)
		default:
			try(next)
			if after := r.HedgeAfter(); after > 0 {
				s.after(after, func() {
					if !over && open == 1 && n.up && n.incarnation == incarnation {
						if next, ok := r.Hedge(s.now); ok {
							try(next)
						}
					}
				})
			}
		}
	}
	step()
}

// attempt asks the node beside a server.
func (n *node) attempt(t *try, r *entry.Request, step entry.Step, done func(*wire.Outcome, decide.Result)) {
	id := step.Server
	s := n.s
	listed, _ := n.table.ClusterState().Servers.Get(id)
	if listed == nil {
		done(&wire.Outcome{Fate: wire.Outcome_UNSENT, Gone: true}, decide.NotSent)
		return
	}
	to := s.nodes[s.index[listed.Node]]
	ask := localserver.Ask{Member: id, Service: r.Service, Attempt: t.id, Priority: r.Rank, Repeat: step.Repeat, Wait: step.Queue,
		Call: health.Call{Zone: n.zone, Usual: step.Usual, Once: r.Once(), Insist: step.Insist}}
	until := r.Until
	tries := r.Tries()
	s.call(&n.machine, &to.machine, headBytes, max(0, until-s.now), func(answer func(int, func())) {
		to.forward(t, ask, until, tries, func(out *wire.Outcome) {
			answer(headBytes, func() { done(out, entry.Result(out)) })
		})
	}, func(sent bool) {
		switch {
		case !sent:
			done(&wire.Outcome{Fate: wire.Outcome_UNSENT}, decide.Unconnected)
		case s.now >= until:
			done(&wire.Outcome{Fate: wire.Outcome_LATE}, decide.TimedOut)
		default:
			done(&wire.Outcome{Fate: wire.Outcome_BROKEN}, decide.Broken)
		}
	})
}

// forward passes a request to the server here, or turns it away.
func (n *node) forward(t *try, ask localserver.Ask, until time.Duration, tries int, done func(*wire.Outcome)) {
	s, incarnation := n.s, n.incarnation
	unsent := func(gone, waiting bool) { done(&wire.Outcome{Fate: wire.Outcome_UNSENT, Gone: gone, Waiting: waiting}) }
	begin := func() {
		if n.server == nil || n.server.id != ask.Member || !n.server.up {
			f := n.admission.Finish(s.now, ask.Member, ask.Attempt, health.Broken)
			n.deliver(f.Verdicts)
			unsent(false, f.Waiting)
			return
		}
		began := s.now
		n.server.run(t, ask, until, tries, func(status int32, fate wire.Outcome_Fate) {
			if !n.up || n.incarnation != incarnation {
				return
			}
			out := &wire.Outcome{Fate: fate, Status: status, TookMs: uint32((s.now - began).Milliseconds())}
			f := n.admission.Finish(s.now, ask.Member, ask.Attempt, localserver.EndOf(out))
			n.deliver(f.Verdicts)
			out.Waiting, out.Pace, out.Fill = f.Waiting, float32(f.Pace), float32(f.Fill)
			for _, c := range f.Called {
				out.Called = append(out.Called, &wire.Called{Service: c.Service, Times: c.Times, Pressure: n.table.Pressure(s.now, c.Service)})
			}
			done(out)
		})
	}
	tk := &ticket{}
	over := false
	tk.verdict = func(pass bool) {
		over = true
		// The verdict comes out of the station: what follows is a moment of its own.
		s.after(0, func() {
			switch {
			case !n.up || n.incarnation != incarnation:
			case pass:
				n.admission.Run(s.now, ask)
				begin()
			default:
				unsent(false, false)
			}
		})
	}
	place, _, v := n.admission.Arrive(s.now, ask, tk)
	n.deliver(v)
	switch place {
	case localserver.Slot:
		begin()
	case localserver.Queue:
		s.at(until-5*time.Millisecond, func() {
			if !over && n.up && n.incarnation == incarnation && n.admission.Leave(ask.Member, tk) {
				over = true
				unsent(false, true)
			}
		})
	default:
		done(&wire.Outcome{
			Fate: wire.Outcome_UNSENT, Gone: place == localserver.Gone, Unhealthy: place == localserver.Unhealthy, Waiting: place == localserver.Full,
		})
	}
}

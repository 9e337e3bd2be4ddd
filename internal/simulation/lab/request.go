package lab

import (
	"time"

	"ivydeck/decide"
	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/dataplane/health"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/transport/wire"
)

// ticket is a request that waits for a slot at a server.
type ticket struct{ verdict func(bool) }

func (n *node) deliver(verdicts []localserver.SlotGrant[*ticket]) {
	for _, v := range verdicts {
		v.Ticket.verdict(v.Go)
	}
}

// refresh brings the table up to what the node has been told. The real node does so
// at once; here it is put off until somebody asks.
func (n *node) refresh() bool {
	members := n.group.Version()
	if members != n.members {
		n.cluster.SetMembers(n.group.Members(), func(name string) bool { return n.group.DeadFor(n.s.now, name) > 0 })
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
func (n *node) handle(t *try, done func(f router.Response)) {
	s := n.s
	if !n.refresh() {
		done(router.Response{Status: 503, Reason: "no configuration", RetryAfter: 500 * time.Millisecond})
		return
	}
	var route *meshconfig.Route
	if route = n.table.ClusterState().Config.Find(host, "/"+t.req.route.Name+"/"); route == nil {
		done(router.Response{Status: 404, Reason: "no route"})
		return
	}
	e := router.Arrival{Route: route, Service: n.table.ChooseService(route), At: s.now}
	e.Deadline = s.now + min(route.Timeout(), t.until-s.now) - answerMargin
	e.Inner, e.OfRetry = n.admission.Graph(t.id, e.Service)
	s.m.entered(s.now, e.Service)
	if e.OfRetry {
		s.m.repeated(s.now, e.Service)
	}
	r, refused := n.table.Admit(s.now, e)
	if refused != nil {
		done(*refused)
		return
	}
	incarnation := n.incarnation
	over := false
	end := func(f router.Response) {
		over = true
		r.End(s.now)
		if e.Inner && f.Status >= 400 {
			n.admission.CallFailed(t.id)
		}
		done(f)
	}
	open := 0
	var step func()
	try := func(next router.Action) {
		open++
		n.attempt(t, r, next, func(out *wire.ForwardResponse, result decide.Result) {
			open--
			if over {
				r.HandleLateOutcome(s.now, next.Server, out, result)
				return
			}
			final, pass := r.HandleOutcome(s.now, next.Server, out, result)
			switch {
			case final != nil:
				end(*final)
			case pass:
				end(router.Response{Status: int(out.Status)})
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
		case next.Response != nil:
			end(*next.Response)
		case next.Server == "":
			s.after(next.Wait, step)
		default:
			try(next)
			if after := r.HedgeDelay(); after > 0 {
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
func (n *node) attempt(t *try, r *router.Request, step router.Action, done func(*wire.ForwardResponse, decide.Result)) {
	id := step.Server
	s := n.s
	listed, _ := n.table.ClusterState().Servers.Get(id)
	if listed == nil {
		done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: true}, decide.NotSent)
		return
	}
	to := s.nodes[s.index[listed.Node]]
	ask := localserver.Request{Member: id, Service: r.Service, Attempt: t.id, Priority: r.Priority, Repeat: step.Retry, Wait: step.MayQueue,
		Call: health.Call{Zone: n.zone, TypicalLatency: step.TypicalLatency, NonIdempotent: r.NonIdempotent(), IgnoreEjection: step.IgnoreEjection}}
	until := r.Deadline
	tries := r.Attempts()
	s.call(&n.machine, &to.machine, headBytes, max(0, until-s.now), func(answer func(int, func())) {
		to.forward(t, ask, until, tries, func(out *wire.ForwardResponse) {
			answer(headBytes, func() { done(out, router.Result(out)) })
		})
	}, func(sent bool) {
		switch {
		case !sent:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT}, decide.Unconnected)
		case s.now >= until:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED}, decide.TimedOut)
		default:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN}, decide.Broken)
		}
	})
}

// forward passes a request to the server here, or turns it away.
func (n *node) forward(t *try, ask localserver.Request, until time.Duration, tries int, done func(*wire.ForwardResponse)) {
	s, incarnation := n.s, n.incarnation
	unsent := func(gone, waiting bool) {
		done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: gone, Queued: waiting})
	}
	begin := func() {
		if n.server == nil || n.server.id != ask.Member || !n.server.up {
			f := n.admission.Finish(s.now, ask.Member, ask.Attempt, health.Broken)
			n.deliver(f.Verdicts)
			unsent(false, f.Queued)
			return
		}
		began := s.now
		n.server.run(t, ask, until, tries, func(status int32, fate wire.ForwardResponse_Result) {
			if !n.up || n.incarnation != incarnation {
				return
			}
			out := &wire.ForwardResponse{Result: fate, Status: status, TookMs: uint32((s.now - began).Milliseconds())}
			f := n.admission.Finish(s.now, ask.Member, ask.Attempt, localserver.ResultOf(out))
			n.deliver(f.Verdicts)
			out.Queued, out.RelativeLatency, out.Utilization = f.Queued, float32(f.RelativeLatency), float32(f.Utilization)
			for _, c := range f.Called {
				out.Calls = append(out.Calls, &wire.CallCount{Service: c.Service, Count: c.Times, Pressure: n.table.Pressure(s.now, c.Service)})
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
			if !over && n.up && n.incarnation == incarnation && n.admission.Dequeue(ask.Member, tk) {
				over = true
				unsent(false, true)
			}
		})
	default:
		done(&wire.ForwardResponse{
			Result: wire.ForwardResponse_NOT_SENT, Terminated: place == localserver.Terminated, Unhealthy: place == localserver.Unhealthy, Queued: place == localserver.Full,
		})
	}
}

package lab

import (
	"time"

	"ivydeck/decide"
	"ivydeck/internal/dataplane/health"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/transport/wire"
)

// rejectedRetryAfter is what a node without a configuration advises.
const rejectedRetryAfter = 500 * time.Millisecond

// ticket is a request that waits for a slot at a server.
type ticket struct{ granted func(bool) }

// deliver tells waiting requests whether they have a slot.
func (n *node) deliver(grants []localserver.SlotGrant[*ticket]) {
	for _, grant := range grants {
		grant.Ticket.granted(grant.Granted)
	}
}

// refresh brings the routing table up to date, and reports whether there is a
// configuration. The real node does so at each update; here it waits for a request.
func (n *node) refresh() bool {
	members := n.group.Version()
	if members != n.membersVersion {
		n.cluster.SetMembers(n.group.Members(), func(name string) bool { return n.group.DeadFor(n.s.now, name) > 0 })
	}
	if n.hub.Index() != n.cluster.Index() || members != n.membersVersion {
		n.membersVersion = members
		n.cluster.Apply(n.hub.State(n.cluster.Index()))
		n.table.Update(n.s.now, n.cluster.ClusterState())
	}
	return n.table.ClusterState().Config != nil
}

// exchange is a request at the node that took it from a client or a local server.
type exchange struct {
	node        *node
	incarnation uint64 // of the node
	attempt     *attempt
	routed      *router.Request
	inner       bool // it is a call made by a local server
	over        bool
	inFlight    int // attempts at servers
	done        func(router.Response)
}

// handle routes one request and calls done with its response, of which RetryAfter is
// positive if it promises that the request has not run.
func (n *node) handle(t *attempt, done func(router.Response)) {
	s := n.s
	if !n.refresh() {
		done(router.Response{Status: 503, Reason: "no configuration", RetryAfter: rejectedRetryAfter})
		return
	}
	route := n.table.ClusterState().Config.Find(host, "/"+t.request.route.Name+"/")
	if route == nil {
		done(router.Response{Status: 404, Reason: "no route"})
		return
	}
	arrival := router.Arrival{Route: route, Service: n.table.ChooseService(route), At: s.now}
	arrival.Deadline = s.now + min(route.Timeout(), t.deadline-s.now) - deadlineMargin
	arrival.Inner, arrival.OfRetry = n.admission.Graph(t.id, arrival.Service)
	s.measurements.requestEntered(s.now, arrival.Service)
	if arrival.OfRetry {
		s.measurements.requestRetried(s.now, arrival.Service)
	}
	routed, refused := n.table.Admit(s.now, arrival)
	if refused != nil {
		done(*refused)
		return
	}
	x := &exchange{node: n, incarnation: n.incarnation, attempt: t, routed: routed, inner: arrival.Inner, done: done}
	x.next()
}

// alive reports whether the node's process is still the one that took the request.
func (x *exchange) alive() bool { return x.node.up && x.node.incarnation == x.incarnation }

// next takes the router's next action.
func (x *exchange) next() {
	if !x.alive() {
		return
	}
	s := x.node.s
	switch action := x.routed.Next(s.now); {
	case action.Response != nil:
		x.end(*action.Response)
	case action.Server == "":
		s.after(action.Wait, x.next)
	default:
		x.send(action)
		if delay := x.routed.HedgeDelay(); delay > 0 {
			s.after(delay, x.hedge)
		}
	}
}

// hedge sends a second attempt if the first has had no response.
func (x *exchange) hedge() {
	if x.over || x.inFlight != 1 || !x.alive() {
		return
	}
	if action, ok := x.routed.Hedge(x.node.s.now); ok {
		x.send(action)
	}
}

// send makes an attempt at a server.
func (x *exchange) send(action router.Action) {
	s := x.node.s
	x.inFlight++
	x.node.attempt(x.attempt, x.routed, action, func(response *wire.ForwardResponse, result decide.Result) {
		x.inFlight--
		if x.over {
			x.routed.HandleLateOutcome(s.now, action.Server, response, result)
			return
		}
		answer, forward := x.routed.HandleOutcome(s.now, action.Server, response, result)
		switch {
		case answer != nil:
			x.end(*answer)
		case forward:
			x.end(router.Response{Status: int(response.Status)})
		case x.inFlight == 0:
			x.next()
		}
	})
}

// end ends the exchange with a response.
func (x *exchange) end(response router.Response) {
	x.over = true
	x.routed.End(x.node.s.now)
	if x.inner && response.Status >= 400 {
		x.node.admission.CallFailed(x.attempt.id)
	}
	x.done(response)
}

// attempt sends a request to the node beside a server.
func (n *node) attempt(t *attempt, r *router.Request, action router.Action, done func(*wire.ForwardResponse, decide.Result)) {
	s := n.s
	server, _ := n.table.ClusterState().Servers.Get(action.Server)
	if server == nil {
		done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: true}, decide.NotSent)
		return
	}
	to := s.nodes[s.index[server.Node]]
	request := localserver.Request{
		Member: action.Server, Service: r.Service, Attempt: t.id, Priority: r.Priority, Repeat: action.Retry, Wait: action.MayQueue,
		Call: health.Call{Zone: n.zone, TypicalLatency: action.TypicalLatency, NonIdempotent: r.NonIdempotent(), IgnoreEjection: action.IgnoreEjection},
	}
	deadline := r.Deadline
	retries := r.Attempts()
	s.call(&n.machine, &to.machine, headerBytes, max(0, deadline-s.now), func(answer func(int, func())) {
		to.forward(t, request, deadline, retries, func(response *wire.ForwardResponse) {
			answer(headerBytes, func() { done(response, router.Result(response)) })
		})
	}, func(sent bool) {
		switch {
		case !sent:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT}, decide.Unconnected)
		case s.now >= deadline:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED}, decide.TimedOut)
		default:
			done(&wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN}, decide.Broken)
		}
	})
}

// queueMargin is how long before its deadline a request leaves a server's queue.
const queueMargin = 5 * time.Millisecond

// forwarded is a request at the node beside its server.
type forwarded struct {
	node        *node
	incarnation uint64 // of the node
	attempt     *attempt
	request     localserver.Request
	deadline    time.Duration
	retries     int // attempts before this one
	decided     bool
	done        func(*wire.ForwardResponse)
}

// forward passes a request to the server beside this node, queues it or rejects it.
func (n *node) forward(t *attempt, request localserver.Request, deadline time.Duration, retries int, done func(*wire.ForwardResponse)) {
	s := n.s
	f := &forwarded{node: n, incarnation: n.incarnation, attempt: t, request: request, deadline: deadline, retries: retries, done: done}
	waiting := &ticket{granted: f.slotDecided}
	admission, _, grants := n.admission.Arrive(s.now, request, waiting)
	n.deliver(grants)
	switch admission {
	case localserver.Slot:
		f.run()
	case localserver.Queue:
		s.at(deadline-queueMargin, func() {
			if !f.decided && f.alive() && n.admission.Dequeue(request.Member, waiting) {
				f.decided = true
				f.reject(true)
			}
		})
	default:
		done(&wire.ForwardResponse{
			Result:     wire.ForwardResponse_NOT_SENT,
			Terminated: admission == localserver.Terminated,
			Unhealthy:  admission == localserver.Unhealthy,
			Queued:     admission == localserver.Full,
		})
	}
}

func (f *forwarded) alive() bool { return f.node.up && f.node.incarnation == f.incarnation }

// slotDecided takes the end of the time in the queue. It runs the request in an event
// of its own: the registry is not to be called while it hands out slots.
func (f *forwarded) slotDecided(granted bool) {
	f.decided = true
	s := f.node.s
	s.after(0, func() {
		switch {
		case !f.alive():
		case granted:
			f.node.admission.Run(s.now, f.request)
			f.run()
		default:
			f.reject(false)
		}
	})
}

// reject answers that the request was not sent to the server.
func (f *forwarded) reject(queued bool) {
	f.done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Queued: queued})
}

// run gives the request to the server.
func (f *forwarded) run() {
	n, s := f.node, f.node.s
	if n.server == nil || n.server.id != f.request.Member || !n.server.up {
		finished := n.admission.Finish(s.now, f.request.Member, f.request.Attempt, health.Broken)
		n.deliver(finished.Verdicts)
		f.reject(finished.Queued)
		return
	}
	began := s.now
	n.server.handle(f.attempt, f.request, f.deadline, f.retries, func(status int32, result wire.ForwardResponse_Result) {
		if f.alive() {
			f.finish(&wire.ForwardResponse{Result: result, Status: status, TookMs: uint32((s.now - began).Milliseconds())})
		}
	})
}

// finish takes the server's response, and adds the load that the node has measured.
func (f *forwarded) finish(response *wire.ForwardResponse) {
	n, s := f.node, f.node.s
	finished := n.admission.Finish(s.now, f.request.Member, f.request.Attempt, localserver.ResultOf(response))
	n.deliver(finished.Verdicts)
	response.Queued = finished.Queued
	response.RelativeLatency, response.Utilization = float32(finished.RelativeLatency), float32(finished.Utilization)
	for _, c := range finished.Called {
		response.Calls = append(response.Calls, &wire.CallCount{Service: c.Service, Count: c.Times, Pressure: n.table.Pressure(s.now, c.Service)})
	}
	f.done(response)
}

package lab

import (
	"time"

	"ivydeck/decide"
	"ivydeck/internal/dataplane/health"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/transport/wire"
)

// rejectedRetryAfter is the retry delay in responses of a node without a configuration.
const rejectedRetryAfter = 500 * time.Millisecond

// ticket is a request that waits for a slot at a server. onDecision is called with true
// if it gets one, and with false if it is rejected.
type ticket struct{ onDecision func(bool) }

// deliverGrants calls the onDecision functions of waiting requests.
func (n *node) deliverGrants(grants []localserver.SlotGrant[*ticket]) {
	for _, grant := range grants {
		grant.Ticket.onDecision(grant.Granted)
	}
}

// refreshTable updates the routing table and reports whether there is a configuration.
// The real node does so at each update, the simulated one at each request.
func (n *node) refreshTable() bool {
	version := n.memberlist.Version()
	if version != n.membersVersion {
		n.cluster.SetMembers(n.memberlist.Members(), func(name string) bool { return n.memberlist.DeadFor(n.sim.now, name) > 0 })
	}
	if n.hub.Index() != n.cluster.Index() || version != n.membersVersion {
		n.membersVersion = version
		n.cluster.Apply(n.hub.State(n.cluster.Index()))
		n.table.Update(n.sim.now, n.cluster.ClusterState())
	}
	return n.table.ClusterState().Config != nil
}

// exchange is a request at the node that received it from a client or a local server.
type exchange struct {
	node        *node
	incarnation uint64 // incarnation of the node that received the request
	attempt     *attempt
	routed      *router.Request
	inner       bool // a call made by a local server
	ended       bool
	inFlight    int // attempts at servers that have no outcome yet
	done        func(router.Response)
}

// handle routes one request and calls done with its response. A positive RetryAfter in
// the response states that the request did not run.
func (n *node) handle(t *attempt, done func(router.Response)) {
	s := n.sim
	if !n.refreshTable() {
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
	arrival.Inner, arrival.OfRetry = n.admission.RecordCall(t.id, arrival.Service)
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

// alive reports whether the node's process that received the request is still running.
func (x *exchange) alive() bool { return x.node.up && x.node.incarnation == x.incarnation }

// next executes the router's next action.
func (x *exchange) next() {
	if !x.alive() {
		return
	}
	s := x.node.sim
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

// hedge sends a second attempt if the first has no response yet.
func (x *exchange) hedge() {
	if x.ended || x.inFlight != 1 || !x.alive() {
		return
	}
	if action, ok := x.routed.Hedge(x.node.sim.now); ok {
		x.send(action)
	}
}

// send sends an attempt to a server and handles its outcome.
func (x *exchange) send(action router.Action) {
	s := x.node.sim
	x.inFlight++
	x.node.sendAttempt(x.attempt, x.routed, action, func(response *wire.ForwardResponse, result decide.Result) {
		x.inFlight--
		if x.ended {
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
	x.ended = true
	x.routed.End(x.node.sim.now)
	if x.inner && response.Status >= 400 {
		x.node.admission.CallFailed(x.attempt.id)
	}
	x.done(response)
}

// sendAttempt sends a request to the node of the chosen server, and calls done with the
// node's response and the result of the attempt.
func (n *node) sendAttempt(t *attempt, routed *router.Request, action router.Action, done func(*wire.ForwardResponse, decide.Result)) {
	s := n.sim
	registered, _ := n.table.ClusterState().Servers.Get(action.Server)
	if registered == nil {
		done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: true}, decide.NotSent)
		return
	}
	to := s.nodes[s.nodeIndexes[registered.Node]]
	request := localserver.Request{
		Member: action.Server, Service: routed.Service, Attempt: t.id, Priority: routed.Priority, Retry: action.Retry, MayQueue: action.MayQueue,
		Call: health.Call{Zone: n.zone, TypicalLatency: action.TypicalLatency, NonIdempotent: routed.NonIdempotent(), IgnoreEjection: action.IgnoreEjection},
	}
	deadline := routed.Deadline
	retries := routed.Attempts()
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

// queueMargin is the time before a request's deadline at which it is removed from a
// server's queue.
const queueMargin = 5 * time.Millisecond

// forwardedRequest is a request at the node of the chosen server.
type forwardedRequest struct {
	node        *node
	incarnation uint64 // incarnation of the node that received the request
	attempt     *attempt
	request     localserver.Request
	deadline    time.Duration
	retries     int  // attempts before this one
	decided     bool // the request has left the queue
	done        func(*wire.ForwardResponse)
}

// forward passes a request to the local server, queues it or rejects it.
func (n *node) forward(t *attempt, request localserver.Request, deadline time.Duration, retries int, done func(*wire.ForwardResponse)) {
	s := n.sim
	f := &forwardedRequest{node: n, incarnation: n.incarnation, attempt: t, request: request, deadline: deadline, retries: retries, done: done}
	waiting := &ticket{onDecision: f.handleSlotDecision}
	admission, _, grants := n.admission.Arrive(s.now, request, waiting)
	n.deliverGrants(grants)
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

func (f *forwardedRequest) alive() bool { return f.node.up && f.node.incarnation == f.incarnation }

// handleSlotDecision handles the registry's decision on a queued request. It continues in
// a separate event, because the registry must not be called while it grants slots.
func (f *forwardedRequest) handleSlotDecision(granted bool) {
	f.decided = true
	s := f.node.sim
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

// reject responds that the request was not sent to the server.
func (f *forwardedRequest) reject(queued bool) {
	f.done(&wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Queued: queued})
}

// run passes the request to the server.
func (f *forwardedRequest) run() {
	n, s := f.node, f.node.sim
	if n.server == nil || n.server.id != f.request.Member || !n.server.up {
		finished := n.admission.Finish(s.now, f.request.Member, f.request.Attempt, health.Broken)
		n.deliverGrants(finished.Grants)
		f.reject(finished.Queued)
		return
	}
	startedAt := s.now
	n.server.handle(f.attempt, f.request, f.deadline, f.retries, func(status int32, result wire.ForwardResponse_Result) {
		if f.alive() {
			f.finish(&wire.ForwardResponse{Result: result, Status: status, TookMs: uint32((s.now - startedAt).Milliseconds())})
		}
	})
}

// finish frees the slot and responds with the server's response, to which it adds the
// load that the node measures.
func (f *forwardedRequest) finish(response *wire.ForwardResponse) {
	n, s := f.node, f.node.sim
	finished := n.admission.Finish(s.now, f.request.Member, f.request.Attempt, localserver.OutcomeOf(response))
	n.deliverGrants(finished.Grants)
	response.Queued = finished.Queued
	response.RelativeLatency, response.Utilization = float32(finished.RelativeLatency), float32(finished.Utilization)
	for _, c := range finished.Calls {
		response.Calls = append(response.Calls, &wire.CallCount{Service: c.Service, Count: c.Count, Pressure: n.table.Pressure(s.now, c.Service)})
	}
	f.done(response)
}

package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/decide"
	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// attemptResult is an attempt, with its response if it has ended.
type attemptResult struct {
	server   string
	response *wire.ForwardResponse
	result   decide.Result
}

// serve makes attempts until there is a final answer.
func (o *Outbound) serve(client context.Context, c *Call, cluster *ClusterState, r *router.Request) *Answer {
	for {
		o.mu.Lock()
		action := r.Next(o.now())
		o.mu.Unlock()
		if a := o.perform(client, c, cluster, r, action); a != nil {
			return a
		}
		if client.Err() != nil {
			return textAnswer(504, calledOffText) // the client has left, and reads no answer
		}
	}
}

// perform carries an action out, and returns the final answer if there is one then.
func (o *Outbound) perform(client context.Context, c *Call, cluster *ClusterState, r *router.Request, action router.Action) *Answer {
	switch {
	case action.Response != nil:
		return generatedAnswer(action.Response)
	case action.Server == "":
		timer := timerpool.Get(action.Wait)
		defer timerpool.Put(timer)
		select {
		case <-timer.C:
		case <-client.Done():
		}
		return nil
	case r.NonIdempotent():
		return o.handleOutcome(c, r, o.attempt(client, c, cluster, r, action))
	}
	// An attempt that is in flight at the final answer goes on: its work would be lost, not saved.
	call, t := o.begin(client, context.Background(), c, cluster, r, action)
	if call == nil {
		return o.handleOutcome(c, r, t)
	}
	return o.awaitHedged(client, c, cluster, r, call, t)
}

// awaitHedged waits for an attempt in flight, and hedges it with a second one if it takes far longer than its like. It
// returns the final answer; nil: there is none yet, and no attempt is in flight.
func (o *Outbound) awaitHedged(client context.Context, c *Call, cluster *ClusterState, r *router.Request, call *rpc.Stream, first attemptResult) (answer *Answer) {
	o.mu.Lock()
	hedge := r.HedgeDelay()
	o.mu.Unlock()
	deadline := o.began.Add(r.Deadline)
	wait := time.Until(deadline)
	if hedge > 0 {
		wait = min(wait, hedge)
	}
	timer := timerpool.Get(wait)
	defer timerpool.Put(timer)
	firstReady := call.Ready()          // nil: the first has ended
	var second chan attemptResult       // nil: there is none
	var cancelSecond context.CancelFunc // calls the second off
	for answer == nil && (firstReady != nil || second != nil) {
		firstOver := false // the first's answer, or its time
		select {
		case <-firstReady:
			firstOver = true
		case t := <-second:
			second = nil
			answer = o.handleOutcome(c, r, t)
		case <-client.Done():
			answer = textAnswer(504, calledOffText) // the client has left, and reads no answer
		case <-timer.C:
			if firstOver = time.Until(deadline) <= 0; !firstOver {
				timer.Reset(time.Until(deadline))
			}
			if hedge > 0 && !firstOver {
				hedge = 0 // once
				o.mu.Lock()
				action, ok := r.Hedge(o.now())
				o.mu.Unlock()
				if ok {
					second = make(chan attemptResult, 1)
					cancelSecond = o.startSecond(c, cluster, r, action, second)
				}
			}
		}
		if firstOver && firstReady != nil { // it returns at once
			firstReady = nil
			answer = o.handleOutcome(c, r, o.awaitResponse(context.Background(), c, call, first))
		}
	}
	left := client.Err() != nil
	if firstReady != nil {
		o.abandonFirst(left, c, r, call, first)
	}
	if second != nil {
		if left {
			cancelSecond()
		}
		o.lateAttempts.Go(func() { o.handleLateOutcome(r, <-second) })
	}
	return answer
}

// abandonFirst leaves an attempt behind that is in flight at the final answer. It goes on to its end, as its work would else
// be lost, unless the client has left.
func (o *Outbound) abandonFirst(clientLeft bool, c *Call, r *router.Request, call *rpc.Stream, first attemptResult) {
	if clientLeft {
		call.Close()
		first.response, first.result = noAnswer(), decide.TimedOut
		o.handleLateOutcome(r, first)
		return
	}
	o.lateAttempts.Go(func() { o.handleLateOutcome(r, o.awaitResponse(context.Background(), c, call, first)) })
}

// startSecond starts a second attempt beside the first, and returns what cancels it.
func (o *Outbound) startSecond(c *Call, cluster *ClusterState, r *router.Request, action router.Action, end chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	o.lateAttempts.Go(func() {
		defer cancel()
		end <- o.attempt(ctx, c, cluster, r, action)
	})
	return cancel
}

// handleOutcome takes the end of an attempt, and returns the final answer if that is one.
func (o *Outbound) handleOutcome(c *Call, r *router.Request, t attemptResult) *Answer {
	o.mu.Lock()
	final, forward := r.HandleOutcome(o.now(), t.server, t.response, t.result)
	o.mu.Unlock()
	switch {
	case final != nil:
		return generatedAnswer(final)
	case forward:
		return forwardAnswer(t.response, c.Headers.Get("Attempt-Id"))
	}
	return nil
}

// handleLateOutcome takes the end of an attempt after the final answer.
func (o *Outbound) handleLateOutcome(r *router.Request, t attemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.HandleLateOutcome(o.now(), t.server, t.response, t.result)
}

// attempt sends the request to the node beside a server, and waits for the response.
func (o *Outbound) attempt(ctx context.Context, c *Call, cluster *ClusterState, r *router.Request, action router.Action) attemptResult {
	call, t := o.begin(ctx, ctx, c, cluster, r, action)
	if call == nil {
		return t
	}
	return o.awaitResponse(ctx, c, call, t)
}

var forwards = sync.Pool{New: func() any { return new(wire.ForwardRequest) }}

// begin sends the request to the node beside a server. Without a stream, the attempt has ended. dial is the context of the
// connection, ctx that of the call.
func (o *Outbound) begin(dial, ctx context.Context, c *Call, cluster *ClusterState, r *router.Request, action router.Action) (*rpc.Stream, attemptResult) {
	t := attemptResult{server: action.Server}
	server, _ := cluster.Servers.Get(t.server)
	if server == nil { // the router has a newer list
		server, _ = o.cluster().Servers.Get(t.server)
	}
	if server == nil {
		t.response, t.result = notSent(true, "not listed"), decide.NotSent
		return nil, t
	}
	until := o.began.Add(r.Deadline)
	peer, err := o.Pool.Live(dial, until, server.Address)
	if err == nil {
		request := forwards.Get().(*wire.ForwardRequest)
		fields := messages.Get().(*[]byte)
		request.Member, request.Service, request.Method, request.Target, request.Body, request.Caller = t.server, r.Service, c.Method, c.Target, c.Body, o.Backend
		request.Priority, request.Attempt, request.Retry = r.Priority, c.Headers.Get("Attempt-Id"), action.Retry
		request.TimeLeftMs = uint32(max(1, (r.Deadline - o.now()).Milliseconds()))
		request.Zone, request.NonIdempotent, request.TypicalLatencyMs, request.IgnoreEjection, request.MayQueue = o.Zone, r.NonIdempotent(), uint32(action.TypicalLatency.Milliseconds()), action.IgnoreEjection, action.MayQueue
		request.Fields = http1.AppendEndToEnd((*fields)[:0], c.Headers, "Attempt-Id", "Time-Budget", "Target-Instance", "Caller-Service")
		encoded := request.Fields
		if server.ProtocolVersion < localserver.ProtocolFields {
			request.Headers, request.Fields = headersOf(request.Fields, request.Attempt), nil
		}
		var call *rpc.Stream
		call, err = peer.Begin(ctx, until, "forward", request)
		recycle(fields, encoded)
		proto.Reset(request)
		forwards.Put(request)
		if err == nil {
			return call, t
		}
	}
	if errors.Is(err, rpc.ErrNotSent) { // only the begin of a call can prove that
		t.response, t.result = notSent(false, "%v", err), decide.Unconnected
		return nil, t
	}
	return nil, o.outcomeUnknown(ctx, c, t, err)
}

// awaitResponse waits for the response of an attempt.
func (o *Outbound) awaitResponse(ctx context.Context, c *Call, call *rpc.Stream, t attemptResult) attemptResult {
	response := new(wire.ForwardResponse)
	if err := call.Response(response); err != nil {
		return o.outcomeUnknown(ctx, c, t, err)
	}
	t.response, t.result = response, router.Result(response)
	return t
}

func noAnswer() *wire.ForwardResponse {
	return &wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED, Reason: "no answer in time"}
}

// outcomeUnknown ends an attempt without a response, which may have arrived: whatever the error says, it may have run.
func (o *Outbound) outcomeUnknown(ctx context.Context, c *Call, t attemptResult, err error) attemptResult {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		t.response, t.result = noAnswer(), decide.TimedOut
	default:
		o.Log.Debug("request.aborted", "attempt", c.Headers.Get("Attempt-Id"), "server", t.server, "err", err)
		t.response, t.result = &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: err.Error()}, decide.Broken
	}
	return t
}

// forwardAnswer is a server's answer as the client receives it.
func forwardAnswer(out *wire.ForwardResponse, attempt string) *Answer {
	a := &Answer{Status: int(out.Status), Fields: out.Fields, Body: out.Body}
	if len(out.Headers) > 0 {
		a.Fields = fieldLines(out.Headers)
	}
	a.Fields = http1.AppendField(a.Fields, "Attempt-Id", attempt)
	return a
}

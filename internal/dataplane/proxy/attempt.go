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

// attemptResult is the result of an attempt at a server. response and outcome are set once the attempt has ended.
type attemptResult struct {
	server   string
	response *wire.ForwardResponse
	outcome  decide.Result
}

// serve makes attempts until there is a final response.
func (o *Outbound) serve(clientCtx context.Context, call *Call, cluster *ClusterState, request *router.Request) *Response {
	for {
		o.mu.Lock()
		action := request.Next(o.now())
		o.mu.Unlock()
		if response := o.perform(clientCtx, call, cluster, request, action); response != nil {
			return response
		}
		if clientCtx.Err() != nil {
			return textResponse(504, cancelledText) // not written, as the client has disconnected
		}
	}
}

// perform executes an action of the router. It returns nil if there is no final response yet.
func (o *Outbound) perform(clientCtx context.Context, call *Call, cluster *ClusterState, request *router.Request, action router.Action) *Response {
	switch {
	case action.Response != nil:
		return routerResponse(action.Response)
	case action.Server == "":
		timer := timerpool.Get(action.Wait)
		defer timerpool.Put(timer)
		select {
		case <-timer.C:
		case <-clientCtx.Done():
		}
		return nil
	case request.NonIdempotent():
		return o.handleOutcome(call, request, o.attempt(clientCtx, call, cluster, request, action))
	}
	// The call does not depend on clientCtx: an idempotent attempt that is in flight at the final response runs to its end,
	// since cancelling it would waste the work done so far.
	stream, result := o.startAttempt(clientCtx, context.Background(), call, cluster, request, action)
	if stream == nil {
		return o.handleOutcome(call, request, result)
	}
	return o.awaitHedged(clientCtx, call, cluster, request, stream, result)
}

// awaitHedged waits for an attempt in flight, and starts a second one if the first exceeds the hedge delay. It returns nil if
// the attempts have ended without a final response.
func (o *Outbound) awaitHedged(clientCtx context.Context, call *Call, cluster *ClusterState, request *router.Request, stream *rpc.Stream, first attemptResult) (final *Response) {
	o.mu.Lock()
	hedgeDelay := request.HedgeDelay()
	o.mu.Unlock()
	deadline := o.start.Add(request.Deadline)
	wait := time.Until(deadline)
	if hedgeDelay > 0 {
		wait = min(wait, hedgeDelay)
	}
	timer := timerpool.Get(wait)
	defer timerpool.Put(timer)
	firstReady := stream.Ready()        // nil once the first attempt has ended
	var second chan attemptResult       // nil if no second attempt is in flight
	var cancelSecond context.CancelFunc // set with second
	for final == nil && (firstReady != nil || second != nil) {
		firstDone := false // the first attempt has a response or is past its deadline
		select {
		case <-firstReady:
			firstDone = true
		case result := <-second:
			second = nil
			final = o.handleOutcome(call, request, result)
		case <-clientCtx.Done():
			final = textResponse(504, cancelledText) // not written, as the client has disconnected
		case <-timer.C:
			if firstDone = time.Until(deadline) <= 0; !firstDone {
				timer.Reset(time.Until(deadline))
			}
			if hedgeDelay > 0 && !firstDone {
				hedgeDelay = 0 // at most one second attempt
				o.mu.Lock()
				action, ok := request.Hedge(o.now())
				o.mu.Unlock()
				if ok {
					second = make(chan attemptResult, 1)
					cancelSecond = o.startSecond(call, cluster, request, action, second)
				}
			}
		}
		if firstDone && firstReady != nil {
			firstReady = nil // awaitResponse does not block here
			final = o.handleOutcome(call, request, o.awaitResponse(context.Background(), call, stream, first))
		}
	}
	disconnected := clientCtx.Err() != nil
	if firstReady != nil {
		o.detachFirst(disconnected, call, request, stream, first)
	}
	if second != nil {
		if disconnected {
			cancelSecond()
		}
		o.lateAttempts.Go(func() { o.handleLateOutcome(request, <-second) })
	}
	return final
}

// detachFirst handles a first attempt that is still in flight at the final response. It cancels the attempt if the client has
// disconnected, and otherwise awaits its outcome in the background.
func (o *Outbound) detachFirst(disconnected bool, call *Call, request *router.Request, stream *rpc.Stream, first attemptResult) {
	if disconnected {
		stream.Close()
		first.response, first.outcome = timeoutResponse(), decide.TimedOut
		o.handleLateOutcome(request, first)
		return
	}
	o.lateAttempts.Go(func() { o.handleLateOutcome(request, o.awaitResponse(context.Background(), call, stream, first)) })
}

// startSecond starts a second attempt while the first is in flight, and sends its result to results. The returned function
// cancels the attempt.
func (o *Outbound) startSecond(call *Call, cluster *ClusterState, request *router.Request, action router.Action, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	o.lateAttempts.Go(func() {
		defer cancel()
		results <- o.attempt(ctx, call, cluster, request, action)
	})
	return cancel
}

// handleOutcome passes the outcome of an attempt to the router. It returns nil if there is no final response yet.
func (o *Outbound) handleOutcome(call *Call, request *router.Request, result attemptResult) *Response {
	o.mu.Lock()
	final, forward := request.HandleOutcome(o.now(), result.server, result.response, result.outcome)
	o.mu.Unlock()
	switch {
	case final != nil:
		return routerResponse(final)
	case forward:
		return forwardedResponse(result.response, call.Headers.Get("Attempt-Id"))
	}
	return nil
}

// handleLateOutcome passes the outcome of an attempt to the router after the final response.
func (o *Outbound) handleLateOutcome(request *router.Request, result attemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request.HandleLateOutcome(o.now(), result.server, result.response, result.outcome)
}

// attempt sends the request to the sidecar of a server and waits for the outcome.
func (o *Outbound) attempt(ctx context.Context, call *Call, cluster *ClusterState, request *router.Request, action router.Action) attemptResult {
	stream, result := o.startAttempt(ctx, ctx, call, cluster, request, action)
	if stream == nil {
		return result
	}
	return o.awaitResponse(ctx, call, stream, result)
}

var forwardRequests = sync.Pool{New: func() any { return new(wire.ForwardRequest) }}

// startAttempt sends the request to the sidecar of a server. The stream is nil if the attempt has already ended. dialCtx
// applies to the connection, ctx to the call.
func (o *Outbound) startAttempt(dialCtx, ctx context.Context, call *Call, cluster *ClusterState, request *router.Request, action router.Action) (*rpc.Stream, attemptResult) {
	result := attemptResult{server: action.Server}
	server, _ := cluster.Servers.Get(result.server)
	if server == nil { // the router may have a newer state of the cluster
		server, _ = o.cluster().Servers.Get(result.server)
	}
	if server == nil {
		result.response, result.outcome = notSent(true, "not listed"), decide.NotSent
		return nil, result
	}
	deadline := o.start.Add(request.Deadline)
	peer, err := o.Pool.Live(dialCtx, deadline, server.Address)
	if err == nil {
		forward := forwardRequests.Get().(*wire.ForwardRequest)
		fieldBuffer := messageBuffers.Get().(*[]byte)
		forward.Member, forward.Service, forward.Method, forward.Target, forward.Body, forward.Caller = result.server, request.Service, call.Method, call.Target, call.Body, call.caller
		forward.Priority, forward.Attempt, forward.Retry = request.Priority, call.Headers.Get("Attempt-Id"), action.Retry
		forward.TimeLeftMs = uint32(max(1, (request.Deadline - o.now()).Milliseconds()))
		forward.Zone, forward.NonIdempotent, forward.TypicalLatencyMs, forward.IgnoreEjection, forward.MayQueue = o.Zone, request.NonIdempotent(), uint32(action.TypicalLatency.Milliseconds()), action.IgnoreEjection, action.MayQueue
		forward.Fields = http1.AppendEndToEnd((*fieldBuffer)[:0], call.Headers, "Attempt-Id", "Time-Budget", "Target-Instance", "Caller-Service")
		encoded := forward.Fields
		if server.ProtocolVersion < localserver.ProtocolFields {
			forward.Headers, forward.Fields = parseFields(forward.Fields, forward.Attempt), nil
		}
		var stream *rpc.Stream
		stream, err = peer.Begin(ctx, deadline, "forward", forward)
		putBuffer(fieldBuffer, encoded)
		proto.Reset(forward)
		forwardRequests.Put(forward)
		if err == nil {
			return stream, result
		}
	}
	if errors.Is(err, rpc.ErrNotSent) { // after any other error, the server may have received the request
		result.response, result.outcome = notSent(false, "%v", err), decide.Unconnected
		return nil, result
	}
	return nil, o.unknownOutcome(ctx, call, result, err)
}

// awaitResponse waits for the outcome of an attempt.
func (o *Outbound) awaitResponse(ctx context.Context, call *Call, stream *rpc.Stream, result attemptResult) attemptResult {
	response := new(wire.ForwardResponse)
	if err := stream.Response(response); err != nil {
		return o.unknownOutcome(ctx, call, result, err)
	}
	result.response, result.outcome = response, router.Result(response)
	return result
}

func timeoutResponse() *wire.ForwardResponse {
	return &wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED, Reason: "no answer in time"}
}

// unknownOutcome ends an attempt without a response. The server may have run the request, whatever the error is.
func (o *Outbound) unknownOutcome(ctx context.Context, call *Call, result attemptResult, err error) attemptResult {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		result.response, result.outcome = timeoutResponse(), decide.TimedOut
	default:
		o.Log.Debug("request.aborted", "attempt", call.Headers.Get("Attempt-Id"), "server", result.server, "err", err)
		result.response, result.outcome = &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: err.Error()}, decide.Broken
	}
	return result
}

// forwardedResponse converts a server's response for the client.
func forwardedResponse(response *wire.ForwardResponse, attemptID string) *Response {
	forwarded := &Response{Status: int(response.Status), Fields: response.Fields, Body: response.Body}
	if len(response.Headers) > 0 {
		forwarded.Fields = encodeFields(response.Headers)
	}
	forwarded.Fields = http1.AppendField(forwarded.Fields, "Attempt-Id", attemptID)
	return forwarded
}

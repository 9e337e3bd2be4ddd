package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"ivydeck/internal/dataplane/health"
	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

func notSent(terminated bool, format string, args ...any) *wire.ForwardResponse {
	return &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Terminated: terminated, Reason: fmt.Sprintf(format, args...)}
}

// Forward sends a request to the server that it names, or rejects it.
func (i *Inbound) Forward(ctx context.Context, request *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	deadline := time.Now().Add(time.Duration(request.TimeLeftMs) * time.Millisecond)
	slotRequest := localserver.Request{
		Member: request.Member, Service: request.Service, Attempt: request.Attempt, Priority: request.Priority, Retry: request.Retry, MayQueue: request.MayQueue,
		Call: health.Call{Zone: request.Zone, TypicalLatency: time.Duration(request.TypicalLatencyMs) * time.Millisecond, NonIdempotent: request.NonIdempotent, IgnoreEjection: request.IgnoreEjection},
	}
	pool, rejection := i.admit(ctx, slotRequest, deadline)
	if rejection != nil {
		return rejection, nil
	}
	start := i.now()
	response, cancelled := pool.send(ctx, request, deadline)
	outcome := localserver.OutcomeOf(response)
	if cancelled {
		outcome = health.Ignored
	}
	i.finish(pool, request, response, outcome, start)
	return response, nil
}

// admit waits for a slot of the server that a request names. It returns the pool of the server, or the response to a request
// that is rejected.
func (i *Inbound) admit(ctx context.Context, request localserver.Request, deadline time.Time) (*serverPool, *wire.ForwardResponse) {
	i.mu.Lock()
	queueTicket := i.freeTicket
	if i.freeTicket = nil; queueTicket == nil {
		queueTicket = new(ticket)
	}
	decision, reason, grants := i.registry.Arrive(i.now(), request, queueTicket)
	if decision == localserver.Queue { // the channel exists before the SlotGrant, which is delivered with mu held
		queueTicket.granted = make(chan bool, 1)
	} else {
		i.freeTicket = queueTicket
	}
	deliverGrants(grants)
	pool := i.pools[request.Member]
	var load serverLoad
	logDue := false
	if decision == localserver.Full && pool != nil {
		load, logDue = pool.load.countRejection(i.now())
	}
	i.mu.Unlock()
	if logDue {
		load.log(i.Log, i.now(), request.Member, pool.slots)
	}
	switch decision {
	case localserver.Terminated:
		return nil, notSent(true, "%s", reason)
	case localserver.Hangs:
		return nil, notSent(false, "%s", reason)
	case localserver.Unhealthy:
		return nil, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Reason: reason, Unhealthy: true}
	case localserver.Full:
		return nil, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Reason: reason, Queued: true}
	case localserver.Queue:
		if waitReason := i.awaitSlot(ctx, request, queueTicket, deadline); waitReason != "" {
			return nil, notSent(false, "%s", waitReason)
		}
	}
	return pool, nil
}

// finish records the end of a run, and adds the load and the calls of the run to the response.
func (i *Inbound) finish(pool *serverPool, request *wire.ForwardRequest, response *wire.ForwardResponse, outcome health.Outcome, start time.Duration) {
	i.mu.Lock()
	now := i.now()
	finished := i.registry.Finish(now, request.Member, request.Attempt, outcome)
	deliverGrants(finished.Grants)
	pool.load.busy += now - start
	i.mu.Unlock()
	response.Queued, response.RelativeLatency, response.Utilization = finished.Queued, float32(finished.RelativeLatency), float32(finished.Utilization)
	response.TookMs = uint32((now - start).Milliseconds())
	if i.Trace != nil {
		i.Trace(trace.Record{Attempt: request.Attempt, Start: start, Took: now - start, Service: request.Service, Server: request.Member, Status: int(response.Status), Reason: response.Reason})
	}
	if finished.Ejected {
		i.Log.Warn("server.ejected", "member", request.Member, "zone", request.Zone, "result", response.Result.String(), "status", response.Status, "reason", response.Reason)
	}
	if finished.Restored {
		i.Log.Info("server.restored", "member", request.Member, "zone", request.Zone)
	}
	for _, called := range finished.Calls {
		count := &wire.CallCount{Service: called.Service, Count: called.Count}
		if i.Pressure != nil {
			count.Pressure = i.Pressure(called.Service)
		}
		response.Calls = append(response.Calls, count)
	}
}

// cancelledText is the reason given for requests that their senders have cancelled.
const cancelledText = "called off"

// awaitSlot waits for the SlotGrant of a queued request. It returns why the request was rejected, or "" if it has a slot.
func (i *Inbound) awaitSlot(ctx context.Context, request localserver.Request, queueTicket *ticket, deadline time.Time) (reason string) {
	timer := timerpool.Get(time.Until(deadline) - minTimeLeft)
	defer timerpool.Put(timer)
	select {
	case granted := <-queueTicket.granted:
		if !granted {
			return "no room"
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		i.registry.Run(i.now(), request)
		return ""
	case <-ctx.Done():
		reason = cancelledText
	case <-timer.C:
		reason = "no slot in time"
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.registry.Dequeue(request.Member, queueTicket) && <-queueTicket.granted { // the slot was granted in the meantime
		deliverGrants(i.registry.Release(i.now(), request.Member))
	}
	return reason
}

// send sends the request to the server once. cancelled is set if the sender has cancelled the request, or if too little time
// was left to send it.
func (p *serverPool) send(ctx context.Context, request *wire.ForwardRequest, deadline time.Time) (response *wire.ForwardResponse, cancelled bool) {
	conn, err := p.getConn(ctx, deadline)
	timeLeft := time.Until(deadline)
	if timeLeft < minTimeLeft || ctx.Err() != nil {
		if err == nil {
			p.putConn(conn)
		}
		return notSent(false, cancelledText), true
	}
	if err != nil {
		return notSent(false, "connecting: %v", err), false
	}
	buffer := messageBuffers.Get().(*[]byte)
	message := appendForward((*buffer)[:0], request, timeLeft)
	size := len(message)
	conn.netConn.SetDeadline(deadline)
	stopInterrupt := onDone(ctx, conn.interrupt)
	sent, err := conn.netConn.Write(message)
	putBuffer(buffer, message)
	if err != nil {
		stopInterrupt()
		conn.netConn.Close()
		if sent < size {
			// The request was sent in part, and the server may have acted on that part.
			return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "writing: " + err.Error()}, false
		}
	}
	body, err := conn.read(request.Method, request.Attempt)
	notInterrupted := stopInterrupt()
	if err != nil {
		conn.netConn.Close()
		failure := &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: err.Error()}
		switch {
		case ctx.Err() != nil:
			failure.Reason, cancelled = cancelledText, true
		case errors.Is(err, os.ErrDeadlineExceeded):
			failure.Result = wire.ForwardResponse_DEADLINE_EXCEEDED
		}
		return failure, cancelled
	}
	response = checkResponse(request, &conn.resp, body, conn.used)
	if notInterrupted && !conn.resp.Close && !conn.skipped && conn.reader.Buffered() == 0 {
		conn.updateIdleTimeout()
		p.putConn(conn) // another request may use conn from here on
	} else {
		conn.netConn.Close()
	}
	return response, false
}

// onDone is like context.AfterFunc: it calls f when ctx ends, unless stop is called before that and returns true. For an
// rpc.Stream, which most callers pass, it avoids the goroutine that AfterFunc would start.
func onDone(ctx context.Context, f func()) (stop func() bool) {
	if s, ok := ctx.(*rpc.Stream); ok {
		s.OnEnd(f)
		return s.ClearOnEnd
	}
	return context.AfterFunc(ctx, f)
}

// appendForward appends a request in the form that the server receives.
func appendForward(dst []byte, request *wire.ForwardRequest, timeLeft time.Duration) []byte {
	dst = http1.AppendRequestLine(dst, request.Method, request.Target)
	if len(request.Headers) > 0 {
		dst = append(dst, encodeFields(request.Headers)...)
	} else {
		dst = append(dst, request.Fields...)
	}
	dst = http1.AppendField(dst, "Attempt-Id", request.Attempt)
	dst = append(dst, "Time-Budget: "...)
	dst = strconv.AppendInt(dst, max(1, timeLeft.Milliseconds()), 10)
	dst = append(dst, "\r\n"...)
	dst = http1.AppendField(dst, "Target-Instance", request.Member)
	dst = http1.AppendField(dst, "Caller-Service", request.Caller)
	return http1.AppendRequestBody(dst, request.Method, request.Body)
}

// checkResponse converts a response from the server to the outcome of a request. It checks the Attempt-Id first: a body or
// a Not-Executed that belongs to another request must not be attributed to this one. used is set if the connection has carried
// an earlier request, to which a response without an id may belong.
func checkResponse(request *wire.ForwardRequest, resp *http1.Response, body []byte, used bool) *wire.ForwardResponse {
	notExecuted := resp.Headers.Count("Not-Executed") > 0 || resp.Status == 421
	switch id := resp.Headers.Get("Attempt-Id"); {
	case id == request.Attempt:
	case id != "":
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "the answer to another request"}
	case !notExecuted || used: // a server may reject a request before it has read the Attempt-Id
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "an answer without an id"}
	}
	if notExecuted {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_RUN, Status: int32(resp.Status), Terminated: resp.Status == 421}
	}
	if resp.Status/100 == 2 && (resp.Headers.Get("Server-Seal") == "" || resp.Headers.Count("Content-Encoding") > 0) {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "not the server's own body"}
	}
	response := &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: int32(resp.Status), Body: body}
	response.Fields = http1.AppendEndToEnd(make([]byte, 0, 256), resp.Headers, "Attempt-Id")
	if len(request.Headers) > 0 {
		response.Headers, response.Fields = parseFields(response.Fields, request.Attempt), nil
	}
	return response
}

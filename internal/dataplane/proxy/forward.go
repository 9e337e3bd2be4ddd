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

// Forward passes a request to the server that it names, or rejects it.
func (in *Inbound) Forward(ctx context.Context, q *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	until := time.Now().Add(time.Duration(q.TimeLeftMs) * time.Millisecond)
	ask := localserver.Request{
		Member: q.Member, Service: q.Service, Attempt: q.Attempt, Priority: q.Priority, Repeat: q.Retry, Wait: q.MayQueue,
		Call: health.Call{Zone: q.Zone, TypicalLatency: time.Duration(q.TypicalLatencyMs) * time.Millisecond, NonIdempotent: q.NonIdempotent, IgnoreEjection: q.IgnoreEjection},
	}
	a, refused := in.admit(ctx, ask, until)
	if refused != nil {
		return refused, nil
	}
	began := in.now()
	out, calledOff := a.send(ctx, q, until)
	end := localserver.ResultOf(out)
	if calledOff {
		end = health.Void
	}
	in.finish(a, q, out, end, began)
	return out, nil
}

// admit waits for a slot of the server that a request names. It returns the server, or the outcome of a request that is
// rejected.
func (in *Inbound) admit(ctx context.Context, request localserver.Request, until time.Time) (*serverPool, *wire.ForwardResponse) {
	in.mu.Lock()
	t := in.spare
	if in.spare = nil; t == nil {
		t = new(ticket)
	}
	admission, reason, verdicts := in.admission.Arrive(in.now(), request, t)
	if admission == localserver.Queue { // the verdict can't come before mu is free again
		t.verdict = make(chan bool, 1)
	} else {
		in.spare = t
	}
	deliver(verdicts)
	a := in.apps[request.Member]
	var load serverLoad
	due := false
	if admission == localserver.Full && a != nil {
		load, due = a.load.countRejection(in.now())
	}
	in.mu.Unlock()
	if due {
		load.log(in.Log, in.now(), request.Member, a.slots)
	}
	switch admission {
	case localserver.Terminated:
		return nil, notSent(true, "%s", reason)
	case localserver.Hangs:
		return nil, notSent(false, "%s", reason)
	case localserver.Unhealthy:
		return nil, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Reason: reason, Unhealthy: true}
	case localserver.Full:
		return nil, &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_SENT, Reason: reason, Queued: true}
	case localserver.Queue:
		if reason := in.await(ctx, request, t, until); reason != "" {
			return nil, notSent(false, "%s", reason)
		}
	}
	return a, nil
}

// finish records the end of a run, and adds to its outcome what the node has measured.
func (in *Inbound) finish(a *serverPool, q *wire.ForwardRequest, out *wire.ForwardResponse, end health.Outcome, began time.Duration) {
	in.mu.Lock()
	now := in.now()
	f := in.admission.Finish(now, q.Member, q.Attempt, end)
	deliver(f.Verdicts)
	a.load.busy += now - began
	in.mu.Unlock()
	out.Queued, out.RelativeLatency, out.Utilization = f.Queued, float32(f.RelativeLatency), float32(f.Utilization)
	out.TookMs = uint32((now - began).Milliseconds())
	if in.Trace != nil {
		in.Trace(trace.Record{Attempt: q.Attempt, Began: began, Took: now - began, Service: q.Service, Server: q.Member, Status: int(out.Status), Reason: out.Reason})
	}
	if f.Ejected {
		in.Log.Warn("server.ejected", "member", q.Member, "zone", q.Zone, "result", out.Result.String(), "status", out.Status, "reason", out.Reason)
	}
	if f.Restored {
		in.Log.Info("server.restored", "member", q.Member, "zone", q.Zone)
	}
	for _, c := range f.Called {
		w := &wire.CallCount{Service: c.Service, Count: c.Times}
		if in.Pressure != nil {
			w.Pressure = in.Pressure(c.Service)
		}
		out.Calls = append(out.Calls, w)
	}
}

// calledOffText is the end of a request that its sender no longer wants, for those who read of it.
const calledOffText = "called off"

// await waits for a slot; it says why there is none.
func (in *Inbound) await(ctx context.Context, request localserver.Request, t *ticket, until time.Time) (reason string) {
	timer := timerpool.Get(time.Until(until) - minTimeLeft)
	defer timerpool.Put(timer)
	select {
	case ok := <-t.verdict:
		if !ok {
			return "no room"
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		in.admission.Run(in.now(), request)
		return ""
	case <-ctx.Done():
		reason = calledOffText
	case <-timer.C:
		reason = "no slot in time"
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.admission.Dequeue(request.Member, t) && <-t.verdict { // the slot came at the same moment
		deliver(in.admission.Release(in.now(), request.Member))
	}
	return reason
}

// send makes one attempt at the server. cancelled: it ended because its sender has cancelled it.
func (a *serverPool) send(ctx context.Context, q *wire.ForwardRequest, until time.Time) (response *wire.ForwardResponse, cancelled bool) {
	c, err := a.connect(ctx, until)
	left := time.Until(until)
	if left < minTimeLeft || ctx.Err() != nil {
		if err == nil {
			a.keep(c)
		}
		return notSent(false, calledOffText), true
	}
	if err != nil {
		return notSent(false, "connecting: %v", err), false
	}
	buf := messages.Get().(*[]byte)
	message := appendForward((*buf)[:0], q, left)
	size := len(message)
	c.nc.SetDeadline(until)
	stop := atEnd(ctx, c.interrupt)
	n, err := c.nc.Write(message)
	recycle(buf, message)
	if err != nil {
		stop()
		c.nc.Close()
		if n < size {
			// Its end never left, but what a server makes of a part is its own affair.
			return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "writing: " + err.Error()}, false
		}
	}
	body, err := c.read(q.Method, q.Attempt)
	clean := stop()
	if err != nil {
		c.nc.Close()
		response := &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: err.Error()}
		switch {
		case ctx.Err() != nil:
			response.Reason, cancelled = calledOffText, true
		case errors.Is(err, os.ErrDeadlineExceeded):
			response.Result = wire.ForwardResponse_DEADLINE_EXCEEDED
		}
		return response, cancelled
	}
	response = checkResponse(q, &c.resp, body, c.used)
	if clean && !c.resp.Close && !c.surplus && c.r.Buffered() == 0 {
		c.answered()
		a.keep(c) // nothing of it is ours any more
	} else {
		c.nc.Close()
	}
	return response, false
}

// atEnd has f called at the end of a context, unless the stop that it returns comes before: then that reports true.
// A call's own context is a stream, which needs no help for it.
func atEnd(ctx context.Context, f func()) (stop func() bool) {
	if s, ok := ctx.(*rpc.Stream); ok {
		s.OnEnd(f)
		return s.ClearOnEnd
	}
	return context.AfterFunc(ctx, f)
}

// appendForward writes a request as its server gets it.
func appendForward(dst []byte, q *wire.ForwardRequest, left time.Duration) []byte {
	dst = http1.AppendRequestLine(dst, q.Method, q.Target)
	if len(q.Headers) > 0 {
		dst = append(dst, fieldLines(q.Headers)...)
	} else {
		dst = append(dst, q.Fields...)
	}
	dst = http1.AppendField(dst, "Attempt-Id", q.Attempt)
	dst = append(dst, "Time-Budget: "...)
	dst = strconv.AppendInt(dst, max(1, left.Milliseconds()), 10)
	dst = append(dst, "\r\n"...)
	dst = http1.AppendField(dst, "Target-Instance", q.Member)
	dst = http1.AppendField(dst, "Caller-Service", q.Caller)
	return http1.AppendRequestBody(dst, q.Method, q.Body)
}

// checkResponse returns the outcome that an answer stands for. used: the connection has carried a request before, so an answer
// may be a surplus one to it. Only its id tells whose an answer is, and nothing that it says is believed before
// that: a promise that another request has not run, or another's body, must not become this one's.
func checkResponse(q *wire.ForwardRequest, resp *http1.Response, body []byte, used bool) *wire.ForwardResponse {
	unrun := resp.Headers.Count("Not-Executed") > 0 || resp.Status == 421
	switch id := resp.Headers.Get("Attempt-Id"); {
	case id == q.Attempt:
	case id != "":
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "the answer to another request"}
	case !unrun || used: // a server may turn a request away before it has read whose it is
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "an answer without an id"}
	}
	if unrun {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_NOT_RUN, Status: int32(resp.Status), Terminated: resp.Status == 421}
	}
	if resp.Status/100 == 2 && (resp.Headers.Get("Server-Seal") == "" || resp.Headers.Count("Content-Encoding") > 0) {
		return &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: "not the server's own body"}
	}
	out := &wire.ForwardResponse{Result: wire.ForwardResponse_ANSWERED, Status: int32(resp.Status), Body: body}
	out.Fields = http1.AppendEndToEnd(make([]byte, 0, 256), resp.Headers, "Attempt-Id")
	if len(q.Headers) > 0 {
		out.Headers, out.Fields = headersOf(out.Fields, q.Attempt), nil
	}
	return out
}

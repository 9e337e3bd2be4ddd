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

// try is one, with its end where it has ended.
type try struct {
	server string
	out    *wire.ForwardResponse
	result decide.Result
}

// serve makes tries until there is a final answer.
func (o *Outbound) serve(client context.Context, c *Call, cluster *ClusterState, r *router.Request) *Answer {
	for {
		o.mu.Lock()
		step := r.Next(o.now())
		o.mu.Unlock()
		if a := o.take(client, c, cluster, r, step); a != nil {
			return a
		}
		if client.Err() != nil {
			return text(504, calledOffText) // the client has left, and reads no answer
		}
	}
}

// take does what a step says, and returns the final answer where that brings it.
func (o *Outbound) take(client context.Context, c *Call, cluster *ClusterState, r *router.Request, step router.Action) *Answer {
	switch {
	case step.Response != nil:
		return say(step.Response)
	case step.Server == "":
		timer := timerpool.Get(step.Wait)
		defer timerpool.Put(timer)
		select {
		case <-timer.C:
		case <-client.Done():
		}
		return nil
	case r.NonIdempotent():
		return o.done(c, r, o.attempt(client, c, cluster, r, step))
	}
	// What a server works on when the answer is there goes on: its work would be lost, not saved.
	call, t := o.begin(client, context.Background(), c, cluster, r, step)
	if call == nil {
		return o.done(c, r, t)
	}
	return o.race(client, c, cluster, r, call, t)
}

// race waits for a try that is under way, with a second one beside it where it takes far longer than its like. It
// returns the final answer; nil: there is none yet, and no try is left.
func (o *Outbound) race(client context.Context, c *Call, cluster *ClusterState, r *router.Request, call *rpc.Stream, first try) (final *Answer) {
	o.mu.Lock()
	hedge := r.HedgeDelay()
	o.mu.Unlock()
	until := o.began.Add(r.Deadline)
	wait := time.Until(until)
	if hedge > 0 {
		wait = min(wait, hedge)
	}
	timer := timerpool.Get(wait)
	defer timerpool.Put(timer)
	woken := call.Ready()      // nil: the first has ended
	var second chan try        // nil: there is none
	var off context.CancelFunc // calls the second off
	for final == nil && (woken != nil || second != nil) {
		over := false // the first's answer, or its time
		select {
		case <-woken:
			over = true
		case t := <-second:
			second = nil
			final = o.done(c, r, t)
		case <-client.Done():
			final = text(504, calledOffText) // the client has left, and reads no answer
		case <-timer.C:
			if over = time.Until(until) <= 0; !over {
				timer.Reset(time.Until(until))
			}
			if hedge > 0 && !over {
				hedge = 0 // once
				o.mu.Lock()
				step, ok := r.Hedge(o.now())
				o.mu.Unlock()
				if ok {
					second = make(chan try, 1)
					off = o.aside(c, cluster, r, step, second)
				}
			}
		}
		if over && woken != nil { // it returns at once
			woken = nil
			final = o.done(c, r, o.end(context.Background(), c, call, first))
		}
	}
	left := client.Err() != nil
	switch {
	case woken == nil:
	case left:
		call.Close()
		first.out, first.result = noAnswer(), decide.TimedOut
		o.late(r, first)
	default:
		o.strays.Go(func() { o.late(r, o.end(context.Background(), c, call, first)) })
	}
	if second != nil {
		if left {
			off()
		}
		o.strays.Go(func() { o.late(r, <-second) })
	}
	return final
}

// aside makes a second try beside the first, and returns what calls it off.
func (o *Outbound) aside(c *Call, cluster *ClusterState, r *router.Request, step router.Action, end chan<- try) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	o.strays.Go(func() {
		defer cancel()
		end <- o.attempt(ctx, c, cluster, r, step)
	})
	return cancel
}

// done books the end of a try, and returns the final answer where it is one.
func (o *Outbound) done(c *Call, r *router.Request, t try) *Answer {
	o.mu.Lock()
	final, pass := r.HandleOutcome(o.now(), t.server, t.out, t.result)
	o.mu.Unlock()
	switch {
	case final != nil:
		return say(final)
	case pass:
		return served(t.out, c.Headers.Get("Attempt-Id"))
	}
	return nil
}

// late books the end of a try after the final answer.
func (o *Outbound) late(r *router.Request, t try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.HandleLateOutcome(o.now(), t.server, t.out, t.result)
}

// attempt asks the node beside a server to pass the request on, and waits for what becomes of it.
func (o *Outbound) attempt(ctx context.Context, c *Call, cluster *ClusterState, r *router.Request, step router.Action) try {
	call, t := o.begin(ctx, ctx, c, cluster, r, step)
	if call == nil {
		return t
	}
	return o.end(ctx, c, call, t)
}

var forwards = sync.Pool{New: func() any { return new(wire.ForwardRequest) }}

// begin asks the node beside a server to pass the request on. Where there is no call then, the try has ended. dial is
// the context of the way there, ctx that of the call.
func (o *Outbound) begin(dial, ctx context.Context, c *Call, cluster *ClusterState, r *router.Request, step router.Action) (*rpc.Stream, try) {
	t := try{server: step.Server}
	server, _ := cluster.Servers.Get(t.server)
	if server == nil { // the list is newer than the request's
		server, _ = o.cluster().Servers.Get(t.server)
	}
	if server == nil {
		t.out, t.result = unsent(true, "not listed"), decide.NotSent
		return nil, t
	}
	until := o.began.Add(r.Deadline)
	peer, err := o.Pool.Live(dial, until, server.Address)
	if err == nil {
		q := forwards.Get().(*wire.ForwardRequest)
		fields := messages.Get().(*[]byte)
		q.Member, q.Service, q.Method, q.Target, q.Body, q.Caller = t.server, r.Service, c.Method, c.Target, c.Body, o.Backend
		q.Priority, q.Attempt, q.Retry = r.Priority, c.Headers.Get("Attempt-Id"), step.Retry
		q.TimeLeftMs = uint32(max(1, (r.Deadline - o.now()).Milliseconds()))
		q.Zone, q.NonIdempotent, q.TypicalLatencyMs, q.IgnoreEjection, q.MayQueue = o.Zone, r.NonIdempotent(), uint32(step.TypicalLatency.Milliseconds()), step.IgnoreEjection, step.MayQueue
		q.Fields = http1.AppendEndToEnd((*fields)[:0], c.Headers, "Attempt-Id", "Time-Budget", "Target-Instance", "Caller-Service")
		line := q.Fields
		if server.ProtocolVersion < localserver.ProtocolFields {
			q.Headers, q.Fields = spell(q.Fields, q.Attempt), nil
		}
		var call *rpc.Stream
		call, err = peer.Begin(ctx, until, "forward", q)
		recycle(fields, line)
		proto.Reset(q)
		forwards.Put(q)
		if err == nil {
			return call, t
		}
	}
	if errors.Is(err, rpc.ErrNotSent) { // only the beginning of a call can prove that
		t.out, t.result = unsent(false, "%v", err), decide.Unconnected
		return nil, t
	}
	return nil, o.lost(ctx, c, t, err)
}

// end waits for what becomes of a call.
func (o *Outbound) end(ctx context.Context, c *Call, call *rpc.Stream, t try) try {
	out := new(wire.ForwardResponse)
	if err := call.Response(out); err != nil {
		return o.lost(ctx, c, t, err)
	}
	t.out, t.result = out, router.Result(out)
	return t
}

func noAnswer() *wire.ForwardResponse {
	return &wire.ForwardResponse{Result: wire.ForwardResponse_DEADLINE_EXCEEDED, Reason: "no answer in time"}
}

// lost is a try that may have arrived and has brought no word of what has become of it: whatever the error says, it
// may have run.
func (o *Outbound) lost(ctx context.Context, c *Call, t try, err error) try {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		t.out, t.result = noAnswer(), decide.TimedOut
	default:
		o.Log.Debug("request.aborted", "attempt", c.Headers.Get("Attempt-Id"), "server", t.server, "err", err)
		t.out, t.result = &wire.ForwardResponse{Result: wire.ForwardResponse_BROKEN, Reason: err.Error()}, decide.Broken
	}
	return t
}

// served is a server's answer to the request with this id as the client gets it.
func served(out *wire.ForwardResponse, attempt string) *Answer {
	a := &Answer{Status: int(out.Status), Fields: out.Fields, Body: out.Body}
	if len(out.Headers) > 0 {
		a.Fields = lines(out.Headers)
	}
	a.Fields = http1.AppendField(a.Fields, "Attempt-Id", attempt)
	return a
}

package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/transport/wire"
)

// record returns what keeps and logs records whose times begin so much later than the node. How many are kept is set
// for a life; the part that is logged may change with the settings.
func (n *Node) record(since time.Duration) func(trace.Record) {
	return func(r trace.Record) {
		r.Began += since
		n.traces.Add(r)
		if trace.Sampled(r.Attempt, n.set.Load().AccessLogShare) {
			n.log.Info("request", "attempt", r.Attempt, "entry", r.Entry, "route", r.Route, "service", r.Service, "server", r.Server,
				"status", r.Status, "why", r.Reason, "tries", r.Attempts, "took", r.Took)
		}
	}
}

// handleTrace returns the records of a request that this node has kept.
func (n *Node) handleTrace(_ context.Context, q *wire.TraceRequest) (*wire.TraceResponse, error) {
	answer := new(wire.TraceResponse)
	if n.traces == nil {
		return answer, nil
	}
	now := time.Since(n.began)
	for _, r := range n.traces.Of(q.Attempt) {
		answer.Traces = append(answer.Traces, &wire.RequestTrace{
			Attempt: r.Attempt, Node: n.set.Load().Node, Entry: r.Entry, Route: r.Route, Service: r.Service, Server: r.Server,
			Status: int32(r.Status), Reason: r.Reason, Attempts: uint32(r.Attempts), AgoMs: uint32((now - r.Began).Milliseconds()), TookMs: uint32(r.Took.Milliseconds()),
		})
	}
	return answer, nil
}

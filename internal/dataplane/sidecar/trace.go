package sidecar

import (
	"context"
	"time"

	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/transport/wire"
)

// recorder returns a function that stores records and logs a sample of them. It adds offset to their start times, which makes
// them relative to the node's start. The logged share follows the current settings; the capacity is fixed at the start.
func (n *Node) recorder(offset time.Duration) func(trace.Record) {
	return func(r trace.Record) {
		r.Start += offset
		n.traces.Add(r)
		if trace.Sampled(r.Attempt, n.settings.Load().AccessLogShare) {
			n.log.Info("request", "attempt", r.Attempt, "entry", r.Entry, "route", r.Route, "service", r.Service, "server", r.Server,
				"status", r.Status, "why", r.Reason, "tries", r.Attempts, "took", r.Took)
		}
	}
}

// handleTrace returns the stored records of a request.
func (n *Node) handleTrace(_ context.Context, request *wire.TraceRequest) (*wire.TraceResponse, error) {
	response := new(wire.TraceResponse)
	if n.traces == nil {
		return response, nil
	}
	now := time.Since(n.startTime)
	for _, r := range n.traces.ByAttempt(request.Attempt) {
		response.Traces = append(response.Traces, &wire.RequestTrace{
			Attempt: r.Attempt, Node: n.settings.Load().Node, Entry: r.Entry, Route: r.Route, Service: r.Service, Server: r.Server,
			Status: int32(r.Status), Reason: r.Reason, Attempts: uint32(r.Attempts), AgoMs: uint32((now - r.Start).Milliseconds()), TookMs: uint32(r.Took.Milliseconds()),
		})
	}
	return response, nil
}

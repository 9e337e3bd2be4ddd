package agent

import (
	"context"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// RecordDepartures records departures at a majority of the quorum's voters, with a leader or without. It retries until ctx is
// done, and reports whether the departures are recorded. Only then may they be acknowledged.
func (a *Agent) RecordDepartures(ctx context.Context, departures ...*wire.Departure) bool {
	_, ok := a.callVoters(ctx, &wire.DepartureRequest{Record: departures})
	return ok
}

// FindDepartures returns the departures of the servers that are recorded, in their latest phases. They contain all that were
// acknowledged before the call. It retries until ctx is done; ok is then false.
func (a *Agent) FindDepartures(ctx context.Context, members []string) (found []*wire.Departure, ok bool) {
	response, ok := a.callVoters(ctx, &wire.DepartureRequest{Lookup: members})
	return response.GetFound(), ok
}

// callVoters sends a request to one quorum member after another until one has the responses of a majority.
func (a *Agent) callVoters(ctx context.Context, request *wire.DepartureRequest) (response *wire.DepartureResponse, ok bool) {
	for ctx.Err() == nil {
		response, handledBy := callQuorum(ctx, a, func(ctx context.Context, address string) (*wire.DepartureResponse, bool, string) {
			response := new(wire.DepartureResponse)
			if err := a.Pool.Call(ctx, address, "departure", request, response); err != nil {
				a.log.Debug("departure.call_failed", "address", address, "err", err)
				return nil, false, ""
			}
			return response, response.Ok, ""
		})
		if handledBy != "" {
			return response, true
		}
		timerpool.Sleep(ctx, leaderRetryPause)
	}
	return nil, false
}

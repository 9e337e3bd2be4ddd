package server

import (
	"context"
	"time"

	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

// departureTimeout bounds a request to the voters. Servers time out a call after 1 s.
const departureTimeout = 700 * time.Millisecond

// handleDeparture records and looks up departures: in the name of a majority of the voters for a node, and in this member's
// own name for another member. It needs no leader.
func (srv *Server) handleDeparture(ctx context.Context, request *wire.DepartureRequest) (*wire.DepartureResponse, error) {
	if request.Target != 0 {
		return srv.recordDepartures(ctx, request), nil
	}
	return srv.askVoters(ctx, request), nil
}

// askVoters sends a request to all voters, and returns once a majority has responded.
func (srv *Server) askVoters(ctx context.Context, request *wire.DepartureRequest) *wire.DepartureResponse {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	peers, err := callInLoop(ctx, srv, func() []*wire.Peer { return srv.departureVoters(request) })
	if err != nil {
		return &wire.DepartureResponse{}
	}
	type answer struct {
		id       uint64
		response *wire.DepartureResponse
	}
	round, answers, inFlight := departure.NewRound(peers), make(chan answer), 0
	for !round.Complete() {
		for _, target := range round.Next() {
			inFlight++
			srv.workers.Go(func() {
				a := answer{target.ID, srv.askVoter(target, request)}
				select {
				case answers <- a:
				case <-ctx.Done():
				}
			})
		}
		if inFlight == 0 {
			return &wire.DepartureResponse{}
		}
		select {
		case a := <-answers:
			inFlight--
			round.Add(a.id, a.response)
		case <-ctx.Done():
			return &wire.DepartureResponse{}
		}
	}
	return &wire.DepartureResponse{Ok: true, Found: round.Found()}
}

// departureVoters returns the newest membership, or nil while it has too few voters to acknowledge the request.
func (srv *Server) departureVoters(request *wire.DepartureRequest) []*wire.Peer {
	peers := srv.consensus.Peers()
	if len(request.Record) > 0 && raft.Voters(peers) < srv.minAckVoters() {
		return nil
	}
	return peers
}

// askVoter sends a request to one voter, which may be this member. It does not end with the request of the node, so that all
// voters, and the leader among them, receive the departures.
func (srv *Server) askVoter(target departure.Target, request *wire.DepartureRequest) *wire.DepartureResponse {
	ctx, cancel := context.WithTimeout(srv.ctx, departureTimeout)
	defer cancel()
	addressed := &wire.DepartureRequest{Target: target.ID, Record: request.Record, Lookup: request.Lookup}
	if target.ID == srv.store.ID {
		return srv.recordDepartures(ctx, addressed)
	}
	response := new(wire.DepartureResponse)
	if err := srv.pool.Call(ctx, target.Address, "departure", addressed, response); err != nil {
		return &wire.DepartureResponse{}
	}
	return response
}

// recordDepartures records and looks up departures at this member. It returns once the recorded ones are on disk.
func (srv *Server) recordDepartures(ctx context.Context, request *wire.DepartureRequest) *wire.DepartureResponse {
	responses := make(chan *wire.DepartureResponse, 1)
	submit := func() {
		if !srv.departures.Accept(srv.now(), request) {
			responses <- &wire.DepartureResponse{}
			return
		}
		srv.unsavedRequests = append(srv.unsavedRequests, func() { responses <- srv.departures.Response(request) })
	}
	if !srv.runInLoopUntil(ctx, nil, submit) {
		return &wire.DepartureResponse{}
	}
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
	case <-srv.ctx.Done():
	}
	return &wire.DepartureResponse{}
}

// saveDepartures writes the pending departures to disk if there are new ones, and completes the requests that wait for it.
func (srv *Server) saveDepartures() {
	if unsaved := srv.departures.Unsaved(); unsaved != nil {
		if !srv.writeBatch(store.Batch{Departures: unsaved}) {
			return
		}
		srv.departures.Saved()
	}
	for _, complete := range srv.unsavedRequests {
		complete()
	}
	srv.unsavedRequests = nil
}

// offerDepartures brings the pending departures into the log, or to the leader.
func (srv *Server) offerDepartures() {
	forward := srv.departures.Offer(srv.now())
	leader := srv.leader()
	if len(forward) == 0 || leader == nil {
		return
	}
	target, request := departure.Target{ID: leader.Id, Address: leader.Address}, &wire.DepartureRequest{Record: forward}
	srv.workers.Go(func() { srv.askVoter(target, request) }) // if that fails, a later call sends them again
}

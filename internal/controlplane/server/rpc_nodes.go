package server

import (
	"context"
	"errors"

	"ivydeck/internal/transport/wire"
)

var errConfigFromNode = errors.New("configurations are accepted from operators only")

// handlePropose commits a node's change to the server registry, or returns the leader's address.
func (srv *Server) handlePropose(ctx context.Context, p *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	if p.GetCommand().GetConfig() != nil {
		return nil, errConfigFromNode
	}
	if l := srv.currentLeader(ctx); !l.isSelf {
		return &wire.ProposeResponse{Leader: l.leader.GetAddress()}, nil
	}
	if err := srv.applyCommand(ctx, p.Command); err != nil {
		srv.log.Debug("proposal.rejected", "err", err)
		return &wire.ProposeResponse{}, nil
	}
	return &wire.ProposeResponse{Committed: true}, nil
}

// handleLatest returns the index of the latest update after a linearizable read, or the leader's address.
func (srv *Server) handleLatest(ctx context.Context, _ *wire.Empty) (*wire.LatestResponse, error) {
	if l := srv.currentLeader(ctx); !l.isSelf {
		return &wire.LatestResponse{Leader: l.leader.GetAddress()}, nil
	}
	answer := &wire.LatestResponse{Known: true}
	if err := srv.readState(ctx, func() { answer.Index = srv.catalog.Index() }); err != nil {
		return &wire.LatestResponse{}, nil
	}
	return answer, nil
}

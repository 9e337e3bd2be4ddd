package server

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// change proposes a command and waits for its verdict.
func (n *Node) change(ctx context.Context, cmd *wire.Command) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	return n.await(ctx, &request{command: data})
}

// read waits until all that was acknowledged before the call is in the state here, and looks at the state in the loop.
func (n *Node) read(ctx context.Context, look func()) error {
	return n.await(ctx, &request{done: func(o outcome) {
		if o.err == nil {
			look()
		}
	}})
}

// await submits a request and waits for its outcome.
func (n *Node) await(ctx context.Context, r *request) error {
	outcomes := make(chan outcome, 1)
	look := r.done
	r.done = func(o outcome) {
		if look != nil {
			look(o)
		}
		outcomes <- o
	}
	r.deadline = n.now() + answerWithin
	late := time.NewTimer(answerWithin)
	defer late.Stop()
	if !n.doUntil(ctx, late.C, func() { n.requests.submit(n.now(), r) }) {
		return errLateRequest
	}
	select {
	case o := <-outcomes:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return n.ctx.Err()
	case <-late.C:
		return errTimeout // it may still be applied
	}
}

// wantedVoters is the number of voters that the losses to be borne ask for.
func (n *Node) wantedVoters() int {
	set := n.set.Load()
	return raft.WantedVoters(set.Tolerated, len(set.Seeds))
}

// minAckVoters is the number of voters below which nothing is acknowledged now; for the loop.
func (n *Node) minAckVoters() int {
	return n.ackGate.minVoters(n.set.Load(), raft.Voters(n.consensus.Peers()))
}

// propose takes a data node's change of the list of servers.
func (n *Node) propose(ctx context.Context, p *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	if p.GetCommand().GetConfig() != nil {
		return nil, errors.New("configurations are taken from operators only")
	}
	leader, self := n.ask(ctx)
	if !self {
		return &wire.ProposeResponse{Leader: leader.GetAddress()}, nil
	}
	if err := n.change(ctx, p.Command); err != nil {
		n.log.Debug("change.refused", "err", err)
		return &wire.ProposeResponse{}, nil
	}
	return &wire.ProposeResponse{Committed: true}, nil
}

// latest tells how far the updates have come.
func (n *Node) latest(ctx context.Context, _ *wire.Empty) (*wire.LatestResponse, error) {
	leader, self := n.ask(ctx)
	if !self {
		return &wire.LatestResponse{Leader: leader.GetAddress()}, nil
	}
	answer := &wire.LatestResponse{Known: true}
	if err := n.read(ctx, func() { answer.Index = n.catalog.Index() }); err != nil {
		return &wire.LatestResponse{}, nil
	}
	return answer, nil
}

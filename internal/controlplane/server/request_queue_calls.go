package server

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// applyCommand proposes a command and waits until it is applied.
func (srv *Server) applyCommand(ctx context.Context, cmd *wire.Command) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	return srv.awaitOutcome(ctx, &request{command: data})
}

// readState waits until everything acknowledged before the call is applied here, and then runs read in the loop.
func (srv *Server) readState(ctx context.Context, read func()) error {
	return srv.awaitOutcome(ctx, &request{done: func(o outcome) {
		if o.err == nil {
			read()
		}
	}})
}

// awaitOutcome submits a request and waits up to operatorTimeout for its outcome.
func (srv *Server) awaitOutcome(ctx context.Context, req *request) error {
	outcomes := make(chan outcome, 1)
	done := req.done
	req.done = func(o outcome) {
		if done != nil {
			done(o)
		}
		outcomes <- o
	}
	req.deadline = srv.now() + operatorTimeout
	timeout := time.NewTimer(operatorTimeout)
	defer timeout.Stop()
	if !srv.runInLoopUntil(ctx, timeout.C, func() { srv.requests.submit(srv.now(), req) }) {
		return errQueueTimeout
	}
	select {
	case o := <-outcomes:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	case <-srv.ctx.Done():
		return srv.ctx.Err()
	case <-timeout.C:
		return errTimeout // the command may still be applied
	}
}

package agent

import (
	"context"
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

const (
	registerWait = 300 * time.Millisecond // for an accepted change to come back as an update
	registerTick = time.Second
	refusedPause = 100 * time.Millisecond
)

// register keeps the quorum's list in line with the servers of this machine: it compares what the updates say with what
// stands here, and proposes the difference until the updates agree.
func (a *Agent) register(ctx context.Context) {
	listed := catalog.Local{Node: a.options.Settings().Node}
	for ctx.Err() == nil {
		timer := time.NewTimer(registerTick)
		changed := a.Hub.Changed()
		changes, _ := a.Hub.State(listed.Index())
		listed.Apply(changes)
		if todo := a.difference(listed.Servers()); len(todo) > 0 {
			for _, cmd := range todo {
				if !a.propose(ctx, cmd) {
					timerpool.Sleep(ctx, refusedPause)
				}
			}
			timerpool.Sleep(ctx, registerWait)
		} else {
			select {
			case <-a.options.ServersChanged:
			case <-changed:
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		timer.Stop()
	}
}

// difference is what has to change in the list.
func (a *Agent) difference(listed []*wire.Server) []*wire.Command {
	set := a.options.Settings()
	m := localserver.Machine{Node: set.Node, Address: set.Internal(), Zone: set.Zone, Leaving: a.options.Leaving()}
	return localserver.Difference(m, a.options.Servers(), listed, time.Since(a.began) < 2*set.Heartbeat)
}

func (a *Agent) propose(ctx context.Context, cmd *wire.Command) bool {
	_, ok := atLeader(ctx, a, func(ctx context.Context, address string) (struct{}, bool, string) {
		answer := new(wire.ProposeResponse)
		if err := a.Pool.Call(ctx, address, "propose", &wire.ProposeRequest{Command: cmd}, answer); err != nil {
			return struct{}{}, false, ""
		}
		return struct{}{}, answer.Committed, answer.Leader
	})
	return ok
}

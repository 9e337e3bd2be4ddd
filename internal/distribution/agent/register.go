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
	updateWait        = 300 * time.Millisecond // for an accepted change to come back as an update
	compareInterval   = time.Second
	proposeRetryPause = 100 * time.Millisecond
)

// register keeps the registry in line with the servers of this machine: it compares the updates with the servers, and
// proposes the difference until they agree.
func (a *Agent) register(ctx context.Context) {
	registered := catalog.NodeServers{Node: a.options.Settings().Node}
	for ctx.Err() == nil {
		timer := time.NewTimer(compareInterval)
		changed := a.Hub.Changed()
		changes, _ := a.Hub.State(registered.Index())
		registered.Apply(changes)
		if commands := a.registryDifference(registered.Servers()); len(commands) > 0 {
			for _, cmd := range commands {
				if !a.propose(ctx, cmd) {
					timerpool.Sleep(ctx, proposeRetryPause)
				}
			}
			timerpool.Sleep(ctx, updateWait)
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

// registryDifference returns the commands by which the registry gets in line.
func (a *Agent) registryDifference(registered []*wire.Server) []*wire.Command {
	set := a.options.Settings()
	m := localserver.Machine{Node: set.Node, Address: set.Internal(), Zone: set.Zone, Draining: a.options.Draining()}
	return localserver.Difference(m, a.options.Servers(), registered, time.Since(a.startedAt) < 2*set.HeartbeatInterval)
}

// propose reports whether the leader has committed a command.
func (a *Agent) propose(ctx context.Context, cmd *wire.Command) bool {
	_, ok := callLeader(ctx, a, func(ctx context.Context, address string) (struct{}, bool, string) {
		answer := new(wire.ProposeResponse)
		if err := a.Pool.Call(ctx, address, "propose", &wire.ProposeRequest{Command: cmd}, answer); err != nil {
			return struct{}{}, false, ""
		}
		return struct{}{}, answer.Committed, answer.Leader
	})
	return ok
}

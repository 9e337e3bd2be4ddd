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
	updateWait        = 300 * time.Millisecond // time for a committed command to arrive as an update
	compareInterval   = time.Second            // time between comparisons while nothing changes
	proposeRetryPause = 100 * time.Millisecond // pause after a command that was not committed
)

// register keeps the registry consistent with the servers on this machine: it compares the registered servers with the
// running ones, and proposes commands until they match.
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

// registryDifference returns the commands that make the registry match the servers on this machine.
func (a *Agent) registryDifference(registered []*wire.Server) []*wire.Command {
	settings := a.options.Settings()
	machine := localserver.Machine{Node: settings.Node, Address: settings.Internal(), Zone: settings.Zone, Draining: a.options.Draining()}
	local := localserver.Local{Servers: a.options.Servers(), Departed: a.options.Departed, JustStarted: time.Since(a.startedAt) < 2*settings.HeartbeatInterval}
	return localserver.Reconcile(machine, local, registered)
}

// propose sends a command to the leader, and reports whether it was committed.
func (a *Agent) propose(ctx context.Context, cmd *wire.Command) bool {
	_, ok := callLeader(ctx, a, func(ctx context.Context, address string) (struct{}, bool, string) {
		response := new(wire.ProposeResponse)
		if err := a.Pool.Call(ctx, address, "propose", &wire.ProposeRequest{Command: cmd}, response); err != nil {
			return struct{}{}, false, ""
		}
		return struct{}{}, response.Committed, response.Leader
	})
	return ok
}

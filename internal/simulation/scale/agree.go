package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// latestIndex returns the index of the latest update; ok is false if no quorum member can confirm it.
func (r *run) latestIndex(ctx context.Context) (uint64, bool) {
	for member := range quorumSize {
		call, cancel := context.WithTimeout(ctx, time.Second)
		latest := new(wire.LatestResponse)
		err := r.pool.Call(call, fmt.Sprintf("%s:%d", r.ip(member), r.ports.Nodes), "latest", &wire.Empty{}, latest)
		cancel()
		if err == nil && latest.Known {
			return latest.Index, true
		}
	}
	return 0, false
}

// registeredServers returns the number of servers in the leader's registry, or -1 if there is no leader.
func (r *run) registeredServers(ctx context.Context) int {
	all, _ := r.operatorClient.Status(ctx)
	for _, s := range all {
		if s.IsLeader {
			return len(s.Servers)
		}
	}
	return -1
}

// leader returns the leader's process, or nil if there is no leader.
func (r *run) leader(ctx context.Context) *child {
	all, _ := r.operatorClient.Status(ctx)
	for _, s := range all {
		for _, c := range r.childrenOf(quorumRole) {
			if s.IsLeader && s.Node == c.name {
				return c
			}
		}
	}
	return nil
}

// convergence is the result of a check that all nodes have the same state.
type convergence struct {
	updates   bool   // all nodes have the latest update, and all their servers are registered
	converged bool   // updates holds, and all nodes list all members
	reason    string // empty if converged is true
}

// checkConvergence compares the states of all nodes.
func (r *run) checkConvergence(ctx context.Context) (result convergence) {
	for _, c := range r.childrenOf(quorumRole, realRole) {
		if err := c.exited(); err != nil {
			return convergence{reason: err.Error()}
		}
	}
	latest, ok := r.latestIndex(ctx)
	if !ok {
		return convergence{reason: "no leader"}
	}
	responses, err := r.each(func(*child) *command { return &command{State: true} })
	if err != nil {
		return convergence{reason: err.Error()}
	}
	for _, resp := range responses {
		switch s := resp.State; {
		case s.Nodes == 0:
		case s.MinIndex < latest:
			return convergence{reason: fmt.Sprintf("a node has updates up to %d, the latest is %d", s.MinIndex, latest)}
		case s.Ready < s.Nodes:
			return convergence{reason: fmt.Sprintf("%d of %d nodes in a process are ready", s.Ready, s.Nodes)}
		}
	}
	if n := r.registeredServers(ctx); n != len(r.running) {
		return convergence{reason: fmt.Sprintf("%d of %d servers are registered", n, len(r.running))}
	}
	result.updates = true
	members := quorumSize + len(r.running)
	for _, resp := range responses {
		if s := resp.State; s.Nodes > 0 && (s.MinMembers != members || s.MaxMembers != members) {
			result.reason = fmt.Sprintf("nodes list %d to %d members, want %d", s.MinMembers, s.MaxMembers, members)
			return result
		}
	}
	result.reason = r.divergentRealNode(ctx, latest, members)
	result.converged = result.reason == ""
	return result
}

// divergentRealNode describes a real node that lacks an update or a member. It returns "" if there is none. It runs only
// after the hollow nodes have converged, because each request for metrics adds load to an idle node.
func (r *run) divergentRealNode(ctx context.Context, latest uint64, members int) string {
	samples, err := r.samples(ctx, realRole)
	if err != nil {
		return err.Error()
	}
	for c, s := range samples {
		if s.index < latest || s.members != members {
			return fmt.Sprintf("%s has updates up to %d, the latest is %d, and lists %d of %d members", c.name, s.index, latest, s.members, members)
		}
	}
	return ""
}

// awaitConvergence waits up to Settle until all nodes have the same state. It records in e the time from the given start to
// convergence, or the difference that remains between the nodes.
func (r *run) awaitConvergence(ctx context.Context, e *EventReport, from time.Time) {
	waitCtx, cancel := context.WithTimeout(ctx, r.Settle)
	defer cancel()
	elapsed := func() *float64 {
		took := time.Since(from).Seconds()
		return &took
	}
	for polls := 0; waitCtx.Err() == nil; polls++ { // the interval grows with every 20 polls
		result := r.checkConvergence(waitCtx)
		if result.updates && e.UpdatesS == nil {
			e.UpdatesS = elapsed()
		}
		if result.converged {
			e.ConvergedS, e.Divergence = elapsed(), ""
			return
		}
		if waitCtx.Err() == nil {
			e.Divergence = result.reason
		}
		timerpool.Sleep(waitCtx, pollInterval*time.Duration(1+polls/20))
	}
	r.logf("  no convergence within %v: %s", r.Settle, e.Divergence)
}

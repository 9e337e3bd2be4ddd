package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// latestIndex asks the quorum for the index of the last update.
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

// registeredServers is the number of servers in the leader's registry.
func (r *run) registeredServers(ctx context.Context) int {
	all, _ := r.operatorClient.Status(ctx)
	for _, s := range all {
		if s.IsLeader {
			return len(s.Servers)
		}
	}
	return -1
}

// leader returns the leader's process; nil: there is none.
func (r *run) leader(ctx context.Context) *child {
	all, _ := r.operatorClient.Status(ctx)
	for _, s := range all {
		for _, c := range r.list(quorumRole) {
			if s.IsLeader && s.Node == c.name {
				return c
			}
		}
	}
	return nil
}

// convergence is the result of a check that all nodes have the same state.
type convergence struct {
	updates bool   // all have the latest update, and the list has all their servers
	all     bool   // they know each other, too
	reason  string // not all
}

// checkConvergence compares the states of all nodes.
func (r *run) checkConvergence(ctx context.Context) (a convergence) {
	for _, c := range r.list(quorumRole, realRole) {
		if err := c.exited(); err != nil {
			return convergence{reason: err.Error()}
		}
	}
	latest, ok := r.latestIndex(ctx)
	if !ok {
		return convergence{reason: "no leader"}
	}
	answers, err := r.each(func(*child) *command { return &command{State: true} })
	if err != nil {
		return convergence{reason: err.Error()}
	}
	for _, answer := range answers {
		switch s := answer.State; {
		case s.Nodes == 0:
		case s.MinIndex < latest:
			return convergence{reason: fmt.Sprintf("a node knows of update %d of %d", s.MinIndex, latest)}
		case s.Ready < s.Nodes:
			return convergence{reason: fmt.Sprintf("%d of %d nodes of a process are ready", s.Ready, s.Nodes)}
		}
	}
	if n := r.registeredServers(ctx); n != len(r.running) {
		return convergence{reason: fmt.Sprintf("%d of %d servers are listed", n, len(r.running))}
	}
	a.updates = true
	members := quorumSize + len(r.running)
	for _, answer := range answers {
		if s := answer.State; s.Nodes > 0 && (s.MinMembers != members || s.MaxMembers != members) {
			a.reason = fmt.Sprintf("nodes know %d to %d members, there are %d", s.MinMembers, s.MaxMembers, members)
			return a
		}
	}
	a.reason = r.divergentRealNode(ctx, latest, members)
	a.all = a.reason == ""
	return a
}

// divergentRealNode names a real node without an update, or with another number of members; empty: there is none. Real
// nodes are asked last and seldom, as serving its metrics costs a node more than all else in a second without load.
func (r *run) divergentRealNode(ctx context.Context, latest uint64, members int) string {
	real, err := r.samples(ctx, realRole)
	if err != nil {
		return err.Error()
	}
	for c, s := range real {
		if s.index < latest || s.members != members {
			return fmt.Sprintf("%s knows of update %d of %d and %d of %d members", c.name, s.index, latest, s.members, members)
		}
	}
	return ""
}

// awaitConvergence waits until all nodes have the same state, and reports how long that took from a time.
func (r *run) awaitConvergence(ctx context.Context, e *EventReport, from time.Time) {
	patience, cancel := context.WithTimeout(ctx, r.Settle)
	defer cancel()
	since := func() *float64 {
		took := time.Since(from).Seconds()
		return &took
	}
	for polls := 0; patience.Err() == nil; polls++ { // seldom where it takes long
		a := r.checkConvergence(patience)
		if a.updates && e.UpdatesS == nil {
			e.UpdatesS = since()
		}
		if a.all {
			e.AgreeS, e.Disagree = since(), ""
			return
		}
		if patience.Err() == nil {
			e.Disagree = a.reason
		}
		timerpool.Sleep(patience, pollEvery*time.Duration(1+polls/20))
	}
	r.logf("  no agreement within %v: %s", r.Settle, e.Disagree)
}

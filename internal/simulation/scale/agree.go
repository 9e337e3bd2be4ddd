package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/transport/wire"
)

// latestIndex asks the quorum how far the updates have come.
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

// listed is the number of servers in the leader's list.
func (r *run) listed(ctx context.Context) int {
	all, _ := r.core.Status(ctx)
	for _, s := range all {
		if s.IsLeader {
			return len(s.Servers)
		}
	}
	return -1
}

// leader returns the process that leads, or nil.
func (r *run) leader(ctx context.Context) *child {
	all, _ := r.core.Status(ctx)
	for _, s := range all {
		for _, c := range r.list(quorumRole) {
			if s.IsLeader && s.Node == c.name {
				return c
			}
		}
	}
	return nil
}

// agreement is how far all nodes agree.
type agreement struct {
	updates bool   // all have the latest update, and the list has all their servers
	all     bool   // they know each other, too
	why     string // not all
}

// agreed asks all nodes.
func (r *run) agreed(ctx context.Context) (a agreement) {
	for _, c := range r.list(quorumRole, realRole) {
		if err := c.died(); err != nil {
			return agreement{why: err.Error()}
		}
	}
	latest, ok := r.latestIndex(ctx)
	if !ok {
		return agreement{why: "no leader"}
	}
	answers, err := r.each(func(*child) *command { return &command{State: true} })
	if err != nil {
		return agreement{why: err.Error()}
	}
	for _, answer := range answers {
		switch s := answer.State; {
		case s.Nodes == 0:
		case s.MinIndex < latest:
			return agreement{why: fmt.Sprintf("a node knows of update %d of %d", s.MinIndex, latest)}
		case s.Ready < s.Nodes:
			return agreement{why: fmt.Sprintf("%d of %d nodes of a process are ready", s.Ready, s.Nodes)}
		}
	}
	if n := r.listed(ctx); n != len(r.running) {
		return agreement{why: fmt.Sprintf("%d of %d servers are listed", n, len(r.running))}
	}
	a.updates = true
	members := quorumSize + len(r.running)
	for _, answer := range answers {
		if s := answer.State; s.Nodes > 0 && (s.MinMembers != members || s.MaxMembers != members) {
			a.why = fmt.Sprintf("nodes know %d to %d members, there are %d", s.MinMembers, s.MaxMembers, members)
			return a
		}
	}
	a.why = r.realDisagree(ctx, latest, members)
	a.all = a.why == ""
	return a
}

// realDisagree says which real node does not know of an update or of so many members; empty: all do. They are asked last
// and seldom, as showing its figures costs a node more than all else that it does in a quiet second.
func (r *run) realDisagree(ctx context.Context, latest uint64, members int) string {
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

// untilAgreed waits until all agree, and reports how long that took from a moment on.
func (r *run) untilAgreed(ctx context.Context, e *EventReport, from time.Time) {
	patience, cancel := context.WithTimeout(ctx, r.Settle)
	defer cancel()
	since := func() *float64 {
		took := time.Since(from).Seconds()
		return &took
	}
	for polls := 0; patience.Err() == nil; polls++ { // seldom where it takes long
		a := r.agreed(patience)
		if a.updates && e.UpdatesS == nil {
			e.UpdatesS = since()
		}
		if a.all {
			e.AgreeS, e.Disagree = since(), ""
			return
		}
		if patience.Err() == nil {
			e.Disagree = a.why
		}
		timerpool.Sleep(patience, pollEvery*time.Duration(1+polls/20))
	}
	r.say("  no agreement within %v: %s", r.Settle, e.Disagree)
}

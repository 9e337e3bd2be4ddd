package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/wire"
)

// latestIndex asks the quorum how far the updates have come.
func (r *run) latestIndex(ctx context.Context) (uint64, bool) {
	for member := range quorumSize {
		call, cancel := context.WithTimeout(ctx, time.Second)
		latest := new(wire.Latest)
		err := r.pool.Call(call, fmt.Sprintf("%s:%d", r.ip(member), r.ports.Nodes), "latest", &wire.Ask{}, latest)
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
		if s.Leads {
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
			if s.Leads && s.Node == c.name {
				return c
			}
		}
	}
	return nil
}

// agreed tells whether all nodes know each other and the newest update, and the list has all their servers.
func (r *run) agreed(ctx context.Context) (bool, string) {
	for _, c := range r.list(quorumRole, realRole) {
		if err := c.died(); err != nil {
			return false, err.Error()
		}
	}
	latest, ok := r.latestIndex(ctx)
	if !ok {
		return false, "no leader"
	}
	answers, err := r.each(func(*child) *command { return &command{State: true} })
	if err != nil {
		return false, err.Error()
	}
	members := quorumSize + len(r.running)
	for _, a := range answers {
		switch s := a.State; {
		case s.Nodes == 0:
		case s.MinIndex < latest:
			return false, fmt.Sprintf("a node knows of update %d of %d", s.MinIndex, latest)
		case s.Fenced < s.Nodes:
			return false, fmt.Sprintf("%d of %d nodes of a process are ready", s.Fenced, s.Nodes)
		case s.MinMembers != members || s.MaxMembers != members:
			return false, fmt.Sprintf("nodes know %d to %d members, there are %d", s.MinMembers, s.MaxMembers, members)
		}
	}
	if n := r.listed(ctx); n != len(r.running) {
		return false, fmt.Sprintf("%d of %d servers are listed", n, len(r.running))
	}
	return r.realAgree(ctx, latest, members)
}

// realAgree tells whether the real nodes know of an update and of so many members. They are asked last and seldom, as
// showing its figures costs a node more than all else that it does in a quiet second.
func (r *run) realAgree(ctx context.Context, latest uint64, members int) (bool, string) {
	real, err := r.samples(ctx, realRole)
	if err != nil {
		return false, err.Error()
	}
	for c, s := range real {
		if s.index < latest || s.members != members {
			return false, fmt.Sprintf("%s knows of update %d of %d and %d of %d members", c.name, s.index, latest, s.members, members)
		}
	}
	return true, ""
}

// untilAgreed waits until all agree. It returns how long that took from a moment on; nil: not within the patience.
func (r *run) untilAgreed(ctx context.Context, from time.Time) *float64 {
	patience, cancel := context.WithTimeout(ctx, r.Settle)
	defer cancel()
	why := ""
	for polls := 0; patience.Err() == nil; polls++ { // seldom where it takes long
		ok, reason := r.agreed(patience)
		if ok {
			took := time.Since(from).Seconds()
			return &took
		}
		if patience.Err() == nil {
			why = reason
		}
		pause(patience, pollEvery*time.Duration(1+polls/20))
	}
	r.say("  no agreement within %v: %s", r.Settle, why)
	return nil
}

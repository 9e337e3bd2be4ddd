package server

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

// do runs a function in the loop; false: the node ends, or too much waits.
func (n *Node) do(f func()) bool {
	select {
	case n.events <- f:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// doUntil is do for a caller that waits no longer than its context or a timer.
func (n *Node) doUntil(ctx context.Context, late <-chan time.Time, f func()) bool {
	select {
	case n.events <- f:
		return true
	case <-ctx.Done():
	case <-late:
	case <-n.ctx.Done():
	}
	return false
}

// loop owns the consensus: events in, disk, messages, state. Once stop is closed it returns as soon as
// another leads and the voters that stay hold what this log holds, or after a part of the grace time.
func (n *Node) loop(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var left <-chan struct{}     // closed once this process may end by plan
	var overdue <-chan time.Time // it ends anyway
	for {
		select {
		case <-stop:
			stop = nil
			left, overdue = n.members.beginLeave(), time.After(n.set.Load().Bounds.Grace/leavePart)
			n.log.Info("member.leaves", "term", n.consensus.Term(), "leads", n.consensus.IsLeader())
		case <-left:
			n.log.Info("member.left", "term", n.consensus.Term())
			n.pause(lastWords)
			return
		case <-overdue:
			index, _ := n.consensus.LastEntry()
			n.log.Warn("member.left_short", "index", index, "commit", n.consensus.Committed(), "leads", n.consensus.IsLeader())
			return
		case f := <-n.events:
			n.consensus.Tick(n.now()) // after a pause of the process the lead, or the word of it, may be out of date
			f()
			for more := true; more; { // what has come meanwhile shares a sync
				select {
				case f := <-n.events:
					f()
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		n.consensus.Tick(n.now())
		n.requests.tick(n.now())
		if now := n.now(); now-n.managed >= manageEvery || n.consensus.IsLeader() != n.wasLead {
			n.managed = now
			n.manage()
		}
		n.members.tick()
		n.flush()
		n.observeContact(n.now())
		wait := min(n.consensus.NextTick()-n.now(), manageEvery)
		if at, ok := n.requests.next(); ok {
			wait = min(wait, at-n.now())
		}
		timer.Reset(max(time.Millisecond, wait))
	}
}

// flush carries out what the consensus asks for.
func (n *Node) flush() {
	for {
		out := n.consensus.Ready()
		if out.Empty() {
			return
		}
		n.save(&out)
		for _, m := range out.Messages {
			n.send(m)
		}
		for _, e := range out.CommittedEntries {
			n.apply(e)
		}
		for _, r := range out.ReadStates {
			n.requests.confirmed(r)
		}
		n.compact()
	}
}

// save puts an output on disk. A disk that refuses holds the loop up: nothing is
// answered from memory, and the others elect a leader whose disk works.
func (n *Node) save(out *raft.Ready) {
	if out.Snapshot == nil && out.HardState == nil && len(out.Entries) == 0 {
		return
	}
	b := store.Batch{Snapshot: out.Snapshot, Staged: n.staged(out.Snapshot), Whole: out.Snapshot != nil, Hard: out.HardState, Entries: out.Entries}
	began := time.Now()
	for failed := false; ; failed = true {
		err := n.store.Save(b)
		if err == nil {
			if failed {
				n.log.Warn("disk.back", "after", time.Since(began))
			}
			break
		}
		n.log.Error("disk.failed", "err", err)
		if !n.pause(diskPause) {
			return
		}
		if err := n.store.Reopen(); err != nil {
			n.log.Error("disk.reopen", "err", err)
		}
	}
	n.shown.Synced(time.Since(began))
	n.consensus.ObserveSync(time.Since(began))
	if took := time.Since(began); took > 300*time.Millisecond {
		n.log.Warn("disk.slow", "took", took)
	}
	if s := out.Snapshot; s != nil {
		if err := n.restoreState(s); err != nil {
			// It passed on the leader, which runs the same code or a newer one.
			n.log.Error("snapshot.unreadable", "err", err)
			panic(err)
		}
		n.applied = s.Index
		n.publish()
	}
	if len(out.Entries) > 0 {
		n.consensus.StableTo(out.Entries[len(out.Entries)-1].Index)
	}
}

func (n *Node) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-n.ctx.Done():
		return false
	}
}

// apply takes a committed entry into the state.
func (n *Node) apply(e *wire.Entry) {
	n.applied = e.Index
	changes, verdict := applyEntry(n.catalog, e)
	if changes != nil {
		n.hub.Apply(changes)
		if current := n.catalog.Current(); n.current.Load().Revision() != current.Revision() {
			n.setCurrent()
			n.log.Info("config.accepted", "revision", current.Revision(), "index", changes.To, "resources", len(changes.Resources))
		}
	}
	n.requests.applied(e, changes != nil, verdict)
}

// applyEntry applies an entry to the state. All replicas pass over one that can't be read alike.
func applyEntry(state *catalog.Catalog, e *wire.Entry) (*wire.Changes, error) {
	if e.Kind != wire.Entry_COMMAND {
		return nil, nil
	}
	cmd := new(wire.Command)
	if err := proto.Unmarshal(e.Data, cmd); err != nil {
		return nil, err
	}
	return state.Apply(cmd)
}

// publish hands a state on that was restored.
func (n *Node) publish() {
	n.hub.Apply(n.catalog.Whole())
	n.setCurrent()
}

// setCurrent lets the operator's calls see the configuration.
func (n *Node) setCurrent() {
	current := n.catalog.Current()
	n.current.Store(&current)
}

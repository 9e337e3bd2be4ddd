package node

import (
	"ivydeck/decide"
)

// applyList updates the peers from a list of servers and passes the list to the policy.
func (l *loop) applyList(update *list, change decide.Change) {
	if change != decide.ListDelta {
		listed := make(map[string]bool, len(update.entries))
		for i := range update.entries {
			listed[update.entries[i].ID] = true
		}
		for id, p := range l.peers {
			if !listed[id] {
				l.remove(p)
			}
		}
	}
	for i := range update.entries {
		e := &update.entries[i]
		p := l.peers[e.ID]
		if p != nil && (e.Health == decide.Removed || e.address != p.address || e.Started > l.started[e.ID]) {
			// The server restarted or moved: attempts to the old process must not reach the new one.
			l.remove(p)
			p = nil
		}
		if e.Health == decide.Removed {
			continue
		}
		if p == nil {
			p = &peer{id: e.ID, address: e.address}
			l.peers[e.ID], l.started[e.ID] = p, e.Started
		}
		if p.closed.Store(e.Health != decide.Healthy); p.closed.Load() {
			l.upstream.closeIdle(e.ID)
		}
	}
	sendable := false
	for _, p := range l.peers {
		sendable = sendable || !p.closed.Load()
	}
	l.ready.Store(sendable)
	l.execute(l.balancer.Members(l.now, decide.Members{Change: change, Servers: update.servers()}, l.actions[:0]))
}

// remove deletes a peer and closes its idle connections. Attempts whose request is not yet written are not sent.
func (l *loop) remove(p *peer) {
	p.closed.Store(true)
	l.upstream.closeIdle(p.id)
	delete(l.peers, p.id)
	delete(l.started, p.id)
}

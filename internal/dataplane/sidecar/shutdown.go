package sidecar

import (
	"context"
	"time"
)

// Steps of a graceful shutdown, from SIGTERM on or before the end of the platform's grace period.
const (
	clientsMovedAfter = 2500 * time.Millisecond // clients have found other nodes after that
	serverWorkEnd     = 1500 * time.Millisecond // until then the server beside the node has work as ever
	readsEnd          = 2900 * time.Millisecond // no further request is read after that: a long one could not end in time ...
	stopMargin        = 1600 * time.Millisecond // ... nor this long before the end, where that comes sooner
	leaveMargin       = 600 * time.Millisecond  // before the end: the process ends
	cancelBefore      = 200 * time.Millisecond  // before that requests are cancelled, so that they have an answer
)

// readingEnds is how long after SIGTERM requests are read. The platform counts on an answer to those that a client sends
// more than three seconds after it, whatever they take; those from before are excused once the second half of the grace
// period has begun.
func readingEnds(grace time.Duration) time.Duration { return min(readsEnd, grace-stopMargin) }

// shutDown ends the node's part in the mesh in order: no new work, answers to all
// that is under way, and the end before the platform kills the process.
func (n *Node) shutDown() {
	began := time.Now()
	n.shuttingDown.Store(true)
	n.front.BeginShutdown()
	n.log.Info("sidecar.shutting_down")
	grace := n.set.Load().Bounds.Grace
	idle := func() bool { return n.front.Pending() == 0 && n.inbound.Busy() == 0 }
	for time.Since(began) < readingEnds(grace) && !(time.Since(began) >= clientsMovedAfter && idle()) {
		// Clients take two seconds to go elsewhere, in which the server's work may go on. In a roll of many nodes
		// that is a good part of the capacity.
		if time.Since(began) >= min(serverWorkEnd, grace/4) && !n.emptying.Swap(true) {
			n.inbound.Wake() // the registry has to have it
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Some clients come to the end, where few other nodes are ready. What they send from here on is not read, and goes
	// elsewhere, while it has time; what was read by then has time to end.
	n.front.Stop()
	for time.Since(began) < grace-leaveMargin-cancelBefore && !idle() {
		time.Sleep(20 * time.Millisecond)
	}
	n.front.CloseAll()
	for time.Since(began) < grace-leaveMargin && n.front.Pending() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	n.gossip.Leave(ctx)
	n.log.Info("sidecar.stopped", "pending", n.front.Pending(), "busy", n.inbound.Busy())
}

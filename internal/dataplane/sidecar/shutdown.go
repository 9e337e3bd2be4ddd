package sidecar

import (
	"context"
	"time"
)

// Times of a graceful shutdown. Margins count back from the end of the platform's grace period, the other times from SIGTERM.
const (
	clientSwitchTime = 2500 * time.Millisecond // clients have switched to other nodes by then
	serverDrainDelay = 1500 * time.Millisecond // the local server still receives requests of other nodes until then
	maxReadWindow    = 2900 * time.Millisecond // upper bound on readWindow
	stopMargin       = 1600 * time.Millisecond // no requests are read within this time of the end
	exitMargin       = 600 * time.Millisecond  // the process exits this long before the end
	cancelMargin     = 200 * time.Millisecond  // pending requests are cancelled this long before the exit, which leaves time to write the responses
)

// readWindow returns how long after SIGTERM requests are still read. The platform requires a response to every request that a
// client sends more than three seconds after SIGTERM, however long it takes. The node stops reading before that, so that clients
// retry such requests on other nodes. Earlier requests may fail in the second half of the grace period.
func readWindow(grace time.Duration) time.Duration { return min(maxReadWindow, grace-stopMargin) }

// shutDown stops the node gracefully: it stops accepting requests, waits until pending requests are answered, and leaves the
// cluster before the platform kills the process.
func (n *Node) shutDown() {
	start := time.Now()
	n.shuttingDown.Store(true)
	n.frontend.BeginShutdown()
	n.log.Info("sidecar.shutting_down")
	grace := n.settings.Load().Bounds.Grace
	idle := func() bool { return n.frontend.Pending() == 0 && n.inbound.Busy() == 0 }
	for time.Since(start) < readWindow(grace) && !(time.Since(start) >= clientSwitchTime && idle()) {
		// Clients need two seconds to switch to other nodes. The local server keeps serving in that time: in a rolling
		// restart of many nodes it provides a considerable part of the capacity.
		if time.Since(start) >= min(serverDrainDelay, grace/4) && !n.draining.Swap(true) {
			n.inbound.Wake() // makes the agent report the draining status to the registry
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Clients may send requests to the end if few other nodes are ready. Requests that arrive from here on are not read, so that
	// clients can retry them on other nodes in time. Requests already read have time to finish.
	n.frontend.Stop()
	for time.Since(start) < grace-exitMargin-cancelMargin && !idle() {
		time.Sleep(20 * time.Millisecond)
	}
	n.frontend.CancelRequests()
	for time.Since(start) < grace-exitMargin && n.frontend.Pending() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	n.gossip.Leave(ctx)
	n.log.Info("sidecar.stopped", "pending", n.frontend.Pending(), "busy", n.inbound.Busy())
}

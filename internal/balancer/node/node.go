// Package node implements the load-balancing node, which does the I/O for the policy
// in package decide. A frontend accepts requests from clients, an upstream sends
// attempts to servers, and a discovery client watches the list of servers. A single
// event loop owns the policy, passes events to it and executes the actions it returns.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// The listener stays open for at least lateConnWindow, and until no connection has
	// been accepted for quietPeriod. Clients may open connections up to 0.4 s after the
	// shutdown was requested.
	lateConnWindow = 600 * time.Millisecond
	quietPeriod    = 200 * time.Millisecond
	// A shutdown fails the requests that are still pending after the longest deadline of a
	// class, or maxDrainWait if that is shorter, plus shutdownMargin. The platform kills
	// the process no earlier than 0.7 s after that deadline.
	maxDrainWait   = 3 * time.Second
	shutdownMargin = 300 * time.Millisecond
)

// Node is a load-balancing node.
type Node struct {
	config   *Config
	log      *slog.Logger
	clock    clock
	upstream *upstream
	loop     *loop
	frontend *frontend
	listener *net.TCPListener
	stop     context.CancelFunc // stops the loop, its attempts and discovery
}

// New creates a node and binds its listening address.
func New(config *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: config, log: log, clock: newClock()}
	sockets := newSockets(config.Sockets)
	n.upstream = newUpstream(n.clock, sockets, &config.Settings)
	loopCtx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop = newLoop(loopCtx, config, n.clock, n.upstream, log)
	n.loop.discovery = newDiscovery(config.Discovery, log, func(l *list) { n.loop.post(listReceived{l}) })
	n.frontend = newFrontend(config, n.clock, n.loop, sockets, log)
	sockets.evict = func() bool { return n.frontend.evictIdle(n.clock.now()) || n.upstream.evictOldest() }
	address, err := net.ResolveTCPAddr("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("resolving the listening address: %w", err)
	}
	if n.listener, err = net.ListenTCP("tcp", address); err != nil {
		return nil, fmt.Errorf("opening the listener: %w", err)
	}
	return n, nil
}

// Address returns the address on which the node listens for clients.
func (n *Node) Address() net.Addr { return n.listener.Addr() }

// Reload applies a new configuration to the running node. Only the address of
// discovery can change; all other settings are ignored.
func (n *Node) Reload(config *Config) { n.loop.discovery.setAddress(config.Discovery) }

// Run serves requests until ctx ends, and returns after a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	loopCtx := n.loop.ctx
	var workers sync.WaitGroup
	defer workers.Wait()
	defer n.stop()
	workers.Go(func() { n.loop.run(n.config.StoredList) })
	var since *uint64
	if n.config.StoredList != nil {
		since = &n.config.StoredList.generation
	}
	workers.Go(func() { n.loop.discovery.runWatch(loopCtx, since) })
	workers.Go(func() { n.loop.discovery.runFetches(loopCtx) })

	serveErr := make(chan error, 1)
	workers.Go(func() {
		serveErr <- n.frontend.server.Serve(&listener{n.listener, n.frontend})
	})
	select {
	case err := <-serveErr:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	err := n.shutdown()
	n.upstream.sweep(true)
	return err
}

// shutdown stops the node gracefully. It keeps the listener open at first, as closing
// it would reset the connections in its backlog.
func (n *Node) shutdown() error {
	start := n.clock.now()
	n.log.Info("balancer.shutting_down")
	n.frontend.draining.Store(true)
	longestDeadline := time.Duration(0)
	for _, class := range n.config.Settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	end := start + min(longestDeadline, maxDrainWait) + shutdownMargin
	for {
		now := n.clock.now()
		quietAt := max(start+lateConnWindow, time.Duration(n.frontend.lastAccepted.Load())+quietPeriod)
		if now >= min(quietAt, end) {
			break
		}
		time.Sleep(min(quietAt, end) - now)
	}
	// Shutdown closes idle connections at once and active ones after their response.
	ctx, cancel := context.WithTimeout(context.Background(), end-n.clock.now())
	defer cancel()
	err := n.frontend.server.Shutdown(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// The loop fails the remaining requests. Wait until their responses are sent.
	n.loop.post(shutdownStarted{})
	ctx, cancel = context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	if err := n.frontend.server.Shutdown(ctx); err != nil {
		n.frontend.server.Close()
		if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("shutting down the HTTP server: %w", err)
		}
	}
	return nil
}

// Package node is the load-balancing node: the I/O driver of the policy in package
// decide. A frontend takes requests from clients, an upstream sends attempts to
// servers, a discovery client follows the list of servers, and one loop owns the
// policy, passes events to it and executes the actions that it returns.
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
	// Clients may open connections for 0.4 s after the shutdown was requested.
	lateConnWindow = 600 * time.Millisecond
	quietPeriod    = 200 * time.Millisecond
	// The process is killed no sooner than 0.7 s after the longest deadline, of which
	// this is the maximum.
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
	stop     context.CancelFunc // ends the loop, its attempts and discovery
}

// New makes a node and binds its address.
func New(c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: c, log: log, clock: newClock()}
	sockets := newSockets(c.Sockets)
	n.upstream = newUpstream(n.clock, sockets, &c.Settings)
	inner, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop = newLoop(inner, c, n.clock, n.upstream, log)
	n.loop.discovery = newDiscovery(c.Discovery, log, func(l *list) { n.loop.post(listReceived{l}) })
	n.frontend = newFrontend(c, n.clock, n.loop, sockets, log)
	sockets.evict = func() bool { return n.frontend.evictIdle(n.clock.now()) || n.upstream.evictOldest() }
	address, err := net.ResolveTCPAddr("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	if n.listener, err = net.ListenTCP("tcp", address); err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return n, nil
}

// Address is where clients connect.
func (n *Node) Address() net.Addr { return n.listener.Addr() }

// Reload applies what a new configuration may change while the node runs: the
// address of discovery.
func (n *Node) Reload(c *Config) { n.loop.discovery.setAddress(c.Discovery) }

// Run serves until the context ends, and then until the requests that have come are
// answered.
func (n *Node) Run(ctx context.Context) error {
	inner := n.loop.ctx
	var parts sync.WaitGroup
	defer parts.Wait()
	defer n.stop()
	parts.Go(func() { n.loop.run(n.config.Known) })
	var since *uint64
	if n.config.Known != nil {
		since = &n.config.Known.generation
	}
	parts.Go(func() { n.loop.discovery.runWatch(inner, since) })
	parts.Go(func() { n.loop.discovery.runFetches(inner) })

	broke := make(chan error, 1)
	parts.Go(func() {
		broke <- n.frontend.server.Serve(&listener{n.listener, n.frontend})
	})
	select {
	case err := <-broke:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	err := n.shutdown()
	n.upstream.sweep(true)
	return err
}

// shutdown stops the service gracefully. It does not close the listener at once: that
// would reset the connections in its backlog.
func (n *Node) shutdown() error {
	begun := n.clock.now()
	n.log.Info("balancer.shutting_down")
	n.frontend.draining.Store(true)
	longest := time.Duration(0)
	for _, c := range n.config.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	last := begun + min(longest, maxDrainWait) + shutdownMargin
	for {
		now := n.clock.now()
		quietAt := max(begun+lateConnWindow, time.Duration(n.frontend.lastAccepted.Load())+quietPeriod)
		if now >= min(quietAt, last) {
			break
		}
		time.Sleep(min(quietAt, last) - now)
	}
	// Shutdown closes idle connections now, and those in use after their answer.
	ctx, cancel := context.WithTimeout(context.Background(), last-n.clock.now())
	defer cancel()
	err := n.frontend.server.Shutdown(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// The loop fails the requests that are left; their answers get a moment to be sent.
	n.loop.post(shutdownStarted{})
	ctx, cancel = context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	if err := n.frontend.server.Shutdown(ctx); err != nil {
		n.frontend.server.Close()
		if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("ending: %w", err)
		}
	}
	return nil
}

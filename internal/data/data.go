// Package data is the program of the sidecar machines: it carries the requests
// that begin there, stands beside the machine's server, and is one of the
// relays of the updates.
package data

import (
	"context"
	"fmt"
	"ivydeck/internal/identity"
	"ivydeck/internal/program"
	"ivydeck/internal/trace"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/agent"
	"ivydeck/internal/budget"
	"ivydeck/internal/entry"
	"ivydeck/internal/gossip"
	"ivydeck/internal/nodefile"
	"ivydeck/internal/proxy"
	"ivydeck/internal/relay"
	"ivydeck/internal/rpc"
)

const (
	upkeepEvery = 500 * time.Millisecond
	clientsGo   = 2500 * time.Millisecond
	stopMargin  = 1600 * time.Millisecond // before the platform kills the process: no further request is begun
	leaveMargin = 600 * time.Millisecond  // the same: the process ends
	serverGoes  = 1500 * time.Millisecond // after SIGTERM, until then the server beside the node has work as ever
	cutFor      = 200 * time.Millisecond  // before the end requests are called off, so that they have an answer
)

// Node is a sidecar machine's process.
type Node struct {
	set      atomic.Pointer[nodefile.Settings]
	log      *slog.Logger
	agent    *agent.Agent
	pool     *rpc.Pool // this one and the next three are the agent's
	gossip   *gossip.Gossip
	hub      *relay.Hub
	follower *relay.Follower
	front    *proxy.Front
	outbound *proxy.Outbound
	inbound  *proxy.Inbound
	began    time.Time
	workers  sync.WaitGroup

	leaving  atomic.Bool
	emptying atomic.Bool   // the server beside the node takes nothing more: the node is about to end
	traces   *trace.Ring   // nil: none are kept
	refused  atomic.Int64  // connections and calls of others, for their identity
	served   atomic.Bool   // there is a configuration and a server
	shares   budget.Shares // the upkeep's own

	world entry.WorldBuilder // watch's own
}

// Run is the whole life of a sidecar's process. It returns some time after the
// context ends, once clients and servers have had their answers.
func Run(ctx context.Context, set *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	n := &Node{log: log, began: time.Now(), pool: rpc.NewPool(life)}
	var err error
	if n.pool.Identity, err = program.Identity(set, log); err != nil {
		return err
	}
	n.set.Store(set)
	n.shares.Known = set.Bootstrap
	n.inbound = proxy.NewInbound(set.Bounds.Drain, set.Heartbeat, log)
	n.agent = agent.New(agent.Options{
		Settings: n.set.Load, Pool: n.pool, Seed: rng.Uint64(), Log: log,
		Servers: n.inbound.Servers, ServersChanged: n.inbound.Changed(), Leaving: n.emptying.Load,
	})
	n.gossip, n.hub, n.follower = n.agent.Gossip, n.agent.Hub, n.agent.Follower
	n.outbound = &proxy.Outbound{
		Node: set.Node, Zone: set.Zone, Backend: set.Backend, Ratio: set.Bounds.RetryRatio, Window: set.Bounds.RetryWindow,
		Pool: n.pool, Log: log, Graph: n.inbound.Graph, CallFailed: n.inbound.CallFailed,
	}
	n.outbound.Start(rng.Uint64())
	n.inbound.Pressure = n.outbound.Pressure
	if set.Trace > 0 || set.LogPart > 0 {
		n.traces = trace.NewRing(set.Trace)
		// Each side counts from its own begin; records keep to the node's.
		n.outbound.Trace, n.inbound.Trace = n.record(n.outbound.Since(n.began)), n.record(n.inbound.Since(n.began))
	}
	if set.Metrics != "" {
		n.outbound.Metrics = n.figures()
		n.workers.Go(func() {
			n.outbound.Metrics.Serve(life, set.Metrics, program.Secure(n.pool.Identity, set.SecureMetrics), log)
		})
	}
	n.front = &proxy.Front{
		Handle: n.outbound.Handle, Bounds: n.outbound.Bounds, Memory: int64(set.MemoryMB) << 20 / 4, Log: log,
	}
	listeners := make([]net.Listener, 0, 4)
	closeAll := func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	for _, addr := range []string{set.Internal(), set.Outbound, set.Control, set.Readiness} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return fmt.Errorf("listening: %w", err)
		}
		listeners = append(listeners, l)
	}
	defer closeAll()

	server := rpc.NewServer(log)
	server.Identity, server.Refused = n.pool.Identity, &n.refused
	n.agent.Register(server)
	server.Handle("forward", rpc.Unary(n.inbound.Forward))
	server.Handle("trace", rpc.Unary(n.trace), identity.Core)
	server.Handle("look", rpc.Unary(n.look), identity.Core)
	beats := n.web(http.HandlerFunc(n.beat))
	ready := n.web(http.HandlerFunc(n.ready))
	n.workers.Go(func() { server.Serve(life, listeners[0]) })
	n.workers.Go(func() {
		if err := n.front.Serve(life, listeners[1]); err != nil {
			log.Error("front.ended", "err", err)
		}
	})
	n.workers.Go(func() { beats.Serve(listeners[2]) })
	n.workers.Go(func() { ready.Serve(listeners[3]) })
	n.workers.Go(func() { n.agent.Run(life) })
	n.workers.Go(func() { n.watch(life) })
	n.workers.Go(func() {
		for life.Err() == nil {
			if s := reload(); s != nil {
				n.set.Store(s)
			} else {
				return
			}
		}
	})
	log.Info("data.start", "node", set.Node, "service", set.Backend)
	<-ctx.Done()
	n.leave()
	beats.Close()
	ready.Close()
	end()
	n.workers.Wait()
	n.outbound.Wait()
	return nil
}

// web makes a server for the platform's and the server's own calls.
func (n *Node) web(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// ready answers the platform's checks.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
	switch {
	case n.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !n.agent.Fenced() || !n.served.Load():
		http.Error(w, "no configuration or servers yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// share sets this node's part of the retry slack.
func (n *Node) share() {
	nodes := 0
	for _, m := range n.gossip.Members() {
		if !m.Core {
			nodes++
		}
	}
	n.shares.Slack, n.shares.Window = n.set.Load().Bounds.RetrySlack, n.set.Load().Bounds.RetryWindow
	n.outbound.Share(n.shares.Part(time.Since(n.began), nodes))
}

// leave ends the node's part in the mesh in order: no new work, answers to all
// that is under way, and the end before the platform's patience is over.
func (n *Node) leave() {
	began := time.Now()
	n.leaving.Store(true)
	n.front.Leave()
	n.log.Info("data.leaving")
	grace := n.set.Load().Bounds.Grace
	calm := func() bool { return n.front.Pending() == 0 && n.inbound.Busy() == 0 }
	for time.Since(began) < grace-stopMargin && !(time.Since(began) >= clientsGo && calm()) {
		// Clients take two seconds to go elsewhere, in which the server's work may go on. In a roll of many nodes
		// that is a good part of the capacity.
		if time.Since(began) >= min(serverGoes, grace/4) && !n.emptying.Swap(true) {
			n.inbound.Poke() // the list has to say so
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Some clients come to the end, where few other nodes are ready. What they send
	// from here on is not read, and goes elsewhere.
	n.front.Stop()
	for time.Since(began) < grace-leaveMargin-cutFor && !calm() {
		time.Sleep(20 * time.Millisecond)
	}
	n.front.Cut()
	for time.Since(began) < grace-leaveMargin && n.front.Pending() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	n.gossip.Leave(ctx)
	n.log.Info("data.left", "pending", n.front.Pending(), "busy", n.inbound.Busy())
}

package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/cluster/gossip"
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/budget"
	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/dataplane/trace"
	"ivydeck/internal/distribution/agent"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/program"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/rpc"
)

const upkeepEvery = 500 * time.Millisecond

// Node is a sidecar machine's process.
type Node struct {
	set      atomic.Pointer[nodefile.Settings]
	log      *slog.Logger
	agent    *agent.Agent
	pool     *rpc.Pool // this one and the next three are the agent's
	gossip   *gossip.Gossip
	hub      *relay.Hub
	follower *relay.Follower
	front    *proxy.Listener
	outbound *proxy.Outbound
	inbound  *proxy.Inbound
	began    time.Time
	workers  sync.WaitGroup

	shuttingDown atomic.Bool
	emptying     atomic.Bool   // the server beside the node takes nothing more: the node is about to end
	traces       *trace.Ring   // nil: none are kept
	refused      atomic.Int64  // connections and calls of others, for their identity
	served       atomic.Bool   // there is a configuration and a server
	shares       budget.Shares // the upkeep's own

	cluster router.ClusterStateBuilder // watch's own
}

// Run is a sidecar's process from its start to its end. It returns some time after the
// context ends, once clients and servers have had their answers.
func Run(ctx context.Context, set *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(running, set, log)
	if err != nil {
		return err
	}
	l, err := listen(set)
	if err != nil {
		return err
	}
	defer l.close()
	server, heartbeats, readiness := n.rpcServer(), n.httpServer(n.serveHeartbeat), n.httpServer(n.ready)
	n.workers.Go(func() { server.Serve(running, l.internal) })
	n.workers.Go(func() {
		if err := n.front.Serve(running, l.outbound); err != nil {
			log.Error("listener.serve_failed", "err", err)
		}
	})
	n.workers.Go(func() { heartbeats.Serve(l.control) })
	n.workers.Go(func() { readiness.Serve(l.readiness) })
	n.workers.Go(func() { n.agent.Run(running) })
	n.workers.Go(func() { n.watch(running) })
	n.workers.Go(func() {
		for s := reload(); s != nil; s = reload() { // it returns nothing once the program ends
			n.set.Store(s)
		}
	})
	if set.Metrics != "" {
		n.workers.Go(func() {
			n.outbound.Metrics.Serve(running, set.Metrics, program.Secure(n.pool.Identity(), set.SecureMetrics), log)
		})
	}
	log.Info("sidecar.started", "node", set.Node, "service", set.Backend)
	<-ctx.Done()
	n.shutDown()
	heartbeats.Close()
	readiness.Close()
	stop()
	n.workers.Wait()
	n.outbound.Wait()
	return nil
}

// newNode makes the parts of a node; none of them runs yet. Connections to other nodes end with the context.
func newNode(running context.Context, set *nodefile.Settings, log *slog.Logger) (*Node, error) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	source, err := program.Identity(set, log)
	if err != nil {
		return nil, err
	}
	n := &Node{log: log, began: time.Now(), pool: rpc.NewPool(running, rpc.PoolOptions{Identity: source})}
	n.set.Store(set)
	n.shares.FirstStart = set.Bootstrap
	n.inbound = proxy.NewInbound(set.Bounds.Drain, set.HeartbeatInterval, log)
	n.agent = agent.New(agent.Options{
		Settings: n.set.Load, Pool: n.pool, Seed: rng.Uint64(), Log: log,
		Servers: n.inbound.Servers, ServersChanged: n.inbound.Changed(), Draining: n.emptying.Load,
	})
	n.gossip, n.hub, n.follower = n.agent.Gossip, n.agent.Hub, n.agent.Follower
	n.outbound = &proxy.Outbound{
		Node: set.Node, Zone: set.Zone, Backend: set.Backend, Ratio: set.Bounds.RetryRatio, Window: set.Bounds.RetryWindow,
		Pool: n.pool, Log: log, Graph: n.inbound.Graph, CallFailed: n.inbound.CallFailed,
	}
	n.outbound.Start(rng.Uint64())
	n.inbound.Pressure = n.outbound.Pressure
	if set.TraceCapacity > 0 || set.AccessLogShare > 0 {
		n.traces = trace.NewRing(set.TraceCapacity)
		// Each side counts from its own begin; records keep to the node's.
		n.outbound.Trace, n.inbound.Trace = n.record(n.outbound.Since(n.began)), n.record(n.inbound.Since(n.began))
	}
	if set.Metrics != "" {
		n.outbound.Metrics = n.newMetrics()
	}
	n.front = &proxy.Listener{
		Handle: n.outbound.Handle, Bounds: n.outbound.Bounds, Memory: int64(set.MemoryMB) << 20 / 4, Log: log,
	}
	return n, nil
}

// rpcServer answers other nodes.
func (n *Node) rpcServer() *rpc.Server {
	server := rpc.NewServer(rpc.ServerOptions{Log: n.log, Identity: n.pool.Identity(), Rejected: &n.refused})
	n.agent.Register(server)
	server.Handle("forward", rpc.Unary(n.inbound.Forward))
	server.Handle("trace", rpc.Unary(n.handleTrace), identity.QuorumMember)
	server.Handle("look", rpc.Unary(n.handleStatus), identity.QuorumMember)
	return server
}

// httpServer answers the platform's and the server's own calls.
func (n *Node) httpServer(h http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// ready answers the platform's checks.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
	switch {
	case n.shuttingDown.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !n.agent.Ready() || !n.served.Load():
		http.Error(w, "no configuration or servers yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// updateRetrySlack sets this node's part of the retry slack.
func (n *Node) updateRetrySlack() {
	nodes := 0
	for _, m := range n.gossip.Members() {
		if !m.QuorumMember {
			nodes++
		}
	}
	n.shares.Slack, n.shares.Window = n.set.Load().Bounds.RetrySlack, n.set.Load().Bounds.RetryWindow
	n.outbound.SetRetrySlack(n.shares.Share(time.Since(n.began), nodes))
}

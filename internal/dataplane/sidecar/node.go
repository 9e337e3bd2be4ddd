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

const upkeepInterval = 500 * time.Millisecond

// Node is a running sidecar.
type Node struct {
	settings  atomic.Pointer[nodefile.Settings]
	log       *slog.Logger
	agent     *agent.Agent
	pool      *rpc.Pool // pool, gossip, hub and follower are shared with agent
	gossip    *gossip.Gossip
	hub       *relay.Hub
	follower  *relay.Follower
	frontend  *proxy.Listener
	outbound  *proxy.Outbound
	inbound   *proxy.Inbound
	verifier  *verifier
	startTime time.Time
	workers   sync.WaitGroup

	shuttingDown atomic.Bool
	draining     atomic.Bool   // the local server accepts no new requests because the node is shutting down
	traces       *trace.Ring   // nil if no traces are kept
	refused      atomic.Int64  // connections and calls rejected because of the peer's identity
	canServe     atomic.Bool   // a configuration has been applied and a server is registered
	shares       budget.Shares // used only by watch

	cluster router.ClusterStateBuilder // used only by watch
}

// Run runs a sidecar until ctx ends, and returns after a graceful shutdown. It calls reload repeatedly; each call blocks until
// the settings have changed, and returns nil when the program ends.
func Run(ctx context.Context, settings *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(runCtx, settings, log)
	if err != nil {
		return err
	}
	sockets, err := listen(settings)
	if err != nil {
		return err
	}
	defer sockets.close()
	server, heartbeats, readiness := n.rpcServer(), n.httpServer(n.serveHeartbeat), n.httpServer(n.ready)
	n.workers.Go(func() { server.Serve(runCtx, sockets.internal) })
	n.workers.Go(func() {
		if err := n.frontend.Serve(runCtx, sockets.outbound); err != nil {
			log.Error("listener.serve_failed", "err", err)
		}
	})
	n.workers.Go(func() { heartbeats.Serve(sockets.control) })
	n.workers.Go(func() { readiness.Serve(sockets.readiness) })
	n.workers.Go(func() { n.agent.Run(runCtx) })
	n.workers.Go(func() { n.watch(runCtx) })
	n.workers.Go(func() { n.verifier.run(runCtx) })
	n.workers.Go(func() { n.applyReloads(reload) })
	if settings.Metrics != "" {
		n.workers.Go(func() {
			n.outbound.Metrics.Serve(runCtx, settings.Metrics, program.Secure(n.pool.Identity(), settings.SecureMetrics), log)
		})
	}
	log.Info("sidecar.started", "node", settings.Node, "service", settings.Backend)
	<-ctx.Done()
	n.shutDown()
	heartbeats.Close()
	readiness.Close()
	stop()
	n.workers.Wait()
	n.outbound.Wait()
	return nil
}

// newNode creates a node without starting it. Connections to other nodes are closed when runCtx ends.
func newNode(runCtx context.Context, settings *nodefile.Settings, log *slog.Logger) (*Node, error) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	source, err := program.Identity(settings, log)
	if err != nil {
		return nil, err
	}
	n := &Node{log: log, startTime: time.Now(), pool: rpc.NewPool(runCtx, rpc.PoolOptions{Identity: source})}
	n.settings.Store(settings)
	n.shares.FirstStart = settings.Bootstrap
	n.inbound = proxy.NewInbound(settings.Bounds.Drain, settings.HeartbeatInterval, log)
	n.agent = agent.New(agent.Options{
		Settings: n.settings.Load, Pool: n.pool, Seed: rng.Uint64(), Log: log,
		Servers: n.inbound.Servers, ServersChanged: n.inbound.Changed(), Departed: n.inbound.Departed, Draining: n.draining.Load,
	})
	n.verifier = newVerifier(n.inbound, n.agent, log)
	n.gossip, n.hub, n.follower = n.agent.Gossip, n.agent.Hub, n.agent.Follower
	n.outbound = &proxy.Outbound{
		Node: settings.Node, Zone: settings.Zone, Caller: func() string { return n.settings.Load().Backend }, RetryRatio: settings.Bounds.RetryRatio, RetryWindow: settings.Bounds.RetryWindow,
		Pool: n.pool, Log: log, RecordCall: n.inbound.RecordCall, CallFailed: n.inbound.CallFailed,
	}
	n.outbound.Start(rng.Uint64())
	n.inbound.Pressure = n.outbound.Pressure
	if settings.TraceCapacity > 0 || settings.AccessLogShare > 0 {
		n.traces = trace.NewRing(settings.TraceCapacity)
		// Outbound and Inbound record times since their own start; recorder converts them to times since the node's start.
		n.outbound.Trace, n.inbound.Trace = n.recorder(n.outbound.StartOffset(n.startTime)), n.recorder(n.inbound.StartOffset(n.startTime))
	}
	if settings.Metrics != "" {
		n.outbound.Metrics = n.newMetrics()
	}
	n.frontend = &proxy.Listener{
		Handle: n.outbound.Handle, Bounds: n.outbound.Bounds, MaxBodyMemory: int64(settings.MemoryMB) << 20 / 4, Log: log,
	}
	return n, nil
}

// applyReloads puts each new version of the settings into force. reload blocks until they change, and returns nil once the
// program ends.
func (n *Node) applyReloads(reload func() *nodefile.Settings) {
	for s := reload(); s != nil; s = reload() {
		n.settings.Store(s)
	}
}

// rpcServer returns the server for RPCs of other nodes and of quorum members.
func (n *Node) rpcServer() *rpc.Server {
	server := rpc.NewServer(rpc.ServerOptions{Log: n.log, Identity: n.pool.Identity(), Rejected: &n.refused})
	n.agent.Register(server)
	server.Handle("forward", rpc.Unary(n.inbound.Forward))
	server.Handle("trace", rpc.Unary(n.handleTrace), identity.QuorumMember)
	server.Handle("look", rpc.Unary(n.handleStatus), identity.QuorumMember)
	return server
}

// httpServer returns an HTTP server with the limits for calls of the platform and the local server.
func (n *Node) httpServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// ready handles the platform's readiness checks.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
	switch {
	case n.shuttingDown.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.frontend.Full():
		http.Error(w, "too many client connections", http.StatusServiceUnavailable)
	case !n.agent.Ready() || !n.canServe.Load():
		http.Error(w, "no configuration or servers yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// updateRetrySlack recomputes this node's share of the retry slack, which the sidecars divide evenly.
func (n *Node) updateRetrySlack() {
	nodes := 0
	for _, m := range n.gossip.Members() {
		if !m.QuorumMember {
			nodes++
		}
	}
	n.shares.Slack, n.shares.Window = n.settings.Load().Bounds.RetrySlack, n.settings.Load().Bounds.RetryWindow
	n.outbound.SetRetrySlack(n.shares.Share(time.Since(n.startTime), nodes))
}

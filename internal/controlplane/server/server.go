package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/cluster/gossip"
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/metrics"
	"ivydeck/internal/program"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const (
	// operatorTimeout bounds an answer to operators, who go on to another member after a second.
	operatorTimeout = 900 * time.Millisecond
	// maxQueuedEvents bounds what waits for the loop; further callers wait in turn.
	maxQueuedEvents = 1024

	// The limits of the operator's HTTP interface.
	httpHeaderTimeout   = 3 * time.Second
	httpBodyTimeout     = 10 * time.Second
	httpIdleTimeout     = 30 * time.Second
	httpMaxHeaderBytes  = 16 << 10
	httpShutdownTimeout = 500 * time.Millisecond
)

// Server is a quorum member's process. The embedded replica belongs to the goroutine of loop; all else is safe for
// concurrent use.
type Server struct {
	settings  atomic.Pointer[nodefile.Settings]
	log       *slog.Logger
	startedAt time.Time // the zero of all times of the consensus
	ctx       context.Context
	workers   sync.WaitGroup // all goroutines of the server but that of loop

	events chan func() // run by loop, in order
	replica

	// Cluster.
	pool   *rpc.Pool
	gossip *gossip.Gossip
	hub    *relay.Hub // the root of the distribution tree

	// What other goroutines may read of the replica's state.
	config    atomic.Pointer[catalog.Current] // the configuration that was applied last
	contactAt atomic.Int64                    // when a quorum last confirmed the state here, in ns since startedAt

	// Operators.
	replaceSlots  chan struct{} // has an element for each change that a call holds in memory
	rejectedCalls atomic.Int64  // calls without a proper identity
	metrics       *metrics.Set  // nil: not served

	snapshotReceiver
}

// Run runs a quorum member until stop ends. It returns soon after that: a leader transfers its leadership first, see
// loop.
func Run(stop context.Context, settings *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	srv, err := newServer(ctx, settings, log)
	if err != nil {
		return err
	}
	listeners, err := srv.listen()
	if err != nil {
		srv.store.Close()
		return err
	}
	operatorServer := srv.serve(listeners)
	srv.workers.Go(func() { srv.followSettings(reload) })
	log.Info("control.started", "node", settings.Node, "identity", identityText(srv.store.ID), "entries", srv.consensus.Backlog(),
		"empty", srv.store.Fresh)
	srv.loop(stop.Done())
	cancel()
	srv.closeOperatorServer(operatorServer)
	srv.workers.Wait()
	return srv.store.Close()
}

// newServer opens the store and restores the replicated state from it.
func newServer(ctx context.Context, settings *nodefile.Settings, log *slog.Logger) (*Server, error) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	source, err := program.Identity(settings, log)
	if err != nil {
		return nil, err
	}
	st, err := store.Open(settings.DataDir, rng)
	if err != nil {
		return nil, err
	}
	if st.Damaged != nil {
		log.Error("store.damaged", "err", st.Damaged, "moved_to", "log.damaged, beside the new folder")
	}
	secured := rpc.PoolOptions{Identity: source}
	srv := &Server{
		log:          log,
		startedAt:    time.Now(),
		ctx:          ctx,
		events:       make(chan func(), maxQueuedEvents),
		replaceSlots: make(chan struct{}, maxReplacing),
		pool:         rpc.NewPool(ctx, secured),
		replica:      newReplica(st, rpc.NewPool(ctx, secured)),
	}
	srv.settings.Store(settings)
	srv.contactAt.Store(-int64(raft.MaxContactAge))
	srv.hub = relay.NewHub(func() time.Duration { return srv.now() - time.Duration(srv.contactAt.Load()) })
	if err := srv.restore(rng.Uint64()); err != nil {
		st.Close()
		return nil, err
	}
	self := &wire.Member{
		Name: settings.Node, Address: settings.Internal(), Zone: settings.Zone, QuorumMember: true,
		Generation: uint64(time.Now().UnixMilli()),
	}
	srv.gossip = gossip.New(self, rng.Uint64(), srv.pool, func() []string { return srv.settings.Load().SeedNodes() }, log)
	return srv, nil
}

// listeners are the server's ports.
type listeners struct {
	internal net.Listener // of the other processes of the mesh
	operator net.Listener
}

// listen opens both ports, or none.
func (srv *Server) listen() (listeners, error) {
	settings := srv.settings.Load()
	internal, err := net.Listen("tcp", settings.Internal())
	if err != nil {
		return listeners{}, fmt.Errorf("listening to nodes: %w", err)
	}
	operator, err := net.Listen("tcp", settings.Control)
	if err != nil {
		internal.Close()
		return listeners{}, fmt.Errorf("listening to operators: %w", err)
	}
	if settings.SecureOperator {
		operator = tls.NewListener(operator, srv.pool.Identity().Server())
	}
	return listeners{internal, operator}, nil
}

// serve starts the goroutines that answer others, and returns the operators' HTTP server.
func (srv *Server) serve(l listeners) *http.Server {
	settings := srv.settings.Load()
	rpcServer := srv.newRPCServer()
	operatorServer := srv.newOperatorServer()
	if settings.Metrics != "" {
		srv.metrics = srv.newMetrics()
		secure := program.Secure(srv.pool.Identity(), settings.SecureMetrics)
		srv.workers.Go(func() { srv.metrics.Serve(srv.ctx, settings.Metrics, secure, srv.log) })
	}
	srv.workers.Go(func() { rpcServer.Serve(srv.ctx, l.internal) })
	srv.workers.Go(func() { operatorServer.Serve(l.operator) }) // it returns an error once it is closed
	srv.workers.Go(func() { srv.gossip.Run(srv.ctx) })
	srv.membership.run(srv.ctx)
	return operatorServer
}

// newRPCServer registers the methods that other processes call. Their names are frozen: see the proto files.
func (srv *Server) newRPCServer() *rpc.Server {
	s := rpc.NewServer(rpc.ServerOptions{Log: srv.log, Identity: srv.pool.Identity(), Rejected: &srv.rejectedCalls})
	srv.gossip.Register(s)
	s.Handle("raft", srv.raftStream, identity.QuorumMember)
	s.Handle("snapshot", srv.snapshotStream, identity.QuorumMember)
	s.Handle("join", rpc.Unary(srv.membership.handleJoin), identity.QuorumMember)
	s.Handle("leave", rpc.Unary(srv.membership.handleLeave), identity.QuorumMember)
	s.Handle("propose", rpc.Unary(srv.handlePropose))
	s.Handle("latest", rpc.Unary(srv.handleLatest))
	s.Handle("subscribe", srv.hub.Serve)
	return s
}

func (srv *Server) newOperatorServer() *http.Server {
	return &http.Server{
		Handler:           srv.routes(),
		ReadHeaderTimeout: httpHeaderTimeout,
		ReadTimeout:       httpBodyTimeout,
		WriteTimeout:      httpBodyTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    httpMaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(srv.log.Handler(), slog.LevelDebug),
	}
}

// closeOperatorServer lets the calls in progress end, for a moment.
func (srv *Server) closeOperatorServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	s.Shutdown(ctx) // an error says that calls are still in progress: Close ends them
	s.Close()
}

// followSettings takes settings as they change. reload blocks until then, and returns nil once the program ends.
func (srv *Server) followSettings(reload func() *nodefile.Settings) {
	for s := reload(); s != nil; s = reload() {
		srv.settings.Store(s)
	}
}

// now is the time of the consensus: a duration since the process started.
func (srv *Server) now() time.Duration { return time.Since(srv.startedAt) }

// identityText is a member's identity as logs, operators and tools write it.
func identityText(id uint64) string { return fmt.Sprintf("%016x", id) }

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
	// operatorTimeout bounds the response time to operators, who retry at another member after one second.
	operatorTimeout = 900 * time.Millisecond
	// maxQueuedEvents is the capacity of the loop's event queue. Callers block while it is full.
	maxQueuedEvents = 1024

	// Limits of the operators' HTTP interface.
	httpHeaderTimeout   = 3 * time.Second
	httpBodyTimeout     = 10 * time.Second
	httpIdleTimeout     = 30 * time.Second
	httpMaxHeaderBytes  = 16 << 10
	httpShutdownTimeout = 500 * time.Millisecond
)

// Server is a quorum member. Only the goroutine of loop may access the embedded replica; all other fields are safe for
// concurrent use.
type Server struct {
	settings  atomic.Pointer[nodefile.Settings]
	log       *slog.Logger
	startedAt time.Time // origin of all times passed to the consensus
	ctx       context.Context
	workers   sync.WaitGroup // all goroutines of the server except that of loop

	events chan func() // run by loop in order
	replica

	// Communication with other processes.
	pool   *rpc.Pool
	gossip *gossip.Gossip
	hub    *relay.Hub // the root of the distribution tree

	// Copies of the replica's state for other goroutines.
	config    atomic.Pointer[catalog.Current] // the last applied configuration
	contactAt atomic.Int64                    // last confirmation of this member's state by a quorum, in ns since startedAt

	// Operators' requests.
	uploads       *uploads     // bounds the configurations that are read and parsed
	rejectedCalls atomic.Int64 // calls rejected because of their identity
	metrics       *metrics.Set // nil if metrics are disabled

	snapshotReceiver
}

// Run runs a quorum member until stop is cancelled. It then shuts down gracefully as described at loop, which includes
// a transfer of the leadership.
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
	srv.workers.Go(func() { srv.watchSettings(reload) })
	log.Info("control.started", "node", settings.Node, "identity", formatIdentity(srv.store.ID), "entries", srv.consensus.Backlog(),
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
		log.Error("store.damaged", "err", st.Damaged, "moved_to", "log.damaged in data_dir")
	}
	poolOptions := rpc.PoolOptions{Identity: source}
	srv := &Server{
		log:       log,
		startedAt: time.Now(),
		ctx:       ctx,
		events:    make(chan func(), maxQueuedEvents),
		uploads:   newUploads(),
		pool:      rpc.NewPool(ctx, poolOptions),
		replica:   newReplica(st, rpc.NewPool(ctx, poolOptions)),
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

// listenerSet holds the server's open ports.
type listenerSet struct {
	internal net.Listener // RPC from nodes and other quorum members
	operator net.Listener // HTTP from operators
}

// listen opens both ports. If one fails, it leaves none open.
func (srv *Server) listen() (listenerSet, error) {
	settings := srv.settings.Load()
	internal, err := net.Listen("tcp", settings.Internal())
	if err != nil {
		return listenerSet{}, fmt.Errorf("listen on the internal port: %w", err)
	}
	operator, err := net.Listen("tcp", settings.Control)
	if err != nil {
		internal.Close()
		return listenerSet{}, fmt.Errorf("listen on the operators' port: %w", err)
	}
	if settings.SecureOperator {
		operator = tls.NewListener(operator, srv.pool.Identity().Server())
	}
	return listenerSet{internal, operator}, nil
}

// serve starts the RPC, HTTP, metrics and gossip goroutines, and returns the operators' HTTP server.
func (srv *Server) serve(listeners listenerSet) *http.Server {
	settings := srv.settings.Load()
	rpcServer := srv.newRPCServer()
	operatorServer := srv.newOperatorServer()
	if settings.Metrics != "" {
		srv.metrics = srv.newMetrics()
		secure := program.Secure(srv.pool.Identity(), settings.SecureMetrics)
		srv.workers.Go(func() { srv.metrics.Serve(srv.ctx, settings.Metrics, secure, srv.log) })
	}
	srv.workers.Go(func() { rpcServer.Serve(srv.ctx, listeners.internal) })
	srv.workers.Go(func() { operatorServer.Serve(listeners.operator) }) // returns ErrServerClosed after a shutdown
	srv.workers.Go(func() { srv.gossip.Run(srv.ctx) })
	srv.membership.run(srv.ctx)
	return operatorServer
}

// newRPCServer registers the RPC methods. Their names are part of the wire protocol: see the proto files.
func (srv *Server) newRPCServer() *rpc.Server {
	rpcServer := rpc.NewServer(rpc.ServerOptions{Log: srv.log, Identity: srv.pool.Identity(), Rejected: &srv.rejectedCalls})
	srv.gossip.Register(rpcServer)
	rpcServer.Handle("raft", srv.raftStream, identity.QuorumMember)
	rpcServer.Handle("snapshot", srv.snapshotStream, identity.QuorumMember)
	rpcServer.Handle("join", rpc.Unary(srv.membership.handleJoin), identity.QuorumMember)
	rpcServer.Handle("leave", rpc.Unary(srv.membership.handleLeave), identity.QuorumMember)
	rpcServer.Handle("propose", rpc.Unary(srv.handlePropose))
	rpcServer.Handle("departure", rpc.Unary(srv.handleDeparture))
	rpcServer.Handle("latest", rpc.Unary(srv.handleLatest))
	rpcServer.Handle("subscribe", srv.hub.Serve)
	return rpcServer
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

// closeOperatorServer waits up to httpShutdownTimeout for calls in progress, and then closes their connections.
func (srv *Server) closeOperatorServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	s.Shutdown(ctx) // on an error, calls are still in progress, and Close ends them
	s.Close()
}

// watchSettings stores each new version of the settings. reload blocks until they change, and returns nil once the
// program ends.
func (srv *Server) watchSettings(reload func() *nodefile.Settings) {
	for s := reload(); s != nil; s = reload() {
		srv.settings.Store(s)
	}
}

// now returns the consensus time: the duration since startedAt.
func (srv *Server) now() time.Duration { return time.Since(srv.startedAt) }

// formatIdentity formats a member's identity for logs, operators and tools.
func formatIdentity(id uint64) string { return fmt.Sprintf("%016x", id) }

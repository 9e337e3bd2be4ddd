// Package control is the program of the quorum members: it drives the consensus
// on its disk, answers the operator, and is where the tree of relays begins.
package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/cluster/gossip"
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/backup"
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
	manageEvery  = 250 * time.Millisecond
	answerWithin = 900 * time.Millisecond // operators move on after a second of silence
	maxHeard     = 64
	diskPause    = 200 * time.Millisecond
	lastWords    = 50 * time.Millisecond // for its vote to go out
)

// Node is a quorum member.
type Node struct {
	set     atomic.Pointer[nodefile.Settings]
	log     *slog.Logger
	pool    *rpc.Pool
	gossip  *gossip.Gossip
	hub     *relay.Hub
	current atomic.Pointer[catalog.Current] // the configuration as last applied
	shown   *metrics.Set                    // nil: not served
	refused atomic.Int64                    // calls of the operator's interface, for want of a proper identity
	began   time.Time
	events  chan func()
	ctx     context.Context

	replacing chan struct{} // one element for each change that an operator's call holds

	// What follows belongs to the goroutine in loop.
	store       *store.Store
	consensus   *raft.Node
	members     *membershipManager
	catalog     *catalog.Catalog
	applied     uint64
	requests    *requestQueue
	ackGate     ackGate
	operatorAPI operatorAPI
	senders     map[uint64]*sender
	managed     time.Duration
	wasLead     bool
	ledSince    time.Duration
	heard       map[uint64]string // addresses of those who sent messages

	compacting bool                 // a snapshot of the state is being written
	transfers  map[uint64]*transfer // of snapshots, by receiver
	installing *received            // is being put in force

	transferPool *rpc.Pool                  // the connections that snapshots go over
	receiving    atomic.Pointer[rpc.Stream] // over which a snapshot comes
	receipt      sync.Mutex                 // held by the goroutine that takes one in

	workers   sync.WaitGroup
	contactAt atomic.Int64 // ns since the begin, when a quorum last confirmed the state here

	outOfTouch bool // as last logged; the loop's
}

// Run is the whole life of a quorum member. It returns soon after the context ends: a leader gives the lead to another
// first.
func Run(stop context.Context, set *nodefile.Settings, reload func() *nodefile.Settings, log *slog.Logger) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	source, err := program.Identity(set, log)
	if err != nil {
		return err
	}
	st, err := store.Open(set.DataDir, rng)
	if err != nil {
		return err
	}
	if st.Damaged != nil {
		log.Error("store.damaged", "err", st.Damaged, "kept", "beside the new folder, as log.damaged")
	}
	n := &Node{
		log: log, began: time.Now(), events: make(chan func(), 1024), replacing: make(chan struct{}, maxReplacing), ctx: ctx, store: st, catalog: catalog.New(),
		senders: map[uint64]*sender{}, heard: map[uint64]string{}, pool: rpc.NewPool(ctx), transferPool: rpc.NewPool(ctx),
		transfers: map[uint64]*transfer{},
	}
	n.pool.Identity, n.transferPool.Identity = source, source
	n.set.Store(set)
	n.contactAt.Store(-int64(raft.MaxContactAge))
	n.outOfTouch = true // a start is no loss of touch
	n.hub = relay.NewHub(func() time.Duration { return n.now() - time.Duration(n.contactAt.Load()) })
	if err := n.restore(rng.Uint64()); err != nil {
		st.Close()
		return err
	}
	n.gossip = gossip.New(&wire.Member{
		Name: set.Node, Address: set.Internal(), Zone: set.Zone, QuorumMember: true, Generation: uint64(time.Now().UnixMilli()),
	}, rng.Uint64(), n.pool, func() []string { return n.set.Load().SeedNodes() }, log)

	internal, err := net.Listen("tcp", set.Internal())
	if err != nil {
		st.Close()
		return fmt.Errorf("listening to nodes: %w", err)
	}
	public, err := net.Listen("tcp", set.Control)
	if err != nil {
		internal.Close()
		st.Close()
		return fmt.Errorf("listening to operators: %w", err)
	}
	server := rpc.NewServer(log)
	server.Identity, server.Refused = n.pool.Identity, &n.refused
	n.gossip.Register(server)
	server.Handle("raft", n.raftStream, identity.Core)
	server.Handle("snapshot", n.snapshotStream, identity.Core)
	server.Handle("join", rpc.Unary(n.members.join), identity.Core)
	server.Handle("leave", rpc.Unary(n.members.leave), identity.Core)
	server.Handle("propose", rpc.Unary(n.propose))
	server.Handle("latest", rpc.Unary(n.latest))
	server.Handle("subscribe", n.hub.Serve)
	web := &http.Server{
		Handler: n.routes(), ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	if set.Metrics != "" {
		n.shown = n.figures()
		n.workers.Go(func() { n.shown.Serve(ctx, set.Metrics, program.Secure(n.pool.Identity, set.SecureMetrics), log) })
	}
	n.workers.Go(func() { server.Serve(ctx, internal) })
	if set.SecureOperator {
		public = tls.NewListener(public, n.pool.Identity.Server())
	}
	n.workers.Go(func() { web.Serve(public) })
	n.workers.Go(func() { n.gossip.Run(ctx) })
	n.members.run(ctx)
	n.workers.Go(func() {
		for s := reload(); s != nil; s = reload() { // it returns nothing once the program ends
			n.set.Store(s)
		}
	})
	log.Info("control.started", "node", set.Node, "identity", fmt.Sprintf("%016x", st.ID), "entries", n.consensus.Backlog(), "empty", st.Fresh)
	n.loop(stop.Done())
	end()
	shut, done := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer done()
	web.Shutdown(shut)
	web.Close()
	n.workers.Wait()
	return st.Close()
}

func (n *Node) now() time.Duration { return time.Since(n.began) }

// restore brings the replicated state to where the disk has it. The first of the
// seeds begins the core by itself, once in its life; all others join it.
func (n *Node) restore(seed uint64) error {
	set, st := n.set.Load(), n.store
	if st.Fresh && st.Damaged == nil && set.Bootstrap && slices.Min(set.Seeds) == set.Control {
		data, err := n.catalog.Snapshot()
		if err != nil {
			return err
		}
		snap := &wire.RaftSnapshot{Term: 1, Index: 1, Data: data, Peers: &wire.Peers{Peers: []*wire.Peer{n.self(true)}}}
		if err := st.Save(store.Batch{Snapshot: snap, Hard: &wire.HardState{Term: 1}}); err != nil {
			return err
		}
		st.Hard, st.Snapshot = &wire.HardState{Term: 1}, snap
	}
	if st.Snapshot != nil && st.Snapshot.Index > 0 {
		if err := n.catalog.Restore(st.Snapshot.Data); err != nil {
			return err
		}
	}
	n.consensus = raft.New(st.ID, st.Hard, st.Snapshot, slices.Concat(st.Tail, st.Entries), seed, 0)
	n.members = newMembershipManager(n)
	st.Tail, st.Entries = nil, nil
	n.requests = newRequestQueue(n.consensus, n.minAckVoters, 0)
	n.operatorAPI = operatorAPI{requests: n.requests, state: func() backup.Backup {
		return backup.Backup{Term: n.consensus.Term(), Index: n.applied, State: n.catalog}
	}}
	n.applied = st.Snapshot.GetIndex()
	n.publish()
	return nil
}

// Package agent is a node's client of the control plane: it runs the cluster membership (package gossip), subscribes to the
// updates of the replicated state and serves them to its children (package relay), finds the leader, and keeps the registry
// in line with the servers of its machine. It carries no requests of clients: that is the work of package sidecar, which
// owns the Agent.
package agent

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/cluster/gossip"
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// Options configure an agent. All but ServersChanged are required.
type Options struct {
	Settings func() *nodefile.Settings // the present ones
	Pool     *rpc.Pool                 // for calls to other processes
	Seed     uint64                    // of random numbers
	Log      *slog.Logger

	Servers        func() []localserver.Heartbeat // of this machine, as they should be registered
	ServersChanged <-chan struct{}                // receives when Servers may have changed
	Draining       func() bool                    // the machine's servers accept nothing new, as the node is shutting down
}

// Agent is one node's agent. Its methods may be called by any goroutine.
type Agent struct {
	Pool     *rpc.Pool
	Gossip   *gossip.Gossip
	Hub      *relay.Hub
	Follower *relay.Follower

	options     Options
	log         *slog.Logger
	parentCache relay.ParentCache // used by the follower only
	startedAt   time.Time
	ready       atomic.Bool // see Ready
	workers     sync.WaitGroup

	leaderMu sync.Mutex
	leader   string // internal address; empty: not known
}

// New returns an agent without state, which Run fills.
func New(o Options) *Agent {
	set := o.Settings()
	a := &Agent{options: o, log: o.Log, Pool: o.Pool, startedAt: time.Now(), parentCache: relay.ParentCache{Self: set.Node, Zone: set.Zone}}
	self := &wire.Member{Name: set.Node, Address: set.Internal(), Zone: set.Zone, Generation: uint64(time.Now().UnixMilli())}
	a.Gossip = gossip.New(self, o.Seed, o.Pool, a.seeds, o.Log)
	a.Hub = relay.NewHub(func() time.Duration { return a.Follower.Age() })
	a.Follower = &relay.Follower{Node: set.Node, Hub: a.Hub, Pool: o.Pool, Parents: a.parents, Log: o.Log}
	return a
}

// Register adds the RPC methods that other nodes call.
func (a *Agent) Register(s *rpc.Server) {
	a.Gossip.Register(s)
	s.Handle("subscribe", a.Hub.Serve)
}

// Run runs the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.workers.Go(func() { a.Gossip.Run(ctx) })
	a.workers.Go(func() { a.Follower.Run(ctx) })
	a.workers.Go(func() { a.awaitReadiness(ctx) })
	a.workers.Go(func() { a.register(ctx) })
	a.workers.Wait()
}

// StartedAt is when the agent was made.
func (a *Agent) StartedAt() time.Time { return a.startedAt }

// Ready reports whether the state here has all that was acknowledged before the start: see relay.Readiness.
func (a *Agent) Ready() bool { return a.ready.Load() }

// seeds are the internal addresses of the seeds.
func (a *Agent) seeds() []string { return a.options.Settings().SeedNodes() }

// parents are the addresses to which the node may subscribe: relay.Parents, and at the start the seeds.
func (a *Agent) parents() []string {
	list := a.parentCache.Parents(a.Gossip.Version(), a.Gossip.Members)
	if len(list) == 0 {
		return a.seeds()
	}
	return list
}

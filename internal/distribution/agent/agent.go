// Package agent implements a node's client of the control plane. It runs the cluster membership (package gossip), subscribes
// to updates of the replicated state and distributes them to its children (package relay), finds the leader, and keeps the
// registry consistent with the servers on its machine. Package sidecar owns the Agent and handles the requests of clients.
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

// Options configures an Agent. All fields but ServersChanged are required.
type Options struct {
	Settings func() *nodefile.Settings // returns the current settings
	Pool     *rpc.Pool                 // for calls to other processes
	Seed     uint64                    // seed of the random number generator
	Log      *slog.Logger

	Servers        func() []localserver.Heartbeat // returns the servers of this machine, as they should be registered
	ServersChanged <-chan struct{}                // receives when Servers may have changed
	Departed       func(member string) bool       // reports whether a server is known to have deregistered; may be nil
	Draining       func() bool                    // reports whether the node is shutting down and its servers accept no new requests
}

// Agent is a node's client of the control plane. Its methods are safe for concurrent use.
type Agent struct {
	Pool     *rpc.Pool
	Gossip   *gossip.Gossip
	Hub      *relay.Hub
	Follower *relay.Follower

	options     Options
	log         *slog.Logger
	parentCache relay.ParentCache // accessed by the Follower only
	startedAt   time.Time
	ready       atomic.Bool // see Ready
	workers     sync.WaitGroup

	leaderMu sync.Mutex
	leader   string // internal address, empty if unknown
}

// New returns an Agent with an empty state. Run starts it.
func New(o Options) *Agent {
	settings := o.Settings()
	a := &Agent{options: o, log: o.Log, Pool: o.Pool, startedAt: time.Now(), parentCache: relay.ParentCache{Self: settings.Node, Zone: settings.Zone}}
	self := &wire.Member{Name: settings.Node, Address: settings.Internal(), Zone: settings.Zone, Generation: uint64(time.Now().UnixMilli())}
	a.Gossip = gossip.New(self, o.Seed, o.Pool, a.seeds, o.Log)
	a.Hub = relay.NewHub(func() time.Duration { return a.Follower.Age() })
	a.Follower = &relay.Follower{Node: settings.Node, Hub: a.Hub, Pool: o.Pool, Parents: a.parents, Log: o.Log}
	return a
}

// Register adds the handlers of the RPC methods "probe" and "subscribe" to s.
func (a *Agent) Register(s *rpc.Server) {
	a.Gossip.Register(s)
	s.Handle("subscribe", a.Hub.Serve)
}

// Run runs the agent until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	a.workers.Go(func() { a.Gossip.Run(ctx) })
	a.workers.Go(func() { a.Follower.Run(ctx) })
	a.workers.Go(func() { a.awaitReadiness(ctx) })
	a.workers.Go(func() { a.register(ctx) })
	a.workers.Wait()
}

// StartedAt returns the time at which New created the agent.
func (a *Agent) StartedAt() time.Time { return a.startedAt }

// Ready reports whether the node's state is recent enough to serve requests: see relay.Readiness.
func (a *Agent) Ready() bool { return a.ready.Load() }

// seeds returns the internal addresses of the seed nodes.
func (a *Agent) seeds() []string { return a.options.Settings().SeedNodes() }

// parents returns the addresses to which the node may subscribe: those of relay.Parents or, while there are none, the seeds.
func (a *Agent) parents() []string {
	list := a.parentCache.Parents(a.Gossip.Version(), a.Gossip.Members)
	if len(list) == 0 {
		return a.seeds()
	}
	return list
}

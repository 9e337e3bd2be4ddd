// Package agent is a node's part in the control plane: it knows the other nodes, follows the configuration and the list
// of servers, feeds its children in the relay tree, and keeps the quorum's list in line with the servers of its machine.
// It carries no requests.
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

// Options say whom an agent stands for.
type Options struct {
	Settings func() *nodefile.Settings // as they are now
	Pool     *rpc.Pool
	Seed     uint64 // of random numbers
	Log      *slog.Logger

	Servers        func() []localserver.Heartbeat // of this machine, as they should be listed
	ServersChanged <-chan struct{}                // tells when Servers may return something else
	Draining        func() bool                    // the machine's servers take nothing new, as the node is about to end
}

// Agent is one node's part.
type Agent struct {
	Pool     *rpc.Pool
	Gossip   *gossip.Gossip
	Hub      *relay.Hub
	Follower *relay.Follower

	options Options
	log     *slog.Logger
	parentCache   relay.ParentCache // the follower's own
	startedAt   time.Time
	ready   atomic.Bool // what is known here is as new as what was acknowledged before the start
	workers sync.WaitGroup

	leaderMu sync.Mutex
	leader   string // internal address of the leader, as last told
}

// New returns an agent that has heard of nothing yet.
func New(o Options) *Agent {
	set := o.Settings()
	a := &Agent{options: o, log: o.Log, Pool: o.Pool, startedAt: time.Now(), parentCache: relay.ParentCache{Self: set.Node, Zone: set.Zone}}
	self := &wire.Member{Name: set.Node, Address: set.Internal(), Zone: set.Zone, Generation: uint64(time.Now().UnixMilli())}
	a.Gossip = gossip.New(self, o.Seed, o.Pool, a.seeds, o.Log)
	a.Hub = relay.NewHub(func() time.Duration { return a.Follower.Age() })
	a.Follower = &relay.Follower{Node: set.Node, Hub: a.Hub, Pool: o.Pool, Parents: a.parents, Log: o.Log}
	return a
}

// Register names the methods that other nodes call.
func (a *Agent) Register(s *rpc.Server) {
	a.Gossip.Register(s)
	s.Handle("subscribe", a.Hub.Serve)
}

// Run takes part until the context ends.
func (a *Agent) Run(ctx context.Context) {
	a.workers.Go(func() { a.Gossip.Run(ctx) })
	a.workers.Go(func() { a.Follower.Run(ctx) })
	a.workers.Go(func() { a.awaitReadiness(ctx) })
	a.workers.Go(func() { a.register(ctx) })
	a.workers.Wait()
}

// StartedAt is when the agent was made.
func (a *Agent) StartedAt() time.Time { return a.startedAt }

// Ready reports whether what is known here is as new as what was acknowledged before the start.
func (a *Agent) Ready() bool { return a.ready.Load() }

// seeds are the internal addresses of the seeds.
func (a *Agent) seeds() []string { return a.options.Settings().SeedNodes() }

// parents are whom the node may follow: its place in the tree, the quorum, and at the start the seeds.
func (a *Agent) parents() []string {
	list := a.parentCache.Parents(a.Gossip.Version(), a.Gossip.Members)
	if len(list) == 0 {
		return a.seeds()
	}
	return list
}

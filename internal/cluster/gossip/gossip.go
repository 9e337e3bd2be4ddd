// Package gossip does the input and output of package membership: it sends the probes of a Memberlist by package rpc, and
// answers those of other nodes. Every process of the mesh runs one Gossip.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"ivydeck/internal/cluster/membership"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const maxInFlight = 32 // probes in flight

// Gossip runs a node's Memberlist. Its methods may be called by any goroutine.
type Gossip struct {
	pool  *rpc.Pool
	log   *slog.Logger
	seeds func() []string // internal addresses; this node's own may be among them
	began time.Time

	mu       sync.Mutex
	members  *membership.Memberlist
	wake     chan struct{}
	inFlight chan struct{}
	calls    sync.WaitGroup
}

// New returns a Gossip for a node; seeds returns the internal addresses of the seeds, which may change.
func New(self *wire.Member, seed uint64, pool *rpc.Pool, seeds func() []string, log *slog.Logger) *Gossip {
	return &Gossip{
		pool: pool, log: log, seeds: seeds, began: time.Now(), members: membership.New(self, seed, 0),
		wake: make(chan struct{}, 1), inFlight: make(chan struct{}, maxInFlight),
	}
}

func (g *Gossip) now() time.Duration { return time.Since(g.began) }

// Register adds the RPC method "probe", which other nodes call.
func (g *Gossip) Register(s *rpc.Server) {
	s.Handle("probe", rpc.Unary(g.handleProbe))
}

// Members returns the reachable nodes, this one among them, by name. The caller must not change the list or its elements.
func (g *Gossip) Members() []*wire.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Members()
}

// DeadFor returns for how long a node has been dead; 0: it is not.
func (g *Gossip) DeadFor(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.DeadFor(g.now(), name)
}

// Lost reports whether the servers on a node are to be deregistered; watched is
// how long somebody has looked.
func (g *Gossip) Lost(name string, watched time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Lost(g.now(), name, watched)
}

// Version rises whenever Members changes.
func (g *Gossip) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Version()
}

// Leave notifies a few members that this node leaves; they broadcast it.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.members.Leave()
	self, members := g.members.Self(), g.members.Members()
	g.mu.Unlock()
	notified := 0
	for _, m := range members {
		if m.Name != self.Name && notified < 4 && g.exchange(ctx, m.Address, &wire.ProbeRequest{From: self, Updates: []*wire.Member{self}}, membership.ProbeTimeout) != nil {
			notified++
		}
	}
}

// Run probes other nodes until ctx ends, and returns when its calls have.
func (g *Gossip) Run(ctx context.Context) {
	defer g.calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now, seeds := g.now(), g.seeds()
		g.mu.Lock()
		actions := g.members.Tick(now, seeds)
		next := g.members.NextTick() - now
		g.mu.Unlock()
		for _, a := range actions {
			g.sendProbe(ctx, a)
		}
		timer.Reset(max(next, 10*time.Millisecond))
	}
}

// start runs a call in a goroutine, unless too many are in flight.
func (g *Gossip) start(f func()) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		return
	}
	g.calls.Go(func() {
		defer func() { <-g.inFlight }()
		f()
	})
}

// sendProbe sends a probe and those that follow from its answer.
func (g *Gossip) sendProbe(ctx context.Context, a membership.Probe) {
	g.start(func() {
		answer := g.exchange(ctx, a.Address, a.Request, a.Timeout())
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		more := g.members.HandleProbeResult(g.now(), a, answer)
		g.mu.Unlock()
		for _, m := range more {
			g.sendProbe(ctx, m)
		}
	})
}

// exchange sends a probe and merges the updates in the answer; nil: none came in time.
func (g *Gossip) exchange(ctx context.Context, addr string, p *wire.ProbeRequest, wait time.Duration) *wire.ProbeResponse {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answer := new(wire.ProbeResponse)
	if err := g.pool.Call(ctx, addr, "probe", p, answer); err != nil {
		return nil
	}
	g.merge(answer.Updates)
	return answer
}

// merge applies updates of another node.
func (g *Gossip) merge(updates []*wire.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.members.Version()
	g.members.Merge(g.now(), updates...)
	if g.members.Version() != before {
		for _, n := range updates {
			if n.State != wire.Member_ALIVE {
				g.log.Debug("cluster.state_changed", "node", n.Name, "state", n.State.String())
			}
		}
	}
}

// handleProbe answers a probe of this node or, as an indirect one, of another through it.
func (g *Gossip) handleProbe(ctx context.Context, p *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	if p.From != nil {
		if caller, ok := rpc.Caller(ctx); ok && (caller.Name != p.From.Name || (caller.Role == identity.QuorumMember) != p.From.QuorumMember) {
			return nil, fmt.Errorf("the certificate is of %s, not of %s", caller, p.From.Name)
		}
		g.merge([]*wire.Member{p.From})
	}
	g.merge(p.Updates)
	reached := true
	if p.Target != nil {
		g.mu.Lock()
		self := g.members.Self()
		g.mu.Unlock()
		reached = g.exchange(ctx, p.Target.Address, &wire.ProbeRequest{From: self}, membership.ProbeTimeout) != nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := g.members.HandleProbe(p)
	answer.Reached = reached
	return answer, nil
}

// Package gossip runs a membership.Memberlist over RPC: it sends the node's probes and handles those of other nodes. Every
// process of the mesh runs one Gossip.
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

const maxInFlight = 32 // concurrent outgoing probes

// Gossip runs a node's Memberlist. Its methods are safe for concurrent use.
type Gossip struct {
	pool      *rpc.Pool
	log       *slog.Logger
	seeds     func() []string // internal addresses, possibly including this node's own
	startedAt time.Time

	mu       sync.Mutex
	members  *membership.Memberlist
	wake     chan struct{}
	inFlight chan struct{}
	calls    sync.WaitGroup
}

// New returns a Gossip for the node self. rngSeed seeds its random choices. Run calls seeds before each tick, so the
// addresses may change.
func New(self *wire.Member, rngSeed uint64, pool *rpc.Pool, seeds func() []string, log *slog.Logger) *Gossip {
	return &Gossip{
		pool: pool, log: log, seeds: seeds, startedAt: time.Now(), members: membership.New(self, rngSeed, 0),
		wake: make(chan struct{}, 1), inFlight: make(chan struct{}, maxInFlight),
	}
}

// now returns the time since New, which is the clock of the Memberlist.
func (g *Gossip) now() time.Duration { return time.Since(g.startedAt) }

// Register adds the handler of the RPC method "probe" to s.
func (g *Gossip) Register(s *rpc.Server) {
	s.Handle("probe", rpc.Unary(g.handleProbe))
}

// Members returns the reachable nodes, including this one, sorted by name. The caller must not modify the list or its
// elements.
func (g *Gossip) Members() []*wire.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Members()
}

// DeadFor returns how long ago a node died or left. It returns zero if the node is reachable or unknown.
func (g *Gossip) DeadFor(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.DeadFor(g.now(), name)
}

// Lost reports whether the servers on a node should be deregistered. watched is how long the caller has observed the
// membership.
func (g *Gossip) Lost(name string, watched time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Lost(g.now(), name, watched)
}

// Version returns a number that increases whenever the result of Members changes.
func (g *Gossip) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Version()
}

// Leave marks this node as left and sends the update to other members until four of them have responded; they broadcast
// it.
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

// Run probes other nodes until ctx is done. It waits for its outstanding calls before it returns.
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
		probes := g.members.Tick(now, seeds)
		next := g.members.NextTick() - now
		g.mu.Unlock()
		for _, probe := range probes {
			g.sendProbe(ctx, probe)
		}
		timer.Reset(max(next, 10*time.Millisecond))
	}
}

// startCall runs call in a goroutine. It drops the call if maxInFlight calls are running.
func (g *Gossip) startCall(call func()) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		return
	}
	g.calls.Go(func() {
		defer func() { <-g.inFlight }()
		call()
	})
}

// sendProbe sends a probe in the background, and then the follow-up probes that its result requires.
func (g *Gossip) sendProbe(ctx context.Context, probe membership.Probe) {
	g.startCall(func() {
		response := g.exchange(ctx, probe.Address, probe.Request, probe.Timeout())
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		followUps := g.members.HandleProbeResult(g.now(), probe, response)
		g.mu.Unlock()
		for _, followUp := range followUps {
			g.sendProbe(ctx, followUp)
		}
	})
}

// exchange sends a probe and merges the updates in the response. It returns nil if the call fails or times out.
func (g *Gossip) exchange(ctx context.Context, addr string, request *wire.ProbeRequest, timeout time.Duration) *wire.ProbeResponse {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := new(wire.ProbeResponse)
	if err := g.pool.Call(ctx, addr, "probe", request, response); err != nil {
		return nil
	}
	g.merge(response.Updates)
	return response
}

// merge applies updates received from another node.
func (g *Gossip) merge(updates []*wire.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.members.Version()
	g.members.Merge(g.now(), updates...)
	if g.members.Version() != before {
		for _, update := range updates {
			if update.State != wire.Member_ALIVE {
				g.log.Debug("cluster.state_changed", "node", update.Name, "state", update.State.String())
			}
		}
	}
}

// handleProbe responds to a probe of this node, or forwards an indirect probe to its target. It rejects a request whose
// sender does not match the caller's certificate.
func (g *Gossip) handleProbe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	if request.From != nil {
		if caller, ok := rpc.Caller(ctx); ok && (caller.Name != request.From.Name || (caller.Role == identity.QuorumMember) != request.From.QuorumMember) {
			return nil, fmt.Errorf("the certificate is of %s, not of %s", caller, request.From.Name)
		}
		g.merge([]*wire.Member{request.From})
	}
	g.merge(request.Updates)
	reached := true
	if request.Target != nil {
		g.mu.Lock()
		self := g.members.Self()
		g.mu.Unlock()
		reached = g.exchange(ctx, request.Target.Address, &wire.ProbeRequest{From: self}, membership.ProbeTimeout) != nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	response := g.members.HandleProbe(request)
	response.Reached = reached
	return response, nil
}

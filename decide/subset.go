package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subset of the servers that a node uses. It limits the number of connections and gives the node enough
// responses per server to estimate latencies.
const (
	frontSubsetSize  = 8    // minimum subset size of a front node, and desired number of nodes per server
	innerSubsetSize  = 5    // the same for other tiers; smaller, so that a node calls each server more often
	localSubsetShare = 0.75 // share of the subset in the node's zone

	// wait before the first retry of a list request, doubled with each further one
	listRetryBase         = 250 * time.Millisecond
	maxListRetryDoublings = 8 // limit of the doublings
)

// endpoints is the state of the servers at this node.
type endpoints struct {
	servers      map[string]*server
	zones        map[string]*zone
	members      []*server // servers to which calls may be sent, in ring order
	localSubset  []*server // servers of the subset in this node's zone
	remoteSubset []*server // servers of the subset in other zones
	candidates   []*server // buffer of usable
	meanWeight   float64   // mean weight of the members
}

// listWatch is the state of the watch on the list of servers. It is unused unless ListOnRequest is set.
type listWatch struct {
	listRequested bool
	listWatched   bool
	listAttempts  int // failed attempts since the watch was last established
}

// zone is the state of a zone at this node.
type zone struct {
	outlierState
	members int // number of servers of the subset in the zone
}

// server is the state of a server at this node.
type server struct {
	Server
	outlierState
	zone            *zone
	ringPosition    uint64
	weight          float64       // relative size
	excessLatency   float64       // relative latency in excess of the value expected from the weight
	excessLatencyAt time.Duration // time of the last update of excessLatency
	slowStartTokens float64       // calls that the server may receive during its slow start
	tokensFilledAt  time.Duration // time of the last update of slowStartTokens
	// start of the idle time of each idle connection; the last connection is used first
	idle   []time.Duration
	listed bool // whether the server is in the current list
	local  bool // whether the server is in this node's zone
}

// Members handles an update of the list of servers.
func (b *Balancer) Members(now time.Duration, m Members, out []Action) []Action {
	b.beginEvent(now, out)
	if b.settings.ListOnRequest {
		b.followList(m.Change)
	}
	if m.Change == ListFailed {
		return b.actions
	}
	for _, s := range b.servers {
		s.listed = m.Change == ListDelta
	}
	for _, e := range m.Servers {
		b.updateServer(e)
	}
	b.members = b.members[:0]
	for id, s := range b.servers {
		if !s.listed {
			s.Health = Removed
		}
		if s.Health == Healthy {
			b.members = append(b.members, s)
		} else if s.Health == Removed && s.inflight == 0 {
			delete(b.servers, id)
		}
	}
	b.chooseSubset()
	return b.actions
}

// updateServer adds or updates a server from its entry in the list. If the server's process has restarted,
// its failures, connections and latency are reset.
func (b *Balancer) updateServer(e Server) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{ringPosition: xxhash.Sum64String(e.ID), zone: b.zone(e.Zone)}
		b.servers[e.ID] = s
	}
	if e.Started > s.Started {
		s.recordSuccess()
		s.idle = nil
		s.excessLatency, s.slowStartTokens, s.tokensFilledAt = 0, b.rng.Float64(), b.now
	}
	s.Server, s.listed, s.local, s.weight = e, true, e.Zone == b.settings.Zone, e.Weight
	if s.weight <= 0 {
		s.weight = 1
	}
}

// zone returns the state of a zone, and creates it if it does not exist.
func (e *endpoints) zone(name string) *zone {
	z := e.zones[name]
	if z == nil {
		z = &zone{}
		e.zones[name] = z
	}
	return z
}

// chooseSubset chooses the subset: a ring segment of the servers in this node's zone, and a smaller one of
// the others. The segments of the nodes start at evenly spaced positions: with random positions, some servers
// would be in twice as many subsets as others.
func (b *Balancer) chooseSubset() {
	slices.SortFunc(b.members, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.ringPosition, y.ringPosition), cmp.Compare(x.ID, y.ID))
	})
	size := frontSubsetSize
	if b.settings.Tier > 0 {
		size = innerSubsetSize
	}
	size = min(max(size, size*len(b.members)/max(1, b.settings.Nodes)), len(b.members))
	b.splitByZone()
	// Added servers do not count as capacity at once, as the tier behind may be the bottleneck; see
	// growCapacity.
	if b.countedServers == 0 {
		b.countedServers = float64(len(b.members))
	}
	wantedLocal := max(int(math.Ceil(localSubsetShare*float64(size))), size-len(b.remoteSubset))
	local := min(len(b.localSubset), wantedLocal)
	_, position := math.Modf(float64(max(0, b.settings.Node)) * math.Phi) // spreads the nodes evenly
	b.localSubset = ringSegment(b.localSubset, local, position)
	b.remoteSubset = ringSegment(b.remoteSubset, size-local, position)
	for _, z := range b.zones {
		z.members = 0
	}
	for i := range len(b.localSubset) + len(b.remoteSubset) {
		b.subset(i).zone.members++
	}
}

// splitByZone splits the members into those of this node's zone and the others, and computes meanWeight.
func (e *endpoints) splitByZone() {
	e.localSubset, e.remoteSubset, e.meanWeight = e.localSubset[:0], e.remoteSubset[:0], 0
	for _, s := range e.members {
		e.meanWeight += s.weight / float64(len(e.members))
		if s.local {
			e.localSubset = append(e.localSubset, s)
		} else {
			e.remoteSubset = append(e.remoteSubset, s)
		}
	}
}

// ringSegment returns n consecutive members of a ring, starting at a position in [0, 1).
func ringSegment[T any](ring []*T, n int, position float64) []*T {
	start := int(position * float64(len(ring)))
	return slices.Concat(ring[start:], ring[:start])[:n]
}

// followList updates the state of the list watch after an update. If the watch is lost, it schedules a new
// request with backoff and jitter.
func (b *Balancer) followList(c Change) {
	b.listRequested, b.listWatched = false, c == ListDelta || c == ListFull
	backoff := listRetryBase << min(b.listAttempts, maxListRetryDoublings)
	wait := max(pickRetryInterval, min(backoff, b.settings.ListRequestInterval/2))
	if b.listWatched {
		b.listAttempts = 0
		return
	}
	b.listAttempts++
	b.emit(Action{Kind: After, Token: listTimerToken, Wait: b.jitter(wait)})
}

// requestList requests a watch on the list, unless one exists or is being established.
func (b *Balancer) requestList() {
	if !b.listRequested && !b.listWatched {
		b.listRequested = true
		b.emit(Action{Kind: Watch})
	}
}

// subset returns the i-th server of the subset.
func (e *endpoints) subset(i int) *server {
	if i < len(e.localSubset) {
		return e.localSubset[i]
	}
	return e.remoteSubset[i-len(e.localSubset)]
}

package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The subset of the servers to which a node keeps, so that connections and knowledge are not spread thin.
const (
	frontSubsetSize  = 8    // of a front node, and of the nodes that know each server
	innerSubsetSize  = 5    // of a node behind it: more of its calls on each server
	localSubsetShare = 0.75 // of the subset, in the node's own zone

	// first wait before the list is requested again, doubled ...
	listRetryBase         = 250 * time.Millisecond
	maxListRetryDoublings = 8 // ... so many times
)

// endpoints are the servers as this node sees them.
type endpoints struct {
	servers      map[string]*server
	zones        map[string]*zone
	members      []*server // to which calls may be sent, in the order of the ring
	localSubset  []*server // the subset's part in the own zone
	remoteSubset []*server // the subset's part in other zones
	candidates   []*server // scratch space of usable
	meanWeight   float64   // of the members
}

// listWatch is the state of the watch on the list of servers, where that comes on request only.
type listWatch struct {
	listRequested bool
	listWatched   bool
	listAttempts  int // since the watch was last established
}

// zone is a zone as this node sees it.
type zone struct {
	outlierState
	members int // of the subset
}

// server is a server as this node sees it.
type server struct {
	Server
	outlierState
	zone            *zone
	ringPosition    uint64
	weight          float64       // relative size
	excessLatency   float64       // relative latency beyond what the weight explains ...
	excessLatencyAt time.Duration // ... at this time
	slowStartTokens float64       // sends that it may receive during its slow start
	tokensFilledAt  time.Duration // of slowStartTokens
	// idle connections, by the begin of their idle time; the last is used first
	idle   []time.Duration
	listed bool
	local  bool // in this node's zone
}

// Members takes a change of the list of servers.
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

// updateServer takes an entry of the list. A new process of a server starts without its past.
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

// zone returns the state of a zone, which begins with the first use.
func (e *endpoints) zone(name string) *zone {
	z := e.zones[name]
	if z == nil {
		z = &zone{}
		e.zones[name] = z
	}
	return z
}

// chooseSubset chooses the subset: a segment of the ring, mostly of the own zone. The nodes' segments start
// at even distances: if each were drawn at random, chance would let twice as many nodes know one server as
// another.
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
	// A fleet that has grown is no proof of more capacity: the tier behind may be the short one. It counts
	// bit by bit, as long as r stays low: see growCapacity.
	if b.countedServers == 0 {
		b.countedServers = float64(len(b.members))
	}
	wantedLocal := max(int(math.Ceil(localSubsetShare*float64(size))), size-len(b.remoteSubset))
	local := min(len(b.localSubset), wantedLocal)
	_, position := math.Modf(float64(max(0, b.settings.Node)) * math.Phi) // spreads all numbers evenly
	b.localSubset = ringSegment(b.localSubset, local, position)
	b.remoteSubset = ringSegment(b.remoteSubset, size-local, position)
	for _, z := range b.zones {
		z.members = 0
	}
	for i := range len(b.localSubset) + len(b.remoteSubset) {
		b.subset(i).zone.members++
	}
}

// splitByZone splits the members into those of the own zone and the others.
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

// ringSegment returns n members of a ring from a position on, in [0, 1).
func ringSegment[T any](ring []*T, n int, position float64) []*T {
	start := int(position * float64(len(ring)))
	return slices.Concat(ring[start:], ring[:start])[:n]
}

// followList keeps a watch on a list that comes on request only, and requests it again with back-off and
// jitter.
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

// requestList requests a watch on the list, unless there is one.
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

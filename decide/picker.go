package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of Picker.
const (
	pickerSubsetSize    = 8    // servers of a service that a node uses
	pickerRemoteServers = 3    // servers of the subset that are in other zones, at least, if there are any
	localPreference     = 3    // excess of calls in flight below which a local server is preferred
	maxLocalUtilization = 0.75 // reported utilization below which a local server is always preferred

	fullServerPause       = 60 * time.Millisecond  // pause in calls to a server without a free slot
	terminatedServerPause = time.Second            // pause in calls to a server that has terminated
	unhealthyServerPause  = 600 * time.Millisecond // time for which an unhealthy server is avoided
	queuedServerPause     = 200 * time.Millisecond // time for which a server with queued requests is avoided

	utilizationWindow      = 400 * time.Millisecond // time constant of the decay of a reported utilization
	relativeLatencyWindow  = 5 * time.Second        // time constant of the decay of a reported latency
	unknownRelativeLatency = 2                      // assumed for a server without a report
	maxUnhealthyShare      = 0.4                    // largest unhealthy share of the subset that is avoided
)

// ServerReport is the report of a server's sidecar. If RelativeLatency is zero, only Queued is valid.
type ServerReport struct {
	RelativeLatency float64 // response time of the server in multiples of that of other servers
	Utilization     float64 // running and queued requests per slot
	Queued          bool    // whether requests are queued
}

// Target is a registered server.
type Target struct {
	ID    string
	Local bool // whether it is in this node's zone
}

// target is the state of a server at this node.
type target struct {
	Target
	outlierState
	ringPosition    uint64
	pausedUntil     time.Duration // end of the time without calls
	queuedUntil     time.Duration // end of the time for which it counts as having queued requests
	unhealthyUntil  time.Duration // end of the time for which it counts as unhealthy
	relativeLatency float64       // from the last report
	utilization     float64       // from the last report
	reportedAt      time.Duration // time of the last report
}

// Picker chooses the servers for the calls to one service. It must not be used concurrently.
type Picker struct {
	rng        *rand.Rand
	targets    map[string]*target
	local      []*target // servers of the subset in this node's zone
	remote     []*target // servers of the subset in other zones
	candidates []*target // buffer of usable and pickFromAll
}

// NewPicker returns a picker without servers; SetTargets sets them.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, pickerStream)), targets: map[string]*target{}}
}

// SubsetPosition returns the position of a node among the nodes of its zone, ordered by hash, in [0, 1).
// Subsets that start at evenly spaced positions contain every server about equally often. If they started at
// the hash of the node's name, some servers would be in no subset.
func SubsetPosition(node string, nodes []string) float64 {
	preceding, total, ownHash := 0, 1, xxhash.Sum64String(node)
	for _, n := range nodes {
		if n == node {
			continue
		}
		total++
		if h := xxhash.Sum64String(n); h < ownHash || h == ownHash && n < node {
			preceding++
		}
	}
	return float64(preceding) / float64(total)
}

// SetTargets replaces the servers that may be picked, and keeps the state of those that remain. position is
// the start of the subset on the ring; see SubsetPosition.
func (p *Picker) SetTargets(now time.Duration, list []Target, position float64) {
	previous := p.targets
	p.targets, p.local, p.remote = make(map[string]*target, len(list)), nil, nil
	for _, e := range list {
		t := previous[e.ID]
		if t == nil {
			t = &target{
				ringPosition:    xxhash.Sum64String(e.ID),
				relativeLatency: unknownRelativeLatency,
				reportedAt:      now - utilizationWindow,
			}
		}
		t.Target = e
		p.targets[e.ID] = t
		if e.Local {
			p.local = append(p.local, t)
		} else {
			p.remote = append(p.remote, t)
		}
	}
	byPosition := func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), strings.Compare(a.ID, b.ID))
	}
	slices.SortFunc(p.local, byPosition)
	slices.SortFunc(p.remote, byPosition)
	remote := min(len(p.remote), max(pickerRemoteServers, pickerSubsetSize-len(p.local)))
	local := min(len(p.local), pickerSubsetSize-remote)
	p.local, p.remote = ringSegment(p.local, local, position), ringSegment(p.remote, remote, position)
}

// Pick returns the server for a call, and whether it counts as unhealthy; ok is false if there is none. It
// picks the less loaded of two random servers of the subset, in this node's zone unless that one is much
// busier than a remote one. Servers without queued requests, of any zone, are preferred to those with a
// queue. The servers in attempted are excluded, and so are unhealthy ones, unless the unhealthy share of the
// subset is too large for the servers to be the cause. If no server of the subset is usable, Pick considers
// all.
func (p *Picker) Pick(now time.Duration, attempted []string) (id string, unhealthy, ok bool) {
	t := p.pickFromSubset(now, attempted)
	if t == nil {
		t = p.pickFromAll(now, attempted)
	}
	if t == nil {
		return "", false, false
	}
	return t.ID, t.unhealthyUntil > now, true
}

// pickFromSubset returns a server of the subset, or nil if none is usable.
func (p *Picker) pickFromSubset(now time.Duration, attempted []string) *target {
	ignoreHealth, load := p.mostlyUnhealthy(now), p.load(now)
	for _, withoutQueue := range []bool{true, false} {
		local := lessLoaded(p.rng, p.usable(now, p.local, attempted, withoutQueue, ignoreHealth), load)
		remote := lessLoaded(p.rng, p.usable(now, p.remote, attempted, withoutQueue, ignoreHealth), load)
		switch {
		case local != nil && (remote == nil || local.preferredTo(remote, now)):
			return local
		case remote != nil:
			return remote
		}
	}
	return nil
}

// pickFromAll returns a server of the whole list, an unhealthy one only if there is no other. It returns nil
// if none is usable.
func (p *Picker) pickFromAll(now time.Duration, attempted []string) *target {
	load := p.load(now)
	for _, ignoreHealth := range []bool{p.mostlyUnhealthy(now), true} {
		p.candidates = p.candidates[:0]
		for _, t := range p.targets {
			usable := t.pausedUntil <= now && (ignoreHealth || t.unhealthyUntil <= now)
			if usable && !slices.Contains(attempted, t.ID) {
				p.candidates = append(p.candidates, t)
			}
		}
		slices.SortFunc(p.candidates, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
		if t := lessLoaded(p.rng, p.candidates, load); t != nil {
			return t
		}
	}
	return nil
}

// mostlyUnhealthy reports whether too many servers of the subset are unhealthy to avoid them.
func (p *Picker) mostlyUnhealthy(now time.Duration) bool {
	unhealthy, total := 0, len(p.local)+len(p.remote)
	for _, list := range [][]*target{p.local, p.remote} {
		for _, t := range list {
			if t.unhealthyUntil > now {
				unhealthy++
			}
		}
	}
	return unhealthy == total || float64(unhealthy) > max(1, maxUnhealthyShare*float64(total))
}

// load returns a function that computes the load of a server: the calls in flight, weighted by the reported
// latency and utilization. Most servers of a large mesh have one call in flight or none, so that the number
// alone does not distinguish them. The weights decay, so that a new server, or one that was slow for a time,
// receives calls again.
func (p *Picker) load(now time.Duration) func(t *target) float64 {
	return func(t *target) float64 {
		age := float64(now - t.reportedAt)
		latency := 1 + (t.relativeLatency-1)*math.Exp(-age/float64(relativeLatencyWindow))
		utilization := t.utilization * math.Exp(-age/float64(utilizationWindow))
		return float64(t.inflight+1) * latency * (1 + utilization)
	}
}

// preferredTo reports whether a local server is picked rather than a remote one.
func (t *target) preferredTo(remote *target, now time.Duration) bool {
	return t.inflight < remote.inflight+localPreference || t.hasCapacity(now)
}

// hasCapacity reports whether a server has recently reported a low utilization.
func (t *target) hasCapacity(now time.Duration) bool {
	return now-t.reportedAt < utilizationWindow && t.utilization < maxLocalUtilization
}

// usable returns the servers of a list that may be picked. The next call overwrites the result.
func (p *Picker) usable(
	now time.Duration, list []*target, attempted []string, withoutQueue, ignoreHealth bool,
) []*target {
	p.candidates = p.candidates[:0]
	for _, t := range list {
		switch {
		case t.shouldAvoid(now), t.pausedUntil > now:
		case withoutQueue && t.queuedUntil > now:
		case !ignoreHealth && t.unhealthyUntil > now:
		case slices.Contains(attempted, t.ID):
		default:
			p.candidates = append(p.candidates, t)
		}
	}
	return p.candidates
}

// Begin records that a call is sent to a server.
func (p *Picker) Begin(id string) {
	if t := p.targets[id]; t != nil {
		t.inflight++
	}
}

// End records the result of a call and the report of the server's sidecar. Full means that the server had no
// free slot, NotSent that it has terminated.
func (p *Picker) End(now time.Duration, id string, r Result, report ServerReport) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.inflight = max(0, t.inflight-1)
	t.queuedUntil = 0
	if report.Queued {
		t.queuedUntil = now + queuedServerPause
	}
	if report.RelativeLatency > 0 {
		t.relativeLatency, t.utilization, t.reportedAt = report.RelativeLatency, report.Utilization, now
	}
	switch r {
	case Unhealthy:
		t.unhealthyUntil = now + unhealthyServerPause
	case Served, Errored:
		t.recordSuccess()
	case Full:
		t.pausedUntil = now + fullServerPause
	case NotSent:
		t.pausedUntil = now + terminatedServerPause
	case Unconnected, Broken, TimedOut:
		t.recordFailure(now, maxConsecutiveFailures)
	}
}

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

// The picker's subset and preferences.
const (
	pickerSubsetSize    = 8    // servers of a service that a node keeps to ...
	pickerRemoteServers = 3    // ... of which so many are in other zones, if there are any
	localPreference     = 3    // calls in flight that a local server may have more than a remote one ...
	maxLocalUtilization = 0.75 // ... or any number, as long as it reports less than this

	fullServerPause       = 60 * time.Millisecond  // without calls, for a server without a free slot
	terminatedServerPause = time.Second            // for one that accepts nothing any more
	unhealthyServerPause  = 600 * time.Millisecond // for an unhealthy one
	queuedServerPause     = 200 * time.Millisecond // a report of a queue holds for so long

	utilizationWindow      = 400 * time.Millisecond // over which a reported utilization fades
	relativeLatencyWindow  = 5 * time.Second        // over which a reported latency fades
	unknownRelativeLatency = 2                      // of a server without a report
	maxUnhealthyShare      = 0.4                    // of the subset that is avoided as unhealthy
)

// ServerReport is what the node beside a server reports of it; without a RelativeLatency it reports nothing.
type ServerReport struct {
	RelativeLatency float64 // time that a request takes there, in multiples of the time elsewhere
	Utilization     float64 // running and queued requests, by its slots
	Queued          bool    // requests are queued
}

// Target is a server of the registry.
type Target struct {
	ID    string
	Local bool // in this node's zone
}

// target is a server as this node sees it.
type target struct {
	Target
	outlierState
	ringPosition    uint64
	pausedUntil     time.Duration // it receives no calls until then
	queuedUntil     time.Duration // requests are queued there, as far as is known
	unhealthyUntil  time.Duration // it is unhealthy, as far as is known
	relativeLatency float64       // as last reported ...
	utilization     float64       // ... with this ...
	reportedAt      time.Duration // ... at this time
}

// Picker picks the servers for the calls to one service. It belongs to one goroutine, or to the holder of a
// lock.
type Picker struct {
	rng        *rand.Rand
	targets    map[string]*target
	local      []*target // the subset's part in the own zone
	remote     []*target // the subset's part in other zones
	candidates []*target // scratch space of usable
}

// NewPicker returns a picker without servers.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, pickerStream)), targets: map[string]*target{}}
}

// SubsetPosition is a node's position among the nodes of its zone, in [0, 1). Subsets that begin at even
// positions have each server in nearly as many of them as any other; by a hash of each node's own name, some
// servers would be in none.
func SubsetPosition(node string, nodes []string) float64 {
	before, all, own := 0, 1, xxhash.Sum64String(node)
	for _, n := range nodes {
		if n == node {
			continue
		}
		all++
		if h := xxhash.Sum64String(n); h < own || h == own && n < node {
			before++
		}
	}
	return float64(before) / float64(all)
}

// SetTargets replaces the servers that may be picked. position is where the subset begins: see
// SubsetPosition.
func (p *Picker) SetTargets(now time.Duration, list []Target, position float64) {
	old := p.targets
	p.targets, p.local, p.remote = make(map[string]*target, len(list)), nil, nil
	for _, e := range list {
		t := old[e.ID]
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

// Pick returns the server for a call: of two random servers of the subset the one with fewer calls in flight,
// in this zone unless that is much busier. Servers with a queue come after those of any zone without one.
// Those in attempted are excluded, and so are unhealthy ones, unless so many are that the cause must be
// elsewhere. If none of the subset is left, any other server is better than no answer.
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

// pickFromSubset returns a server of the subset; nil: none is usable.
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

// pickFromAll returns any server, an unhealthy one if there is no other; nil: none is usable.
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
	unhealthy, all := 0, len(p.local)+len(p.remote)
	for _, list := range [][]*target{p.local, p.remote} {
		for _, t := range list {
			if t.unhealthyUntil > now {
				unhealthy++
			}
		}
	}
	return unhealthy == all || float64(unhealthy) > max(1, maxUnhealthyShare*float64(all))
}

// load is the calls in flight, weighed by the reported latency and utilization as long as they are fresh:
// with one call in flight or none, as on most servers of a large mesh, the count alone says nothing. Reports
// fade, lest a server stay without calls that was slow once, or is new.
func (p *Picker) load(now time.Duration) func(t *target) float64 {
	return func(t *target) float64 {
		age := float64(now - t.reportedAt)
		latency := 1 + (t.relativeLatency-1)*math.Exp(-age/float64(relativeLatencyWindow))
		utilization := t.utilization * math.Exp(-age/float64(utilizationWindow))
		return float64(t.inflight+1) * latency * (1 + utilization)
	}
}

// preferredTo reports whether a local server is to be picked rather than a remote one.
func (t *target) preferredTo(remote *target, now time.Duration) bool {
	return t.inflight < remote.inflight+localPreference || t.hasCapacity(now)
}

// hasCapacity reports whether a server has lately reported free slots.
func (t *target) hasCapacity(now time.Duration) bool {
	return now-t.reportedAt < utilizationWindow && t.utilization < maxLocalUtilization
}

// usable lists the servers of a list that may be picked.
func (p *Picker) usable(
	now time.Duration, list []*target, attempted []string, withoutQueue, ignoreHealth bool,
) []*target {
	p.candidates = p.candidates[:0]
	for _, t := range list {
		switch {
		case t.avoid(now), t.pausedUntil > now:
		case withoutQueue && t.queuedUntil > now:
		case !ignoreHealth && t.unhealthyUntil > now:
		case slices.Contains(attempted, t.ID):
		default:
			p.candidates = append(p.candidates, t)
		}
	}
	return p.candidates
}

// Begin counts a call that is sent to a server.
func (p *Picker) Begin(id string) {
	if t := p.targets[id]; t != nil {
		t.inflight++
	}
}

// End takes the result of a call, with the report of the node beside the server. Full is a server without a
// free slot, NotSent one that accepts nothing any more.
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

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

// Word is what the node beside a server says of it; without a Pace it says nothing.
type Word struct {
	Pace    float64 // time that a request takes there, in the time of its like elsewhere
	Fill    float64 // requests that it has and that wait for it, by its slots
	Waiting bool    // some wait
}

// Target is a server as the list has it.
type Target struct {
	ID   string
	Near bool // it stands in this node's zone
}

// target is a server as this node sees it.
type target struct {
	Target
	health
	rank      uint64
	rest      time.Duration // left alone until then
	busy      time.Duration // requests wait there, until then as far as is known
	unhealthy time.Duration // it fails too many, the same
	pace      float64       // time that a request takes there against others; 0: not known
	fill      float64       // its slots that were taken, as last heard ...
	toldAt    time.Duration // ... then
}

// Picker picks the servers for one service's calls.
type Picker struct {
	rng       *rand.Rand
	targets   map[string]*target
	near, far []*target // the subset
	scratch   []*target
}

// NewPicker returns a picker without servers.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, 0x91c4)), targets: map[string]*target{}}
}

// Place is a node's place among the nodes of its zone, in [0, 1). Subsets that begin at even places have all
// servers in nearly as many of them; by a hash of each node's own name some servers were in none.
func Place(node string, nodes []string) float64 {
	before, all, own := 0, 1, xxhash.Sum64String(node)
	for _, n := range nodes {
		if n != node {
			all++
			if h := xxhash.Sum64String(n); h < own || h == own && n < node {
				before++
			}
		}
	}
	return float64(before) / float64(all)
}

// List replaces the list of servers that may be sent to. The place is where the subset begins; see Place.
func (p *Picker) List(now time.Duration, list []Target, place float64) {
	old := p.targets
	p.targets, p.near, p.far = make(map[string]*target, len(list)), nil, nil
	for _, e := range list {
		t := old[e.ID]
		if t == nil {
			t = &target{rank: xxhash.Sum64String(e.ID), pace: untold, toldAt: now - fillFor}
		}
		t.Target = e
		p.targets[e.ID] = t
		if e.Near {
			p.near = append(p.near, t)
		} else {
			p.far = append(p.far, t)
		}
	}
	byRank := func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.ID, b.ID))
	}
	slices.SortFunc(p.near, byRank)
	slices.SortFunc(p.far, byRank)
	far := min(len(p.far), max(meshFar, meshSubset-len(p.near)))
	p.near, p.far = arc(p.near, min(len(p.near), meshSubset-far), place), arc(p.far, far, place)
}

// Pick returns the server for a call: of two random members of the subset the one with fewer own calls in
// flight, in this zone where that is not much busier. Servers before which requests wait come after those of
// any zone that have room. Those in tried are left out, and those that are unhealthy, unless so many are that
// the cause must lie elsewhere. Where none of the subset is left, any other server is better than no answer.
func (p *Picker) Pick(now time.Duration, tried []string) (id string, unhealthy, ok bool) {
	wave, load := p.wave(now), p.load(now)
	for _, room := range []bool{true, false} {
		near := lesser(p.rng, p.usable(now, p.near, tried, room, wave), load)
		far := lesser(p.rng, p.usable(now, p.far, tried, room, wave), load)
		switch {
		case near != nil && (far == nil || near.inflight < far.inflight+farStep || near.roomy(now)):
			return near.ID, near.unhealthy > now, true
		case far != nil:
			return far.ID, far.unhealthy > now, true
		}
	}
	for _, wave := range []bool{wave, true} {
		p.scratch = p.scratch[:0]
		for _, t := range p.targets {
			if !slices.Contains(tried, t.ID) && t.rest <= now && (wave || t.unhealthy <= now) {
				p.scratch = append(p.scratch, t)
			}
		}
		slices.SortFunc(p.scratch, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
		if t := lesser(p.rng, p.scratch, load); t != nil {
			return t.ID, t.unhealthy > now, true
		}
	}
	return "", false, false
}

// wave reports whether too many of the subset are unhealthy.
func (p *Picker) wave(now time.Duration) bool {
	unhealthy, all := 0, len(p.near)+len(p.far)
	for _, list := range [][]*target{p.near, p.far} {
		for _, t := range list {
			if t.unhealthy > now {
				unhealthy++
			}
		}
	}
	return unhealthy == all || float64(unhealthy) > max(1, maxFailing*float64(all))
}

// load is the own calls in flight, weighed by what the node beside the server says of its pace and its load,
// as long as that is fresh: with one call in flight or none, as on most servers of a large mesh, the count
// alone is blind. What is old fades, lest a server stay empty that was slow once, or is new.
func (p *Picker) load(now time.Duration) func(t *target) float64 {
	return func(t *target) float64 {
		age := float64(now - t.toldAt)
		pace, fill := 1+(t.pace-1)*math.Exp(-age/float64(paceFor)), t.fill*math.Exp(-age/float64(fillFor))
		return float64(t.inflight+1) * pace * (1 + fill)
	}
}

// roomy reports whether a server has said of late that it has slots to spare.
func (t *target) roomy(now time.Duration) bool { return now-t.toldAt < fillFor && t.fill < nearFill }

func (p *Picker) usable(now time.Duration, list []*target, tried []string, room, wave bool) []*target {
	p.scratch = p.scratch[:0]
	for _, t := range list {
		fit := !t.out(now) && t.rest <= now && !(room && t.busy > now) && (wave || t.unhealthy <= now)
		if fit && !slices.Contains(tried, t.ID) {
			p.scratch = append(p.scratch, t)
		}
	}
	return p.scratch
}

// Begin counts a call sent to a server.
func (p *Picker) Begin(id string) {
	if t := p.targets[id]; t != nil {
		t.inflight++
	}
}

// End takes the result of a call. Full is a server without room, NotSent one that takes nothing any more;
// word is what the node beside it says of it.
func (p *Picker) End(now time.Duration, id string, r Result, word Word) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.inflight = max(0, t.inflight-1)
	t.busy = 0
	if word.Waiting {
		t.busy = now + busyFor
	}
	if word.Pace > 0 {
		t.pace, t.fill, t.toldAt = word.Pace, word.Fill, now
	}
	switch r {
	case Unhealthy:
		t.unhealthy = now + failingFor
	case Served, Errored:
		t.served()
	case Full:
		t.rest = now + restFor
	case NotSent:
		t.rest = now + goneFor
	case Unconnected, Broken, TimedOut:
		t.fail(now, ejectAfter)
	}
}

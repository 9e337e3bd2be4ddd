package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	gatePeriod = 500 * time.Millisecond // between two readings of r
	gateFoot   = 0.8                    // r, in aims, below which the lowest priority is let in whole
	gateCalm   = 0.83                   // pressure below which nobody has to wait for a slot
	gateIdle   = 0.5                    // r below which there is work to spare
	gateTop    = 2.0                    // r, in aims, at which even the highest is shut out
	gateCrowd  = 0.6                    // part of the stack shut where no request finds room at once
	gateTold   = 8                      // reports of other nodes over which their pressure is averaged
	toldFor    = time.Second            // how long one counts
	gateRoom   = time.Second            // over which that is averaged ...
	gateFew    = 2                      // ... as if so many more had found room
	gateSpare  = 0.1                    // part that looks for room in vain also where there is work to spare
	gateMemory = 8                      // outcomes over which r is averaged
	backLeast  = 0.6                    // part of its wait after which a client returns, if none is let in
	meshSubset = 8                      // servers of a service that a node keeps to ...
	meshFar    = 3                      // ... of which so many lie in other zones, where there are any
	farStep    = 3                      // own calls that a near server may have more than a far one ...
	nearFill   = 0.75                   // ... unless less of its slots is taken, by fresh word
	restFor    = 60 * time.Millisecond  // a server without room is left alone for so long ...
	busyFor    = 200 * time.Millisecond // how long word of a queue counts
	goneFor    = time.Second            // ... and one that takes nothing any more for so long
	failingFor = 600 * time.Millisecond // ... and one that fails too many, unless too many are unhealthy
	fillFor    = 400 * time.Millisecond // after which word of a server's load counts for a third
	paceFor    = 5 * time.Second        // the same of its pace
	untold     = 2                      // time that a server of which nothing is known is taken to need
	maxFailing = 0.4                    // part of the subset that is left alone as unhealthy, at most
)

// Gate gives the verdict on new call graphs for one service. Its r is the period average of this node's own
// requests' times from end to end, in units of their aims; time-outs and failures at their elapsed time.
type Gate struct {
	rng       *rand.Rand
	levels    []int // priorities, the lowest (largest number) first
	r         float64
	full, all float64       // requests that looked for a server with room in vain, and all; fading
	roomAt    time.Duration // the last of them
	told      float64       // pressure that other nodes see, averaged ...
	toldAt    time.Duration // ... and when one last spoke of it
	sum       float64
	count     float64
	inflight  int
	periodEnd time.Duration
}

// NewGate returns a gate that has seen nothing and admits all.
func NewGate(seed uint64, now time.Duration) *Gate {
	return &Gate{rng: rand.New(rand.NewPCG(seed, 0x6a7e)), periodEnd: now + gatePeriod}
}

// Priorities tells which priorities there are; 0 is the highest.
func (g *Gate) Priorities(all []int) {
	g.levels = slices.Clone(all)
	slices.SortFunc(g.levels, func(a, b int) int { return b - a })
	g.levels = slices.Compact(g.levels)
}

// Reading returns r, in aims.
func (g *Gate) Reading() float64 { return g.r }

// Room notes whether a request was taken at once, or looked for a server with room in vain. It says at once
// what r would say once those who wait have been answered.
func (g *Gate) Room(now time.Duration, taken bool) {
	fade := g.fade(now)
	g.full, g.all, g.roomAt = g.full*fade, g.all*fade+1, now
	if !taken {
		g.full++
	}
}

// fade is by time: a gate that admits few would else remember a crowd for long.
func (g *Gate) fade(now time.Duration) float64 {
	return math.Exp(-float64(now-g.roomAt) / float64(gateRoom))
}

// Pressure is r, or what stands in for it while requests find no room, in aims.
func (g *Gate) Pressure(now time.Duration) float64 {
	fade := g.fade(now)
	vain := max(0, g.full*fade/(g.all*fade+gateFew)-gateSpare) / (1 - gateSpare)
	return max(g.r, gateFoot+(gateTop-gateFoot)*gateCrowd*vain)
}

// Calm reports whether nothing is about to be refused.
func (g *Gate) Calm(now time.Duration) bool { return g.Pressure(now) < gateCalm }

// Idle reports whether requests find room at once, and are answered well within their aims.
func (g *Gate) Idle(now time.Duration) bool {
	return g.r < gateIdle && g.Pressure(now) < gateFoot+0.001
}

// Told takes the pressure that another node sees, where the calls of this node's graphs begin.
func (g *Gate) Told(now time.Duration, pressure float64) {
	if now-g.toldAt > toldFor {
		g.told = 0
	}
	g.told += (pressure - g.told) / gateTold
	g.toldAt = now
}

// Admit is the verdict on a new graph: admitted with probability 1 below a, 0 above b, (b-r)/(b-a) between.
// The curves of the priorities are stacked: a lower one shuts before the next starts to refuse. A graph is
// also kept out where it would crowd a service behind: the gates of those that it calls have their say here,
// as its calls will pass them without a verdict.
func (g *Gate) Admit(now time.Duration, priority int, behind ...*Gate) bool {
	return g.inflight == 0 || g.rng.Float64() < g.Odds(now, priority, behind...)
}

// Odds is the probability with which a new graph is admitted that calls the services of the gates behind.
func (g *Gate) Odds(now time.Duration, priority int, behind ...*Gate) float64 {
	g.roll(now)
	chance := g.Chance(now, priority)
	for _, b := range behind {
		b.roll(now)
		chance = min(chance, b.Behind(now, priority))
	}
	return chance
}

// Behind is the probability with which a priority is admitted whose graphs call this service further inside.
func (g *Gate) Behind(now time.Duration, priority int) float64 {
	if now-g.toldAt > toldFor {
		return g.Chance(now, priority)
	}
	return g.chance(max(g.Pressure(now), g.told), priority)
}

// Chance is the probability with which a priority is admitted at the present r.
func (g *Gate) Chance(now time.Duration, priority int) float64 {
	return g.chance(g.Pressure(now), priority)
}

func (g *Gate) chance(r float64, priority int) float64 {
	level := slices.IndexFunc(g.levels, func(p int) bool { return p <= priority })
	if level < 0 {
		level = max(0, len(g.levels)-1)
	}
	width := (gateTop - gateFoot) / float64(max(1, len(g.levels)))
	a := gateFoot + width*float64(level)
	return curve(r, a, a+width)
}

// RetryAfter is when a refused client should come back: soon where its like is mostly admitted, and the later
// the worse its odds are, as it has few tries and a crowd takes its time. It is never beyond the wait, which
// is as long as the client would heed, and it is spread, lest all come at once.
func (g *Gate) RetryAfter(aim, wait time.Duration, odds float64) time.Duration {
	u := g.rng.Float64()
	soon := (0.5 + u) * float64(max(aim/2, gatePeriod/2))
	late := (backLeast + (1-backLeast)*u) * float64(wait)
	return max(time.Millisecond, time.Duration(min(float64(wait), soon+max(0, late-soon)*(1-odds))))
}

// Begin counts an admitted request.
func (g *Gate) Begin(now time.Duration) {
	g.roll(now)
	g.inflight++
}

// Done takes the end of an admitted request.
func (g *Gate) Done(now, elapsed, aim time.Duration) {
	g.roll(now)
	g.inflight = max(0, g.inflight-1)
	if aim > 0 {
		g.sum += float64(elapsed) / float64(aim)
		g.count++
	}
}

// roll ends a period. One without outcomes keeps r; few outcomes move it little.
func (g *Gate) roll(now time.Duration) {
	if now < g.periodEnd {
		return
	}
	if g.count > 0 {
		g.r += (g.sum/g.count - g.r) * min(1, g.count/gateMemory)
	}
	g.sum, g.count = 0, 0
	g.periodEnd = now + gatePeriod
}

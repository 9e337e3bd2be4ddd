package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The gate's curves and averages. r is the response time in multiples of the latency target.
const (
	gateLatencyPeriod = 500 * time.Millisecond // between two readings of r
	gateOutcomeWindow = 8                      // outcomes over which r is averaged
	gateLatencyMin    = 0.8                    // r below which the lowest priority is admitted completely
	gateLatencyMax    = 2.0                    // r at which even the highest priority is refused
	gateCalmPressure  = 0.83                   // pressure below which no request has to wait for a slot
	gateIdleLatency   = 0.5                    // r below which the service has capacity to spare
	gateIdleSlack     = 0.001                  // of the pressure of an idle service above gateLatencyMin

	saturationWindow       = time.Second // over which requests that find no free server are averaged ...
	saturationPrior        = 2           // ... as if so many more had found one
	toleratedSaturation    = 0.1         // share that finds no free server also with capacity to spare
	saturatedPressureShare = 0.6         // share of the stack that is closed if no request finds one

	reportedPressureWindow = 8           // reports of other nodes over which their pressure is averaged
	reportedPressureTTL    = time.Second // of a report

	minRetryAfterShare = 0.6 // of the longest advice, if no such request is admitted
)

// Gate decides which new call graphs are admitted to one service, by stacked curves (see admission.go) of
// priorities. Its r is the mean over a period of the end-to-end times of this node's own requests, in
// multiples of their latency targets; time-outs and failures count with the time that they took. A Gate
// belongs to one goroutine, or to the holder of a lock.
type Gate struct {
	rng               *rand.Rand
	levels            []int // priorities, the lowest (the largest number) first
	normalizedLatency float64
	latencySum        float64 // of the period
	periodOutcomes    float64
	periodEnd         time.Duration
	inflight          int

	saturatedRequests float64       // requests that found no free server, fading ...
	seenRequests      float64       // ... and all ...
	saturationAt      time.Duration // ... at the last of them

	reportedPressure   float64       // pressure at other nodes, averaged ...
	reportedPressureAt time.Duration // ... at the last report
}

// NewGate returns a gate without history, which admits all.
func NewGate(seed uint64, now time.Duration) *Gate {
	return &Gate{rng: rand.New(rand.NewPCG(seed, gateStream)), periodEnd: now + gateLatencyPeriod}
}

// SetPriorities sets the priorities that there are; 0 is the highest.
func (g *Gate) SetPriorities(all []int) {
	g.levels = slices.Clone(all)
	slices.SortFunc(g.levels, func(a, b int) int { return b - a })
	g.levels = slices.Compact(g.levels)
}

// NormalizedLatency returns r.
func (g *Gate) NormalizedLatency() float64 { return g.normalizedLatency }

// RecordCapacity notes whether a request was taken at once, or found no free server. It shows at once what r
// will show when the queued requests are answered.
func (g *Gate) RecordCapacity(now time.Duration, taken bool) {
	fade := g.fade(now)
	g.saturatedRequests, g.seenRequests, g.saturationAt = g.saturatedRequests*fade, g.seenRequests*fade+1, now
	if !taken {
		g.saturatedRequests++
	}
}

// fade is by time: by requests, a gate that admits few would remember an overload for long.
func (g *Gate) fade(now time.Duration) float64 {
	return math.Exp(-float64(now-g.saturationAt) / float64(saturationWindow))
}

// Pressure is r, or what stands in for it while requests find no free server.
func (g *Gate) Pressure(now time.Duration) float64 {
	fade := g.fade(now)
	saturation := g.saturatedRequests * fade / (g.seenRequests*fade + saturationPrior)
	excess := max(0, saturation-toleratedSaturation) / (1 - toleratedSaturation)
	stack := gateLatencyMax - gateLatencyMin
	return max(g.normalizedLatency, gateLatencyMin+stack*saturatedPressureShare*excess)
}

// Calm reports whether nothing is about to be refused.
func (g *Gate) Calm(now time.Duration) bool { return g.Pressure(now) < gateCalmPressure }

// Idle reports whether requests find a free server at once, and are answered well within their targets.
func (g *Gate) Idle(now time.Duration) bool {
	return g.normalizedLatency < gateIdleLatency && g.Pressure(now) < gateLatencyMin+gateIdleSlack
}

// ReportPressure takes the pressure at another node that calls the service for graphs of this node.
func (g *Gate) ReportPressure(now time.Duration, pressure float64) {
	if now-g.reportedPressureAt > reportedPressureTTL {
		g.reportedPressure = 0
	}
	g.reportedPressure += (pressure - g.reportedPressure) / reportedPressureWindow
	g.reportedPressureAt = now
}

// Admit decides on a new call graph. The gates of the downstream services that the graph calls take part, as
// its calls will pass them without a decision: a graph that would overload one of them is refused at its
// entry.
func (g *Gate) Admit(now time.Duration, priority int, downstream ...*Gate) bool {
	return g.inflight == 0 || g.rng.Float64() < g.GraphProbability(now, priority, downstream...)
}

// GraphProbability is the probability with which a graph is admitted that calls downstream services.
func (g *Gate) GraphProbability(now time.Duration, priority int, downstream ...*Gate) float64 {
	g.rollPeriod(now)
	probability := g.Probability(now, priority)
	for _, d := range downstream {
		d.rollPeriod(now)
		probability = min(probability, d.DownstreamProbability(now, priority))
	}
	return probability
}

// DownstreamProbability is the probability with which a graph is admitted that calls this service downstream.
func (g *Gate) DownstreamProbability(now time.Duration, priority int) float64 {
	if now-g.reportedPressureAt > reportedPressureTTL {
		return g.Probability(now, priority)
	}
	return g.probabilityAt(max(g.Pressure(now), g.reportedPressure), priority)
}

// Probability is the probability with which a priority is admitted at the present pressure.
func (g *Gate) Probability(now time.Duration, priority int) float64 {
	return g.probabilityAt(g.Pressure(now), priority)
}

func (g *Gate) probabilityAt(r float64, priority int) float64 {
	level := slices.IndexFunc(g.levels, func(p int) bool { return p <= priority })
	if level < 0 {
		level = max(0, len(g.levels)-1)
	}
	width := (gateLatencyMax - gateLatencyMin) / float64(max(1, len(g.levels)))
	low := gateLatencyMin + width*float64(level)
	return linearProbability(r, low, low+width)
}

// RetryAfter is the advice of a refusal: soon where such requests are mostly admitted, and the later the
// less probable that is, as a client has few attempts and an overload lasts. It is at most the wait that the
// client would heed, and has jitter, lest all clients return together.
func (g *Gate) RetryAfter(target, wait time.Duration, probability float64) time.Duration {
	u := g.rng.Float64()
	soon := (0.5 + u) * float64(max(target/2, gateLatencyPeriod/2))
	late := (minRetryAfterShare + (1-minRetryAfterShare)*u) * float64(wait)
	advice := soon + max(0, late-soon)*(1-probability)
	return max(time.Millisecond, time.Duration(min(float64(wait), advice)))
}

// Begin counts an admitted request.
func (g *Gate) Begin(now time.Duration) {
	g.rollPeriod(now)
	g.inflight++
}

// Done takes the end of an admitted request.
func (g *Gate) Done(now, elapsed, target time.Duration) {
	g.rollPeriod(now)
	g.inflight = max(0, g.inflight-1)
	if target > 0 {
		g.latencySum += float64(elapsed) / float64(target)
		g.periodOutcomes++
	}
}

// rollPeriod ends a period that is over. One without outcomes keeps r; few outcomes move it little.
func (g *Gate) rollPeriod(now time.Duration) {
	if now < g.periodEnd {
		return
	}
	if g.periodOutcomes > 0 {
		mean := g.latencySum / g.periodOutcomes
		g.normalizedLatency += (mean - g.normalizedLatency) * min(1, g.periodOutcomes/gateOutcomeWindow)
	}
	g.latencySum, g.periodOutcomes = 0, 0
	g.periodEnd = now + gateLatencyPeriod
}

package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of Gate. r is the response time in multiples of the latency target.
const (
	gateLatencyPeriod = 500 * time.Millisecond // interval between updates of r
	gateOutcomeWindow = 8                      // outcomes over which r is averaged
	gateLatencyMin    = 0.8                    // r below which every request is admitted
	gateLatencyMax    = 2.0                    // r from which every request is refused
	gateLowPressure   = 0.83                   // pressure below which no request has to wait for a slot
	gateIdleLatency   = 0.5                    // upper bound of r for an idle service
	gateIdleSlack     = 0.001                  // bound of an idle service's pressure minus gateLatencyMin

	saturationWindow       = time.Second // time constant of the decay of the saturation counters
	saturationPrior        = 2           // unsaturated requests assumed in addition to the counted ones
	toleratedSaturation    = 0.1         // share of saturated requests that does not raise the pressure
	saturatedPressureShare = 0.6         // pressure rise at full saturation, as a share of r's range

	reportedPressureWindow = 8           // reports over which the pressure at other nodes is averaged
	reportedPressureTTL    = time.Second // time until a report expires

	minRetryAfterShare = 0.6 // shortest retry-after at probability 0, as a share of the longest
)

// Gate decides which new call graphs are admitted to one service, by stacked curves (see admission.go), one
// for each priority. Its r is the mean end-to-end time of this node's own requests, in multiples of their
// latency targets; timeouts and failures count with the time until they occurred. A Gate must not be used
// concurrently.
type Gate struct {
	rng               *rand.Rand
	levels            []int   // priorities, the lowest (the largest number) first
	normalizedLatency float64 // r
	latencySum        float64 // sum of the response times of this period, in multiples of the latency targets
	periodOutcomes    float64 // requests that ended in this period
	periodEnd         time.Duration
	inflight          int // admitted requests that have not ended

	saturatedRequests   float64       // decaying number of requests that found no free server
	totalRequests       float64       // decaying number of all requests
	saturationUpdatedAt time.Duration // last update of the two counters

	reportedPressure   float64       // mean pressure reported by other nodes
	reportedPressureAt time.Duration // time of the last report
}

// NewGate returns a gate without recorded requests, which admits every request.
func NewGate(seed uint64, now time.Duration) *Gate {
	return &Gate{rng: rand.New(rand.NewPCG(seed, gateStream)), periodEnd: now + gateLatencyPeriod}
}

// SetPriorities sets the priorities in use, in any order; 0 is the highest.
func (g *Gate) SetPriorities(priorities []int) {
	g.levels = slices.Clone(priorities)
	slices.SortFunc(g.levels, func(a, b int) int { return b - a })
	g.levels = slices.Compact(g.levels)
}

// NormalizedLatency returns r, the mean response time in multiples of the latency target.
func (g *Gate) NormalizedLatency() float64 { return g.normalizedLatency }

// RecordCapacity records whether a request was accepted by a server without waiting, or found no free server.
// Saturation raises the pressure at once, whereas r rises only when the queued requests end.
func (g *Gate) RecordCapacity(now time.Duration, accepted bool) {
	decay := g.saturationDecay(now)
	g.saturatedRequests, g.totalRequests, g.saturationUpdatedAt =
		g.saturatedRequests*decay, g.totalRequests*decay+1, now
	if !accepted {
		g.saturatedRequests++
	}
}

// saturationDecay returns the factor by which the saturation counters have decayed since their last update.
// They decay with time: if they decayed with each request, a gate that admits few requests would react to a
// past overload for too long.
func (g *Gate) saturationDecay(now time.Duration) float64 {
	return math.Exp(-float64(now-g.saturationUpdatedAt) / float64(saturationWindow))
}

// Pressure returns r, or the pressure derived from the share of saturated requests if that is higher.
func (g *Gate) Pressure(now time.Duration) float64 {
	decay := g.saturationDecay(now)
	saturation := g.saturatedRequests * decay / (g.totalRequests*decay + saturationPrior)
	excess := max(0, saturation-toleratedSaturation) / (1 - toleratedSaturation)
	latencyRange := gateLatencyMax - gateLatencyMin
	return max(g.normalizedLatency, gateLatencyMin+latencyRange*saturatedPressureShare*excess)
}

// LowPressure reports whether the pressure is so low that hardly any request is refused.
func (g *Gate) LowPressure(now time.Duration) bool { return g.Pressure(now) < gateLowPressure }

// Idle reports whether requests find free servers and are answered well within their latency targets.
func (g *Gate) Idle(now time.Duration) bool {
	return g.normalizedLatency < gateIdleLatency && g.Pressure(now) < gateLatencyMin+gateIdleSlack
}

// ReportPressure records the pressure measured by another node that calls the service on behalf of call
// graphs of this node.
func (g *Gate) ReportPressure(now time.Duration, pressure float64) {
	if now-g.reportedPressureAt > reportedPressureTTL {
		g.reportedPressure = 0
	}
	g.reportedPressure += (pressure - g.reportedPressure) / reportedPressureWindow
	g.reportedPressureAt = now
}

// Admit reports whether a new call graph is admitted. It also consults the gates of the downstream services
// that the graph calls: a graph that would overload one of them is refused at its entry, since the calls
// inside a graph are not subject to admission. If no request is in flight, the graph is always admitted.
func (g *Gate) Admit(now time.Duration, priority int, downstream ...*Gate) bool {
	return g.inflight == 0 || g.rng.Float64() < g.GraphProbability(now, priority, downstream...)
}

// GraphProbability returns the probability of admission of a graph that calls the downstream services: the
// lowest over all its services.
func (g *Gate) GraphProbability(now time.Duration, priority int, downstream ...*Gate) float64 {
	g.rollPeriod(now)
	probability := g.Probability(now, priority)
	for _, d := range downstream {
		d.rollPeriod(now)
		probability = min(probability, d.DownstreamProbability(now, priority))
	}
	return probability
}

// DownstreamProbability returns the probability of admission of a graph that calls this service downstream.
// It takes into account the pressure reported by other nodes.
func (g *Gate) DownstreamProbability(now time.Duration, priority int) float64 {
	if now-g.reportedPressureAt > reportedPressureTTL {
		return g.Probability(now, priority)
	}
	return g.probabilityAt(max(g.Pressure(now), g.reportedPressure), priority)
}

// Probability returns the probability of admission for a priority at the current pressure.
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

// RetryAfter returns the retry-after of a refusal. It is short if such requests are mostly admitted, and
// longer the lower their probability of admission, since a client has few attempts and an overload lasts. It
// is at most maxWait, but at least one millisecond, and has jitter so that the clients do not all retry at
// the same time.
func (g *Gate) RetryAfter(target, maxWait time.Duration, probability float64) time.Duration {
	jitter := g.rng.Float64()
	shortest := (0.5 + jitter) * float64(max(target/2, gateLatencyPeriod/2))
	longest := (minRetryAfterShare + (1-minRetryAfterShare)*jitter) * float64(maxWait)
	wait := shortest + max(0, longest-shortest)*(1-probability)
	return max(time.Millisecond, time.Duration(min(float64(maxWait), wait)))
}

// Begin records the start of an admitted request.
func (g *Gate) Begin(now time.Duration) {
	g.rollPeriod(now)
	g.inflight++
}

// Done records the end of an admitted request. A request without a latency target does not change r.
func (g *Gate) Done(now, elapsed, target time.Duration) {
	g.rollPeriod(now)
	g.inflight = max(0, g.inflight-1)
	if target > 0 {
		g.latencySum += float64(elapsed) / float64(target)
		g.periodOutcomes++
	}
}

// rollPeriod ends the period if it is over, and updates r. A period without outcomes leaves r unchanged; one
// with few outcomes changes it little.
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

package decide

import (
	"math"
	"slices"
	"time"
)

// Admission at the front proxy: a request is admitted with the probability P = (b-r)/(b-a) between the bounds
// a and b of the curve of its value, where r is the node's mean response time in multiples of the latency
// target. The curves are stacked: all requests of a lower value are refused before any of a higher value. If
// the number of calls in flight shows an overload before the response times do, it replaces r.
const (
	admissionLatencyMax = 1.0 // r at which the pressure is 1, and even the highest value is refused
	admissionLatencyMin = 0.6 // r at which the pressure is 0, and the lowest value is admitted

	latencyPeriod     = 200 * time.Millisecond // interval between updates of r
	latencyWindow     = 24                     // outcomes over which r is averaged
	concurrencyWindow = 8                      // arrivals over which the calls in flight are averaged
	levelShareWindow  = 64                     // arrivals over which the shares of the levels are averaged

	callsPerTier        = 2    // calls in flight per server, for each tier behind it, without overload
	maxConcurrencyRatio = 2    // concurrency ratio at which the pressure is 1
	capacityGrowthRate  = 0.15 // relative growth of countedServers per second
	retryValueFactor    = 0.9  // factor on the value of a client's retry
	levelGapExponent    = 4    // exponent of the gap below a curve; see admissionProbability

	// A request whose TTL is below this share of the longest TTL in its class is taken for a client's retry.
	fullTTLNumerator, fullTTLDenominator = 49, 50
)

// admission is the state of the admission controller.
type admission struct {
	tenants       []tenant
	valueLevels   []float64       // distinct values, ascending
	levelArrivals []float64       // decaying number of arrivals per level
	longestTTL    []time.Duration // longest TTL received, by class

	normalizedLatency  float64 // r: mean response time in multiples of the latency target
	latencySum         float64 // time that calls spent on this node in this period, in multiples of targets
	periodOutcomes     float64 // calls that ended in this period
	totalOutcomes      float64 // calls that ended in earlier periods
	pendingLatencyRate float64 // growth of latencySum per nanosecond: sum of 1/target over calls in flight
	periodEnd          time.Duration

	callsPerServer     float64 // calls in flight that a server handles without overload
	meanConcurrency    float64 // calls in flight, averaged over arrivals
	countedServers     float64 // number of servers that count as capacity
	concurrencyLimited bool    // whether a request was refused in this period at a concurrency ratio above 1
}

// tenant is the token bucket that limits a tenant to its quota.
type tenant struct {
	tokens   float64
	filledAt time.Duration
}

func newAdmission(settings *Settings, now time.Duration) admission {
	a := admission{
		tenants:    make([]tenant, len(settings.Tenants)),
		longestTTL: make([]time.Duration, len(settings.Classes)),
		periodEnd:  now + latencyPeriod,
		// A server also holds calls that wait for the tiers behind it.
		callsPerServer: float64(1 + callsPerTier*max(2, settings.Tiers-settings.Tier)),
	}
	for _, c := range settings.Classes {
		a.valueLevels = append(a.valueLevels, c.Value)
	}
	if settings.MarksClientRetries {
		a.addLevels(retryValueFactor)
	}
	if len(settings.Tenants) > 0 {
		a.addLevels(settings.OverQuotaValue)
	}
	slices.Sort(a.valueLevels)
	a.valueLevels = slices.Compact(a.valueLevels)
	levels := len(a.valueLevels)
	a.levelArrivals = slices.Repeat([]float64{levelShareWindow / float64(max(1, levels))}, levels)
	return a
}

// addLevels adds each level multiplied by factor as a further level.
func (a *admission) addLevels(factor float64) {
	for _, value := range a.valueLevels {
		a.valueLevels = append(a.valueLevels, value*factor)
	}
}

// endLatencyPeriod updates r with the response times of the period. A period without outcomes leaves r
// unchanged. A period with few outcomes changes it little: otherwise one slow answer would make a node with
// little traffic refuse its requests.
func (a *admission) endLatencyPeriod() {
	if a.periodOutcomes > 0 {
		mean := a.latencySum / a.periodOutcomes
		weight := a.periodOutcomes + min(latencyWindow, a.totalOutcomes)
		a.normalizedLatency += (mean - a.normalizedLatency) * a.periodOutcomes / weight
		a.totalOutcomes += a.periodOutcomes
	}
	a.latencySum, a.periodOutcomes = 0, 0
}

// recordArrival updates the arrivals of the levels and the mean number of calls in flight.
func (b *Balancer) recordArrival(value float64) {
	for i := range b.levelArrivals {
		b.levelArrivals[i] *= 1 - 1.0/levelShareWindow
	}
	b.levelArrivals[b.level(value)]++
	b.meanConcurrency += (float64(len(b.calls)) - b.meanConcurrency) / concurrencyWindow
}

// valueOf returns the value of a request: that of its class, reduced for a tenant over its quota and for a
// client's retry. A retry has less of its latency target left, and at full value it would displace first
// attempts.
func (b *Balancer) valueOf(r *Request) float64 {
	value := b.settings.Classes[r.Class].Value
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) && !b.withinQuota(r.Tenant) {
		value *= b.settings.OverQuotaValue
	}
	if r.ClientRetry {
		value *= retryValueFactor
	}
	return value
}

// growCapacity raises countedServers toward the number of members if requests were refused for concurrency
// while r shows no overload.
func (b *Balancer) growCapacity() {
	servers := float64(len(b.members))
	lowLatency := b.normalizedLatency < admissionLatencyMin
	if b.concurrencyLimited && b.countedServers < servers && lowLatency {
		b.countedServers = min(b.countedServers*(1+capacityGrowthRate*latencyPeriod.Seconds()), servers)
	}
	b.concurrencyLimited = false
}

// latencyTarget returns the time within which an answer to the request earns the full value.
func (b *Balancer) latencyTarget(r *Request) time.Duration {
	class := &b.settings.Classes[r.Class]
	return min(class.LatencyTarget+time.Duration(class.LatencyTargetStretch*float64(r.Work)), class.Deadline)
}

// latencyTargetLeft returns the remaining part of the latency target. A TTL shorter than the longest of the
// class indicates a client's retry: the client has already waited for the deadline minus the TTL.
func (b *Balancer) latencyTargetLeft(r *Request) time.Duration {
	b.longestTTL[r.Class] = max(b.longestTTL[r.Class], r.TTL)
	left := b.latencyTarget(r)
	if r.TTL < b.longestTTL[r.Class]*fullTTLNumerator/fullTTLDenominator {
		left -= b.settings.Classes[r.Class].Deadline - r.TTL
	}
	return left
}

// admissionProbability returns the probability of admission for a value at the current pressure. Except for
// the lowest level, a curve starts at a higher pressure if fewer arrivals are on its level or above. Noise in
// the pressure of one node then does not refuse rare requests of high value.
func (b *Balancer) admissionProbability(value float64) float64 {
	level := b.level(value)
	width := 1 / float64(len(b.valueLevels))
	low := width * float64(level)
	if value < b.valueLevels[0] { // a value below the lowest level, such as 0, is refused first
		low -= width
	} else if level > 0 {
		low += math.Pow(1-b.levelShare(level), levelGapExponent)
	}
	return linearProbability(b.pressure(), low, low+width)
}

// level returns the index of the lowest level that is at least value, or of the highest if there is none.
func (a *admission) level(value float64) int {
	i, _ := slices.BinarySearch(a.valueLevels, value)
	return min(i, len(a.valueLevels)-1)
}

// levelShare returns the share of the arrivals that are on a level or above.
func (a *admission) levelShare(level int) float64 {
	above, total := 0.0, 0.0
	for i, n := range a.levelArrivals {
		total += n
		if i >= level {
			above += n
		}
	}
	return above / total
}

// pressure returns the position on the axis of the stacked curves; the curve of the lowest level starts at 0.
// It is the larger of the positions by r and by the concurrency ratio: some servers become slow as soon as
// they hold too many calls, long before the measured response times rise.
func (b *Balancer) pressure() float64 {
	byLatency := (b.normalizedLatency - admissionLatencyMin) / (admissionLatencyMax - admissionLatencyMin)
	byConcurrency := (b.concurrencyRatio() - 1) / (maxConcurrencyRatio - 1)
	return max(byLatency, byConcurrency)
}

// concurrencyRatio returns the mean number of calls in flight in multiples of this node's share of the
// servers' capacity. Ejected servers do not count as capacity, as their calls would overload the others. The
// few calls of one node vary at random, while the servers receive the sum over all nodes. The calls are
// therefore averaged over arrivals, and half the square root of the capacity is added as a tolerance.
func (b *Balancer) concurrencyRatio() float64 {
	available, total := 0, len(b.localSubset)+len(b.remoteSubset)
	for i := range total {
		if s := b.subset(i); s.ejections == 0 && s.zone.ejections == 0 {
			available++
		}
	}
	servers := min(float64(len(b.members)), b.countedServers)
	capacity := b.callsPerServer * servers / float64(max(1, b.settings.Nodes))
	capacity *= float64(available) / float64(max(1, total))
	return b.meanConcurrency / max(1, capacity+math.Sqrt(capacity)/2)
}

// linearProbability returns (b-r)/(b-a) for r between a and b, 1 below a and 0 above b. This is the
// admission curve of Zhengdao Xu and Gregor v. Bochmann, "A Probabilistic Approach for Admission Control to
// Web Servers". They print (r-a)/(b-a), which would rise with r.
func linearProbability(r, a, b float64) float64 {
	return min(1, max(0, (b-r)/(b-a)))
}

// retryAfter returns the retry-after of a refusal, with jitter so that the clients do not all retry at the
// same time. It returns zero if refusals may not carry one.
func (b *Balancer) retryAfter(targetLeft time.Duration) time.Duration {
	if !b.settings.MaySetRetryAfter {
		return 0
	}
	wait := max(0, b.settings.MaxRetryAfter)
	if targetLeft > 0 {
		wait = min(wait, targetLeft/2)
	}
	return b.jitter(wait)
}

// jitter shortens a wait by a random share of up to one half.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
}

// withinQuota takes a token from a tenant's bucket and reports whether there was one. The bucket holds this
// node's share of the quota for one second, but at least one token.
func (b *Balancer) withinQuota(i int) bool {
	t := &b.tenants[i]
	quota := b.settings.Tenants[i].Quota / float64(max(1, b.settings.Nodes))
	t.tokens = min(t.tokens+quota*(b.now-t.filledAt).Seconds(), max(quota, 1))
	t.filledAt = b.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

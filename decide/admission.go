package decide

import (
	"math"
	"slices"
	"time"
)

// Admission at the front: a call is admitted with the probability P = (b-r)/(b-a) between the bounds a and b
// of its value's curve, where r is the node's mean response time in multiples of the latency target. The
// curves of the values are stacked, so that a lower value is refused completely before a higher one begins
// to be. Where the calls in flight show an overload before the response times do, they stand in for r.
const (
	// r at which even the highest value is refused, and below which the lowest is admitted.
	admissionLatencyMax = 1.0
	admissionLatencyMin = 0.6

	latencyPeriod     = 200 * time.Millisecond // between two readings of r
	latencyWindow     = 24                     // outcomes over which r is averaged
	concurrencyWindow = 8                      // arrivals over which the calls in flight are averaged
	levelShareWindow  = 64                     // arrivals over which the shares of the levels are averaged

	callsPerTier = 2 // calls that a server holds, for each tier behind it, without being overloaded
	// calls in flight, in multiples of the capacity, at which even the highest is refused
	maxConcurrencyRatio = 2
	capacityGrowthRate  = 0.15 // a second: how fast added servers count as capacity
	retryValueFactor    = 0.9  // a client's retry is worth a little less than a first attempt
	levelGapExponent    = 4    // of the share of lower values, by which a curve stands off from theirs

	// A request whose TTL is below this share of the largest seen in its class is a later attempt of its
	// client.
	fullTTLNumerator, fullTTLDenominator = 49, 50
)

// admission is the state of the admission controller.
type admission struct {
	tenants       []tenant
	valueLevels   []float64       // distinct values, ascending
	levelArrivals []float64       // recent arrivals on each
	longestTTL    []time.Duration // largest TTL seen, by class

	normalizedLatency  float64 // r: mean response time in multiples of the latency target
	latencySum         float64 // of the period: time that calls spent here, in multiples of their targets
	periodOutcomes     float64 // of the period
	totalOutcomes      float64
	pendingLatencyRate float64 // growth of latencySum: the calls in flight, each as one over its target
	periodEnd          time.Duration

	callsPerServer     float64 // that a server holds without being overloaded
	meanConcurrency    float64 // calls in flight, averaged over arrivals
	countedServers     float64 // servers that count as capacity
	concurrencyLimited bool    // the calls in flight caused a refusal in this period
}

// tenant meters one tenant's requests against its quota.
type tenant struct {
	tokens   float64
	filledAt time.Duration
}

func newAdmission(settings *Settings, now time.Duration) admission {
	a := admission{
		tenants:    make([]tenant, len(settings.Tenants)),
		longestTTL: make([]time.Duration, len(settings.Classes)),
		periodEnd:  now + latencyPeriod,
		// A server also holds the calls that wait for the tiers behind it.
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

// addLevels adds, for each level, the level times a factor.
func (a *admission) addLevels(factor float64) {
	for _, value := range a.valueLevels {
		a.valueLevels = append(a.valueLevels, value*factor)
	}
}

// endLatencyPeriod takes the period's response times into r. A period without outcomes keeps r; few outcomes
// move it little, lest one slow answer close a node that sees few.
func (a *admission) endLatencyPeriod() {
	if a.periodOutcomes > 0 {
		mean := a.latencySum / a.periodOutcomes
		weight := a.periodOutcomes + min(latencyWindow, a.totalOutcomes)
		a.normalizedLatency += (mean - a.normalizedLatency) * a.periodOutcomes / weight
		a.totalOutcomes += a.periodOutcomes
	}
	a.latencySum, a.periodOutcomes = 0, 0
}

// recordArrival counts an arrival on its level, and averages the calls in flight.
func (b *Balancer) recordArrival(value float64) {
	for i := range b.levelArrivals {
		b.levelArrivals[i] *= 1 - 1.0/levelShareWindow
	}
	b.levelArrivals[b.level(value)]++
	b.meanConcurrency += (float64(len(b.calls)) - b.meanConcurrency) / concurrencyWindow
}

// valueOf is the value of a request: its class's, less for a tenant over its quota and for a client's retry,
// of whose latency target a part has passed, and which would else displace first attempts.
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

// growCapacity lets added servers count as capacity while calls are refused and r shows no overload.
func (b *Balancer) growCapacity() {
	servers := float64(len(b.members))
	calm := b.normalizedLatency < admissionLatencyMin
	if b.concurrencyLimited && b.countedServers < servers && calm {
		b.countedServers = min(b.countedServers*(1+capacityGrowthRate*latencyPeriod.Seconds()), servers)
	}
	b.concurrencyLimited = false
}

// latencyTarget is the time within which a request earns its full value.
func (b *Balancer) latencyTarget(r *Request) time.Duration {
	class := &b.settings.Classes[r.Class]
	return min(class.LatencyTarget+time.Duration(class.LatencyTargetStretch*float64(r.Work)), class.Deadline)
}

// latencyTargetLeft is what remains of the latency target. A request with a smaller TTL than others of its
// class is a later attempt, cut by the client's deadline, which shows how long the client has waited.
func (b *Balancer) latencyTargetLeft(r *Request) time.Duration {
	b.longestTTL[r.Class] = max(b.longestTTL[r.Class], r.TTL)
	left := b.latencyTarget(r)
	if r.TTL < b.longestTTL[r.Class]*fullTTLNumerator/fullTTLDenominator {
		left -= b.settings.Classes[r.Class].Deadline - r.TTL
	}
	return left
}

// admissionProbability is the probability with which a value is admitted, by its curve on the stack.
func (b *Balancer) admissionProbability(value float64) float64 {
	level := b.level(value)
	width := 1 / float64(len(b.valueLevels))
	low := width * float64(level)
	if value < b.valueLevels[0] { // without value any more: below all others
		low -= width
	} else if level > 0 {
		low += math.Pow(1-b.levelShare(level), levelGapExponent)
	}
	return linearProbability(b.pressure(), low, low+width)
}

// level is the index of a value's level.
func (a *admission) level(value float64) int {
	at, _ := slices.BinarySearch(a.valueLevels, value)
	return min(at, len(a.valueLevels)-1)
}

// levelShare is the share of the arrivals that is on a level or above.
func (a *admission) levelShare(level int) float64 {
	above, all := 0.0, 0.0
	for i, n := range a.levelArrivals {
		all += n
		if i >= level {
			above += n
		}
	}
	return above / all
}

// pressure is this node's position on the stack of curves: 0 at the bottom, 1 at the top. It is by r or, if
// that is more, by the calls in flight: some servers become slow at once when they have too many, long before
// response times have risen.
func (b *Balancer) pressure() float64 {
	byLatency := (b.normalizedLatency - admissionLatencyMin) / (admissionLatencyMax - admissionLatencyMin)
	byConcurrency := (b.concurrencyRatio() - 1) / (maxConcurrencyRatio - 1)
	return max(byLatency, byConcurrency)
}

// concurrencyRatio is the calls in flight in multiples of this node's share of the servers' capacity. Ejected
// servers are no capacity: the others would else be overloaded in their place. A node's few calls vary by
// chance, while the servers see the sum over all nodes: so the calls are averaged over some arrivals, and
// what chance leaves of that is tolerated.
func (b *Balancer) concurrencyRatio() float64 {
	trusted, all := 0, len(b.localSubset)+len(b.remoteSubset)
	for i := range all {
		if s := b.subset(i); s.ejections == 0 && s.zone.ejections == 0 {
			trusted++
		}
	}
	servers := min(float64(len(b.members)), b.countedServers)
	capacity := b.callsPerServer * servers / float64(max(1, b.settings.Nodes))
	capacity *= float64(trusted) / float64(max(1, all))
	return b.meanConcurrency / max(1, capacity+math.Sqrt(capacity)/2)
}

// linearProbability is (b-r)/(b-a) between a and b, 1 below and 0 above. (The paper prints (r-a)/(b-a), which
// would rise with r.)
func linearProbability(r, a, b float64) float64 {
	return min(1, max(0, (b-r)/(b-a)))
}

// retryAfter is the advice of a refusal, with jitter so that refused clients do not return together.
func (b *Balancer) retryAfter(targetLeft time.Duration) time.Duration {
	if !b.settings.MayAdviseReturn {
		return 0
	}
	wait := max(0, b.settings.MaxRetryAfter)
	if targetLeft > 0 {
		wait = min(wait, targetLeft/2)
	}
	return b.jitter(wait)
}

// jitter shortens a wait by up to a half.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
}

// withinQuota meters a tenant's request by a token bucket of one second of its quota.
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

package lab

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivydeck/internal/dataplane/router"
)

// measurements collects what a run measures.
type measurements struct {
	scenario        *Scenario
	seconds         []Second
	perSecond       []*hdrhistogram.Histogram // request latencies, by the second in which the request starts
	total           Counts
	routes          map[string]*Counts
	latency         map[string]*hdrhistogram.Histogram // by route
	lag             *hdrhistogram.Histogram            // time from the commit of an update to its receipt by a node
	committedAt     map[uint64]time.Duration           // by update index
	newestUpdate    uint64
	ackLatencies    []time.Duration
	elections       int
	leaderlessSince time.Duration // when the last leader was lost; negative while there is a leader
	leaderlessTime  time.Duration
	probes          int64
	probeBytes      int64
	feedBytes       int64
	retries         int
	maxRetryBudget  float64
	maxRelayDepth   int
	staleParents    int
	maxDiskBytes    int
	requestsTo      map[string]*slidingCounter // by service
	retriesOf       map[string]*slidingCounter // by service
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) } // in microseconds, up to ten minutes

func newMeasurements(scenario *Scenario) *measurements {
	return &measurements{
		scenario: scenario, routes: map[string]*Counts{}, latency: map[string]*hdrhistogram.Histogram{}, lag: newHistogram(),
		committedAt: map[uint64]time.Duration{}, requestsTo: map[string]*slidingCounter{}, retriesOf: map[string]*slidingCounter{},
	}
}

// second returns the record of the second that contains a time.
func (m *measurements) second(now time.Duration) *Second {
	index := int(now / time.Second)
	for len(m.seconds) <= index {
		m.seconds = append(m.seconds, Second{})
		m.perSecond = append(m.perSecond, newHistogram())
	}
	return &m.seconds[index]
}

func (m *measurements) route(name string) *Counts {
	if m.routes[name] == nil {
		m.routes[name], m.latency[name] = &Counts{}, newHistogram()
	}
	return m.routes[name]
}

func (m *measurements) requestStarted(now time.Duration, route *Route) {
	m.second(now).Requests++
	m.route(route.Name).Requests++
	m.total.Requests++
}

// refusalRetried counts a refused attempt that the client retries.
func (m *measurements) refusalRetried(r *Route) {
	m.route(r.Name).RetriedRefusals++
	m.total.RetriedRefusals++
}

// requestEnded counts the outcome of a request in the second in which the request started.
func (m *measurements) requestEnded(now time.Duration, req *request, response router.Response) {
	second := m.second(req.startedAt)
	all := []*Counts{&second.Counts, m.route(req.route.Name), &m.total}
	took := now - req.startedAt
	count := func(f func(c *Counts)) {
		for _, c := range all {
			f(c)
		}
	}
	switch {
	case response.Status == 200:
		micros := max(1, took.Microseconds())
		m.latency[req.route.Name].RecordValue(micros)
		m.perSecond[int(req.startedAt/time.Second)].RecordValue(micros)
		if took <= ms(req.route.TargetLatencyMs) {
			count(func(c *Counts) { c.OnTime++; c.Value += valueOnTime })
		} else {
			count(func(c *Counts) { c.Late++; c.Value += valueLate })
		}
	case response.RetryAfter > 0:
		count(func(c *Counts) { c.Refused++ })
		for len(second.ByPriority) <= req.route.Priority {
			second.ByPriority = append(second.ByPriority, 0)
		}
		second.ByPriority[req.route.Priority]++
	default:
		count(func(c *Counts) { c.Failed++ })
	}
}

// slidingCounter counts events in a sliding window.
type slidingCounter struct {
	times []time.Duration
	first int // index of the first time in the window
}

func (s *slidingCounter) add(now time.Duration) { s.times = append(s.times, now) }

// count returns the number of events after since, and drops older events. Later calls must
// not pass an earlier time.
func (s *slidingCounter) count(since time.Duration) int {
	for s.first < len(s.times) && s.times[s.first] <= since {
		s.first++
	}
	if s.first > 4096 && s.first > len(s.times)/2 {
		s.times = slices.Delete(s.times, 0, s.first)
		s.first = 0
	}
	return len(s.times) - s.first
}

// counterFor returns the counter of a service, and creates it if it is missing.
func counterFor(counters map[string]*slidingCounter, service string) *slidingCounter {
	if counters[service] == nil {
		counters[service] = &slidingCounter{}
	}
	return counters[service]
}

// requestEntered counts a request for a service.
func (m *measurements) requestEntered(now time.Duration, service string) {
	counterFor(m.requestsTo, service).add(now)
}

// requestRetried counts a retry, and records the used share of the retry budget.
func (m *measurements) requestRetried(now time.Duration, service string) {
	m.retries++
	m.second(now).Retries++
	since := now - sec(m.scenario.Retry.WindowS)
	retries := counterFor(m.retriesOf, service)
	retries.add(now)
	used := float64(retries.count(since)) / (m.scenario.Retry.Ratio*float64(counterFor(m.requestsTo, service).count(since)) + m.scenario.Retry.Slack)
	m.maxRetryBudget = max(m.maxRetryBudget, used)
	m.second(now).RetryBudget = max(m.second(now).RetryBudget, used)
}

// updateCommitted records when the first quorum member applies an update.
func (m *measurements) updateCommitted(now time.Duration, index uint64) {
	if index > m.newestUpdate {
		m.newestUpdate = index
		m.committedAt[index] = now
	}
}

// updatesReceived records the lag of the updates from before+1 to after, which a node has
// received.
func (m *measurements) updatesReceived(now time.Duration, before, after uint64) {
	if before == 0 { // a restarted node, which receives the full state
		return
	}
	for index := before + 1; index <= after; index++ {
		if committed, ok := m.committedAt[index]; ok {
			m.lag.RecordValue(max(1, (now - committed).Microseconds()))
			second := m.second(now)
			second.LagMs = max(second.LagMs, float64((now-committed).Microseconds())/1000)
		}
	}
}

// slotHeld adds the time for which a run held a slot.
func (m *measurements) slotHeld(now time.Duration, service string, took time.Duration) {
	second := m.second(now)
	if second.Busy == nil {
		second.Busy = map[string]float64{}
	}
	second.Busy[service] += took.Seconds()
}

// leaderElected counts an election and ends the time without a leader.
func (m *measurements) leaderElected(now time.Duration) {
	m.elections++
	if m.leaderlessSince >= 0 {
		m.countLeaderless(now)
	}
	m.leaderlessSince = -1
}

// countLeaderless adds the time without a leader up to now, split by second.
func (m *measurements) countLeaderless(now time.Duration) {
	m.leaderlessTime += now - m.leaderlessSince
	for at := m.leaderlessSince; at < now; {
		next := min(now, at.Truncate(time.Second)+time.Second)
		m.second(at).Leaderless += (next - at).Seconds()
		at = next
	}
}

// leaderLost records that a machine is no longer the leader. another reports whether there
// is another leader.
func (m *measurements) leaderLost(now time.Duration, another bool) {
	if m.leaderlessSince < 0 && !another {
		m.leaderlessSince = now
	}
}

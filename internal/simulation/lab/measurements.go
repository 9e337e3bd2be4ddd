package lab

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivydeck/internal/dataplane/router"
)

// measurements are what a run has measured so far.
type measurements struct {
	scenario        *Scenario
	seconds         []Second
	perSecond       []*hdrhistogram.Histogram
	total           Counts
	routes          map[string]*Counts
	latency         map[string]*hdrhistogram.Histogram
	lag             *hdrhistogram.Histogram
	commits         map[uint64]time.Duration
	newest          uint64
	acks            []time.Duration
	elections       int
	leaderlessSince time.Duration // since when there is no leader; negative: there is one
	leaderless      time.Duration
	probes          int64
	probeBytes      int64
	feedBytes       int64
	retries         int
	retryBudget     float64
	depth           int
	staleParents    int
	disk            int
	requestsTo      map[string]*slidingCounter // by service
	retriesOf       map[string]*slidingCounter // by service
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) } // microseconds

func newMeasurements(w *Scenario) *measurements {
	return &measurements{
		scenario: w, routes: map[string]*Counts{}, latency: map[string]*hdrhistogram.Histogram{}, lag: histogram(),
		commits: map[uint64]time.Duration{}, requestsTo: map[string]*slidingCounter{}, retriesOf: map[string]*slidingCounter{},
	}
}

// second returns the record of the second that a time lies in.
func (m *measurements) second(now time.Duration) *Second {
	at := int(now / time.Second)
	for len(m.seconds) <= at {
		m.seconds = append(m.seconds, Second{})
		m.perSecond = append(m.perSecond, histogram())
	}
	return &m.seconds[at]
}

func (m *measurements) route(name string) *Counts {
	if m.routes[name] == nil {
		m.routes[name], m.latency[name] = &Counts{}, histogram()
	}
	return m.routes[name]
}

func (m *measurements) requestStarted(now time.Duration, r *Route) {
	m.second(now).Requests++
	m.route(r.Name).Requests++
	m.total.Requests++
}

// refusalRetried counts a refusal after which the client retries.
func (m *measurements) refusalRetried(r *Route) {
	m.route(r.Name).RetriedRefusals++
	m.total.RetriedRefusals++
}

// requestEnded counts the end of a request, in the second in which it began.
func (m *measurements) requestEnded(now time.Duration, q *request, f router.Response) {
	sec := m.second(q.begun)
	all := []*Counts{&sec.Counts, m.route(q.route.Name), &m.total}
	took := now - q.begun
	count := func(f func(c *Counts)) {
		for _, c := range all {
			f(c)
		}
	}
	switch {
	case f.Status == 200:
		us := max(1, took.Microseconds())
		m.latency[q.route.Name].RecordValue(us)
		m.perSecond[int(q.begun/time.Second)].RecordValue(us)
		if took <= ms(q.route.TargetLatencyMs) {
			count(func(c *Counts) { c.OnTime++; c.Value += valueOnTime })
		} else {
			count(func(c *Counts) { c.Late++; c.Value += valueLate })
		}
	case f.RetryAfter > 0:
		count(func(c *Counts) { c.Refused++ })
		for len(sec.ByPriority) <= q.route.Priority {
			sec.ByPriority = append(sec.ByPriority, 0)
		}
		sec.ByPriority[q.route.Priority]++
	default:
		count(func(c *Counts) { c.Failed++ })
	}
}

// slidingCounter counts events in a window that ends now.
type slidingCounter struct {
	times []time.Duration
	first int
}

func (s *slidingCounter) add(now time.Duration) { s.times = append(s.times, now) }

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

func window(m map[string]*slidingCounter, service string) *slidingCounter {
	if m[service] == nil {
		m[service] = &slidingCounter{}
	}
	return m[service]
}

// requestEntered counts a request for a service.
func (m *measurements) requestEntered(now time.Duration, service string) {
	window(m.requestsTo, service).add(now)
}

// requestRetried counts a retry, and the share of the retry budget that is used.
func (m *measurements) requestRetried(now time.Duration, service string) {
	m.retries++
	m.second(now).Retries++
	since := now - sec(m.scenario.Retry.WindowS)
	w := window(m.retriesOf, service)
	w.add(now)
	used := float64(w.count(since)) / (m.scenario.Retry.Ratio*float64(window(m.requestsTo, service).count(since)) + m.scenario.Retry.Slack)
	m.retryBudget = max(m.retryBudget, used)
	m.second(now).RetryBudget = max(m.second(now).RetryBudget, used)
}

// updateCommitted records when an update was first applied by a quorum member.
func (m *measurements) updateCommitted(now time.Duration, number uint64) {
	if number > m.newest {
		m.newest = number
		m.commits[number] = now
	}
}

// updatesReceived records that a node has received the updates after one index up to
// another.
func (m *measurements) updatesReceived(now time.Duration, before, after uint64) {
	if before == 0 { // a new incarnation, which receives the full state
		return
	}
	for n := before + 1; n <= after; n++ {
		if at, ok := m.commits[n]; ok {
			m.lag.RecordValue(max(1, (now - at).Microseconds()))
			sec := m.second(now)
			sec.LagMs = max(sec.LagMs, float64((now-at).Microseconds())/1000)
		}
	}
}

// slotHeld adds the time for which a run held a slot.
func (m *measurements) slotHeld(now time.Duration, service string, took time.Duration) {
	sec := m.second(now)
	if sec.Busy == nil {
		sec.Busy = map[string]float64{}
	}
	sec.Busy[service] += took.Seconds()
}

// leaderElected counts an election.
func (m *measurements) leaderElected(now time.Duration) {
	m.elections++
	if m.leaderlessSince >= 0 {
		m.countLeaderless(now)
	}
	m.leaderlessSince = -1
}

// countLeaderless adds the time without a leader that ends now.
func (m *measurements) countLeaderless(now time.Duration) {
	m.leaderless += now - m.leaderlessSince
	for at := m.leaderlessSince; at < now; {
		next := min(now, at.Truncate(time.Second)+time.Second)
		m.second(at).Leaderless += (next - at).Seconds()
		at = next
	}
}

// leaderLost records that a machine is not the leader any more; another may be one.
func (m *measurements) leaderLost(now time.Duration, another bool) {
	if m.leaderlessSince < 0 && !another {
		m.leaderlessSince = now
	}
}

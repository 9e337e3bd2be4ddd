package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivydeck/internal/dataplane/router"
)

// What a request is worth to its client.
const (
	worthInAim  = 1.0
	worthInTime = 0.5
)

// Counts are how requests ended.
type Counts struct {
	Asked    int     `json:"asked"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`    // answered, past the aim
	Refused  int     `json:"refused"` // with a promise, in the end
	Failed   int     `json:"failed"`
	Promises int     `json:"promises"` // refusals on the way
	Worth    float64 `json:"worth"`    // a request, at most 1
}

// Second is what happened in one second of a run.
type Second struct {
	Counts
	ByPriority []int   `json:"refused_by_priority"`
	Repeats    int     `json:"repeats"`
	Budget     float64 `json:"budget"`     // part of the shared budget that was used, at its worst
	LagMs      float64 `json:"lag_ms"`     // of updates, the worst
	Leaderless float64 `json:"leaderless"` // part of the second
	P99Ms      float64 `json:"p99_ms"`
	// Slots that were taken on average, by service; runs count in the second in
	// which they end.
	Busy map[string]float64 `json:"busy"`
}

// RouteResult is how one route fared.
type RouteResult struct {
	Counts
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
}

// Result is what a run came to. Times are simulated.
type Result struct {
	Scenario    string                 `json:"scenario"`
	Text        string                 `json:"text"` // the scenario as TOML
	Seed        uint64                 `json:"seed"`
	Varied      string                 `json:"varied"` // what a sweep set, as key=value
	Total       Counts                 `json:"total"`
	Routes      map[string]RouteResult `json:"routes"`
	Seconds     []Second               `json:"seconds"`
	Repeats     int                    `json:"repeats"`
	Budget      float64                `json:"budget"` // part of the shared budget that was used, at its worst
	LagP50Ms    float64                `json:"lag_p50_ms"`
	LagP99Ms    float64                `json:"lag_p99_ms"`
	LagMaxMs    float64                `json:"lag_max_ms"`
	Depth       int                    `json:"depth"`        // of the tree, at its deepest
	OutOfTouch  int                    `json:"out_of_touch"` // times that a node left its parent for the age of what it sent
	Elections   int                    `json:"elections"`
	LeaderlessS float64                `json:"leaderless_s"`
	AckP50Ms    float64                `json:"ack_p50_ms"`
	AckMaxMs    float64                `json:"ack_max_ms"`
	Acks        int                    `json:"acks"`
	Entries     uint64                 `json:"entries"`       // of the core's log that were committed
	ProbesS     float64                `json:"probes_s"`      // a node and second
	ProbeBytesS float64                `json:"probe_bytes_s"` // the same
	FeedBytesS  float64                `json:"feed_bytes_s"`
	BusiestBps  float64                `json:"busiest_bytes_s"` // out of the machine that sends most
	CrossedBps  float64                `json:"crossed_bytes_s"` // between zones, all together
	DiskBytes   int                    `json:"disk_bytes"`      // at one quorum member, at its most
	Faults      []string               `json:"faults"`
	FaultAtS    float64                `json:"fault_at_s"`
	Recent      []string               `json:"recent"` // before the first fault
	Fingerprint string                 `json:"fingerprint"`
}

// measures are taken as a scenario is played.
type measures struct {
	w          *Scenario
	seconds    []Second
	perSecond  []*hdrhistogram.Histogram
	total      Counts
	routes     map[string]*Counts
	latency    map[string]*hdrhistogram.Histogram
	lag        *hdrhistogram.Histogram
	commits    map[uint64]time.Duration
	newest     uint64
	acks       []time.Duration
	elections  int
	without    time.Duration // since when nobody leads; negative: somebody does
	leaderless time.Duration
	probes     int64
	probeBytes int64
	feedBytes  int64
	repeats    int
	budget     float64
	depth      int
	outOfTouch int
	disk       int
	entries    map[string]*sliding // requests of a service
	again      map[string]*sliding // repeats of them
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) } // microseconds

func newMeasures(w *Scenario) *measures {
	return &measures{
		w: w, routes: map[string]*Counts{}, latency: map[string]*hdrhistogram.Histogram{}, lag: histogram(),
		commits: map[uint64]time.Duration{}, entries: map[string]*sliding{}, again: map[string]*sliding{},
	}
}

// second returns the record of the second that a time lies in.
func (m *measures) second(now time.Duration) *Second {
	at := int(now / time.Second)
	for len(m.seconds) <= at {
		m.seconds = append(m.seconds, Second{})
		m.perSecond = append(m.perSecond, histogram())
	}
	return &m.seconds[at]
}

func (m *measures) route(name string) *Counts {
	if m.routes[name] == nil {
		m.routes[name], m.latency[name] = &Counts{}, histogram()
	}
	return m.routes[name]
}

func (m *measures) asked(now time.Duration, r *Route) {
	m.second(now).Asked++
	m.route(r.Name).Asked++
	m.total.Asked++
}

// refused books a promise after which the client comes back.
func (m *measures) refused(r *Route) {
	m.route(r.Name).Promises++
	m.total.Promises++
}

// done books the end of a request, in the second in which it began.
func (m *measures) done(now time.Duration, q *request, f router.Response) {
	sec := m.second(q.begun)
	all := []*Counts{&sec.Counts, m.route(q.route.Name), &m.total}
	took := now - q.begun
	book := func(f func(c *Counts)) {
		for _, c := range all {
			f(c)
		}
	}
	switch {
	case f.Status == 200:
		us := max(1, took.Microseconds())
		m.latency[q.route.Name].RecordValue(us)
		m.perSecond[int(q.begun/time.Second)].RecordValue(us)
		if took <= ms(q.route.AimMs) {
			book(func(c *Counts) { c.InAim++; c.Worth += worthInAim })
		} else {
			book(func(c *Counts) { c.Late++; c.Worth += worthInTime })
		}
	case f.RetryAfter > 0:
		book(func(c *Counts) { c.Refused++ })
		for len(sec.ByPriority) <= q.route.Priority {
			sec.ByPriority = append(sec.ByPriority, 0)
		}
		sec.ByPriority[q.route.Priority]++
	default:
		book(func(c *Counts) { c.Failed++ })
	}
}

// sliding counts what happened in a window that ends now.
type sliding struct {
	times []time.Duration
	first int
}

func (s *sliding) add(now time.Duration) { s.times = append(s.times, now) }

func (s *sliding) count(since time.Duration) int {
	for s.first < len(s.times) && s.times[s.first] <= since {
		s.first++
	}
	if s.first > 4096 && s.first > len(s.times)/2 {
		s.times = slices.Delete(s.times, 0, s.first)
		s.first = 0
	}
	return len(s.times) - s.first
}

func window(m map[string]*sliding, service string) *sliding {
	if m[service] == nil {
		m[service] = &sliding{}
	}
	return m[service]
}

// entered books a request for a service, repeated one that reaches a server again.
func (m *measures) entered(now time.Duration, service string) { window(m.entries, service).add(now) }

func (m *measures) repeated(now time.Duration, service string) {
	m.repeats++
	m.second(now).Repeats++
	since := now - sec(m.w.Retry.WindowS)
	w := window(m.again, service)
	w.add(now)
	used := float64(w.count(since)) / (m.w.Retry.Ratio*float64(window(m.entries, service).count(since)) + m.w.Retry.Slack)
	m.budget = max(m.budget, used)
	m.second(now).Budget = max(m.second(now).Budget, used)
}

// committed notes when an update was first applied by a quorum member.
func (m *measures) committed(now time.Duration, number uint64) {
	if number > m.newest {
		m.newest = number
		m.commits[number] = now
	}
}

// heard notes that a node has got the updates after one index up to another.
func (m *measures) heard(now time.Duration, before, after uint64) {
	if before == 0 { // a new incarnation, which has everything at once
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

// busy books the time for which a run held a slot.
func (m *measures) busy(now time.Duration, service string, took time.Duration) {
	sec := m.second(now)
	if sec.Busy == nil {
		sec.Busy = map[string]float64{}
	}
	sec.Busy[service] += took.Seconds()
}

func (m *measures) newLeader(now time.Duration) {
	m.elections++
	if m.without >= 0 {
		m.noLeader(now)
	}
	m.without = -1
}

// noLeader books the time without one.
func (m *measures) noLeader(now time.Duration) {
	m.leaderless += now - m.without
	for at := m.without; at < now; {
		next := min(now, at.Truncate(time.Second)+time.Second)
		m.second(at).Leaderless += (next - at).Seconds()
		at = next
	}
}

// lostLeader notes that a machine leads no longer; another may.
func (m *measures) lostLeader(now time.Duration, another bool) {
	if m.without < 0 && !another {
		m.without = now
	}
}

func (m *measures) result(s *sim, seed uint64) *Result {
	if m.without >= 0 {
		m.noLeader(s.now)
	}
	text, err := m.w.Text()
	s.must(err)
	if m.budget > 1 {
		s.broken("repeats came to %.2f of the shared budget", m.budget)
	}
	r := &Result{
		Scenario: m.w.Name, Text: text, Seed: seed, Total: m.total, Routes: map[string]RouteResult{}, Seconds: m.seconds,
		Repeats: m.repeats, Budget: m.budget, Depth: m.depth, OutOfTouch: m.outOfTouch, Elections: m.elections, LeaderlessS: m.leaderless.Seconds(),
		LagP50Ms: float64(m.lag.ValueAtQuantile(50)) / 1000, LagP99Ms: float64(m.lag.ValueAtQuantile(99)) / 1000,
		LagMaxMs: float64(m.lag.Max()) / 1000, Acks: len(m.acks), DiskBytes: m.disk, Faults: s.faults,
		FaultAtS: s.faultAt.Seconds(), Fingerprint: fmt.Sprintf("%016x", s.fingerprint()),
	}
	if len(s.faults) > 0 {
		r.Recent = s.recent
	}
	r.Total.Worth /= float64(max(1, r.Total.Asked))
	for i := range r.Seconds {
		sec := &r.Seconds[i]
		sec.Worth /= float64(max(1, sec.Asked))
		sec.P99Ms = float64(m.perSecond[i].ValueAtQuantile(99)) / 1000
	}
	for name, c := range m.routes {
		h := m.latency[name]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		c.Worth /= float64(max(1, c.Asked))
		r.Routes[name] = RouteResult{Counts: *c, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9)}
	}
	if len(m.acks) > 0 {
		slices.Sort(m.acks)
		r.AckP50Ms = float64(m.acks[len(m.acks)/2].Microseconds()) / 1000
		r.AckMaxMs = float64(m.acks[len(m.acks)-1].Microseconds()) / 1000
	}
	each := s.now.Seconds() * float64(len(s.nodes)+len(s.cores))
	r.ProbesS, r.ProbeBytesS, r.FeedBytesS = float64(m.probes)/each, float64(m.probeBytes)/each, float64(m.feedBytes)/each
	for _, c := range s.cores {
		if c.up {
			r.Entries = max(r.Entries, c.raft.Committed())
		}
	}
	busiest := int64(0)
	for _, v := range s.views {
		busiest = max(busiest, v.m.bytes)
		r.CrossedBps += float64(v.m.crossed) / s.now.Seconds()
	}
	r.BusiestBps = float64(busiest) / s.now.Seconds()
	return r
}

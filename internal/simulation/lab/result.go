package lab

import (
	"fmt"
	"slices"
)

// Counts are how requests ended.
type Counts struct {
	Requests        int     `json:"asked"`
	OnTime          int     `json:"in_aim"`
	Late            int     `json:"late"`    // answered past the latency target
	Refused         int     `json:"refused"` // in the end, with a promise that it has not run
	Failed          int     `json:"failed"`
	RetriedRefusals int     `json:"promises"` // refusals after which the client retried
	Value           float64 `json:"worth"`    // mean of a request, at most 1
}

// Second is what happened in one second of a run.
type Second struct {
	Counts
	ByPriority  []int   `json:"refused_by_priority"`
	Retries     int     `json:"repeats"`
	RetryBudget float64 `json:"budget"`     // highest share of the retry budget that was used
	LagMs       float64 `json:"lag_ms"`     // of updates, the longest
	Leaderless  float64 `json:"leaderless"` // share of the second
	P99Ms       float64 `json:"p99_ms"`
	// Mean of the slots in use, by service. Runs count in the second in which they
	// end.
	Busy map[string]float64 `json:"busy"`
}

// RouteResult is the result of one route. Percentiles are of answered requests.
type RouteResult struct {
	Counts
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
}

// Result is the result of a run. Times are simulated. Its JSON names are those of saved
// results, which stay readable.
type Result struct {
	Scenario        string                 `json:"scenario"`
	Text            string                 `json:"text"` // the scenario as TOML
	Seed            uint64                 `json:"seed"`
	Varied          string                 `json:"varied"` // the key that a sweep set, as key=value
	Total           Counts                 `json:"total"`
	Routes          map[string]RouteResult `json:"routes"`
	Seconds         []Second               `json:"seconds"`
	Retries         int                    `json:"repeats"`
	RetryBudget     float64                `json:"budget"` // highest share of the retry budget that was used
	LagP50Ms        float64                `json:"lag_p50_ms"`
	LagP99Ms        float64                `json:"lag_p99_ms"`
	LagMaxMs        float64                `json:"lag_max_ms"`
	Depth           int                    `json:"depth"`        // highest depth of the relay tree
	StaleParents    int                    `json:"out_of_touch"` // times that a node left a parent whose updates were too old
	Elections       int                    `json:"elections"`
	LeaderlessS     float64                `json:"leaderless_s"`
	AckP50Ms        float64                `json:"ack_p50_ms"`
	AckMaxMs        float64                `json:"ack_max_ms"`
	Acks            int                    `json:"acks"`
	Entries         uint64                 `json:"entries"`       // committed entries of the log
	ProbesS         float64                `json:"probes_s"`      // by node and second
	ProbeBytesS     float64                `json:"probe_bytes_s"` // by node and second
	FeedBytesS      float64                `json:"feed_bytes_s"`
	BusiestBps      float64                `json:"busiest_bytes_s"` // sent by the machine that sends most
	CrossZoneBps    float64                `json:"crossed_bytes_s"` // between zones, in total
	DiskBytes       int                    `json:"disk_bytes"`      // highest at a quorum member
	Violations      []string               `json:"faults"`
	FirstViolationS float64                `json:"fault_at_s"`
	RecentEvents    []string               `json:"recent"` // before the first violation
	Fingerprint     string                 `json:"fingerprint"`
}

func (m *measurements) result(s *sim, seed uint64) *Result {
	if m.leaderlessSince >= 0 {
		m.countLeaderless(s.now)
	}
	text, err := m.scenario.Text()
	s.check(err)
	if m.retryBudget > 1 {
		s.violation("repeats came to %.2f of the shared budget", m.retryBudget)
	}
	r := &Result{
		Scenario: m.scenario.Name, Text: text, Seed: seed, Total: m.total, Routes: map[string]RouteResult{}, Seconds: m.seconds,
		Retries: m.retries, RetryBudget: m.retryBudget, Depth: m.depth, StaleParents: m.staleParents, Elections: m.elections, LeaderlessS: m.leaderless.Seconds(),
		LagP50Ms: float64(m.lag.ValueAtQuantile(50)) / 1000, LagP99Ms: float64(m.lag.ValueAtQuantile(99)) / 1000,
		LagMaxMs: float64(m.lag.Max()) / 1000, Acks: len(m.acks), DiskBytes: m.disk, Violations: s.violations,
		FirstViolationS: s.firstViolationAt.Seconds(), Fingerprint: fmt.Sprintf("%016x", s.fingerprint()),
	}
	if len(s.violations) > 0 {
		r.RecentEvents = s.recentEvents
	}
	r.Total.Value /= float64(max(1, r.Total.Requests))
	for i := range r.Seconds {
		sec := &r.Seconds[i]
		sec.Value /= float64(max(1, sec.Requests))
		sec.P99Ms = float64(m.perSecond[i].ValueAtQuantile(99)) / 1000
	}
	for name, c := range m.routes {
		h := m.latency[name]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		c.Value /= float64(max(1, c.Requests))
		r.Routes[name] = RouteResult{Counts: *c, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9)}
	}
	if len(m.acks) > 0 {
		slices.Sort(m.acks)
		r.AckP50Ms = float64(m.acks[len(m.acks)/2].Microseconds()) / 1000
		r.AckMaxMs = float64(m.acks[len(m.acks)-1].Microseconds()) / 1000
	}
	each := s.now.Seconds() * float64(len(s.nodes)+len(s.members))
	r.ProbesS, r.ProbeBytesS, r.FeedBytesS = float64(m.probes)/each, float64(m.probeBytes)/each, float64(m.feedBytes)/each
	for _, c := range s.members {
		if c.up {
			r.Entries = max(r.Entries, c.raft.Committed())
		}
	}
	busiest := int64(0)
	for _, v := range s.views {
		busiest = max(busiest, v.m.sentBytes)
		r.CrossZoneBps += float64(v.m.crossZoneBytes) / s.now.Seconds()
	}
	r.BusiestBps = float64(busiest) / s.now.Seconds()
	return r
}

// The value of an answered request to its client.
const (
	valueOnTime = 1.0
	valueLate   = 0.5
)

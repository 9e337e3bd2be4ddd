package lab

import (
	"fmt"
	"slices"
)

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Requests        int     `json:"asked"`
	OnTime          int     `json:"in_aim"`
	Late            int     `json:"late"`    // answered after the latency target
	Refused         int     `json:"refused"` // the last attempt was refused with a statement that it did not run
	Failed          int     `json:"failed"`
	RetriedRefusals int     `json:"promises"` // refused attempts that the client retried
	Value           float64 `json:"worth"`    // mean value of a request, at most 1
}

// Second holds the measurements of one second of a run.
type Second struct {
	Counts
	ByPriority  []int   `json:"refused_by_priority"`
	Retries     int     `json:"repeats"`
	RetryBudget float64 `json:"budget"`     // highest share of the retry budget that was used
	LagMs       float64 `json:"lag_ms"`     // maximum update lag
	Leaderless  float64 `json:"leaderless"` // share of the second without a leader
	P99Ms       float64 `json:"p99_ms"`
	// Mean number of slots in use, by service. The whole time of a run counts in the
	// second in which it ends.
	Busy map[string]float64 `json:"busy"`
}

// RouteResult is the result of one route. The latency percentiles cover requests with
// status 200.
type RouteResult struct {
	Counts
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
}

// Result is the result of a run. Times are simulated. The JSON names must stay, so that
// saved results can be read.
type Result struct {
	Scenario        string                 `json:"scenario"`
	Text            string                 `json:"text"` // the scenario as TOML
	Seed            uint64                 `json:"seed"`
	Varied          string                 `json:"varied"` // setting that a sweep varied, as key=value
	Total           Counts                 `json:"total"`
	Routes          map[string]RouteResult `json:"routes"`
	Seconds         []Second               `json:"seconds"`
	Retries         int                    `json:"repeats"`
	RetryBudget     float64                `json:"budget"` // highest share of the retry budget that was used
	LagP50Ms        float64                `json:"lag_p50_ms"`
	LagP99Ms        float64                `json:"lag_p99_ms"`
	LagMaxMs        float64                `json:"lag_max_ms"`
	Depth           int                    `json:"depth"`        // maximum depth of the relay tree
	StaleParents    int                    `json:"out_of_touch"` // number of times that a node left a parent whose updates were too old
	Elections       int                    `json:"elections"`
	LeaderlessS     float64                `json:"leaderless_s"`
	AckP50Ms        float64                `json:"ack_p50_ms"`
	AckMaxMs        float64                `json:"ack_max_ms"`
	Acks            int                    `json:"acks"`
	Entries         uint64                 `json:"entries"`         // highest commit index
	ProbesS         float64                `json:"probes_s"`        // mean number of probes per machine and second
	ProbeBytesS     float64                `json:"probe_bytes_s"`   // mean number of bytes per machine and second
	FeedBytesS      float64                `json:"feed_bytes_s"`    // mean number of bytes per machine and second
	BusiestBps      float64                `json:"busiest_bytes_s"` // bytes per second sent by the machine that sends most
	CrossZoneBps    float64                `json:"crossed_bytes_s"` // total bytes per second between zones
	DiskBytes       int                    `json:"disk_bytes"`      // maximum size of a quorum member's disk
	Violations      []string               `json:"faults"`
	FirstViolationS float64                `json:"fault_at_s"`
	RecentEvents    []string               `json:"recent"` // last events of the run, if there are violations
	Fingerprint     string                 `json:"fingerprint"`
}

// result computes the result of a run at its end.
func (m *measurements) result(s *sim, seed uint64) *Result {
	if m.leaderlessSince >= 0 {
		m.countLeaderless(s.now)
	}
	text, err := m.scenario.Text()
	s.check(err)
	if m.maxRetryBudget > 1 {
		s.recordViolation("retries used %.2f of the shared retry budget", m.maxRetryBudget)
	}
	res := &Result{
		Scenario: m.scenario.Name, Text: text, Seed: seed, Total: m.total, Routes: map[string]RouteResult{}, Seconds: m.seconds,
		Retries: m.retries, RetryBudget: m.maxRetryBudget, Depth: m.maxRelayDepth, StaleParents: m.staleParents, Elections: m.elections, LeaderlessS: m.leaderlessTime.Seconds(),
		LagP50Ms: float64(m.lag.ValueAtQuantile(50)) / 1000, LagP99Ms: float64(m.lag.ValueAtQuantile(99)) / 1000,
		LagMaxMs: float64(m.lag.Max()) / 1000, Acks: len(m.ackLatencies), DiskBytes: m.maxDiskBytes, Violations: s.violations,
		FirstViolationS: s.firstViolationAt.Seconds(), Fingerprint: fmt.Sprintf("%016x", s.fingerprint()),
	}
	if len(s.violations) > 0 {
		res.RecentEvents = s.recentEvents
	}
	res.Total.Value /= float64(max(1, res.Total.Requests))
	for i := range res.Seconds {
		second := &res.Seconds[i]
		second.Value /= float64(max(1, second.Requests))
		second.P99Ms = float64(m.perSecond[i].ValueAtQuantile(99)) / 1000
	}
	for name, c := range m.routes {
		h := m.latency[name]
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		c.Value /= float64(max(1, c.Requests))
		res.Routes[name] = RouteResult{Counts: *c, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9)}
	}
	if len(m.ackLatencies) > 0 {
		slices.Sort(m.ackLatencies)
		res.AckP50Ms = float64(m.ackLatencies[len(m.ackLatencies)/2].Microseconds()) / 1000
		res.AckMaxMs = float64(m.ackLatencies[len(m.ackLatencies)-1].Microseconds()) / 1000
	}
	nodeSeconds := s.now.Seconds() * float64(len(s.nodes)+len(s.members))
	res.ProbesS, res.ProbeBytesS, res.FeedBytesS = float64(m.probes)/nodeSeconds, float64(m.probeBytes)/nodeSeconds, float64(m.feedBytes)/nodeSeconds
	for _, c := range s.members {
		if c.up {
			res.Entries = max(res.Entries, c.raft.Committed())
		}
	}
	busiest := int64(0)
	for _, v := range s.peerViews {
		busiest = max(busiest, v.host.sentBytes)
		res.CrossZoneBps += float64(v.host.crossZoneBytes) / s.now.Seconds()
	}
	res.BusiestBps = float64(busiest) / s.now.Seconds()
	return res
}

// Value of an answered request to its client, by whether it met the latency target.
const (
	valueOnTime = 1.0
	valueLate   = 0.5
)

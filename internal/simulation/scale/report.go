package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"ivydeck/internal/transport/rpc"
)

// Report is the result of a run. All processes ran on one machine; the report has no paths of it.
type Report struct {
	Command     string        `json:"command"`
	Began       time.Time     `json:"began"`
	Cores       int           `json:"cores"` // of the machine that played all others
	Nodes       int           `json:"nodes"`
	Real        int           `json:"real"`
	Processes   int           `json:"hollow_processes"`
	Routes      int           `json:"routes"`
	Services    int           `json:"services"`
	Zones       int           `json:"zones"`
	Regions     int           `json:"regions"`
	ConfigBytes int           `json:"config_bytes"`
	BaseMB      float64       `json:"hollow_process_base_mb"` // resident, before its first node
	Events      []EventReport `json:"events"`
	Seconds     float64       `json:"seconds"`
	Sizes       []StateSize   `json:"sizes,omitempty"` // of a StateReport, which has no events
	Fault       string        `json:"fault,omitempty"` // why the run has ended early
}

// EventReport is the result of one event. Uses cover its whole duration.
type EventReport struct {
	Name    string   `json:"name"`
	About   string   `json:"about,omitempty"`
	NotRun  string   `json:"not_run,omitempty"` // why
	Seconds float64  `json:"seconds"`
	Nodes   int      `json:"nodes"`             // that ran at its end
	Machine float64  `json:"machine_cores"`     // that all processes of the run kept busy
	Load    float64  `json:"load_average"`      // of the whole machine, over a minute: what else ran
	AgreeS  *float64 `json:"agree_s,omitempty"` // from the event on until all agree; absent: not within the event's time
	// The same until all have the latest update and all servers are registered; part of agreeing.
	UpdatesS *float64       `json:"updates_s,omitempty"`
	Disagree string         `json:"disagree,omitempty"` // why not all agreed
	Spread   *Spread        `json:"spread,omitempty"`
	Roles    map[string]Use `json:"roles,omitempty"`
	Calls    []Call         `json:"calls,omitempty"`
}

// Spread is the time from an operator's call to the nodes.
type Spread struct {
	Changes   int     `json:"changes"`
	Refused   int     `json:"refused"`    // changes without the operator's answer
	Missing   int     `json:"missing"`    // pairs of change and node that had not met at the event's end
	AckP50Ms  float64 `json:"ack_p50_ms"` // until the operator's answer
	AckMaxMs  float64 `json:"ack_max_ms"`
	P50Ms     float64 `json:"p50_ms"` // over all nodes and changes
	P99Ms     float64 `json:"p99_ms"`
	MaxMs     float64 `json:"max_ms"`
	durations []float64
}

// Call is a call of the operator's interface.
type Call struct {
	Path  string  `json:"path"`
	Ms    float64 `json:"ms"`
	Bytes int     `json:"bytes"`
}

// Use is the usage of one node of a role: the mean over the role's nodes, by second where that applies.
type Use struct {
	Nodes       int                   `json:"nodes"`
	BytesOut    float64               `json:"bytes_out_s"`
	BytesIn     float64               `json:"bytes_in_s"`
	MessagesOut float64               `json:"messages_out_s"` // frames, pings and credit among them
	MessagesIn  float64               `json:"messages_in_s"`
	Processor   float64               `json:"processor_pct"` // of a core
	ResidentMB  float64               `json:"resident_mb"`   // at the end
	MaxMB       float64               `json:"resident_max_mb"`
	Sockets     float64               `json:"sockets"`
	Files       float64               `json:"files"`
	Goroutines  float64               `json:"goroutines"`
	Methods     map[string]MethodRate `json:"methods"`
}

// MethodRate is the traffic of one RPC method.
type MethodRate struct {
	BytesOut    float64 `json:"bytes_out_s"`
	BytesIn     float64 `json:"bytes_in_s"`
	MessagesOut float64 `json:"messages_out_s"`
	MessagesIn  float64 `json:"messages_in_s"`
}

// addMethods adds the traffic of some seconds by method.
func (u *Use) addMethods(before, after rpc.Traffic, seconds float64) {
	for name, now := range after.Methods {
		was, rate := before.Methods[name], u.Methods[name]
		rate.BytesOut += float64(now.BytesSent-was.BytesSent) / seconds
		rate.BytesIn += float64(now.BytesReceived-was.BytesReceived) / seconds
		rate.MessagesOut += float64(now.MessagesSent-was.MessagesSent) / seconds
		rate.MessagesIn += float64(now.MessagesReceived-was.MessagesReceived) / seconds
		u.Methods[name] = rate
	}
}

// add adds the usage of a process between two samples.
func (u *Use) add(c *child, before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	if seconds <= 0 {
		return
	}
	u.BytesOut += float64(after.traffic.BytesSent-before.traffic.BytesSent) / seconds
	u.BytesIn += float64(after.traffic.BytesReceived-before.traffic.BytesReceived) / seconds
	u.MessagesOut += float64(after.traffic.FramesSent-before.traffic.FramesSent) / seconds
	u.MessagesIn += float64(after.traffic.FramesReceived-before.traffic.FramesReceived) / seconds
	u.Processor += 100 * (after.processor - before.processor) / seconds
	resident := megabytes(after.resident - c.base)
	u.ResidentMB += resident
	u.MaxMB = max(u.MaxMB, resident/float64(max(1, len(c.machines))))
	u.Sockets += float64(after.sockets)
	u.Files += float64(after.files)
	u.Goroutines += float64(after.goroutines)
	u.Nodes += len(c.machines)
	u.addMethods(before.traffic, after.traffic, seconds)
}

// mean divides sums by the role's nodes.
func (u *Use) mean() {
	n := float64(max(1, u.Nodes))
	for _, x := range []*float64{&u.BytesOut, &u.BytesIn, &u.MessagesOut, &u.MessagesIn, &u.Processor, &u.ResidentMB, &u.Sockets, &u.Files, &u.Goroutines} {
		*x /= n
	}
	for name, m := range u.Methods {
		u.Methods[name] = MethodRate{m.BytesOut / n, m.BytesIn / n, m.MessagesOut / n, m.MessagesIn / n}
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// quantile of sorted numbers.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// sum computes the quantiles of a spread.
func (s *Spread) sum(acks []float64) {
	slices.Sort(acks)
	slices.Sort(s.durations)
	s.AckP50Ms, s.AckMaxMs = quantile(acks, 0.5), quantile(acks, 1)
	s.P50Ms, s.P99Ms, s.MaxMs = quantile(s.durations, 0.5), quantile(s.durations, 0.99), quantile(s.durations, 1)
}

// write writes the report to a file.
func (r *Report) write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("the report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("the report: %w", err)
	}
	return nil
}

// ReadReport reads a file that a run has written.
func ReadReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

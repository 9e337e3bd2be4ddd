package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"ivydeck/internal/transport/rpc"
)

// Report is the result of a run. It contains no paths of the machine.
type Report struct {
	Command     string        `json:"command"`
	StartedAt   time.Time     `json:"began"`
	Cores       int           `json:"cores"` // processor cores of the machine that ran all processes
	Nodes       int           `json:"nodes"`
	Real        int           `json:"real"`
	Processes   int           `json:"hollow_processes"`
	Routes      int           `json:"routes"`
	Services    int           `json:"services"`
	Zones       int           `json:"zones"`
	Regions     int           `json:"regions"`
	ConfigBytes int           `json:"config_bytes"`
	BaseMB      float64       `json:"hollow_process_base_mb"` // mean resident memory before the first node
	Events      []EventReport `json:"events"`
	Seconds     float64       `json:"seconds"`
	Sizes       []StateSize   `json:"sizes,omitempty"` // read from the file of a StateReport, which has no events
	Fault       string        `json:"fault,omitempty"` // reason why the run ended early
}

// EventReport is the result of one event. Its usage covers the whole duration.
type EventReport struct {
	Name       string   `json:"name"`
	About      string   `json:"about,omitempty"`
	NotRun     string   `json:"not_run,omitempty"` // reason why the event did not run or complete
	Seconds    float64  `json:"seconds"`
	Nodes      int      `json:"nodes"`             // nodes running at the end
	BusyCores  float64  `json:"machine_cores"`     // cores that all processes of the run kept busy
	Load       float64  `json:"load_average"`      // load average of the machine over a minute, including other programs
	ConvergedS *float64 `json:"agree_s,omitempty"` // seconds until all nodes had the same state; nil if they did not
	// Seconds until all nodes had the latest update and all servers were registered, which convergence includes.
	UpdatesS    *float64             `json:"updates_s,omitempty"`
	Divergence  string               `json:"disagree,omitempty"` // difference that remained between the nodes
	Propagation *Propagation         `json:"spread,omitempty"`
	Roles       map[string]NodeUsage `json:"roles,omitempty"`
	Calls       []Call               `json:"calls,omitempty"`
}

// Propagation holds the times from the operator's calls until the nodes received the changes.
type Propagation struct {
	Changes   int       `json:"changes"`
	Refused   int       `json:"refused"`    // changes without an acknowledgement
	Missing   int       `json:"missing"`    // pairs of a change and a node that had not received it at the end
	AckP50Ms  float64   `json:"ack_p50_ms"` // time until the acknowledgement
	AckMaxMs  float64   `json:"ack_max_ms"`
	P50Ms     float64   `json:"p50_ms"` // time until the receipt, over all nodes and changes
	P99Ms     float64   `json:"p99_ms"`
	MaxMs     float64   `json:"max_ms"`
	durations []float64 // times until the receipt in milliseconds, over all nodes and changes
}

// Call is a call of the operator API.
type Call struct {
	Path  string  `json:"path"`
	Ms    float64 `json:"ms"`
	Bytes int     `json:"bytes"`
}

// NodeUsage is the mean usage per node of a role. Traffic is per second.
type NodeUsage struct {
	Nodes       int                   `json:"nodes"`
	BytesOut    float64               `json:"bytes_out_s"`
	BytesIn     float64               `json:"bytes_in_s"`
	MessagesOut float64               `json:"messages_out_s"` // frames, including pings and credit
	MessagesIn  float64               `json:"messages_in_s"`
	Processor   float64               `json:"processor_pct"`   // processor time, in percent of a core
	ResidentMB  float64               `json:"resident_mb"`     // at the end of the event
	MaxMB       float64               `json:"resident_max_mb"` // maximum over the processes, per node
	Sockets     float64               `json:"sockets"`
	Files       float64               `json:"files"`
	Goroutines  float64               `json:"goroutines"`
	Methods     map[string]MethodRate `json:"methods"`
}

// MethodRate is the traffic of one RPC method per second.
type MethodRate struct {
	BytesOut    float64 `json:"bytes_out_s"`
	BytesIn     float64 `json:"bytes_in_s"`
	MessagesOut float64 `json:"messages_out_s"`
	MessagesIn  float64 `json:"messages_in_s"`
}

// addMethods adds the traffic per method between two samples that are a number of seconds apart.
func (u *NodeUsage) addMethods(before, after rpc.Traffic, seconds float64) {
	for name, current := range after.Methods {
		previous, rate := before.Methods[name], u.Methods[name]
		rate.BytesOut += float64(current.BytesSent-previous.BytesSent) / seconds
		rate.BytesIn += float64(current.BytesReceived-previous.BytesReceived) / seconds
		rate.MessagesOut += float64(current.MessagesSent-previous.MessagesSent) / seconds
		rate.MessagesIn += float64(current.MessagesReceived-previous.MessagesReceived) / seconds
		u.Methods[name] = rate
	}
}

// add adds the usage of a process between two samples.
func (u *NodeUsage) add(c *child, before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	if seconds <= 0 {
		return
	}
	u.BytesOut += float64(after.traffic.BytesSent-before.traffic.BytesSent) / seconds
	u.BytesIn += float64(after.traffic.BytesReceived-before.traffic.BytesReceived) / seconds
	u.MessagesOut += float64(after.traffic.FramesSent-before.traffic.FramesSent) / seconds
	u.MessagesIn += float64(after.traffic.FramesReceived-before.traffic.FramesReceived) / seconds
	u.Processor += 100 * (after.processor - before.processor) / seconds
	resident := megabytes(after.resident - c.baseResident)
	u.ResidentMB += resident
	u.MaxMB = max(u.MaxMB, resident/float64(max(1, len(c.machines))))
	u.Sockets += float64(after.sockets)
	u.Files += float64(after.files)
	u.Goroutines += float64(after.goroutines)
	u.Nodes += len(c.machines)
	u.addMethods(before.traffic, after.traffic, seconds)
}

// divideByNodes divides the sums by the number of the role's nodes.
func (u *NodeUsage) divideByNodes() {
	n := float64(max(1, u.Nodes))
	for _, x := range []*float64{&u.BytesOut, &u.BytesIn, &u.MessagesOut, &u.MessagesIn, &u.Processor, &u.ResidentMB, &u.Sockets, &u.Files, &u.Goroutines} {
		*x /= n
	}
	for name, m := range u.Methods {
		u.Methods[name] = MethodRate{m.BytesOut / n, m.BytesIn / n, m.MessagesOut / n, m.MessagesIn / n}
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// quantile returns the q-quantile of sorted numbers, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// computeQuantiles sorts the times in milliseconds and computes their quantiles.
func (s *Propagation) computeQuantiles(acks []float64) {
	slices.Sort(acks)
	slices.Sort(s.durations)
	s.AckP50Ms, s.AckMaxMs = quantile(acks, 0.5), quantile(acks, 1)
	s.P50Ms, s.P99Ms, s.MaxMs = quantile(s.durations, 0.5), quantile(s.durations, 0.99), quantile(s.durations, 1)
}

// write writes the report to a file as JSON.
func (r *Report) write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// ReadReport reads a report that Run or MeasureState has written.
func ReadReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("decoding report %s: %w", path, err)
	}
	return r, nil
}

package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/operator"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/simulation/standin"
	"ivydeck/internal/transport/rpc"
)

// Bounds of a paired benchmark.
const (
	maxDepth       = 20
	maxRequests    = 20_000
	maxWorkers     = 256
	hopSlots       = 512
	hopTimeout     = 5 * time.Second
	warmupRequests = 200 // requests before those that count, at each depth
	readyWait      = 20 * time.Second
)

// HopOptions are the options of a paired benchmark.
type HopOptions struct {
	Programs string
	Depth    int           // the longest chain of calls
	Requests int           // at each depth, each way
	Workers  int           // of the load, one call deep
	Load     time.Duration // length of the load; 0: none
	Bound    time.Duration
	Report   string
	Command  string
	Progress io.Writer
}

// HopReport is the result of a paired benchmark.
type HopReport struct {
	Command string      `json:"command"`
	Began   time.Time   `json:"began"`
	Cores   int         `json:"cores"`
	Depths  []HopResult `json:"depths"`
	Load    *LoadResult `json:"load,omitempty"`
}

// HopResult compares chains of calls through nodes with the same chains without them.
type HopResult struct {
	Hops       int     `json:"hops"`
	Requests   int     `json:"requests"` // each way
	Failed     int     `json:"failed"`   // through nodes, or the direct one behind it
	MeshP50Ms  float64 `json:"mesh_p50_ms"`
	MeshP99Ms  float64 `json:"mesh_p99_ms"`
	PlainP50Ms float64 `json:"direct_p50_ms"`
	PlainP99Ms float64 `json:"direct_p99_ms"`
	PairP50Ms  float64 `json:"pair_p50_ms"` // of the differences of pairs
	PairP99Ms  float64 `json:"pair_p99_ms"`
	AddedP99Ms float64 `json:"added_p99_ms"` // the difference of the two p99
}

// LoadResult is the processor time of the nodes under load.
type LoadResult struct {
	Workers      int     `json:"workers"`
	Seconds      float64 `json:"seconds"`
	Calls        int     `json:"calls"`
	Failed       int     `json:"failed"`
	CallsS       float64 `json:"calls_s"`
	NodeMicros   float64 `json:"node_us_a_call"` // of the two nodes on the way together
	QuietPercent float64 `json:"quiet_pct"`      // of a core, all nodes together without a request; taken off
}

func (o *HopOptions) check() error {
	switch {
	case o.Depth < 1 || o.Depth > maxDepth:
		return fmt.Errorf("chains of %d calls: 1 to %d", o.Depth, maxDepth)
	case o.Requests < 1 || o.Requests > maxRequests:
		return fmt.Errorf("%d requests: 1 to %d", o.Requests, maxRequests)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("%d workers: 1 to %d", o.Workers, maxWorkers)
	case o.Bound <= 0 || o.Bound > maxBound:
		return fmt.Errorf("a bound of %v: more than 0, and at most %v", o.Bound, maxBound)
	}
	return nil
}

// chain is a running benchmark.
type chain struct {
	*run
	HopOptions
	clients []*http.Client // of each machine; the first is the benchmark's own
	count   atomic.Int64   // of requests, for their ids
}

// Hops runs a paired benchmark, and stops everything that it has started.
func Hops(ctx context.Context, o HopOptions) (*HopReport, error) {
	if err := o.check(); err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	machines := o.Depth + 1
	base := Options{Programs: o.Programs, Nodes: machines + 1, Real: machines, Services: machines, Routes: machines, Zones: 4, Regions: 2,
		PerProcess: 1, Bound: o.Bound, Settle: readyWait, Progress: o.Progress}
	l, err := plan(base)
	if err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Bound)
	defer cancel()
	dir, err := os.MkdirTemp("", "ivydeck-hops-")
	if err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	defer os.RemoveAll(dir)
	c := &chain{HopOptions: o, run: &run{layout: l, dir: dir, operatorClient: &operator.Client{}, pool: rpc.NewPool(ctx, rpc.PoolOptions{}), began: time.Now(), running: map[int]bool{}, report: new(Report)}}
	defer c.stopAll()
	report, err := c.measure(ctx)
	if err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	if o.Report == "" {
		return report, nil
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	return report, os.WriteFile(o.Report, append(text, '\n'), 0o644)
}

// machine returns the machine of a hop. Hop 0 takes the benchmark's own requests; the others have the servers.
func (c *chain) machine(hop int) int { return quorumSize + hop }

func (c *chain) config() *meshconfig.Config {
	m := &meshconfig.Config{Revision: 1}
	for hop := range c.Depth + 1 {
		service := serviceName(c.machine(hop) % c.Services)
		m.Backends = append(m.Backends, meshconfig.Backend{Name: service})
		m.Routes = append(m.Routes, &meshconfig.Route{Name: fmt.Sprintf("hop-%d", hop), Host: routeHost, Prefix: fmt.Sprintf("/hop-%d/", hop), Kind: meshconfig.NonIdempotent,
			TimeoutMs: float64(hopTimeout.Milliseconds()), TargetLatencyMs: 1000, Backend: service, MaxAttempts: 1})
	}
	return m
}

// measure starts the machines and measures.
func (c *chain) measure(ctx context.Context) (*HopReport, error) {
	if err := c.startAll(ctx); err != nil {
		return nil, err
	}
	report := &HopReport{Command: c.Command, Began: c.began.UTC().Truncate(time.Second), Cores: runtime.NumCPU()}
	for depth := 1; depth <= c.Depth; depth++ {
		result, err := c.compare(ctx, depth)
		if err != nil {
			return nil, err
		}
		c.logf("%2d hops: with nodes p50 %.2f ms, p99 %.2f; without %.2f, %.2f; added p99 %.2f ms (of pairs: p50 %.2f, p99 %.2f); %d failed", depth,
			result.MeshP50Ms, result.MeshP99Ms, result.PlainP50Ms, result.PlainP99Ms, result.AddedP99Ms, result.PairP50Ms, result.PairP99Ms, result.Failed)
		report.Depths = append(report.Depths, result)
	}
	if c.Load > 0 {
		load, err := c.load(ctx)
		if err != nil {
			return nil, err
		}
		c.logf("load: %.0f calls/s, %.1f µs of the nodes' processors a call; %d failed", load.CallsS, load.NodeMicros, load.Failed)
		report.Load = load
	}
	return report, nil
}

func (c *chain) startAll(ctx context.Context) error {
	for member := range quorumSize {
		c.operatorClient.Addresses = append(c.operatorClient.Addresses, fmt.Sprintf("%s:%d", c.ip(member), c.ports.Control))
	}
	if err := c.startQuorum(); err != nil {
		return err
	}
	c.run.config = c.config()
	if err := c.firstApply(ctx); err != nil {
		return err
	}
	if err := c.startRealNodes(); err != nil {
		return err
	}
	for hop := range c.Depth + 1 {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxWorkers}, Timeout: hopTimeout})
		machine := c.machine(hop)
		s, err := standin.Start(standin.Options{ID: serverName(machine), Service: serviceName(machine % c.Services), Zone: c.zone(machine),
			Address: c.address(machine, c.ports.Server), Control: c.address(machine, c.ports.Control), Slots: hopSlots, Heartbeat: heartbeat, Handler: c.server(hop)})
		if err != nil {
			return err
		}
		c.servers = append(c.servers, s)
	}
	var start EventReport
	if c.awaitConvergence(ctx, &start, time.Now()); start.AgreeS == nil {
		return fmt.Errorf("the nodes do not agree: %s", start.Disagree)
	}
	return nil
}

func (c *chain) address(machine, port int) string { return fmt.Sprintf("%s:%d", c.ip(machine), port) }

// Paths of a chain's calls.
const (
	meshPath   = "mesh"
	directPath = "direct"
)

// server answers a hop's call, after the call of the next hop if the chain goes on: /hop-HOP/PATH/DEPTH.
func (c *chain) server(hop int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		parts := strings.Split(r.URL.Path, "/")
		if len(parts) != 4 {
			http.Error(w, "no such path", http.StatusNotFound)
			return
		}
		depth, err := strconv.Atoi(parts[3])
		if err == nil && hop < depth {
			err = c.call(r.Context(), hop, parts[2], depth, id+".1")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Server-Seal", serverName(c.machine(hop)))
		io.WriteString(w, "done\n")
	})
}

// call makes the call of the next hop from a machine, through its node or without one.
func (c *chain) call(ctx context.Context, hop int, path string, depth int, id string) error {
	address := c.address(c.machine(hop+1), c.ports.Server)
	if path == meshPath {
		address = c.address(c.machine(hop), c.ports.Outbound)
	}
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/hop-%d/%s/%d", address, hop+1, path, depth), nil)
	if err != nil {
		return err
	}
	req.Host = routeHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Budget", strconv.FormatInt(hopTimeout.Milliseconds(), 10))
	resp, err := c.clients[hop].Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the answer is %d", resp.StatusCode)
	}
	return nil
}

// timed measures a chain of calls.
func (c *chain) timed(ctx context.Context, path string, depth int) (time.Duration, error) {
	id := fmt.Sprintf("hops%d", c.count.Add(1))
	began := time.Now()
	err := c.call(ctx, 0, path, depth, id)
	return time.Since(began), err
}

// compare makes pairs of chains, in turn first with nodes and first without.
func (c *chain) compare(ctx context.Context, depth int) (HopResult, error) {
	result := HopResult{Hops: depth}
	var mesh, direct, pairs []float64
	for i := range warmupRequests + c.Requests {
		took := map[string]float64{}
		ways := []string{meshPath, directPath}
		if i%2 == 1 {
			slices.Reverse(ways)
		}
		for _, way := range ways {
			d, err := c.timed(ctx, way, depth)
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			if err == nil {
				took[way] = milliseconds(d)
			}
		}
		if i < warmupRequests {
			continue
		}
		if len(took) < len(ways) {
			result.Failed++
			continue
		}
		mesh, direct = append(mesh, took[meshPath]), append(direct, took[directPath])
		pairs = append(pairs, took[meshPath]-took[directPath])
	}
	for _, list := range [][]float64{mesh, direct, pairs} {
		slices.Sort(list)
	}
	result.Requests = len(pairs)
	result.MeshP50Ms, result.MeshP99Ms = quantile(mesh, 0.5), quantile(mesh, 0.99)
	result.PlainP50Ms, result.PlainP99Ms = quantile(direct, 0.5), quantile(direct, 0.99)
	result.PairP50Ms, result.PairP99Ms = quantile(pairs, 0.5), quantile(pairs, 0.99)
	result.AddedP99Ms = result.MeshP99Ms - result.PlainP99Ms
	return result, nil
}

// nodesProcessor is the processor time of all nodes so far, in seconds.
func (c *chain) nodesProcessor() (sum float64, err error) {
	for _, child := range c.list(realRole) {
		used, err := processorTime(fmt.Sprintf("/proc/%d", child.command.Process.Pid))
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// load makes calls one hop deep as fast as some workers can, beside a quiet time of the same length.
func (c *chain) load(ctx context.Context) (*LoadResult, error) {
	used := func(f func()) (processor, seconds float64, err error) {
		before, err := c.nodesProcessor()
		if err != nil {
			return 0, 0, err
		}
		began := time.Now()
		f()
		seconds = time.Since(began).Seconds()
		after, err := c.nodesProcessor()
		return after - before, seconds, err
	}
	quiet, length, err := used(func() { timerpool.Sleep(ctx, c.Load) })
	if err != nil {
		return nil, err
	}
	result := &LoadResult{Workers: c.Workers, QuietPercent: 100 * quiet / length}
	var calls, failed atomic.Int64
	busy, seconds, err := used(func() {
		until, cancel := context.WithTimeout(ctx, c.Load)
		defer cancel()
		var working sync.WaitGroup
		for range c.Workers {
			working.Go(func() {
				for until.Err() == nil { // a call that has begun is ended, also behind the load's time
					if _, err := c.timed(ctx, meshPath, 1); err == nil {
						calls.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
		working.Wait()
	})
	if err != nil {
		return nil, err
	}
	if calls.Load() == 0 {
		return nil, fmt.Errorf("no call under load was answered; %d failed", failed.Load())
	}
	result.Seconds, result.Calls, result.Failed = seconds, int(calls.Load()), int(failed.Load())
	result.CallsS = float64(result.Calls) / seconds
	result.NodeMicros = (busy - quiet*seconds/length) * 1e6 / float64(result.Calls)
	return result, ctx.Err()
}

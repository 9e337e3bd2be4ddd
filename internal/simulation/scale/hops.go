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

// Limits and settings of a paired benchmark.
const (
	maxDepth       = 20
	maxRequests    = 20_000 // pairs at each depth
	maxWorkers     = 256
	hopSlots       = 512
	hopTimeout     = 5 * time.Second
	warmupRequests = 200 // pairs at each depth before the measurement
	readyTimeout   = 20 * time.Second
)

// HopOptions are the options of a paired benchmark.
type HopOptions struct {
	Programs string        // folder of ivydeck-data and ivydeck-control
	Depth    int           // length of the longest chain of calls; all from 1 on are measured
	Requests int           // pairs of chains at each depth
	Workers  int           // concurrent callers under load
	Load     time.Duration // duration of the load; zero skips it
	Bound    time.Duration // time limit of the benchmark
	Report   string        // file of the JSON report; empty for none
	Command  string        // command line, for the report
	Progress io.Writer
}

// HopReport is the result of a paired benchmark.
type HopReport struct {
	Command   string      `json:"command"`
	StartedAt time.Time   `json:"began"`
	Cores     int         `json:"cores"`
	Depths    []HopResult `json:"depths"`
	Load      *LoadResult `json:"load,omitempty"`
}

// HopResult compares chains of calls through nodes with the same chains of direct calls.
type HopResult struct {
	Hops        int     `json:"hops"`
	Requests    int     `json:"requests"` // pairs in which both chains succeeded
	Failed      int     `json:"failed"`   // pairs in which a chain failed
	MeshP50Ms   float64 `json:"mesh_p50_ms"`
	MeshP99Ms   float64 `json:"mesh_p99_ms"`
	DirectP50Ms float64 `json:"direct_p50_ms"`
	DirectP99Ms float64 `json:"direct_p99_ms"`
	PairP50Ms   float64 `json:"pair_p50_ms"` // quantile of the differences within pairs
	PairP99Ms   float64 `json:"pair_p99_ms"`
	AddedP99Ms  float64 `json:"added_p99_ms"` // MeshP99Ms - DirectP99Ms
}

// LoadResult is the processor time of the nodes under a load of calls of one hop.
type LoadResult struct {
	Workers           int     `json:"workers"`
	Seconds           float64 `json:"seconds"`
	Calls             int     `json:"calls"`
	Failed            int     `json:"failed"`
	CallsPerSecond    float64 `json:"calls_s"`
	NodeMicrosPerCall float64 `json:"node_us_a_call"` // processor time in the caller's and the server's node, without the idle share
	IdlePercent       float64 `json:"quiet_pct"`      // idle processor use of all nodes together, in percent of a core
}

func (o *HopOptions) check() error {
	switch {
	case o.Depth < 1 || o.Depth > maxDepth:
		return fmt.Errorf("chains of %d calls: must be 1 to %d", o.Depth, maxDepth)
	case o.Requests < 1 || o.Requests > maxRequests:
		return fmt.Errorf("%d requests: must be 1 to %d", o.Requests, maxRequests)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("%d workers: must be 1 to %d", o.Workers, maxWorkers)
	case o.Bound <= 0 || o.Bound > maxBound:
		return fmt.Errorf("a bound of %v: must be positive and at most %v", o.Bound, maxBound)
	}
	return nil
}

// hopBenchmark is a running paired benchmark.
type hopBenchmark struct {
	*run
	HopOptions
	clients      []*http.Client // by hop; the first sends the benchmark's own requests
	requestCount atomic.Int64   // chains started so far, for their ids
}

// Hops runs a paired benchmark and stops all processes and servers that it started.
func Hops(ctx context.Context, o HopOptions) (*HopReport, error) {
	if err := o.check(); err != nil {
		return nil, fmt.Errorf("hops: %w", err)
	}
	machines := o.Depth + 1
	base := Options{Programs: o.Programs, Nodes: machines + 1, Real: machines, Services: machines, Routes: machines, Zones: 4, Regions: 2,
		PerProcess: 1, Bound: o.Bound, Settle: readyTimeout, Progress: o.Progress}
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
	c := &hopBenchmark{HopOptions: o, run: &run{layout: l, dir: dir, operatorClient: &operator.Client{}, pool: rpc.NewPool(ctx, rpc.PoolOptions{}), startedAt: time.Now(), running: map[int]bool{}, report: new(Report)}}
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

// machine returns the machine of a hop. Hop 0 sends the benchmark's requests; hop n has the server of the n-th call.
func (c *hopBenchmark) machine(hop int) int { return quorumSize + hop }

func (c *hopBenchmark) config() *meshconfig.Config {
	m := &meshconfig.Config{Revision: 1}
	for hop := range c.Depth + 1 {
		service := serviceName(c.machine(hop) % c.Services)
		m.Backends = append(m.Backends, meshconfig.Backend{Name: service})
		m.Routes = append(m.Routes, &meshconfig.Route{Name: fmt.Sprintf("hop-%d", hop), Host: routeHost, Prefix: fmt.Sprintf("/hop-%d/", hop), Kind: meshconfig.NonIdempotent,
			TimeoutMs: float64(hopTimeout.Milliseconds()), TargetLatencyMs: 1000, Backend: service, MaxAttempts: 1})
	}
	return m
}

// measure starts the machines, compares the chains at each depth, and runs the load.
func (c *hopBenchmark) measure(ctx context.Context) (*HopReport, error) {
	if err := c.startAll(ctx); err != nil {
		return nil, err
	}
	report := &HopReport{Command: c.Command, StartedAt: c.startedAt.UTC().Truncate(time.Second), Cores: runtime.NumCPU()}
	for depth := 1; depth <= c.Depth; depth++ {
		result, err := c.comparePaths(ctx, depth)
		if err != nil {
			return nil, err
		}
		c.logf("%2d hops: mesh p50 %.2f ms, p99 %.2f; direct p50 %.2f, p99 %.2f; added p99 %.2f ms (within pairs: p50 %.2f, p99 %.2f); %d failed", depth,
			result.MeshP50Ms, result.MeshP99Ms, result.DirectP50Ms, result.DirectP99Ms, result.AddedP99Ms, result.PairP50Ms, result.PairP99Ms, result.Failed)
		report.Depths = append(report.Depths, result)
	}
	if c.Load > 0 {
		load, err := c.measureLoad(ctx)
		if err != nil {
			return nil, err
		}
		c.logf("load: %.0f calls/s, %.1f µs of the nodes' processor time per call; %d failed", load.CallsPerSecond, load.NodeMicrosPerCall, load.Failed)
		report.Load = load
	}
	return report, nil
}

func (c *hopBenchmark) startAll(ctx context.Context) error {
	for member := range quorumSize {
		c.operatorClient.Addresses = append(c.operatorClient.Addresses, fmt.Sprintf("%s:%d", c.ip(member), c.ports.Control))
	}
	if err := c.startQuorum(); err != nil {
		return err
	}
	c.run.config = c.config()
	if err := c.applyFirstConfig(ctx); err != nil {
		return err
	}
	if err := c.startRealNodes(); err != nil {
		return err
	}
	for hop := range c.Depth + 1 {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxWorkers}, Timeout: hopTimeout})
		machine := c.machine(hop)
		s, err := standin.Start(standin.Options{ID: serverName(machine), Service: serviceName(machine % c.Services), Zone: c.zone(machine),
			Address: c.address(machine, c.ports.Server), Control: c.address(machine, c.ports.Control), Slots: hopSlots, Heartbeat: heartbeatInterval, Handler: c.handler(hop)})
		if err != nil {
			return err
		}
		c.servers = append(c.servers, s)
	}
	var start EventReport
	if c.awaitConvergence(ctx, &start, time.Now()); start.ConvergedS == nil {
		return fmt.Errorf("the nodes have not converged: %s", start.Divergence)
	}
	return nil
}

func (c *hopBenchmark) address(machine, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(machine), port)
}

// Paths of a chain's calls.
const (
	meshPath   = "mesh"   // each call goes through the nodes
	directPath = "direct" // each call goes straight to the next server
)

// handler returns the handler of a hop's server, for URLs /hop-HOP/PATH/DEPTH. It calls the next hop before it responds,
// unless it is the last of the chain.
func (c *hopBenchmark) handler(hop int) http.Handler {
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

// call calls the next hop from a hop's machine, through its node or directly.
func (c *hopBenchmark) call(ctx context.Context, hop int, path string, depth int, id string) error {
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

// timeCall measures the duration of a chain of calls.
func (c *hopBenchmark) timeCall(ctx context.Context, path string, depth int) (time.Duration, error) {
	id := fmt.Sprintf("hops%d", c.requestCount.Add(1))
	startedAt := time.Now()
	err := c.call(ctx, 0, path, depth, id)
	return time.Since(startedAt), err
}

// comparePaths measures pairs of chains, one through the nodes and one direct. The order alternates from pair to pair.
func (c *hopBenchmark) comparePaths(ctx context.Context, depth int) (HopResult, error) {
	result := HopResult{Hops: depth}
	var mesh, direct, pairs []float64
	for i := range warmupRequests + c.Requests {
		elapsedMs := map[string]float64{}
		paths := []string{meshPath, directPath}
		if i%2 == 1 {
			slices.Reverse(paths)
		}
		for _, path := range paths {
			d, err := c.timeCall(ctx, path, depth)
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			if err == nil {
				elapsedMs[path] = milliseconds(d)
			}
		}
		if i < warmupRequests {
			continue
		}
		if len(elapsedMs) < len(paths) {
			result.Failed++
			continue
		}
		mesh, direct = append(mesh, elapsedMs[meshPath]), append(direct, elapsedMs[directPath])
		pairs = append(pairs, elapsedMs[meshPath]-elapsedMs[directPath])
	}
	for _, list := range [][]float64{mesh, direct, pairs} {
		slices.Sort(list)
	}
	result.Requests = len(pairs)
	result.MeshP50Ms, result.MeshP99Ms = quantile(mesh, 0.5), quantile(mesh, 0.99)
	result.DirectP50Ms, result.DirectP99Ms = quantile(direct, 0.5), quantile(direct, 0.99)
	result.PairP50Ms, result.PairP99Ms = quantile(pairs, 0.5), quantile(pairs, 0.99)
	result.AddedP99Ms = result.MeshP99Ms - result.DirectP99Ms
	return result, nil
}

// nodeProcessorTime returns the processor time that all nodes have used since their start, in seconds.
func (c *hopBenchmark) nodeProcessorTime() (sum float64, err error) {
	for _, child := range c.childrenOf(realRole) {
		used, err := processorTime(fmt.Sprintf("/proc/%d", child.cmd.Process.Pid))
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// measureLoad measures the nodes' processor time per call while Workers make calls of one hop without pause. It subtracts
// the idle processor time, which it measures before over a period of the same length.
func (c *hopBenchmark) measureLoad(ctx context.Context) (*LoadResult, error) {
	measureProcessor := func(f func()) (processor, seconds float64, err error) {
		before, err := c.nodeProcessorTime()
		if err != nil {
			return 0, 0, err
		}
		startedAt := time.Now()
		f()
		seconds = time.Since(startedAt).Seconds()
		after, err := c.nodeProcessorTime()
		return after - before, seconds, err
	}
	idle, idleSeconds, err := measureProcessor(func() { timerpool.Sleep(ctx, c.Load) })
	if err != nil {
		return nil, err
	}
	result := &LoadResult{Workers: c.Workers, IdlePercent: 100 * idle / idleSeconds}
	var calls, failed atomic.Int64
	busy, seconds, err := measureProcessor(func() {
		loadCtx, cancel := context.WithTimeout(ctx, c.Load)
		defer cancel()
		var working sync.WaitGroup
		for range c.Workers {
			working.Go(func() {
				for loadCtx.Err() == nil { // a call in progress completes after the end of the load
					if _, err := c.timeCall(ctx, meshPath, 1); err == nil {
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
		return nil, fmt.Errorf("no call under load succeeded; %d failed", failed.Load())
	}
	result.Seconds, result.Calls, result.Failed = seconds, int(calls.Load()), int(failed.Load())
	result.CallsPerSecond = float64(result.Calls) / seconds
	result.NodeMicrosPerCall = (busy - idle*seconds/idleSeconds) * 1e6 / float64(result.Calls)
	return result, ctx.Err()
}

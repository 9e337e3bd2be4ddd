package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/operator"
	"ivydeck/internal/pkg/timerpool"
	"ivydeck/internal/simulation/standin"
	"ivydeck/internal/transport/rpc"
)

const (
	quorumTimeout  = 20 * time.Second
	pollInterval   = 100 * time.Millisecond
	memoryInterval = time.Second
	routeHost      = "scale.example"
)

// Errors that end a run early.
var (
	errMemory      = errors.New("the run's processes exceed the memory limit")
	errInterrupted = errors.New("interrupted; all started processes were stopped")
)

// run is a running benchmark.
type run struct {
	*layout
	report         *Report
	dir            string
	operatorClient *operator.Client
	pool           *rpc.Pool
	client         http.Client
	startedAt      time.Time

	mu       sync.Mutex // guards children
	children []*child
	servers  []*standin.Server

	config  *meshconfig.Config
	running map[int]bool // machines whose real or hollow nodes run
}

// Run executes the events, stops all processes and servers that it started, and writes the report and the plot.
func Run(ctx context.Context, o Options) (*Report, error) {
	l, err := plan(o)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Bound)
	defer cancel()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	dir, err := os.MkdirTemp("", "ivydeck-scale-")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &run{layout: l, dir: dir, operatorClient: &operator.Client{}, pool: rpc.NewPool(ctx, rpc.PoolOptions{}), startedAt: time.Now(), running: map[int]bool{}}
	r.report = &Report{
		Command: o.Command, StartedAt: r.startedAt.UTC().Truncate(time.Second), Cores: runtime.NumCPU(), Nodes: o.Nodes, Real: o.Real,
		Processes: l.processCount(), Routes: o.Routes, Services: o.Services, Zones: o.Zones, Regions: o.Regions,
	}
	var guard sync.WaitGroup
	guard.Go(func() { r.guardMemory(ctx, fail) })
	err = r.runEvents(ctx)
	fail(nil)
	guard.Wait()
	r.stopAll()
	return r.report, r.finish(ctx, err)
}

// finish writes the report and the plot, also if the run ended early. Reaching the time limit is not an error.
func (r *run) finish(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if err != nil && errors.Is(cause, context.DeadlineExceeded) {
		r.report.Fault, err = fmt.Sprintf("the time limit of %v was reached", r.Bound), nil
	}
	if errors.Is(cause, context.Canceled) && errors.Is(err, context.Canceled) {
		err = errInterrupted
	}
	if err != nil {
		r.report.Fault = err.Error()
	}
	r.report.Seconds = time.Since(r.startedAt).Seconds()
	if r.report.Fault != "" {
		r.logf("ended early: %s", r.report.Fault)
	}
	if r.Report != "" {
		if e := r.report.write(r.Report); e != nil {
			return e
		}
	}
	if r.Plot != "" {
		if e := r.report.plot(r.Plot); e != nil {
			return e
		}
	}
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}

func (r *run) logf(format string, arguments ...any) {
	fmt.Fprintf(r.Progress, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// guardMemory cancels the run if its processes use more than maxMemory.
func (r *run) guardMemory(ctx context.Context, fail context.CancelCauseFunc) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var sum int64
		for _, c := range r.childrenOf() {
			if resident, err := residentBytes(fmt.Sprintf("/proc/%d", c.cmd.Process.Pid)); err == nil {
				sum += resident
			}
		}
		if sum > maxMemory {
			fail(fmt.Errorf("%w: %.1f GB of %.0f GB", errMemory, gigabytes(sum), gigabytes(maxMemory)))
			return
		}
	}
}

// samples samples the processes of the given roles, or all processes if no role is given. Processes that fail to respond
// are logged and left out; an error is returned only if all fail.
func (r *run) samples(ctx context.Context, roles ...role) (map[*child]sample, error) {
	var mu sync.Mutex
	all := map[*child]sample{}
	var errs []error
	var sampling sync.WaitGroup
	for _, c := range r.childrenOf(roles...) {
		sampling.Go(func() {
			s, err := c.sample(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			all[c] = s
		})
	}
	sampling.Wait()
	for _, err := range errs {
		r.logf("  sampling failed: %v", err)
	}
	if len(all) == 0 && len(errs) > 0 {
		return nil, errs[0]
	}
	return all, nil
}

// firstConfig returns the configuration that a run starts with.
func (r *run) firstConfig() *meshconfig.Config {
	c := &meshconfig.Config{Revision: 1}
	for i := range r.Services {
		c.Backends = append(c.Backends, meshconfig.Backend{Name: serviceName(i)})
	}
	for i := range r.Routes {
		c.Routes = append(c.Routes, &meshconfig.Route{
			Name: fmt.Sprintf("route-%05d", i), Host: routeHost, Prefix: fmt.Sprintf("/route-%05d/", i), Kind: meshconfig.Idempotent,
			TimeoutMs: 2000, TargetLatencyMs: 200, Priority: i % 3, Backend: serviceName(i % r.Services), MaxAttempts: 3,
		})
	}
	return c
}

// applyConfig sends the configuration to the quorum, as a change of revision base.
func (r *run) applyConfig(ctx context.Context, base uint64) error {
	body, err := msgpack.Marshal(r.config)
	if err != nil {
		return err
	}
	r.report.ConfigBytes = len(body)
	return r.operatorClient.Apply(ctx, base, body)
}

// runEvents starts the mesh and runs the events.
func (r *run) runEvents(ctx context.Context) error {
	r.logf("%d nodes: %d real, %d hollow in %d processes, %d quorum members, on 127.%d.0.0/16", r.Nodes, r.Real, r.hollowCount(), r.processCount(), quorumSize, r.network)
	for member := range quorumSize {
		r.operatorClient.Addresses = append(r.operatorClient.Addresses, fmt.Sprintf("%s:%d", r.ip(member), r.ports.Control))
	}
	if err := r.startQuorum(); err != nil {
		return err
	}
	if err := r.startHollow(ctx); err != nil {
		return err
	}
	r.config = r.firstConfig()
	if err := r.applyFirstConfig(ctx); err != nil {
		return err
	}
	r.logf("the quorum has a leader and a configuration of %d routes, %d bytes", r.Routes, r.report.ConfigBytes)
	if err := r.startServers(); err != nil {
		return err
	}
	for _, e := range events {
		if e.name != startEvent && len(r.Events) > 0 && !slices.Contains(r.Events, e.name) {
			continue
		}
		if ctx.Err() != nil {
			r.report.Events = append(r.report.Events, EventReport{Name: e.name, NotRun: "the run had ended"})
			continue
		}
		if err := r.runEvent(ctx, e); err != nil && ctx.Err() == nil {
			return fmt.Errorf("%s: %w", e.name, err)
		} else if err != nil {
			r.report.Events = append(r.report.Events, EventReport{Name: e.name, NotRun: "the run ended during the event"})
		}
	}
	return ctx.Err()
}

// applyFirstConfig applies the first configuration, and retries until there is a leader.
func (r *run) applyFirstConfig(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	for {
		err := r.applyConfig(waitCtx, 0)
		if err == nil {
			return nil
		}
		for _, c := range r.childrenOf(quorumRole) {
			if err := c.exited(); err != nil {
				return err
			}
		}
		if waitCtx.Err() != nil {
			return fmt.Errorf("applying the first configuration: not accepted within %v: %w", quorumTimeout, err)
		}
		timerpool.Sleep(waitCtx, pollInterval)
	}
}

// fetch calls a path of the operator API at a quorum member.
func (r *run) fetch(ctx context.Context, member int, path string) (Call, error) {
	startedAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s:%d%s", r.ip(member), r.ports.Control, path), nil)
	if err != nil {
		return Call{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Call{}, err
	}
	defer resp.Body.Close()
	bytes, err := io.Copy(io.Discard, resp.Body)
	return Call{Path: path, Ms: milliseconds(time.Since(startedAt)), Bytes: int(bytes)}, err
}

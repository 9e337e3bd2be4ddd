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
	quorumWait  = 20 * time.Second
	pollEvery   = 100 * time.Millisecond
	memoryEvery = time.Second
	routeHost   = "scale.example"
)

// Reasons for which a run ends early.
var (
	errMemory      = errors.New("the run's processes take more memory than they may")
	errInterrupted = errors.New("interrupted; all that was started is ended")
)

// run is a running benchmark.
type run struct {
	*layout
	report         *Report
	dir            string
	operatorClient *operator.Client
	pool           *rpc.Pool
	client         http.Client
	began          time.Time

	mu       sync.Mutex
	children []*child
	servers  []*standin.Server

	config  *meshconfig.Config
	running map[int]bool // machines of nodes
}

// Run runs the events, and stops everything that it has started.
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
	r := &run{layout: l, dir: dir, operatorClient: &operator.Client{}, pool: rpc.NewPool(ctx, rpc.PoolOptions{}), began: time.Now(), running: map[int]bool{}}
	r.report = &Report{
		Command: o.Command, Began: r.began.UTC().Truncate(time.Second), Cores: runtime.NumCPU(), Nodes: o.Nodes, Real: o.Real,
		Processes: l.processes(), Routes: o.Routes, Services: o.Services, Zones: o.Zones, Regions: o.Regions,
	}
	var guard sync.WaitGroup
	guard.Go(func() { r.guardMemory(ctx, fail) })
	err = r.runEvents(ctx)
	fail(nil)
	guard.Wait()
	r.stopAll()
	return r.report, r.finish(ctx, err)
}

// finish writes the report, also of a run that has ended early.
func (r *run) finish(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if err != nil && errors.Is(cause, context.DeadlineExceeded) {
		r.report.Fault, err = fmt.Sprintf("the bound of %v was reached", r.Bound), nil
	}
	if errors.Is(cause, context.Canceled) && errors.Is(err, context.Canceled) {
		err = errInterrupted
	}
	if err != nil {
		r.report.Fault = err.Error()
	}
	r.report.Seconds = time.Since(r.began).Seconds()
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
	fmt.Fprintf(r.Progress, "%6.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// guardMemory ends the run if it uses too much memory.
func (r *run) guardMemory(ctx context.Context, fail context.CancelCauseFunc) {
	tick := time.NewTicker(memoryEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var sum int64
		for _, c := range r.list() {
			if resident, err := residentBytes(fmt.Sprintf("/proc/%d", c.command.Process.Pid)); err == nil {
				sum += resident
			}
		}
		if sum > maxMemory {
			fail(fmt.Errorf("%w: %.1f GB, of %.0f", errMemory, gigabytes(sum), gigabytes(maxMemory)))
			return
		}
	}
}

// samples samples processes. One that does not answer in time is left out.
func (r *run) samples(ctx context.Context, roles ...role) (map[*child]sample, error) {
	var mu sync.Mutex
	all := map[*child]sample{}
	var faults []error
	var reading sync.WaitGroup
	for _, c := range r.list(roles...) {
		reading.Go(func() {
			s, err := c.sample(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				faults = append(faults, err)
				return
			}
			all[c] = s
		})
	}
	reading.Wait()
	for _, err := range faults {
		r.logf("  not read: %v", err)
	}
	if len(all) == 0 && len(faults) > 0 {
		return nil, faults[0]
	}
	return all, nil
}

// firstConfig is the configuration that a run begins with.
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

// apply sends the configuration to the quorum.
func (r *run) apply(ctx context.Context, base uint64) error {
	body, err := msgpack.Marshal(r.config)
	if err != nil {
		return err
	}
	r.report.ConfigBytes = len(body)
	return r.operatorClient.Apply(ctx, base, body)
}

// runEvents starts the mesh and runs the events.
func (r *run) runEvents(ctx context.Context) error {
	r.logf("%d nodes: %d real, %d hollow in %d processes, %d quorum members, on 127.%d.0.0/16", r.Nodes, r.Real, r.hollow(), r.processes(), quorumSize, r.network)
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
	if err := r.firstApply(ctx); err != nil {
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
			r.report.Events = append(r.report.Events, EventReport{Name: e.name, NotRun: "the run was over"})
			continue
		}
		if err := r.event(ctx, e); err != nil && ctx.Err() == nil {
			return fmt.Errorf("%s: %w", e.name, err)
		} else if err != nil {
			r.report.Events = append(r.report.Events, EventReport{Name: e.name, NotRun: "the run's end came in its midst"})
		}
	}
	return ctx.Err()
}

// firstApply applies the first configuration, once there is a quorum.
func (r *run) firstApply(ctx context.Context) error {
	patience, cancel := context.WithTimeout(ctx, quorumWait)
	defer cancel()
	for {
		err := r.apply(patience, 0)
		if err == nil {
			return nil
		}
		for _, c := range r.list(quorumRole) {
			if err := c.exited(); err != nil {
				return err
			}
		}
		if patience.Err() != nil {
			return fmt.Errorf("no configuration in force within %v: %w", quorumWait, err)
		}
		timerpool.Sleep(patience, pollEvery)
	}
}

// fetch makes a call of the operator's interface at the leader.
func (r *run) fetch(ctx context.Context, member int, path string) (Call, error) {
	began := time.Now()
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
	return Call{Path: path, Ms: milliseconds(time.Since(began)), Bytes: int(bytes)}, err
}

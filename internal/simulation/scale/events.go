package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

const (
	startEvent = "start"

	dayChangeRate   = 49_000.0 / 86_400 // changes per second, 49,000 a day
	fastChangeRate  = 10.0              // changes per second
	changeTimeout   = 15 * time.Second  // maximum time until all nodes have a change
	leaderTimeout   = 5 * time.Second   // maximum time until a quorum member returns the index of a change
	arrivalPoll     = 20 * time.Millisecond
	restartPause    = 500 * time.Millisecond
	rollSteps       = 10
	rollPause       = time.Second
	tenthStep       = 10 // step of everyNth that selects a tenth of the hollow nodes
	callsPerPath    = 5
	maxSamplingTime = 2 * time.Second // maximum duration of sampling all processes
)

// event is a measured step of a run.
type event struct {
	name        string
	description string
	run         func(r *run, ctx context.Context, e *EventReport) error
}

// events lists all events in the order in which a run executes them.
var events = []event{
	{startEvent, "all nodes start at once; the quorum already has a configuration", (*run).start},
	{"quiet", "no changes and no failures", (*run).quiet},
	{"operator", "an operator reads the status, the configuration and a backup", (*run).operatorCalls},
	{"change", "one route is changed", (*run).oneChange},
	{"stream-day", "one route is changed repeatedly, at a rate of 49,000 changes a day", (*run).dayStream},
	{"stream-10", "one route is changed repeatedly, 10 times a second", (*run).fastStream},
	{"restart", "a server and its node shut down gracefully and start again", (*run).restart},
	{"roll", "a tenth of the hollow nodes restart gracefully, in ten groups, a second apart", (*run).rollingRestart},
	{"loss", "a tenth of the hollow nodes fail at once", (*run).nodeLoss},
	{"return", "the failed nodes start again", (*run).recover},
	{"cut", "a region is partitioned, and a route is changed meanwhile; convergence is timed from the end of the partition", (*run).regionPartition},
	{"cold", "all processes are killed and start again at once", (*run).fullRestart},
}

// EventNames returns the names of all events, in the order in which a run executes them.
func EventNames() (names []string) {
	for _, e := range events {
		names = append(names, e.name)
	}
	return names
}

// runEvent runs one event and adds its resource usage to the report.
func (r *run) runEvent(ctx context.Context, e event) error {
	r.logf("%s: %s", e.name, e.description)
	report := EventReport{Name: e.name, About: e.description}
	before, err := r.samples(ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	if err := e.run(r, ctx, &report); err != nil {
		return err
	}
	timerpool.Sleep(ctx, r.MinEvent-time.Since(startedAt))
	report.Seconds, report.Nodes = time.Since(startedAt).Seconds(), len(r.running)
	report.Load = loadAverage()
	after, err := r.samples(ctx)
	if err != nil {
		return err
	}
	r.addUsage(ctx, &report, before, after)
	r.report.Events = append(r.report.Events, report)
	r.logSummary(&report)
	return nil
}

// addUsage computes the usage of each role. The usage of a process that started during the event counts from the estimated
// start of the event.
func (r *run) addUsage(ctx context.Context, report *EventReport, before, after map[*child]sample) {
	leader := r.leader(ctx)
	roles := map[string]*NodeUsage{}
	startedAt := time.Now().Add(-time.Duration(report.Seconds*float64(time.Second)) - maxSamplingTime)
	for c, current := range after {
		name := string(c.role)
		if c.role == quorumRole {
			name = "follower"
			if c == leader {
				name = "leader"
			}
		}
		u := roles[name]
		if u == nil {
			u = &NodeUsage{Methods: map[string]MethodRate{}}
			roles[name] = u
		}
		previous, sampled := before[c]
		if !sampled && c.startedAt.Before(startedAt) {
			continue // it ran before the event, but its sample failed
		}
		if !sampled {
			previous = sample{at: startedAt}
		}
		u.add(c, previous, current)
		report.BusyCores += (current.processor - previous.processor) / current.at.Sub(previous.at).Seconds()
	}
	report.Roles = map[string]NodeUsage{}
	for name, u := range roles {
		u.divideByNodes()
		report.Roles[name] = *u
	}
}

// logSummary logs the usage and the timings of an event.
func (r *run) logSummary(e *EventReport) {
	for _, name := range []string{"leader", "real", "hollow"} {
		if u, ok := e.Roles[name]; ok {
			r.logf("  %-6s per node: %8.0f B/s out, %6.1f messages/s out, %5.2f %% of a core, %6.1f MB, %4.0f sockets",
				name, u.BytesOut, u.MessagesOut, u.Processor, u.ResidentMB, u.Sockets)
		}
	}
	if s := e.Propagation; s != nil {
		r.logf("  %d changes: acknowledged after %.0f ms (max %.0f), received after %.0f ms, p99 %.0f, max %.0f; %d missing, %d not acknowledged",
			s.Changes, s.AckP50Ms, s.AckMaxMs, s.P50Ms, s.P99Ms, s.MaxMs, s.Missing, s.Refused)
	}
	if e.ConvergedS != nil {
		r.logf("  converged after %.1f s (updates after %.1f s); %.1f cores", *e.ConvergedS, *e.UpdatesS, e.BusyCores)
	}
}

func (r *run) start(ctx context.Context, e *EventReport) error {
	startedAt := time.Now()
	if err := r.startRealNodes(); err != nil {
		return err
	}
	if err := r.startNodes(r.hollowMachines()); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

func (r *run) quiet(ctx context.Context, _ *EventReport) error {
	timerpool.Sleep(ctx, r.Quiet)
	return ctx.Err()
}

// operatorCalls makes read calls to the leader, and reports the slowest of each path.
func (r *run) operatorCalls(ctx context.Context, e *EventReport) error {
	leader := r.leader(ctx)
	if leader == nil {
		return fmt.Errorf("no quorum member is the leader")
	}
	for _, path := range []string{"/status", "/config/read", "/backup"} {
		var slowest Call
		for range callsPerPath {
			c, err := r.fetch(ctx, leader.machines[0], path)
			if err != nil {
				return err
			}
			if c.Ms >= slowest.Ms {
				slowest = c
			}
		}
		e.Calls = append(e.Calls, slowest)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

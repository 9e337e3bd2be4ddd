package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

const (
	startEvent = "start"

	dayChanges    = 49_000.0 / 86_400 // changes a second of the target
	fastChanges   = 10.0
	changeWait    = 15 * time.Second // for a change to be known everywhere
	leaderWait    = 5 * time.Second  // for one to be found behind a change
	arrivalPoll   = 20 * time.Millisecond
	restartPause  = 500 * time.Millisecond
	rollSteps     = 10
	rollPause     = time.Second
	tenth         = 10
	operatorCalls = 5
	readingTime   = 2 * time.Second // of the figures, at most
)

// event is a step of a run that is measured.
type event struct {
	name  string
	about string
	play  func(r *run, ctx context.Context, e *EventReport) error
}

// events is all events in their order, also of runs with fewer of them.
var events = []event{
	{startEvent, "all nodes start at once, beside a quorum with a configuration", (*run).start},
	{"quiet", "nothing happens", (*run).quiet},
	{"operator", "an operator reads", (*run).operatorCalls},
	{"change", "one route is changed", (*run).oneChange},
	{"stream-day", "one route is changed again and again, at the rate of 49,000 changes a day", (*run).dayStream},
	{"stream-10", "the same, 10 times a second", (*run).fastStream},
	{"restart", "a server and its node leave as planned and start again", (*run).restart},
	{"roll", "a tenth of the hollow nodes restart as planned, in ten groups, a second apart", (*run).rollingRestart},
	{"loss", "a tenth of the hollow nodes are lost in the same moment", (*run).zoneLoss},
	{"return", "they start again", (*run).recover},
	{"cut", "a region is cut off, and a route is changed meanwhile; the time until all agree is that from the healing on", (*run).regionPartition},
	{"cold", "all processes are killed, and start again at the same time", (*run).coldStart},
}

// EventNames lists the events in their order.
func EventNames() (names []string) {
	for _, e := range events {
		names = append(names, e.name)
	}
	return names
}

// event runs one event and reports its costs.
func (r *run) event(ctx context.Context, e event) error {
	r.logf("%s: %s", e.name, e.about)
	report := EventReport{Name: e.name, About: e.about}
	before, err := r.samples(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := e.play(r, ctx, &report); err != nil {
		return err
	}
	timerpool.Sleep(ctx, r.MinEvent-time.Since(began))
	report.Seconds, report.Nodes = time.Since(began).Seconds(), len(r.running)
	report.Load = loadAverage()
	after, err := r.samples(ctx)
	if err != nil {
		return err
	}
	r.addUsage(ctx, &report, before, after)
	r.report.Events = append(r.report.Events, report)
	r.summary(&report)
	return nil
}

// addUsage computes the usage of each role. A process that did not run at the beginning of the event counts from its start.
func (r *run) addUsage(ctx context.Context, report *EventReport, before, after map[*child]sample) {
	leader := r.leader(ctx)
	roles := map[string]*Use{}
	began := time.Now().Add(-time.Duration(report.Seconds*float64(time.Second)) - readingTime)
	for c, now := range after {
		name := string(c.role)
		if c.role == quorumRole {
			name = "follower"
			if c == leader {
				name = "leader"
			}
		}
		u := roles[name]
		if u == nil {
			u = &Use{Methods: map[string]MethodRate{}}
			roles[name] = u
		}
		was, there := before[c]
		if !there && c.began.Before(began) {
			continue // it was not read before the event
		}
		if !there {
			was = sample{at: began}
		}
		u.add(c, was, now)
		report.Machine += (now.processor - was.processor) / now.at.Sub(was.at).Seconds()
	}
	report.Roles = map[string]Use{}
	for name, u := range roles {
		u.mean()
		report.Roles[name] = *u
	}
}

// summary prints the costs of an event in a line or two.
func (r *run) summary(e *EventReport) {
	for _, name := range []string{"leader", "real", "hollow"} {
		if u, ok := e.Roles[name]; ok {
			r.logf("  %-6s a node: %8.0f B/s out, %6.1f messages/s out, %5.2f %% of a core, %6.1f MB, %4.0f sockets",
				name, u.BytesOut, u.MessagesOut, u.Processor, u.ResidentMB, u.Sockets)
		}
	}
	if s := e.Spread; s != nil {
		r.logf("  %d changes: acknowledged after %.0f ms (at most %.0f), known after %.0f ms, p99 %.0f, at most %.0f; %d missing, %d refused",
			s.Changes, s.AckP50Ms, s.AckMaxMs, s.P50Ms, s.P99Ms, s.MaxMs, s.Missing, s.Refused)
	}
	if e.AgreeS != nil {
		r.logf("  all agree after %.1f s (on updates after %.1f); %.1f cores", *e.AgreeS, *e.UpdatesS, e.Machine)
	}
}

func (r *run) start(ctx context.Context, e *EventReport) error {
	began := time.Now()
	if err := r.startRealNodes(); err != nil {
		return err
	}
	if err := r.startNodes(r.hollowMachines()); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, began)
	return nil
}

func (r *run) quiet(ctx context.Context, _ *EventReport) error {
	timerpool.Sleep(ctx, r.Quiet)
	return ctx.Err()
}

// operatorCalls makes the calls that read, at the leader.
func (r *run) operatorCalls(ctx context.Context, e *EventReport) error {
	leader := r.leader(ctx)
	if leader == nil {
		return fmt.Errorf("no leader")
	}
	for _, path := range []string{"/status", "/config/read", "/backup"} {
		var slowest Call
		for range operatorCalls {
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

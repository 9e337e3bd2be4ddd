package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/timerpool"
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

// event is something that is played and measured.
type event struct {
	name  string
	about string
	play  func(r *run, ctx context.Context, e *EventReport) error
}

// events in their order; a run with fewer plays them in the same.
var events = []event{
	{startEvent, "all nodes start at once, beside a quorum with a configuration", (*run).start},
	{"quiet", "nothing happens", (*run).quiet},
	{"operator", "an operator reads", (*run).operator},
	{"change", "one route is changed", (*run).oneChange},
	{"stream-day", "one route is changed again and again, at the rate of 49,000 changes a day", (*run).dayStream},
	{"stream-10", "the same, 10 times a second", (*run).fastStream},
	{"restart", "a server and its node leave as planned and start again", (*run).restart},
	{"roll", "a tenth of the hollow nodes restart as planned, in ten groups, a second apart", (*run).roll},
	{"loss", "a tenth of the hollow nodes are lost in the same moment", (*run).loss},
	{"return", "they start again", (*run).comeBack},
	{"cut", "a region is cut off, and a route is changed meanwhile; the time until all agree is that from the healing on", (*run).cutRegion},
	{"cold", "all processes are killed, and start again at the same time", (*run).cold},
}

// EventNames lists the events in their order.
func EventNames() (names []string) {
	for _, e := range events {
		names = append(names, e.name)
	}
	return names
}

// event plays one event and reports what it has cost.
func (r *run) event(ctx context.Context, e event) error {
	r.say("%s: %s", e.name, e.about)
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
	r.uses(ctx, &report, before, after)
	r.report.Events = append(r.report.Events, report)
	r.summary(&report)
	return nil
}

// uses works out what each role has used. A process that was not there at the event's beginning counts from its start.
func (r *run) uses(ctx context.Context, report *EventReport, before, after map[*child]sample) {
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

// summary says in a line or two what an event has cost.
func (r *run) summary(e *EventReport) {
	for _, name := range []string{"leader", "real", "hollow"} {
		if u, ok := e.Roles[name]; ok {
			r.say("  %-6s a node: %8.0f B/s out, %6.1f messages/s out, %5.2f %% of a core, %6.1f MB, %4.0f sockets",
				name, u.BytesOut, u.MessagesOut, u.Processor, u.ResidentMB, u.Sockets)
		}
	}
	if s := e.Spread; s != nil {
		r.say("  %d changes: acknowledged after %.0f ms (at most %.0f), known after %.0f ms, p99 %.0f, at most %.0f; %d missing, %d refused",
			s.Changes, s.AckP50Ms, s.AckMaxMs, s.P50Ms, s.P99Ms, s.MaxMs, s.Missing, s.Refused)
	}
	if e.AgreeS != nil {
		r.say("  all agree after %.1f s (on updates after %.1f); %.1f cores", *e.AgreeS, *e.UpdatesS, e.Machine)
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
	r.untilAgreed(ctx, e, began)
	return nil
}

func (r *run) quiet(ctx context.Context, _ *EventReport) error {
	timerpool.Sleep(ctx, r.Quiet)
	return ctx.Err()
}

// operator makes the calls that read, at the leader.
func (r *run) operator(ctx context.Context, e *EventReport) error {
	leader := r.leader(ctx)
	if leader == nil {
		return fmt.Errorf("nobody leads")
	}
	for _, path := range []string{"/status", "/config/read", "/backup"} {
		var most Call
		for range operatorCalls {
			c, err := r.fetch(ctx, leader.machines[0], path)
			if err != nil {
				return err
			}
			if c.Ms >= most.Ms {
				most = c
			}
		}
		e.Calls = append(e.Calls, most)
	}
	return nil
}

// sent is a change that the operator has made.
type sent struct {
	index uint64
	at    time.Time
}

// changeRoute changes one route, and says by which update all nodes know of it.
func (r *run) changeRoute(ctx context.Context) (s sent, ack time.Duration, err error) {
	base := r.config.Revision
	r.config.Revision++
	r.config.Routes[int(r.config.Revision)%len(r.config.Routes)].AimMs = 100 + float64(r.config.Revision%1000)
	s.at = time.Now()
	if err := r.apply(ctx, base); err != nil {
		return s, 0, err
	}
	ack = time.Since(s.at)
	patience, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		if index, ok := r.latestIndex(patience); ok {
			s.index = index
			return s, ack, nil
		}
		if patience.Err() != nil {
			return s, ack, fmt.Errorf("no leader behind an acknowledged change")
		}
		timerpool.Sleep(patience, pollEvery)
	}
}

// changes makes changes at a rate for some time, and measures when the nodes know of each.
func (r *run) changes(ctx context.Context, e *EventReport, count int, every time.Duration) error {
	spread := &Spread{}
	e.Spread = spread
	var acks []float64
	var all []sent
	tick := time.NewTicker(every)
	defer tick.Stop()
	for i := range count {
		if i > 0 {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		s, ack, err := r.changeRoute(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			spread.Refused++
			r.say("  a change was refused: %v", err)
			if e := r.readBack(ctx); e != nil {
				return e
			}
			continue
		}
		acks = append(acks, milliseconds(ack))
		all = append(all, s)
	}
	spread.Changes = len(all)
	r.collect(ctx, spread, all)
	spread.sum(acks)
	return ctx.Err()
}

// readBack begins again with the configuration in force, where it is not known whether a change was taken.
func (r *run) readBack(ctx context.Context) error {
	_, config, err := r.core.Read(ctx)
	if err == nil && config != nil {
		r.config = config
	}
	return err
}

// collect waits for the last change to be known everywhere, and takes when each was.
func (r *run) collect(ctx context.Context, spread *Spread, all []sent) {
	hollow := 0
	for m := range r.running {
		if m >= quorumSize+r.Real {
			hollow++
		}
	}
	patience, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	for i := len(all) - 1; i >= 0; i-- { // once all know of the last, they know of the others
		arrivals := r.arrivals(all[i].index)
		for len(arrivals) < hollow && patience.Err() == nil {
			timerpool.Sleep(patience, arrivalPoll)
			arrivals = r.arrivals(all[i].index)
		}
		spread.Missing += hollow - len(arrivals)
		for _, at := range arrivals {
			spread.durations = append(spread.durations, milliseconds(time.UnixMicro(at).Sub(all[i].at)))
		}
	}
}

// arrivals says when hollow nodes knew of an update, in unix microseconds.
func (r *run) arrivals(index uint64) (list []int64) {
	answers, err := r.each(func(*child) *command { return &command{Index: index} })
	if err != nil {
		return nil
	}
	for _, a := range answers {
		list = append(list, a.Arrivals...)
	}
	return list
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (r *run) oneChange(ctx context.Context, e *EventReport) error {
	return r.changes(ctx, e, 1, time.Second)
}

// stream makes changes at a rate a second.
func (r *run) stream(ctx context.Context, e *EventReport, rate float64) error {
	count := max(2, int(rate*r.Stream.Seconds()))
	return r.changes(ctx, e, count, time.Duration(float64(time.Second)/rate))
}

func (r *run) dayStream(ctx context.Context, e *EventReport) error {
	return r.stream(ctx, e, dayChanges)
}

func (r *run) fastStream(ctx context.Context, e *EventReport) error {
	return r.stream(ctx, e, fastChanges)
}

// some returns a part of the hollow nodes: each tenth, from one on.
func (r *run) some(from, step int) (list []int) {
	all := r.hollowMachines()
	for i := from; i < len(all); i += step {
		list = append(list, all[i])
	}
	return list
}

func (r *run) restart(ctx context.Context, e *EventReport) error {
	one := r.hollowMachines()[:1]
	began := time.Now()
	if err := r.stopNodes(one, true); err != nil {
		return err
	}
	timerpool.Sleep(ctx, restartPause)
	if err := r.startNodes(one); err != nil {
		return err
	}
	r.untilAgreed(ctx, e, began)
	return nil
}

func (r *run) roll(ctx context.Context, e *EventReport) error {
	all := r.some(1, tenth)
	began := time.Now()
	for step := range rollSteps {
		var group []int
		for i := step; i < len(all); i += rollSteps {
			group = append(group, all[i])
		}
		if len(group) == 0 {
			continue
		}
		if err := r.stopNodes(group, true); err != nil {
			return err
		}
		timerpool.Sleep(ctx, restartPause)
		if err := r.startNodes(group); err != nil {
			return err
		}
		timerpool.Sleep(ctx, rollPause)
	}
	r.untilAgreed(ctx, e, began)
	return nil
}

func (r *run) loss(ctx context.Context, e *EventReport) error {
	began := time.Now()
	if err := r.stopNodes(r.some(2, tenth), false); err != nil {
		return err
	}
	r.untilAgreed(ctx, e, began)
	return nil
}

// comeBack starts all hollow nodes that do not run.
func (r *run) comeBack(ctx context.Context, e *EventReport) error {
	var list []int
	for _, m := range r.hollowMachines() {
		if !r.running[m] {
			list = append(list, m)
		}
	}
	began := time.Now()
	if err := r.startNodes(list); err != nil {
		return err
	}
	r.untilAgreed(ctx, e, began)
	return nil
}

// setCut cuts a region off, or heals where there is none.
func (r *run) setCut(region int) error {
	_, err := r.each(func(*child) *command { return &command{Cut: &region} })
	return err
}

func (r *run) cutRegion(ctx context.Context, e *EventReport) error {
	if err := r.setCut(r.Regions - 1); err != nil {
		return err
	}
	timerpool.Sleep(ctx, r.Cut/2)
	if _, _, err := r.changeRoute(ctx); err != nil {
		r.say("  a change during the cut: %v", err)
		if err := r.readBack(ctx); err != nil {
			return err
		}
	}
	timerpool.Sleep(ctx, r.Cut/2)
	healed := time.Now()
	if err := r.setCut(-1); err != nil {
		return err
	}
	r.untilAgreed(ctx, e, healed)
	return nil
}

func (r *run) cold(ctx context.Context, e *EventReport) error {
	r.killAll()
	clear(r.running)
	began := time.Now()
	if err := r.startHollow(ctx); err != nil {
		return err
	}
	if err := r.startQuorum(); err != nil {
		return err
	}
	if err := r.startRealNodes(); err != nil {
		return err
	}
	if err := r.startNodes(r.hollowMachines()); err != nil {
		return err
	}
	r.untilAgreed(ctx, e, began)
	return nil
}

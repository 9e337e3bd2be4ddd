package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

// appliedChange is an acknowledged change of the operator.
type appliedChange struct {
	index uint64
	at    time.Time
}

// changeRoute changes one route, and returns the index of its update.
func (r *run) changeRoute(ctx context.Context) (s appliedChange, ack time.Duration, err error) {
	base := r.config.Revision
	r.config.Revision++
	r.config.Routes[int(r.config.Revision)%len(r.config.Routes)].TargetLatencyMs = 100 + float64(r.config.Revision%1000)
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

// changes makes changes at a rate for some time, and measures when each node has each.
func (r *run) changes(ctx context.Context, e *EventReport, count int, every time.Duration) error {
	spread := &Spread{}
	e.Spread = spread
	var acks []float64
	var all []appliedChange
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
			r.logf("  a change was refused: %v", err)
			if e := r.readConfig(ctx); e != nil {
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

// readConfig reads the configuration in force, after a change without a definite answer.
func (r *run) readConfig(ctx context.Context) error {
	_, config, err := r.operatorClient.Read(ctx)
	if err == nil && config != nil {
		r.config = config
	}
	return err
}

// collect waits until all nodes have the last change, and collects when they got each.
func (r *run) collect(ctx context.Context, spread *Spread, all []appliedChange) {
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

// arrivals returns when hollow nodes received an update, in Unix microseconds.
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

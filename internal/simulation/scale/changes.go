package scale

import (
	"context"
	"fmt"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

// appliedChange is an acknowledged change of the configuration.
type appliedChange struct {
	index uint64
	at    time.Time // start of the operator's call
}

// changeRoute changes one route. It returns the index of the update and the time until the acknowledgement.
func (r *run) changeRoute(ctx context.Context) (change appliedChange, ack time.Duration, err error) {
	base := r.config.Revision
	r.config.Revision++
	r.config.Routes[int(r.config.Revision)%len(r.config.Routes)].TargetLatencyMs = 100 + float64(r.config.Revision%1000)
	change.at = time.Now()
	if err := r.applyConfig(ctx, base); err != nil {
		return change, 0, err
	}
	ack = time.Since(change.at)
	waitCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		if index, ok := r.latestIndex(waitCtx); ok {
			change.index = index
			return change, ack, nil
		}
		if waitCtx.Err() != nil {
			return change, ack, fmt.Errorf("no quorum member returned the index of an acknowledged change")
		}
		timerpool.Sleep(waitCtx, pollInterval)
	}
}

// applyChanges makes a number of changes at an interval, and measures when each hollow node receives each of them.
func (r *run) applyChanges(ctx context.Context, e *EventReport, count int, interval time.Duration) error {
	propagation := &Propagation{}
	e.Propagation = propagation
	var acks []float64
	var changes []appliedChange
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := range count {
		if i > 0 {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		change, ack, err := r.changeRoute(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			propagation.Refused++
			r.logf("  change not acknowledged: %v", err)
			if readErr := r.readConfig(ctx); readErr != nil {
				return readErr
			}
			continue
		}
		acks = append(acks, milliseconds(ack))
		changes = append(changes, change)
	}
	propagation.Changes = len(changes)
	r.collectArrivals(ctx, propagation, changes)
	propagation.computeQuantiles(acks)
	return ctx.Err()
}

// readConfig reads the current configuration after a change with an unknown outcome.
func (r *run) readConfig(ctx context.Context) error {
	_, config, err := r.operatorClient.Read(ctx)
	if err == nil && config != nil {
		r.config = config
	}
	return err
}

// collectArrivals waits until all hollow nodes have the last change, and collects the times at which they received each
// change.
func (r *run) collectArrivals(ctx context.Context, propagation *Propagation, changes []appliedChange) {
	hollow := 0
	for m := range r.running {
		if m >= quorumSize+r.Real {
			hollow++
		}
	}
	waitCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for i := len(changes) - 1; i >= 0; i-- { // a node that has the last change has all earlier ones
		arrivals := r.arrivals(changes[i].index)
		for len(arrivals) < hollow && waitCtx.Err() == nil {
			timerpool.Sleep(waitCtx, arrivalPoll)
			arrivals = r.arrivals(changes[i].index)
		}
		propagation.Missing += hollow - len(arrivals)
		for _, at := range arrivals {
			propagation.durations = append(propagation.durations, milliseconds(time.UnixMicro(at).Sub(changes[i].at)))
		}
	}
}

// arrivals returns the times at which hollow nodes received an update, in Unix microseconds. It returns nil after an error.
func (r *run) arrivals(index uint64) (list []int64) {
	responses, err := r.each(func(*child) *command { return &command{Index: index} })
	if err != nil {
		return nil
	}
	for _, a := range responses {
		list = append(list, a.Arrivals...)
	}
	return list
}

func (r *run) oneChange(ctx context.Context, e *EventReport) error {
	return r.applyChanges(ctx, e, 1, time.Second)
}

// stream makes at least two changes, at a rate per second, for the Stream duration.
func (r *run) stream(ctx context.Context, e *EventReport, rate float64) error {
	count := max(2, int(rate*r.Stream.Seconds()))
	return r.applyChanges(ctx, e, count, time.Duration(float64(time.Second)/rate))
}

func (r *run) dayStream(ctx context.Context, e *EventReport) error {
	return r.stream(ctx, e, dayChangeRate)
}

func (r *run) fastStream(ctx context.Context, e *EventReport) error {
	return r.stream(ctx, e, fastChangeRate)
}

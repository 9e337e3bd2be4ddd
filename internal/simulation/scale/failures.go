package scale

import (
	"context"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

// everyNth returns every step-th hollow node, starting at index from.
func (r *run) everyNth(from, step int) (list []int) {
	all := r.hollowMachines()
	for i := from; i < len(all); i += step {
		list = append(list, all[i])
	}
	return list
}

func (r *run) restart(ctx context.Context, e *EventReport) error {
	machines := r.hollowMachines()[:1]
	startedAt := time.Now()
	if err := r.stopNodes(machines, true); err != nil {
		return err
	}
	timerpool.Sleep(ctx, restartPause)
	if err := r.startNodes(machines); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

func (r *run) rollingRestart(ctx context.Context, e *EventReport) error {
	all := r.everyNth(1, tenthStep)
	startedAt := time.Now()
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
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

func (r *run) nodeLoss(ctx context.Context, e *EventReport) error {
	startedAt := time.Now()
	if err := r.stopNodes(r.everyNth(2, tenthStep), false); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

// recover starts all hollow nodes that are not running.
func (r *run) recover(ctx context.Context, e *EventReport) error {
	var list []int
	for _, m := range r.hollowMachines() {
		if !r.running[m] {
			list = append(list, m)
		}
	}
	startedAt := time.Now()
	if err := r.startNodes(list); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

// partitionRegion partitions a region from the others. A region of -1 ends the partition.
func (r *run) partitionRegion(region int) error {
	_, err := r.each(func(*child) *command { return &command{Partition: &region} })
	return err
}

func (r *run) regionPartition(ctx context.Context, e *EventReport) error {
	if err := r.partitionRegion(r.Regions - 1); err != nil {
		return err
	}
	timerpool.Sleep(ctx, r.Cut/2)
	if _, _, err := r.changeRoute(ctx); err != nil {
		r.logf("  change during the partition not acknowledged: %v", err)
		if err := r.readConfig(ctx); err != nil {
			return err
		}
	}
	timerpool.Sleep(ctx, r.Cut/2)
	partitionEnd := time.Now()
	if err := r.partitionRegion(-1); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, partitionEnd)
	return nil
}

func (r *run) fullRestart(ctx context.Context, e *EventReport) error {
	r.killAll()
	clear(r.running)
	startedAt := time.Now()
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
	r.awaitConvergence(ctx, e, startedAt)
	return nil
}

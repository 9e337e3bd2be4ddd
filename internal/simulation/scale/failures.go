package scale

import (
	"context"
	"time"

	"ivydeck/internal/pkg/timerpool"
)

// everyNth returns a part of the hollow nodes: each tenth, from one on.
func (r *run) everyNth(from, step int) (list []int) {
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
	r.awaitConvergence(ctx, e, began)
	return nil
}

func (r *run) rollingRestart(ctx context.Context, e *EventReport) error {
	all := r.everyNth(1, tenth)
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
	r.awaitConvergence(ctx, e, began)
	return nil
}

func (r *run) zoneLoss(ctx context.Context, e *EventReport) error {
	began := time.Now()
	if err := r.stopNodes(r.everyNth(2, tenth), false); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, began)
	return nil
}

// recover starts all hollow nodes that do not run.
func (r *run) recover(ctx context.Context, e *EventReport) error {
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
	r.awaitConvergence(ctx, e, began)
	return nil
}

// partitionRegion partitions a region from the others; -1 ends the partition.
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
		r.logf("  a change during the cut: %v", err)
		if err := r.readConfig(ctx); err != nil {
			return err
		}
	}
	timerpool.Sleep(ctx, r.Cut/2)
	healed := time.Now()
	if err := r.partitionRegion(-1); err != nil {
		return err
	}
	r.awaitConvergence(ctx, e, healed)
	return nil
}

func (r *run) coldStart(ctx context.Context, e *EventReport) error {
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
	r.awaitConvergence(ctx, e, began)
	return nil
}

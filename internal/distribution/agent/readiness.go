package agent

import (
	"context"
	"time"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/pkg/timerpool"
)

const (
	readinessInterval = 50 * time.Millisecond // longest time between two checks of the state's age
	slowQueryAfter    = 6 * time.Second       // time since the start after which slowQueryPause applies
	slowQueryPause    = time.Second           // pause between two queries of the leader
)

// awaitReadiness waits until the node may serve, then makes Ready report true. See relay.Readiness.
func (a *Agent) awaitReadiness(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	latestIndex := make(chan uint64, 1)
	a.workers.Go(func() { a.queryLatest(ctx, latestIndex) })
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	var readiness relay.Readiness
	for ctx.Err() == nil {
		changed := a.Hub.Changed()
		age := a.Follower.Age()
		if proof := readiness.Check(time.Since(a.startedAt), age, a.Hub.Index()); proof != relay.NoProof {
			a.ready.Store(true)
			a.log.Info("sidecar.ready", "index", a.Hub.Index(), "confirmed", proof != relay.Unconfirmed, "proof", string(proof),
				"age_ms", min(age, time.Hour).Milliseconds())
			return
		}
		select {
		case latest := <-latestIndex:
			readiness.Confirmed(latest)
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// queryLatest queries the leader until it responds, and sends the latest index to the channel.
func (a *Agent) queryLatest(ctx context.Context, latestIndex chan<- uint64) {
	for ctx.Err() == nil {
		queryCtx, cancel := context.WithCancel(ctx)
		if firstUpdate := a.Hub.Changed(); a.Hub.Index() == 0 {
			// The first update shows that a leader exists. The call in progress may be dialing a machine without power, which
			// takes long to fail: cancel it.
			a.workers.Go(func() {
				select {
				case <-firstUpdate:
					cancel()
				case <-queryCtx.Done():
				}
			})
		}
		latest, known := a.LatestIndex(queryCtx)
		if known {
			cancel()
			latestIndex <- latest
			return
		}
		pause := leaderRetryPause
		if time.Since(a.startedAt) > slowQueryAfter {
			pause = slowQueryPause
		}
		timerpool.Sleep(queryCtx, pause)
		cancel()
	}
}

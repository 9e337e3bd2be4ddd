package agent

import (
	"context"
	"time"

	"ivydeck/internal/distribution/relay"
	"ivydeck/internal/pkg/timerpool"
)

const (
	readinessInterval = 50 * time.Millisecond // between checks of the age of the state
	slowQueryAfter    = 6 * time.Second       // without an answer for so long, the leader is asked less often
	slowQueryPause    = time.Second
)

// awaitReadiness waits until the node may serve by its state: see relay.Readiness.
func (a *Agent) awaitReadiness(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan uint64, 1)
	a.workers.Go(func() { a.queryLatest(ctx, answers) })
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
		case latest := <-answers:
			readiness.Confirmed(latest)
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// queryLatest asks the leader for the latest index, until it has an answer.
func (a *Agent) queryLatest(ctx context.Context, answers chan<- uint64) {
	for ctx.Err() == nil {
		query, cancel := context.WithCancel(ctx)
		if first := a.Hub.Changed(); a.Hub.Index() == 0 {
			// The first updates show that there is a leader by now. The call in progress may be to a machine without power,
			// whose dial takes long to fail.
			a.workers.Go(func() {
				select {
				case <-first:
					cancel()
				case <-query.Done():
				}
			})
		}
		latest, known := a.LatestIndex(query)
		if known {
			cancel()
			answers <- latest
			return
		}
		wait := leaderRetryPause
		if time.Since(a.startedAt) > slowQueryAfter {
			wait = slowQueryPause
		}
		timerpool.Sleep(query, wait)
		cancel()
	}
}

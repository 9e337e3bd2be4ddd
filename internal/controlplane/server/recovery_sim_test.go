package server

import (
	"slices"
	"testing"
	"time"
)

// measureRecovery simulates a quorum that loses its leader under a steady rate of changes, and returns the time from the
// loss to the next acknowledged change. With powerLoss, the leader's address doesn't respond; otherwise it refuses
// connections.
func measureRecovery(t *testing.T, seed uint64, members int, powerLoss bool) time.Duration {
	t.Helper()
	const crashAt, interval = 3 * time.Second, 250 * time.Millisecond
	sim := newOperatorSim(seed, members, 1)
	sim.faultless = true
	nextChangeAt := crashAt - time.Second
	crashedAt := crashAt + sim.randomDuration(0, int(interval/time.Millisecond))
	var crashed *simMember
	for sim.now < crashAt+20*time.Second {
		sim.step()
		if sim.now >= nextChangeAt && len(sim.pending) < 8 {
			nextChangeAt = sim.now + interval
			op := sim.newOperation(0)
			sim.setConfig(op, op.base+1)
			sim.pending, sim.operations = append(sim.pending, op), append(sim.operations, op)
		}
		if crashed == nil && sim.now >= crashedAt {
			for _, member := range sim.members {
				if member.node != nil && member.node.IsLeader() {
					crashed = member
				}
			}
			if crashed == nil {
				t.Fatalf("seed %d: no leader at %v", seed, sim.now)
			}
			crashedAt = sim.now
			sim.crash(crashed, time.Hour, powerLoss)
		}
		for _, op := range sim.operations {
			if crashed != nil && op.finishedAt > crashedAt && op.result == Accepted {
				return op.finishedAt - crashedAt
			}
		}
	}
	t.Fatalf("seed %d: no change was acknowledged for %v after the loss of the leader", seed, sim.now-crashedAt)
	return 0
}

// TestRecoveryAfterLeaderLoss guards against a long time from the loss of a leader to the next acknowledged change.
// To run more seeds: go test ./internal/controlplane/server -run Recovery -v -seeds 1000
func TestRecoveryAfterLeaderLoss(t *testing.T) {
	for _, members := range []int{3, 5} {
		for name, powerLoss := range map[string]bool{"killed": false, "powered off": true} {
			var times []time.Duration
			for i := range *simSeeds {
				times = append(times, measureRecovery(t, *simFirstSeed+uint64(i), members, powerLoss))
			}
			slices.Sort(times)
			p50, p99 := times[len(times)/2], times[len(times)*99/100]
			t.Logf("%d members, leader %s: %v (p50), %v (p99), %v at most", members, name, p50, p99, times[len(times)-1])
			bound := time.Second
			if powerLoss { // a call to the unresponsive leader takes a second to time out
				bound += 500 * time.Millisecond
			}
			if p50 > 500*time.Millisecond || *simSeeds >= 200 && p99 > bound {
				t.Errorf("%d members, leader %s: recovery time %v (p50), %v (p99) is too long", members, name, p50, p99)
			}
		}
	}
}

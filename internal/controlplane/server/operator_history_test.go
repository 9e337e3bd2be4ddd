package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// runOperators simulates operators of a quorum with faults. The last six seconds have no faults, so that operations
// complete and reads check the acknowledged changes.
func runOperators(seed uint64, duration time.Duration) *operatorSim {
	rng := rand.New(rand.NewPCG(seed, 5))
	sim := newOperatorSim(seed, 3+2*rng.IntN(2), 2+rng.IntN(3))
	sim.answerLoss = []float64{0, 0.2, 0.7}[rng.IntN(3)]
	if sim.acceptedLimit = []int{0, 4}[rng.IntN(2)]; sim.acceptedLimit > 0 {
		for _, member := range sim.members {
			member.state.SetAcceptedLimit(sim.acceptedLimit)
		}
	}
	restoreAt := duration * time.Duration(1+rng.IntN(4)) / 4 // a quarter of the runs have no restore
	for sim.now < duration {
		sim.faultless = sim.now > duration-6*time.Second
		if sim.faultless {
			clear(sim.cutLinks)
			sim.answerLoss, sim.paused = 0, false
		} else {
			sim.injectFault()
		}
		if sim.restores == 0 && sim.now >= restoreAt && !sim.faultless {
			sim.paused = true
			if len(sim.pending) == 0 && sim.rng.IntN(20) == 0 {
				sim.restore()
			}
		}
		for operator := range sim.seenRevisions {
			inProgress := 0
			for _, op := range sim.pending {
				if op.operator == operator {
					inProgress++
				}
			}
			if inProgress < sim.maxPerOperator && sim.rng.IntN(60) == 0 && !sim.paused {
				sim.startOperation(operator)
			}
		}
		sim.step()
	}
	return sim
}

// configState is the state of configModel: the current configuration.
type configState struct {
	identity string
	revision uint64
}

// configModel models the configuration as a register with compare-and-set. All attempts of a change are one operation,
// so a change takes effect at most once.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		current, op, result := state.(configState), input.(*operation), output.(OperatorResult)
		valid := op.base == current.revision && op.revision > current.revision
		next := configState{op.identity, op.revision}
		switch {
		case op.revision == 0:
			return result == NotFound && current.revision == 0 || result == Found && op.readIdentity == current.identity, current
		case result == Accepted:
			return valid, next
		case result == Stale:
			return op.base != current.revision, current
		case result == Invalid:
			return op.revision <= current.revision, current
		case valid:
			return true, next // no conclusive answer; a change that never takes effect is placed last
		}
		return true, current
	},
}

// history returns the operations for the linearizability checker. It omits resends of acknowledged changes, which have
// no effect, and fails the test if one of them was rejected.
func (sim *operatorSim) history(t *testing.T) (history []porcupine.Operation) {
	t.Helper()
	for i, op := range sim.operations {
		switch {
		case op.acceptedBefore && op.finishedAt >= 0 && op.result != Accepted:
			t.Errorf("acknowledged change %s was resent at %v with result %v, want accepted", op.identity, op.calledAt, op.result)
			continue
		case op.acceptedBefore, op.revision == 0 && op.finishedAt < 0:
			continue
		}
		returnedAt := op.finishedAt
		if returnedAt < 0 {
			returnedAt = time.Hour
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.calledAt), Output: op.result, Return: int64(returnedAt)})
	}
	return history
}

// TestOperatorLinearizability checks that the operations of simulated operators are linearizable despite lost answers,
// reordered retries, leader changes, network partitions, frozen and restarted members, snapshots and a restored backup.
func TestOperatorLinearizability(t *testing.T) {
	counts, resends, restores, unknown, reconfirmed := map[OperatorResult]int{}, 0, 0, 0, 0
	for i := range *simSeeds {
		seed := *simFirstSeed + uint64(i)
		sim := runOperators(seed, 30*time.Second)
		acceptedAfterFaults := false
		for _, op := range sim.operations {
			acceptedAfterFaults = acceptedAfterFaults || op.finishedAt > 26*time.Second && op.result == Accepted
			if op.acceptedBefore && op.finishedAt >= 0 {
				reconfirmed++
			}
		}
		if !acceptedAfterFaults {
			t.Errorf("seed %d: no change was accepted after the faults ended", seed)
		}
		switch porcupine.CheckOperationsTimeout(configModel, sim.history(t), 20*time.Second) {
		case porcupine.Illegal:
			t.Errorf("seed %d: the history is not linearizable (go test ./internal/controlplane/server -run TestOperatorLinearizability -seed %d -seeds 1)", seed, seed)
		case porcupine.Unknown:
			unknown++
		}
		for result, n := range sim.counts {
			counts[result] += n
		}
		resends += sim.resends
		restores += sim.restores
	}
	t.Logf("results %v, %d changes retried, %d acknowledged changes resent, %d restores, %d histories undecided", counts, resends, reconfirmed, restores, unknown)
	if *simSeeds < 10 {
		return
	}
	for _, result := range []OperatorResult{Unavailable, Redirected, Accepted, AlreadyAccepted, Stale, Invalid, Found} {
		if counts[result] < *simSeeds {
			t.Errorf("result %v occurred %d times in %d runs, too few to test it", result, counts[result], *simSeeds)
		}
	}
	if resends < *simSeeds || reconfirmed < *simSeeds || restores == 0 || unknown > *simSeeds/10 {
		t.Errorf("%d changes retried, %d acknowledged changes resent, %d restores, %d histories undecided: too few cases were tested", resends, reconfirmed, restores, unknown)
	}
}

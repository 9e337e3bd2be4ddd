package raft

import (
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	seedCount     = flag.Int("seeds", 40, "number of simulated runs")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first run; later runs use consecutive seeds")
	timeLimit     = flag.Duration("limit", 0, "time after which no run is started; runs that are not started count as a failure; 0 means no limit")
	stopOnFailure = flag.Bool("stop", false, "start no further run after a failed one")
	// These flags break the simulated members, to verify that the checks detect it.
	loseVotes = flag.Bool("lose-votes", false, "do not write term and vote to disk")
	keepID    = flag.Bool("keep-id", false, "let a member keep its identity when its disk is wiped")
)

const (
	simDuration           = 45 * time.Second
	availabilityCheckFrom = 38 * time.Second // at least one call that begins after this time must be answered
)

// simResult is the result of the run with one seed.
type simResult struct {
	seed                       uint64
	executed                   bool // false if the run was not started because of -limit or -stop
	answeredCalls, resentCalls int
	lostResponses, wipedDisks  int
	failures                   []string
}

// runSeed runs the simulation with one seed, and checks its clients' history.
func runSeed(seed uint64) (result simResult) {
	result = simResult{seed: seed, executed: true}
	defer func() {
		if recovered := recover(); recovered != nil {
			result.failures = append(result.failures, fmt.Sprintf("panic: %v", recovered))
			if *seedCount == 1 {
				result.failures = append(result.failures, string(debug.Stack()))
			}
		}
	}()
	sim := simulate(seed, simDuration)
	operations, answered := sim.clients.operations()
	result.answeredCalls, result.resentCalls, result.lostResponses, result.wipedDisks = answered, sim.clients.resentCalls, sim.clients.lostResponses, sim.wipedDisks
	if !sim.clients.answeredSince(availabilityCheckFrom) {
		result.failures = append(result.failures, "no call was answered after the faults had ended")
	}
	if sim.invariants.violation != "" {
		result.failures = append(result.failures[:0], sim.invariants.violation) // the run ended early, so other failures follow from this one
		return result
	}
	if porcupine.CheckOperationsTimeout(revisionModel, operations, 20*time.Second) == porcupine.Illegal {
		result.failures = append(result.failures, fmt.Sprintf("the history is not linearizable (go test -run Linearizable -seed %d -seeds 1)", seed))
	}
	return result
}

// runSeeds runs the simulation with consecutive seeds, on all processors.
func runSeeds(first uint64, count int) []simResult {
	startedAt := time.Now()
	results := make([]simResult, count)
	indexes := make(chan int)
	var workers sync.WaitGroup
	var failed atomic.Bool
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range indexes {
				results[i] = runSeed(first + uint64(i))
				if len(results[i].failures) > 0 {
					failed.Store(true)
				}
			}
		})
	}
	for i := range count {
		if *timeLimit > 0 && time.Since(startedAt) > *timeLimit || *stopOnFailure && failed.Load() {
			break
		}
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	return results
}

// TestHistoriesAreLinearizable simulates members with crashes, lost disks, network partitions, delayed messages, frozen
// processes, slow disks and clock steps, and checks that the clients' history is linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	startedAt := time.Now()
	total, executed := simResult{}, 0
	for _, result := range runSeeds(*firstSeed, *seedCount) {
		if !result.executed {
			continue
		}
		executed++
		total.answeredCalls += result.answeredCalls
		total.resentCalls += result.resentCalls
		total.lostResponses += result.lostResponses
		total.wipedDisks += result.wipedDisks
		for _, failure := range result.failures {
			t.Errorf("seed %d: %s", result.seed, failure)
		}
	}
	if executed < *seedCount {
		t.Errorf("%d of %d seeds were run", executed, *seedCount)
	}
	if total.answeredCalls < 50*executed || executed >= 10 && (total.wipedDisks == 0 || total.resentCalls < executed) {
		t.Errorf("%d calls answered, %d resent and %d disks wiped in %d runs, want at least 50 answered calls per run, and in 10 or more runs one resent call per run and one wiped disk", total.answeredCalls, total.resentCalls, total.wipedDisks, executed)
	}
	duration := time.Since(startedAt)
	t.Logf("%d seeds in %v (%.1f per second): %d calls answered, %d resent, %d responses lost, %d disks wiped", executed,
		duration.Round(time.Millisecond), float64(executed)/duration.Seconds(), total.answeredCalls, total.resentCalls, total.lostResponses, total.wipedDisks)
}

// TestElectionAfterLoss checks that in 99% of runs, three members elect a new leader within a second after the loss of the
// leader.
func TestElectionAfterLoss(t *testing.T) {
	var durations []time.Duration
	for seed := range uint64(*seedCount) {
		sim := newFaultlessSimulation(3, seed)
		for sim.now < 4*time.Second || sim.leader() == nil {
			sim.stepFaultless()
		}
		sim.leader().node = nil
		failedAt := sim.now
		for sim.now < 30*time.Second && sim.leader() == nil {
			sim.stepFaultless()
		}
		if sim.leader() != nil {
			durations = append(durations, sim.now-failedAt)
		}
	}
	slices.Sort(durations)
	if len(durations) < *seedCount {
		t.Fatalf("%d of %d quorums elected a new leader within the time limit", len(durations), *seedCount)
	}
	p50, p99 := durations[len(durations)/2], durations[len(durations)*99/100]
	t.Logf("time to elect a new leader: %v (p50), %v (p99)", p50, p99)
	if p99 > time.Second {
		t.Errorf("99th percentile of the time to elect a new leader is %v, want at most 1s", p99)
	}
}

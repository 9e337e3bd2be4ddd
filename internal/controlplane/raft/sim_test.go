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
	seeds    = flag.Int("seeds", 40, "simulations to run")
	firstOne = flag.Uint64("seed", 1, "the first one's seed; the runs of several processes need ranges of their own")
	limit    = flag.Duration("limit", 0, "no simulation is begun after it, and those that are left count as a failure; 0: no bound")
	stop     = flag.Bool("stop", false, "no simulation is begun after one that has failed")
	// Faults of the harness's own, to see that the checks find them.
	loseVotes = flag.Bool("lose-votes", false, "do not put votes on disk")
	keepID    = flag.Bool("keep-id", false, "let a wiped member keep its identity and vote")
)

const (
	simLength  = 45 * time.Second
	simAnswers = 38 * time.Second // calls that begin after it are answered, some of them at least
)

// outcome is what a simulated seed came to.
type outcome struct {
	seed             uint64
	played           bool
	answered, resent int
	lost, wipes      int
	faults           []string
}

// runSeed simulates one seed, and checks what its clients saw.
func runSeed(seed uint64) (o outcome) {
	o = outcome{seed: seed, played: true}
	defer func() {
		if r := recover(); r != nil {
			o.faults = append(o.faults, fmt.Sprintf("panic: %v", r))
			if *seeds == 1 {
				o.faults = append(o.faults, string(debug.Stack()))
			}
		}
	}()
	w := simulate(seed, simLength)
	operations, answered := w.clients.operations()
	o.answered, o.resent, o.lost, o.wipes = answered, w.clients.resent, w.clients.lost, w.wipes
	if !w.clients.answeredSince(simAnswers) {
		o.faults = append(o.faults, "nothing was answered after the faults had ended")
	}
	if w.checks.broken != "" {
		o.faults = append(o.faults[:0], w.checks.broken) // the run has ended there
		return o
	}
	if porcupine.CheckOperationsTimeout(revisionModel, operations, 20*time.Second) == porcupine.Illegal {
		o.faults = append(o.faults, fmt.Sprintf("the history is not linearizable (go test -run Linearizable -seed %d -seeds 1)", seed))
	}
	return o
}

// runSeeds simulates seeds on all processors, in the order of their numbers.
func runSeeds(first uint64, count int) []outcome {
	began := time.Now()
	outcomes := make([]outcome, count)
	next := make(chan int)
	var running sync.WaitGroup
	var failed atomic.Bool
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for i := range next {
				outcomes[i] = runSeed(first + uint64(i))
				if len(outcomes[i].faults) > 0 {
					failed.Store(true)
				}
			}
		})
	}
	for i := range count {
		if *limit > 0 && time.Since(began) > *limit || *stop && failed.Load() {
			break
		}
		next <- i
	}
	close(next)
	running.Wait()
	return outcomes
}

// TestHistoriesAreLinearizable simulates members with crashes, lost disks, cuts, late messages, frozen processes, slow
// disks and clocks that step, and checks what clients saw.
func TestHistoriesAreLinearizable(t *testing.T) {
	began := time.Now()
	total, played := outcome{}, 0
	for _, o := range runSeeds(*firstOne, *seeds) {
		if !o.played {
			continue
		}
		played++
		total.answered += o.answered
		total.resent += o.resent
		total.lost += o.lost
		total.wipes += o.wipes
		for _, fault := range o.faults {
			t.Errorf("seed %d: %s", o.seed, fault)
		}
	}
	if played < *seeds {
		t.Errorf("%d of %d seeds were simulated", played, *seeds)
	}
	if total.answered < 50*played || played >= 10 && (total.wipes == 0 || total.resent < played) {
		t.Errorf("%d calls answered, %d sent again and %d disks lost in %d runs: hardly a test", total.answered, total.resent, total.wipes, played)
	}
	took := time.Since(began)
	t.Logf("%d seeds in %v (%.1f a second): %d calls answered, %d sent again, %d answers and %d disks lost", played,
		took.Round(time.Millisecond), float64(played)/took.Seconds(), total.answered, total.resent, total.lost, total.wipes)
}

// TestElectionAfterLoss measures how long a quorum of three is without a leader
// after it has lost its own.
func TestElectionAfterLoss(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(*seeds) {
		w := newFaultless(3, seed)
		for w.now < 4*time.Second || w.leader() == nil {
			w.turn()
		}
		w.leader().node = nil
		lost := w.now
		for w.now < 30*time.Second && w.leader() == nil {
			w.turn()
		}
		if w.leader() != nil {
			times = append(times, w.now-lost)
		}
	}
	slices.Sort(times)
	if len(times) < *seeds {
		t.Fatalf("%d of %d quorums had a new leader", len(times), *seeds)
	}
	p50, p99 := times[len(times)/2], times[len(times)*99/100]
	t.Logf("a new leader after %v (p50), %v (p99)", p50, p99)
	if p99 > time.Second {
		t.Errorf("the 99th percentile is %v", p99)
	}
}

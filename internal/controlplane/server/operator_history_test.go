package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// runOperators runs operators on a quorum with faults. The last seconds have none, so that everything that was
// acknowledged is read.
func runOperators(seed uint64, length time.Duration) *operatorSim {
	rng := rand.New(rand.NewPCG(seed, 5))
	w := newOperatorSim(seed, 3+2*rng.IntN(2), 2+rng.IntN(3))
	w.ackLoss = []float64{0, 0.2, 0.7}[rng.IntN(3)]
	if w.memory = []int{0, 4}[rng.IntN(2)]; w.memory > 0 {
		for _, m := range w.members {
			m.state.SetAcceptedLimit(w.memory)
		}
	}
	restoreAt := length * time.Duration(1+rng.IntN(4)) / 4 // a quarter of the runs have none
	for w.now < length {
		w.calm = w.now > length-6*time.Second
		if w.calm {
			clear(w.cut)
			w.ackLoss, w.quiet = 0, false
		} else {
			w.trouble()
		}
		if w.restored == 0 && w.now >= restoreAt && !w.calm {
			w.quiet = true
			if len(w.open) == 0 && w.rng.IntN(20) == 0 {
				w.restore()
			}
		}
		for operator := range w.known {
			underWay := 0
			for _, o := range w.open {
				if o.operator == operator {
					underWay++
				}
			}
			if underWay < w.perOperator && w.rng.IntN(60) == 0 && !w.quiet {
				w.begin(operator)
			}
		}
		w.step()
	}
	return w
}

// held is the state of the history's model: what is in force.
type held struct {
	identity string
	revision uint64
}

// orders is the model: a configuration with compare and set. All sends of a change are one operation, so none has its
// effect more than once.
var orders = porcupine.Model{
	Init: func() any { return held{} },
	Step: func(state, input, output any) (bool, any) {
		h, o, result := state.(held), input.(*operation), output.(OperatorResult)
		fits := o.base == h.revision && o.revision > h.revision
		after := held{o.identity, o.revision}
		switch {
		case o.revision == 0:
			return result == NotFound && h.revision == 0 || result == Found && o.read == h.identity, h
		case result == Accepted:
			return fits, after
		case result == Stale:
			return o.base != h.revision, h
		case result == Invalid:
			return o.revision <= h.revision, h
		case fits:
			return true, after // there was no clear answer: if it never had its effect, it comes last
		}
		return true, h
	},
}

// history is what the operators saw, for the checker. A change that was acknowledged and is sent again is no operation:
// it has no effect, and must not be refused.
func (w *operatorSim) history(t *testing.T) (history []porcupine.Operation) {
	t.Helper()
	for i, o := range w.operations {
		switch {
		case o.again && o.finish >= 0 && o.result != Accepted:
			t.Errorf("%s was acknowledged, sent again at %v, and %v", o.identity, o.call, o.result)
			continue
		case o.again, o.revision == 0 && o.finish < 0:
			continue
		}
		last := o.finish
		if last < 0 {
			last = time.Hour
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.call), Output: o.result, Return: int64(last)})
	}
	return history
}

// TestOperatorsSeeOneHistory plays the operators' interface of several members with lost answers, resends that
// overtake each other, changes of the leader, cuts, frozen and restarted members, snapshots and a restore from a backup,
// and checks what operators were told. A resend is a part of its operation.
func TestOperatorsSeeOneHistory(t *testing.T) {
	counts, resends, restored, unknown, again := map[OperatorResult]int{}, 0, 0, 0, 0
	for i := range *simSeeds {
		seed := *simFirst + uint64(i)
		w := runOperators(seed, 30*time.Second)
		late := false
		for _, o := range w.operations {
			late = late || o.finish > 26*time.Second && o.result == Accepted
			if o.again && o.finish >= 0 {
				again++
			}
		}
		if !late {
			t.Errorf("seed %d: nothing was accepted after the troubles had ended", seed)
		}
		switch porcupine.CheckOperationsTimeout(orders, w.history(t), 20*time.Second) {
		case porcupine.Illegal:
			t.Errorf("seed %d: the history is not linearizable (go test ./internal/controlplane/server -run OneConfiguration -seed %d -seeds 1)", seed, seed)
		case porcupine.Unknown:
			unknown++
		}
		for result, n := range w.counts {
			counts[result] += n
		}
		resends += w.resends
		restored += w.restored
	}
	t.Logf("%v, %d changes sent again, %d that had been acknowledged, %d restores, %d not decided", counts, resends, again, restored, unknown)
	if *simSeeds < 10 {
		return
	}
	for _, result := range []OperatorResult{Unavailable, Redirected, Accepted, AlreadyAccepted, Stale, Invalid, Found} {
		if counts[result] < *simSeeds {
			t.Errorf("%v: %d in %d runs: hardly a test", result, counts[result], *simSeeds)
		}
	}
	if resends < *simSeeds || again < *simSeeds || restored == 0 || unknown > *simSeeds/10 {
		t.Errorf("%d sent again, %d again after their acknowledgement, %d restores, %d not decided: hardly a test", resends, again, restored, unknown)
	}
}

package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSearchOfStarts guards against a node that serves without the changes acknowledged before its start or, if its state is
// Unconfirmed, without those acknowledged more than 20 s ago.
func TestSearchOfStarts(t *testing.T) {
	const (
		end  = 2 * time.Minute
		poll = 100 * time.Millisecond
	)
	proofs := map[Proof]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0x57a7))
		changeInterval := time.Duration(100+rng.IntN(5000)) * time.Millisecond // time between two acknowledged changes
		acknowledged := func(at time.Duration) uint64 { return uint64(max(0, at) / changeInterval) }
		start := time.Duration(rng.Int64N(int64(time.Minute)))
		contactChance := []int{0, 1, 100, 1000}[rng.IntN(4)]                           // per 1,000 polls
		respondedAt := start + time.Duration(rng.IntN(60_000)-20_000)*time.Millisecond // never if before the start
		contact := time.Duration(rng.Int64N(int64(start + 1)))                         // the parent's last contact when the node subscribed
		readiness := Readiness{}
		for now := start; now < end; now += poll {
			if rng.IntN(1000) < contactChance {
				contact = now
			}
			if now >= respondedAt && respondedAt >= start && now-respondedAt < poll {
				readiness.Confirmed(acknowledged(now))
			}
			uptime, index := now-start, acknowledged(contact)
			proof := readiness.Check(uptime, now-contact, index)
			if proof == NoProof {
				continue
			}
			proofs[proof]++
			bound := acknowledged(start)
			if proof == Unconfirmed {
				bound = acknowledged(now - 20*time.Second)
			}
			if index < bound || proof == Unconfirmed && uptime < 6*time.Second {
				t.Fatalf("seed %d: %v after its start, a node serves at index %d, want at least %d (proof %q)", seed, uptime, index, bound, proof)
			}
			break
		}
	}
	if len(proofs) != 3 {
		t.Errorf("proofs seen: %v, want 3 kinds", proofs)
	}
	t.Logf("proofs seen: %v", proofs)
}

// simulatedParent is up initially, and goes down or up at each transition.
type simulatedParent struct{ transitions []time.Duration }

func (p simulatedParent) up(at time.Duration) bool {
	up := true
	for _, transition := range p.transitions {
		if transition > at {
			break
		}
		up = !up
	}
	return up
}

// downWithin reports whether the parent is down at any time between from and to.
func (p simulatedParent) downWithin(from, to time.Duration) bool {
	if !p.up(from) {
		return true
	}
	for _, transition := range p.transitions {
		if from < transition && transition <= to {
			return true
		}
	}
	return false
}

// TestSearchOfParentFailures generates parents that go down without closing their connections, and return. It guards against
// a node that tries a parent that is down more than once before it finds one that is up.
func TestSearchOfParentFailures(t *testing.T) {
	const (
		step = 50 * time.Millisecond
		end  = 5 * time.Minute
	)
	outages := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0xfa11))
		names := []string{"first", "second", "third", "fourth"}[:2+rng.IntN(3)]
		parents := map[string]simulatedParent{}
		for _, name := range names {
			var p simulatedParent
			for at := time.Duration(0); at < end; {
				at += time.Duration(rng.Int64N(int64(time.Minute)))
				p.transitions = append(p.transitions, at)
			}
			parents[name] = p
		}
		var selector Selector
		unresponsiveSince, disconnectedSince := time.Duration(-1), time.Duration(-1)
		parent := ""
		for now := time.Duration(0); now < end; now += step {
			if parent == "" {
				parent, _ = selector.Next(now, names)
				unresponsiveSince = -1
			}
			if parent != "" && parents[parent].up(now) {
				unresponsiveSince = -1
			} else if parent != "" && unresponsiveSince < 0 {
				unresponsiveSince = now
			}
			switch {
			case parent == "" || unresponsiveSince >= 0:
				if disconnectedSince < 0 {
					disconnectedSince = now
				}
			case disconnectedSince >= 0:
				outages++
				checkOutage(t, seed, parents, disconnectedSince, now)
				disconnectedSince = -1
			}
			switch {
			case unresponsiveSince >= 0 && now-unresponsiveSince >= FeedTimeout:
				selector.Ended(now, Failed)
				parent = ""
			case parent != "" && unresponsiveSince < 0 && selector.ShouldMove(now, names):
				selector.Ended(now, Renew)
				parent = ""
			}
		}
		if t.Failed() {
			return
		}
	}
	if outages < 1000 {
		t.Errorf("%d outages simulated, want at least 1000", outages)
	}
}

// checkOutage fails if a node had no live parent for longer than it takes to try each failed parent once.
func checkOutage(t *testing.T, seed uint64, parents map[string]simulatedParent, from, to time.Duration) {
	down := 0
	for _, p := range parents {
		if p.downWithin(from, to) {
			down++
		}
	}
	if down == len(parents) {
		return // possibly no parent was up
	}
	const slack = 200 * time.Millisecond // simulation steps, and the pause after a round
	if bound := time.Duration(down) * (FeedTimeout + slack); to-from > bound {
		t.Errorf("seed %d: from %v on, a node had no live parent for %v; %d of %d parents were down", seed, from, to-from, down, len(parents))
	}
}

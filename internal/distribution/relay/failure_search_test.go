package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSearchOfStarts draws the changes that a quorum acknowledges, the contacts by which a node's state follows them, and
// the moment of the node's start: when it may serve, it has all that was acknowledged before its start, or, behind a
// wait, all that was acknowledged longer ago than the bound of an unproven state's age.
func TestSearchOfStarts(t *testing.T) {
	const (
		end  = 2 * time.Minute
		poll = 100 * time.Millisecond
	)
	proofs := map[Proof]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0x57a7))
		change := time.Duration(100+rng.IntN(5000)) * time.Millisecond // one is acknowledged in each of these
		acknowledged := func(at time.Duration) uint64 { return uint64(max(0, at) / change) }
		start := time.Duration(rng.Int64N(int64(time.Minute)))
		contactChance := []int{0, 1, 100, 1000}[rng.IntN(4)]                          // in 1,000 polls
		answeredAt := start + time.Duration(rng.IntN(60_000)-20_000)*time.Millisecond // before the start: never
		contact := time.Duration(rng.Int64N(int64(start + 1)))                        // that the relay above it had when the node subscribed
		readiness := Readiness{}
		for now := start; now < end; now += poll {
			if rng.IntN(1000) < contactChance {
				contact = now
			}
			if now >= answeredAt && answeredAt >= start && now-answeredAt < poll {
				readiness.Confirmed(acknowledged(now))
			}
			up, index := now-start, acknowledged(contact)
			proof := readiness.Check(up, now-contact, index)
			if proof == NoProof {
				continue
			}
			proofs[proof]++
			bound := acknowledged(start)
			if proof == Unconfirmed {
				bound = acknowledged(now - 20*time.Second)
			}
			if index < bound || proof == Unconfirmed && up < 6*time.Second {
				t.Fatalf("seed %d: %v behind the start, a node serves with %d of %d changes (%s)", seed, up, index, bound, proof)
			}
			break
		}
	}
	if len(proofs) != 3 {
		t.Errorf("proofs: %v", proofs)
	}
	t.Logf("proofs: %v", proofs)
}

// drawnParent is up and down by turns.
type drawnParent struct{ changes []time.Duration }

func (p drawnParent) up(at time.Duration) bool {
	up := true
	for _, c := range p.changes {
		if c > at {
			break
		}
		up = !up
	}
	return up
}

// downWithin reports whether a parent is down at some moment of a span.
func (p drawnParent) downWithin(from, to time.Duration) bool {
	if !p.up(from) {
		return true
	}
	for _, c := range p.changes {
		if from < c && c <= to {
			return true
		}
	}
	return false
}

// TestSearchOfParentFailures draws parents that go down, silently, and come back: a node without a parent that is up tries
// each of those that are down once at most before it has found another one.
func TestSearchOfParentFailures(t *testing.T) {
	const (
		step = 50 * time.Millisecond
		end  = 5 * time.Minute
	)
	outages := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0xfa11))
		names := []string{"first", "second", "third", "fourth"}[:2+rng.IntN(3)]
		parents := map[string]drawnParent{}
		for _, name := range names {
			var p drawnParent
			for at := time.Duration(0); at < end; {
				at += time.Duration(rng.Int64N(int64(time.Minute)))
				p.changes = append(p.changes, at)
			}
			parents[name] = p
		}
		var selector Selector
		silentSince, alone := time.Duration(-1), time.Duration(-1)
		parent := ""
		for now := time.Duration(0); now < end; now += step {
			if parent == "" {
				parent, _ = selector.Next(now, names)
				silentSince = -1
			}
			if parent != "" && parents[parent].up(now) {
				silentSince = -1
			} else if parent != "" && silentSince < 0 {
				silentSince = now
			}
			switch {
			case parent == "" || silentSince >= 0:
				if alone < 0 {
					alone = now
				}
			case alone >= 0:
				outages++
				checkOutage(t, seed, parents, alone, now)
				alone = -1
			}
			switch {
			case silentSince >= 0 && now-silentSince >= FeedTimeout:
				selector.Ended(now, Failed)
				parent = ""
			case parent != "" && silentSince < 0 && selector.ShouldMove(now, names):
				selector.Ended(now, Renew)
				parent = ""
			}
		}
		if t.Failed() {
			return
		}
	}
	if outages < 1000 {
		t.Errorf("%d outages: hardly a search", outages)
	}
}

// checkOutage fails where a node was without a parent that is up for longer than it takes to try each of the others.
func checkOutage(t *testing.T, seed uint64, parents map[string]drawnParent, from, to time.Duration) {
	down := 0
	for _, p := range parents {
		if p.downWithin(from, to) {
			down++
		}
	}
	if down == len(parents) {
		return // there may have been none
	}
	const slack = 200 * time.Millisecond // steps of this simulation, and the pause behind a round
	if bound := time.Duration(down) * (FeedTimeout + slack); to-from > bound {
		t.Errorf("seed %d: from %v on, a node has no parent that is up for %v; %d of %d were down", seed, from, to-from, down, len(parents))
	}
}

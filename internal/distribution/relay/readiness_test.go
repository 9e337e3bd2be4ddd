package relay

import (
	"testing"
	"time"
)

// TestReadiness: a node that has just started serves by a state that is proven to be as new as its start, or after a wait by
// one of a bounded age. One that started while it was cut off, below a relay that is cut off as well, does not.
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		name    string
		latest  uint64 // by the leader's word; 0: not known
		up, age time.Duration
		index   uint64
		want    Proof
	}{
		{"the leader's index is reached", 7, time.Second, ageUnknown, 7, LeaderProof},
		{"it is not reached", 7, time.Second, 2 * time.Second, 6, NoProof},
		{"a contact since the start", 0, time.Second, 900 * time.Millisecond, 6, AgeProof},
		{"a contact at the start", 0, time.Second, time.Second, 6, NoProof},
		{"no proof, just started", 0, time.Second, 10 * time.Second, 6, NoProof},
		{"no proof for a while, a recent state", 0, unprovenWait, 10 * time.Second, 6, Unconfirmed},
		{"no proof for a while, an old state", 0, unprovenWait, maxUnprovenAge + time.Second, 6, NoProof},
		{"no proof for long, no state", 0, time.Hour, ageUnknown, 0, NoProof},
	} {
		var f Readiness
		if c.latest > 0 {
			f.Confirmed(c.latest)
		}
		if got := f.Check(c.up, c.age, c.index); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

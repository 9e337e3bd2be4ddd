package relay

import (
	"testing"
	"time"
)

// TestReadiness guards against a node that serves with an old state, for example if it starts below a relay that is
// partitioned from the quorum.
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		name        string
		latest      uint64 // reported by the leader, zero if unknown
		uptime, age time.Duration
		index       uint64
		want        Proof
	}{
		{"leader's index reached", 7, time.Second, ageUnknown, 7, LeaderProof},
		{"leader's index not reached", 7, time.Second, 2 * time.Second, 6, NoProof},
		{"contact since the start", 0, time.Second, 900 * time.Millisecond, 6, AgeProof},
		{"contact at the start", 0, time.Second, time.Second, 6, NoProof},
		{"no proof, just started", 0, time.Second, 10 * time.Second, 6, NoProof},
		{"no proof after unprovenWait, recent state", 0, unprovenWait, 10 * time.Second, 6, Unconfirmed},
		{"no proof after unprovenWait, old state", 0, unprovenWait, maxUnprovenAge + time.Second, 6, NoProof},
		{"no proof after an hour, no state", 0, time.Hour, ageUnknown, 0, NoProof},
	} {
		var readiness Readiness
		if c.latest > 0 {
			readiness.Confirmed(c.latest)
		}
		if got := readiness.Check(c.uptime, c.age, c.index); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

package relay

import "time"

const (
	// unprovenWait is the time after its start at which a node may serve with a state that is not proven to be as new as
	// the start.
	unprovenWait = 6 * time.Second
	// maxUnprovenAge is the maximum age of such a state. A change may take this long to apply on a node that is partitioned
	// from part of the control plane.
	maxUnprovenAge = 20 * time.Second
)

// Proof is the reason why a node that has just started may serve.
type Proof string

// Values of Proof.
const (
	NoProof     Proof = ""            // the node may not serve yet
	LeaderProof Proof = "leader"      // the state has reached the index reported by a leader that a quorum confirmed
	AgeProof    Proof = "contact"     // a quorum has confirmed the state since the start
	Unconfirmed Proof = "unconfirmed" // the state is at most maxUnprovenAge old, and unprovenWait has passed
)

// Readiness decides when a node that has just started may serve: its state must contain all changes acknowledged before the
// start. If that is not proven within unprovenWait, a state of at most maxUnprovenAge is accepted.
type Readiness struct {
	latest uint64 // index reported by the leader
	known  bool   // latest is set
}

// Confirmed records the latest index that the leader has reported after the start.
func (r *Readiness) Confirmed(latest uint64) { r.latest, r.known = latest, true }

// Check returns the proof that the node may serve, or NoProof. uptime is the time since the start. age is the age of the
// state, which must be read before index.
func (r *Readiness) Check(uptime, age time.Duration, index uint64) Proof {
	switch {
	case r.known && index >= r.latest:
		return LeaderProof
	case age < uptime:
		return AgeProof
	case uptime >= unprovenWait && age <= maxUnprovenAge:
		return Unconfirmed
	}
	return NoProof
}

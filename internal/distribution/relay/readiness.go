package relay

import "time"

const (
	// unprovenWait is the time after which a node starts by a state that is not proven to be as new as its start.
	unprovenWait = 6 * time.Second
	// maxUnprovenAge is the age that such a state may have: so long a change may take to be in force on a node that is cut
	// off from a part of the control plane, whoever serves.
	maxUnprovenAge = 20 * time.Second
)

// Proof says why a node that has just started may serve.
type Proof string

// The proofs.
const (
	NoProof     Proof = ""                // it may not yet
	LeaderProof Proof = "leader"          // the leader, confirmed by a quorum, has named an index that is reached
	AgeProof    Proof = "contact"         // a quorum has confirmed the state since the start
	Unconfirmed Proof = "recent, no more" // a relay's state of a bounded age, after a wait
)

// Readiness decides when a node that has just started may serve: once its state has all that was acknowledged before the
// start. Where that can't be proven in time, a state of a bounded age will do; an older one never does.
type Readiness struct {
	latest uint64
	known  bool
}

// Confirmed takes the latest index, as the leader has given it after the start.
func (f *Readiness) Confirmed(latest uint64) { f.latest, f.known = latest, true }

// Check returns the proof at a moment: up is the time since the start, age the age of the state, read before its index.
func (f *Readiness) Check(up, age time.Duration, index uint64) Proof {
	switch {
	case f.known && index >= f.latest:
		return LeaderProof
	case age < up:
		return AgeProof
	case up >= unprovenWait && age <= maxUnprovenAge:
		return Unconfirmed
	}
	return NoProof
}

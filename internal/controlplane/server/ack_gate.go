package server

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/raft"
)

// ackGate decides below how many voters nothing is acknowledged. At the first start of a system, the quorum has to grow to
// the wanted number: a loss before then would leave a change on members that can't elect a leader. Later one voter may be
// missing, between the removal of a replaced voter and the promotion of its replacement.
type ackGate struct {
	grown bool // the quorum had the wanted number of voters
}

// minVoters is that number, with so many voters in the newest membership.
func (g *ackGate) minVoters(set *nodefile.Settings, voters int) int {
	wanted := raft.WantedVoters(set.ToleratedLosses, len(set.Seeds))
	if !set.Bootstrap || voters >= wanted {
		g.grown = true
	}
	if !g.grown {
		return wanted
	}
	return raft.MinAckVoters(set.ToleratedLosses, len(set.Seeds))
}

package server

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/raft"
)

// ackGate determines the minimum number of voters for an acknowledgement. When a system is bootstrapped, the quorum
// must first reach the wanted size. Otherwise the loss of a voter could leave an acknowledged change with members that
// cannot elect a leader. Later one voter may be missing, between the removal of a replaced voter and the promotion of
// its replacement.
type ackGate struct {
	bootstrapped bool // the quorum has reached the wanted number of voters, or the system has run before
}

// minVoters returns the minimum number of voters for an acknowledgement. voters is the number in the newest membership.
func (g *ackGate) minVoters(settings *nodefile.Settings, voters int) int {
	wanted := raft.WantedVoters(settings.ToleratedLosses, len(settings.Seeds))
	if !settings.Bootstrap || voters >= wanted {
		g.bootstrapped = true
	}
	if !g.bootstrapped {
		return wanted
	}
	return raft.MinAckVoters(settings.ToleratedLosses, len(settings.Seeds))
}

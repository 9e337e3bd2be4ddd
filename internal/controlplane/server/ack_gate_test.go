package server

import (
	"testing"

	"ivydeck/internal/config/nodefile"
)

// TestAckWaitsForMinVoters checks that the gate requires all wanted voters until the quorum has reached that size, and
// one fewer afterwards. A process that joins an existing system starts with the lower number.
func TestAckWaitsForMinVoters(t *testing.T) {
	settings := &nodefile.Settings{ToleratedLosses: 1, Seeds: []string{"a", "b", "c"}, Bootstrap: true}
	var gate ackGate
	for _, step := range []struct{ voters, want int }{{1, 3}, {2, 3}, {3, 2}, {2, 2}, {1, 2}} {
		if got := gate.minVoters(settings, step.voters); got != step.want {
			t.Errorf("minVoters with %d voters = %d, want %d", step.voters, got, step.want)
		}
	}
	restarted := *settings
	restarted.Bootstrap = false
	if got := new(ackGate).minVoters(&restarted, 2); got != 2 {
		t.Errorf("minVoters in an existing system = %d, want 2", got)
	}
}

package server

import (
	"testing"

	"ivydeck/internal/config/nodefile"
)

// TestAckWaitsForMinVoters: at the first start for as many voters as are wanted, later for one fewer, as
// during a replacement; a process that starts in a system that has run before need not have seen them.
func TestAckWaitsForMinVoters(t *testing.T) {
	set := &nodefile.Settings{ToleratedLosses: 1, Seeds: []string{"a", "b", "c"}, Bootstrap: true}
	var gate ackGate
	for _, step := range []struct{ voters, want int }{{1, 3}, {2, 3}, {3, 2}, {2, 2}, {1, 2}} {
		if got := gate.minVoters(set, step.voters); got != step.want {
			t.Errorf("with %d voters %d are asked for, want %d", step.voters, got, step.want)
		}
	}
	later := *set
	later.Bootstrap = false
	if got := new(ackGate).minVoters(&later, 2); got != 2 {
		t.Errorf("in a system that has run before %d are asked for, want 2", got)
	}
}

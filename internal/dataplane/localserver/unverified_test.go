package localserver

import (
	"fmt"
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestUnverified guards against a server that is served although its departure is recorded, or that stays away although none is.
func TestUnverified(t *testing.T) {
	for _, c := range []struct {
		name       string
		registered bool
		heartbeats []Heartbeat
		phase      wire.Departure_Phase
		verdict    Verdict
		draining   bool
	}{
		{"registered", true, nil, wire.Departure_NONE, Adoptable, false},
		{"registered, draining", true, nil, wire.Departure_DRAINING, Dropped, false},
		{"registered, deregistered", true, nil, wire.Departure_DEREGISTERED, Departed, false},
		{"heartbeat", false, []Heartbeat{{Seq: 3}}, wire.Departure_NONE, HeartbeatOK, false},
		{"registered, then a heartbeat", true, []Heartbeat{{Seq: 3}}, wire.Departure_NONE, HeartbeatOK, false},
		{"late heartbeat, draining", true, []Heartbeat{{Seq: 3}}, wire.Departure_DRAINING, HeartbeatOK, true},
		{"late heartbeat, deregistered", true, []Heartbeat{{Seq: 3}}, wire.Departure_DEREGISTERED, Departed, false},
		{"draining, then a late heartbeat", false, []Heartbeat{{Seq: 4, Draining: true}, {Seq: 3}}, wire.Departure_NONE, HeartbeatOK, true},
		{"nothing held", false, nil, wire.Departure_NONE, Dropped, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u Unverified
			if c.registered {
				u.HoldRegistered(Heartbeat{ID: "i"})
			}
			highest := uint64(0)
			for _, heartbeat := range c.heartbeats {
				heartbeat.ID = "i"
				highest = max(highest, heartbeat.Seq)
				if !u.HoldHeartbeat(heartbeat) || u.HoldRegistered(Heartbeat{ID: "i"}) {
					t.Fatal("a heartbeat was not held, or the registered state replaced it")
				}
			}
			heartbeat, verdict := u.Release("i", c.phase)
			if verdict != c.verdict || heartbeat.Draining != c.draining || heartbeat.Seq != highest || len(u.IDs()) != 0 {
				t.Errorf("verdict %v on heartbeat %+v, want %v, draining %v, call_seq %d", verdict, heartbeat, c.verdict, c.draining, highest)
			}
		})
	}
}

// TestUnverifiedBound guards against servers held without a bound, and against a registered one that stays after its removal.
func TestUnverifiedBound(t *testing.T) {
	var u Unverified
	for i := range maxUnverified {
		u.HoldRegistered(Heartbeat{ID: fmt.Sprint("i-", i)})
	}
	if u.HoldHeartbeat(Heartbeat{ID: "other"}) || !u.HoldHeartbeat(Heartbeat{ID: "i-0"}) {
		t.Error("a server beyond the bound was held, or a heartbeat of a held one was not")
	}
	u.DropRegistered("i-0")
	u.DropRegistered("i-1")
	u.Drop("i-2")
	if got := len(u.IDs()); got != maxUnverified-2 || u.IDs()[0] != "i-0" {
		t.Errorf("%d servers are held, %v first; want %d, and i-0, which has sent a heartbeat", got, u.IDs()[0], maxUnverified-2)
	}
}

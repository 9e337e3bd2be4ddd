package departure

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

func voters(ids ...uint64) (peers []*wire.Peer) {
	for _, id := range ids {
		peers = append(peers, &wire.Peer{Id: id, Address: fmt.Sprint(id), Voter: true})
	}
	return append(peers, &wire.Peer{Id: 99, Address: "learner"})
}

// TestRound guards against an acknowledgement without a majority in the membership in force, which may be newer than that of
// the member that gathers the responses.
func TestRound(t *testing.T) {
	type response struct {
		id     uint64
		ok     bool
		voters []*wire.Peer
	}
	for _, c := range []struct {
		name      string
		responses []response
		complete  bool
		asked     int // number of voters asked in all
	}{
		{"no response", nil, false, 3},
		{"one of three", []response{{1, true, voters(1, 2, 3)}}, false, 3},
		{"two of three", []response{{1, true, voters(1, 2, 3)}, {3, true, voters(1, 2, 3)}}, true, 3},
		{"the same one twice", []response{{1, true, voters(1, 2, 3)}, {1, true, voters(1, 2, 3)}}, false, 3},
		{"a refusal", []response{{1, true, voters(1, 2, 3)}, {3, false, voters(1, 2, 3)}}, false, 3},
		{"a learner", []response{{1, true, voters(1, 2, 3)}, {99, true, voters(1, 2, 3)}}, false, 3},
		{"half of a newer membership", []response{{1, true, voters(1, 2, 3)}, {3, true, voters(3, 4)}}, false, 4},
		{"a majority of both", []response{{1, true, voters(1, 2, 3)}, {3, true, voters(3, 4)}, {4, true, voters(3, 4)}}, true, 4},
		{"no voters", []response{{1, true, nil}, {2, true, nil}, {3, true, nil}}, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			round := NewRound(voters(1, 2, 3))
			asked := len(round.Next())
			for _, r := range c.responses {
				round.Add(r.id, &wire.DepartureResponse{Ok: r.ok, Voters: r.voters})
				asked += len(round.Next())
			}
			if round.Complete() != c.complete || asked != c.asked {
				t.Errorf("complete %v after %d voters were asked, want %v after %d", round.Complete(), asked, c.complete, c.asked)
			}
		})
	}
}

// fakeConsensus is a Consensus whose proposals are never committed.
type fakeConsensus struct {
	membershipUncommitted bool
	leader                bool
	proposals             int
}

func (c *fakeConsensus) ID() uint64                { return 1 }
func (c *fakeConsensus) IsLeader() bool            { return c.leader }
func (c *fakeConsensus) Leader() uint64            { return 2 }
func (c *fakeConsensus) Term() uint64              { return 3 }
func (c *fakeConsensus) Peers() []*wire.Peer       { return voters(1, 2, 3) }
func (c *fakeConsensus) MembershipCommitted() bool { return !c.membershipUncommitted }
func (c *fakeConsensus) Propose(time.Duration, []byte) (index, term uint64, err error) {
	c.proposals++
	return 0, 0, nil
}

func none(string) wire.Departure_Phase { return wire.Departure_NONE }

func record(target uint64, members ...string) *wire.DepartureRequest {
	request := &wire.DepartureRequest{Target: target}
	for _, member := range members {
		request.Record = append(request.Record, &wire.Departure{Member: member, Phase: wire.Departure_DRAINING})
	}
	return request
}

// TestRecorderRefuses guards against acknowledgements by a member that has lost the disk under its earlier identity, that keeps
// too many departures, or that may lack departures of an earlier membership.
func TestRecorderRefuses(t *testing.T) {
	consensus := &fakeConsensus{}
	r := NewRecorder(consensus, none, nil, nil)
	if r.Accept(0, record(7, "i")) || r.Unsaved() != nil {
		t.Error("a request to another identity was accepted")
	}
	for i := range maxPending {
		if !r.Accept(0, record(1, fmt.Sprint("i-", i))) {
			t.Fatalf("departure %d was refused", i)
		}
	}
	if r.Accept(0, record(1, "one too many")) || !r.Accept(0, record(1, "i-0")) {
		t.Error("with the maximum of pending departures: a new one was accepted, or a known one refused")
	}
	lookup := &wire.DepartureRequest{Target: 1, Lookup: []string{"i-0", "other"}}
	if response := r.Response(lookup); !response.Ok || len(response.Found) != 1 {
		t.Errorf("response to a lookup: %v, want one departure", response)
	}
	consensus.membershipUncommitted = true
	if r.Response(lookup).Ok || !r.Response(record(1, "i-0")).Ok {
		t.Error("while a membership is not committed, lookups are answered, or departures are not recorded")
	}
}

// TestRecorderOffers guards against departures that never reach the log, and against a proposal for each step of the driver.
func TestRecorderOffers(t *testing.T) {
	consensus := &fakeConsensus{}
	r := NewRecorder(consensus, none, nil, nil)
	r.Accept(time.Second, record(1, "i"))
	if r.Offer(time.Second) != nil || len(r.Offer(time.Second+retryInterval)) != 1 || r.Offer(time.Second+retryInterval+1) != nil {
		t.Error("a follower does not forward pending departures once after each retryInterval")
	}
	consensus.leader = true
	for range 3 {
		r.Offer(3 * time.Second)
	}
	r.Accept(3*time.Second, record(1, "i", "j"))
	r.Offer(3 * time.Second)
	if consensus.proposals != 2 {
		t.Errorf("%d proposals for two departures, want one each", consensus.proposals)
	}
	if r.Offer(3*time.Second + retryInterval); consensus.proposals != 3 {
		t.Errorf("%d proposals after retryInterval, want one more", consensus.proposals)
	}
}

// TestRecorderSavesDeparturesOfLog guards against an acknowledgement of a departure that is only in an entry of the log, which
// another leader may replace.
func TestRecorderSavesDeparturesOfLog(t *testing.T) {
	data, err := proto.Marshal(&wire.Command{Change: &wire.Command_Departures{Departures: &wire.Departures{Departures: record(1, "i").Record}}})
	if err != nil {
		t.Fatal(err)
	}
	entry := &wire.Entry{Kind: wire.Entry_COMMAND, Data: data}
	r := NewRecorder(&fakeConsensus{}, none, nil, []*wire.Entry{entry})
	if unsaved := r.Unsaved(); !r.Accept(0, record(1, "i")) || len(unsaved.GetDepartures()) != 1 {
		t.Errorf("departures to save at the start are %v, want that of the log", unsaved)
	}
	saved := NewRecorder(&fakeConsensus{}, none, record(1, "i").Record, []*wire.Entry{entry})
	applied := NewRecorder(&fakeConsensus{}, func(string) wire.Departure_Phase { return wire.Departure_DEREGISTERED }, nil, []*wire.Entry{entry})
	if saved.Unsaved() != nil || len(applied.Unsaved().GetDepartures()) != 0 {
		t.Error("departures that are on disk or applied are to be saved at the start")
	}
}

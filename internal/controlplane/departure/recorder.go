package departure

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const (
	// retryInterval is the time after which departures that are not in the log are proposed or forwarded again.
	retryInterval = 250 * time.Millisecond
	// maxPending bounds the departures that are not in the log yet. Further ones are not acknowledged.
	maxPending = 4096
)

// Consensus is the part of raft.Node that a Recorder uses.
type Consensus interface {
	ID() uint64
	IsLeader() bool
	Leader() uint64 // 0 if unknown
	Term() uint64
	Peers() []*wire.Peer // the newest membership
	MembershipCommitted() bool
	Propose(now time.Duration, data []byte) (index, term uint64, err error)
}

// Recorder records the departures at one quorum member: on its disk at once, and in the log as soon as there is a leader. Its
// driver calls Accept for a request, writes Unsaved to disk and calls Saved before it sends Response, and calls Offer after
// each event and Applied after each applied entry or snapshot.
type Recorder struct {
	consensus Consensus
	applied   func(member string) wire.Departure_Phase // departures in the replicated state

	pending Set  // on disk or about to be, and not in the replicated state
	unsaved bool // pending contains departures that are not on disk

	offered     Set // proposed since offeredAt in offeredTerm
	offeredAt   time.Duration
	offeredTerm uint64
}

// NewRecorder returns a recorder with the departures that are on the member's disk: those of the last Unsaved, and those in the
// log's entries. An earlier process may have dropped a departure from the former once it had applied the entry; this one learns
// only later that the entry is committed. Entries that are not may be replaced, so their departures are to be saved as well.
// applied returns the phase of a server's departure in the replicated state.
func NewRecorder(consensus Consensus, applied func(member string) wire.Departure_Phase, stored []*wire.Departure, entries []*wire.Entry) *Recorder {
	r := &Recorder{consensus: consensus, applied: applied, pending: *NewSet(stored)}
	for _, entry := range entries {
		for _, d := range departuresIn(entry) {
			r.unsaved = r.pending.Add(d) || r.unsaved
		}
	}
	r.Applied()
	return r
}

// departuresIn returns the departures that an entry of the log records.
func departuresIn(entry *wire.Entry) []*wire.Departure {
	command := new(wire.Command)
	if entry.Kind != wire.Entry_COMMAND || proto.Unmarshal(entry.Data, command) != nil {
		return nil // an entry that cannot be decoded is applied by no member
	}
	return command.GetDepartures().GetDepartures()
}

// Accept adds the departures of a request to those to be saved. It returns false, and the request must not be acknowledged, if
// it is for a member that had another disk at this address, or if too many departures are pending.
func (r *Recorder) Accept(now time.Duration, request *wire.DepartureRequest) bool {
	if request.Target != r.consensus.ID() {
		return false
	}
	for _, d := range request.Record {
		switch {
		case d.GetMember() == "" || r.applied(d.Member) >= d.Phase:
		case r.pending.Len() >= maxPending && r.pending.Phase(d.Member) == wire.Departure_NONE:
			return false
		default:
			if r.pending.Len() == 0 {
				r.offeredAt = now
			}
			r.unsaved = r.pending.Add(d) || r.unsaved
		}
	}
	return true
}

// Unsaved returns the departures to write to disk, in place of those written before, or nil if there are no new ones.
func (r *Recorder) Unsaved() *wire.Departures {
	if !r.unsaved {
		return nil
	}
	return &wire.Departures{Departures: r.pending.All()}
}

// Saved reports that the result of Unsaved is on disk.
func (r *Recorder) Saved() { r.unsaved = false }

// Response returns the response to a request that was accepted. What it finds is complete if the newest membership is
// committed: departures that only voters of earlier memberships recorded are in the log before it, and applied here.
func (r *Recorder) Response(request *wire.DepartureRequest) *wire.DepartureResponse {
	response := &wire.DepartureResponse{Ok: len(request.Lookup) == 0 || r.consensus.MembershipCommitted()}
	for _, p := range r.consensus.Peers() {
		if p.Voter {
			response.Voters = append(response.Voters, p)
		}
	}
	for _, member := range request.Lookup {
		if phase := max(r.applied(member), r.pending.Phase(member)); phase != wire.Departure_NONE {
			response.Found = append(response.Found, &wire.Departure{Member: member, Phase: phase})
		}
	}
	return response
}

// Offer brings the pending departures into the log. The leader proposes them. Another member leaves that to the leader, which
// receives each request as well, and returns the departures to forward to it if they are still pending after retryInterval.
func (r *Recorder) Offer(now time.Duration) (forward []*wire.Departure) {
	if r.pending.Len() == 0 {
		return nil
	}
	due := now-r.offeredAt >= retryInterval
	if !r.consensus.IsLeader() {
		if !due || r.consensus.Leader() == 0 {
			return nil
		}
		r.offeredAt = now
		return r.pending.All()
	}
	if term := r.consensus.Term(); due || term != r.offeredTerm {
		r.offered, r.offeredAt, r.offeredTerm = Set{}, now, term
	}
	r.propose(now)
	return nil
}

// propose proposes the pending departures that were not offered yet.
func (r *Recorder) propose(now time.Duration) {
	var fresh []*wire.Departure
	for _, d := range r.pending.departures {
		if !r.offered.Contains(d) {
			fresh = append(fresh, d)
		}
	}
	if len(fresh) == 0 {
		return
	}
	data, err := proto.Marshal(&wire.Command{Change: &wire.Command_Departures{Departures: &wire.Departures{Departures: fresh}}})
	if err != nil {
		return // unreachable: this command always marshals
	}
	if _, _, err := r.consensus.Propose(now, data); err != nil {
		return // the next call proposes it again
	}
	for _, d := range fresh {
		r.offered.Add(d)
	}
}

// Applied drops the pending departures that are in the replicated state.
func (r *Recorder) Applied() {
	if r.pending.Len() > 0 {
		r.pending.Filter(func(d *wire.Departure) bool { return r.applied(d.Member) < d.Phase })
	}
}

package server

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/transport/wire"
)

// Errors of a request to the log. None of them says that a command was not applied, but for those that wrap errNotRun.
var (
	errNotRun        = errors.New("not run")
	errEntryReplaced = fmt.Errorf("%w: another entry took its place in the log", errNotRun)
	errTooFewVoters  = fmt.Errorf("%w: the quorum has too few voters yet", errNotRun)
	errNoLeader      = fmt.Errorf("%w: no leader", errNotRun)
	errLateRequest   = fmt.Errorf("%w: it waited too long for its turn", errNotRun)
	errTooMany       = fmt.Errorf("%w: too many requests wait", errNotRun)
	errTimeout       = errors.New("no quorum in time")
	errLostLead      = errors.New("the lead was lost before the outcome was known")
)

// notLeaderError says who leads instead.
type notLeaderError struct{ leader *wire.Peer }

func (e *notLeaderError) Error() string { return "the leader is at " + e.leader.GetControlAddress() }
func (e *notLeaderError) Unwrap() error { return errNotRun }

const (
	maxRequests = 4096
	// electionWait is how long a member hears no leader before it answers that there is none. An election takes
	// less, so who has been without one for longer is likely cut off, and its callers do better elsewhere.
	electionWait = 1500 * time.Millisecond
)

// request is a command or a read that waits for the log.
type request struct {
	command  []byte        // nil: a read
	deadline time.Duration // of the member's clock
	// patient: it waits for a leader to be known where there is none, and a command may be proposed more than once. Only
	// for commands that the state recognises when they are applied a second time.
	patient bool
	done    func(outcome) // called once, by the owner of the queue

	sequence uint64
	arrived  time.Duration
	index    uint64 // of its entry, while proposed
	term     uint64
}

// outcome is what came of a request. With no error, a command was committed and applied without objection, and a read
// may look at the state now.
type outcome struct {
	err       error
	unchanged bool // the command had been applied before, or said nothing new
}

// requestQueue holds the requests that wait for a leader, for the log, or for a quorum to confirm the lead. It is a pure
// state machine: its owner, who also owns the consensus, calls tick with the time, and passes on what is applied and
// which reads are confirmed.
type requestQueue struct {
	consensus *raft.Node
	minVoters func() int // voters below which nothing is acknowledged

	waiting      []*request          // by sequence
	proposed     map[uint64]*request // by index
	reads        map[uint64]*request // by sequence, which is the read's token
	sequence     uint64
	leaderSeenAt time.Duration // when the leader was last known to have been heard
	nextDeadline time.Duration // no deadline is before; 0: nothing waits
}

func newRequestQueue(consensus *raft.Node, minVoters func() int, now time.Duration) *requestQueue {
	return &requestQueue{consensus: consensus, minVoters: minVoters, proposed: map[uint64]*request{}, reads: map[uint64]*request{}, leaderSeenAt: now}
}

// len is the number of requests that have no outcome yet.
func (q *requestQueue) len() int { return len(q.waiting) + len(q.proposed) + len(q.reads) }

// submit takes a request in.
func (q *requestQueue) submit(now time.Duration, r *request) {
	q.sequence++
	r.sequence, r.arrived = q.sequence, now
	switch {
	case now >= r.deadline:
		r.done(outcome{err: errLateRequest})
		return
	case q.len() >= maxRequests:
		r.done(outcome{err: errTooMany})
		return
	}
	if q.nextDeadline == 0 || r.deadline < q.nextDeadline {
		q.nextDeadline = r.deadline
	}
	q.observeLeader(now)
	q.place(now, r)
}

// place gives a request to the log, answers it, or lets it wait.
func (q *requestQueue) place(now time.Duration, r *request) {
	err := q.propose(now, r)
	var elsewhere *notLeaderError
	switch {
	case err == nil:
	case r.patient && !errors.As(err, &elsewhere) && now-q.leaderSeenAt < electionWait:
		q.waiting = append(q.waiting, r)
	default:
		r.done(outcome{err: err})
	}
}

// propose gives a request to the log, if this member leads.
func (q *requestQueue) propose(now time.Duration, r *request) error {
	if !q.consensus.IsLeader() {
		if leader := q.leaderHeardSince(r.arrived); leader != nil {
			return &notLeaderError{leader}
		}
		return errNoLeader
	}
	if r.command == nil {
		q.reads[r.sequence] = r
		q.consensus.ReadIndex(now, r.sequence)
		return nil
	}
	if raft.Voters(q.consensus.Peers()) < q.minVoters() {
		return errTooFewVoters
	}
	index, term, err := q.consensus.Propose(now, r.command)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.index, r.term = index, term
	q.proposed[index] = r
	return nil
}

// leaderHeardSince is the leader, if it was heard at that time or later; nil: it was not. A request waits for the next
// sign of life of the leader before its sender is sent there: one that was heard before may have died since, and the
// sender would wait for it in vain, for a second where it has lost its power.
func (q *requestQueue) leaderHeardSince(at time.Duration) *wire.Peer {
	id := q.consensus.LeaderContactedSince(at)
	i := slices.IndexFunc(q.consensus.Peers(), func(p *wire.Peer) bool { return p.Id == id })
	if id == 0 || i < 0 {
		return nil
	}
	return q.consensus.Peers()[i]
}

func (q *requestQueue) observeLeader(now time.Duration) {
	if q.consensus.LeaderContactedSince(q.leaderSeenAt+1) != 0 {
		q.leaderSeenAt = now
	}
}

// tick takes the time, and whatever the consensus has learnt since the last call.
func (q *requestQueue) tick(now time.Duration) {
	q.observeLeader(now)
	if q.len() == 0 {
		return
	}
	if !q.consensus.IsLeader() {
		q.loseLead()
	}
	if now >= q.nextDeadline {
		q.expire(now)
	}
	waiting := q.waiting
	q.waiting = nil
	for _, r := range waiting {
		q.place(now, r)
	}
}

// loseLead takes back what waits for the log. What has been proposed may still be committed, also by another leader: a
// patient request is sent there, or proposed again here.
func (q *requestQueue) loseLead() {
	for _, index := range slices.Sorted(maps.Keys(q.proposed)) {
		r := q.proposed[index]
		delete(q.proposed, index)
		q.takeBack(r, errLostLead)
	}
	for _, token := range slices.Sorted(maps.Keys(q.reads)) {
		r := q.reads[token]
		delete(q.reads, token)
		q.takeBack(r, errLostLead)
	}
}

func (q *requestQueue) takeBack(r *request, err error) {
	if !r.patient {
		r.done(outcome{err: err})
		return
	}
	q.waiting = append(q.waiting, r)
}

// expire answers the requests whose deadline has passed.
func (q *requestQueue) expire(now time.Duration) {
	var late []*request
	q.nextDeadline = 0
	keep := func(r *request) bool {
		if now >= r.deadline {
			late = append(late, r)
			return false
		}
		if q.nextDeadline == 0 || r.deadline < q.nextDeadline {
			q.nextDeadline = r.deadline
		}
		return true
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(r *request) bool { return !keep(r) })
	maps.DeleteFunc(q.proposed, func(_ uint64, r *request) bool { return !keep(r) })
	maps.DeleteFunc(q.reads, func(_ uint64, r *request) bool { return !keep(r) })
	slices.SortFunc(late, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, r := range late {
		r.done(outcome{err: errTimeout})
	}
}

// applied passes on the verdict on an entry that has been applied.
func (q *requestQueue) applied(e *wire.Entry, changed bool, verdict error) {
	r := q.proposed[e.Index]
	if r == nil {
		return
	}
	delete(q.proposed, e.Index)
	switch {
	case r.term != e.Term:
		q.takeBack(r, errEntryReplaced)
	default:
		r.done(outcome{err: verdict, unchanged: !changed})
	}
}

// confirmed passes on what came of a read. One that was refused while this member leads came before the leader's first
// entry was committed, and is asked again.
func (q *requestQueue) confirmed(read raft.ReadState) {
	r := q.reads[read.Token]
	if r == nil {
		return
	}
	delete(q.reads, read.Token)
	if read.OK {
		r.done(outcome{})
		return
	}
	q.takeBack(r, errLostLead)
}

// next is when the queue wants a tick; ok is false where nothing waits.
func (q *requestQueue) next() (at time.Duration, ok bool) { return q.nextDeadline, q.len() > 0 }

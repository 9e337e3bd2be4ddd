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

// The errors of a request to the log. Only those that wrap errNotProposed say that a command was not and will not be
// applied.
var (
	errNotProposed    = errors.New("not proposed")
	errEntryReplaced  = fmt.Errorf("%w: another entry has replaced it in the log", errNotProposed)
	errTooFewVoters   = fmt.Errorf("%w: the quorum has too few voters yet", errNotProposed)
	errNoLeader       = fmt.Errorf("%w: no leader", errNotProposed)
	errQueueTimeout   = fmt.Errorf("%w: it was queued for too long", errNotProposed)
	errOverloaded     = fmt.Errorf("%w: too many requests are queued", errNotProposed)
	errTimeout        = errors.New("no quorum in time")
	errLeadershipLost = errors.New("leadership was lost before the outcome was known")
)

// notLeaderError names the leader, where another member is.
type notLeaderError struct{ leader *wire.Peer }

func (e *notLeaderError) Error() string { return "the leader is at " + e.leader.GetControlAddress() }
func (e *notLeaderError) Unwrap() error { return errNotProposed }

const (
	// maxRequests bounds the requests without an outcome.
	maxRequests = 4096
	// maxLeaderless is how long requests are queued without contact to a leader before they are answered that there is
	// none. An election takes less, so a member without a leader for longer is likely partitioned, and its callers do
	// better elsewhere.
	maxLeaderless = 1500 * time.Millisecond
)

// request is a command or a read that waits for the log.
type request struct {
	command  []byte        // nil: a read
	deadline time.Duration // of the member's clock
	// retryable requests are queued while no leader is known, and their command may be proposed more than once. Only for
	// commands that the state recognises when they are applied a second time.
	retryable bool
	done      func(outcome) // called once, by the owner of the queue

	sequence uint64
	arrived  time.Duration
	index    uint64 // of its entry, while proposed
	term     uint64
}

// outcome is the outcome of a request. Without an error, a command was committed and applied, and a read may read the
// state now.
type outcome struct {
	err       error
	unchanged bool // the command had been applied before, or changed nothing
}

// requestQueue has the requests that wait for a leader, for their entry to be applied, or for a quorum to confirm the
// leadership. It is a pure state machine: its owner, which also owns the consensus, calls tick with the time, and passes
// in which entries are applied and which reads are confirmed.
type requestQueue struct {
	consensus *raft.Node
	minVoters func() int // voters below which nothing is acknowledged

	queued           []*request          // by sequence
	proposed         map[uint64]*request // by index
	reads            map[uint64]*request // by sequence, which is the read's token
	sequence         uint64
	leaderObservedAt time.Duration // last contact with a leader
	nextDeadline     time.Duration // no deadline is before; 0: nothing waits
}

func newRequestQueue(consensus *raft.Node, minVoters func() int, now time.Duration) *requestQueue {
	return &requestQueue{consensus: consensus, minVoters: minVoters, proposed: map[uint64]*request{}, reads: map[uint64]*request{}, leaderObservedAt: now}
}

// len is the number of requests that have no outcome yet.
func (q *requestQueue) len() int { return len(q.queued) + len(q.proposed) + len(q.reads) }

// submit takes a request, which has its outcome by its deadline.
func (q *requestQueue) submit(now time.Duration, r *request) {
	q.sequence++
	r.sequence, r.arrived = q.sequence, now
	switch {
	case now >= r.deadline:
		r.done(outcome{err: errQueueTimeout})
		return
	case q.len() >= maxRequests:
		r.done(outcome{err: errOverloaded})
		return
	}
	if q.nextDeadline == 0 || r.deadline < q.nextDeadline {
		q.nextDeadline = r.deadline
	}
	q.observeLeader(now)
	q.dispatch(now, r)
}

// dispatch proposes a request, answers it, or queues it.
func (q *requestQueue) dispatch(now time.Duration, r *request) {
	err := q.propose(now, r)
	var notLeader *notLeaderError
	switch {
	case err == nil:
	case r.retryable && !errors.As(err, &notLeader) && now-q.leaderObservedAt < maxLeaderless:
		q.queued = append(q.queued, r)
	default:
		r.done(outcome{err: err})
	}
}

// propose passes a request to the consensus, if this member leads.
func (q *requestQueue) propose(now time.Duration, r *request) error {
	if !q.consensus.IsLeader() {
		if leader := q.leaderContactedSince(r.arrived); leader != nil {
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
		return fmt.Errorf("%w: %w", errNotProposed, err)
	}
	r.index, r.term = index, term
	q.proposed[index] = r
	return nil
}

// leaderContactedSince returns the leader if a message of it has come at that time or later; nil: none has. A request
// waits for the leader's next message before its sender is redirected: a leader that was in contact before may have
// crashed since, and the sender would wait for it in vain, for a second if it has lost its power.
func (q *requestQueue) leaderContactedSince(at time.Duration) *wire.Peer {
	id := q.consensus.LeaderContactedSince(at)
	i := slices.IndexFunc(q.consensus.Peers(), func(p *wire.Peer) bool { return p.Id == id })
	if id == 0 || i < 0 {
		return nil
	}
	return q.consensus.Peers()[i]
}

func (q *requestQueue) observeLeader(now time.Duration) {
	if q.consensus.LeaderContactedSince(q.leaderObservedAt+1) != 0 {
		q.leaderObservedAt = now
	}
}

// tick takes the time, and what has changed in the consensus since the last call.
func (q *requestQueue) tick(now time.Duration) {
	q.observeLeader(now)
	if q.len() == 0 {
		return
	}
	if !q.consensus.IsLeader() {
		q.abandonLeadership()
	}
	if now >= q.nextDeadline {
		q.expire(now)
	}
	queued := q.queued
	q.queued = nil
	for _, r := range queued {
		q.dispatch(now, r)
	}
}

// abandonLeadership ends the wait for entries and reads of this member's leadership. What was proposed may still be
// committed, also by another leader: a retryable request is redirected there, or proposed again here.
func (q *requestQueue) abandonLeadership() {
	for _, index := range slices.Sorted(maps.Keys(q.proposed)) {
		r := q.proposed[index]
		delete(q.proposed, index)
		q.requeueOrFail(r, errLeadershipLost)
	}
	for _, token := range slices.Sorted(maps.Keys(q.reads)) {
		r := q.reads[token]
		delete(q.reads, token)
		q.requeueOrFail(r, errLeadershipLost)
	}
}

// requeueOrFail queues a retryable request again, and ends any other with an error.
func (q *requestQueue) requeueOrFail(r *request, err error) {
	if !r.retryable {
		r.done(outcome{err: err})
		return
	}
	q.queued = append(q.queued, r)
}

// expire ends the requests whose deadline has passed.
func (q *requestQueue) expire(now time.Duration) {
	var expired []*request
	q.nextDeadline = 0
	keep := func(r *request) bool {
		if now >= r.deadline {
			expired = append(expired, r)
			return false
		}
		if q.nextDeadline == 0 || r.deadline < q.nextDeadline {
			q.nextDeadline = r.deadline
		}
		return true
	}
	q.queued = slices.DeleteFunc(q.queued, func(r *request) bool { return !keep(r) })
	maps.DeleteFunc(q.proposed, func(_ uint64, r *request) bool { return !keep(r) })
	maps.DeleteFunc(q.reads, func(_ uint64, r *request) bool { return !keep(r) })
	slices.SortFunc(expired, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, r := range expired {
		r.done(outcome{err: errTimeout})
	}
}

// applied ends the request whose entry has been applied, unless another entry is in its place.
func (q *requestQueue) applied(e *wire.Entry, changed bool, verdict error) {
	r := q.proposed[e.Index]
	if r == nil {
		return
	}
	delete(q.proposed, e.Index)
	switch {
	case r.term != e.Term:
		q.requeueOrFail(r, errEntryReplaced)
	default:
		r.done(outcome{err: verdict, unchanged: !changed})
	}
}

// confirmed takes the outcome of a read. One that was rejected although this member leads came before the leader's first
// entry was committed, and is tried again.
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
	q.requeueOrFail(r, errLeadershipLost)
}

// next is the time at which the queue wants a tick; ok is false if nothing waits.
func (q *requestQueue) next() (at time.Duration, ok bool) { return q.nextDeadline, q.len() > 0 }

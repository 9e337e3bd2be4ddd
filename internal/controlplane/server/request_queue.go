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

// Errors of requests. Only an error that wraps errNotProposed guarantees that the command was not and will not be
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

// notLeaderError is the error of a request to a member that doesn't lead, with the leader.
type notLeaderError struct{ leader *wire.Peer }

func (e *notLeaderError) Error() string { return "the leader is at " + e.leader.GetControlAddress() }
func (e *notLeaderError) Unwrap() error { return errNotProposed }

const (
	// maxRequests bounds the number of requests in progress.
	maxRequests = 4096
	// leaderlessTimeout is the time without contact with a leader after which requests fail instead of being queued. It
	// is longer than an election. A member without a leader for this time is likely partitioned, and callers should try
	// another member.
	leaderlessTimeout = 1500 * time.Millisecond
)

// request is a command to be proposed, or a linearizable read.
type request struct {
	command  []byte        // nil for a read
	deadline time.Duration // in consensus time: see Server.now
	// retryable allows queueing the request while no leader is known and proposing its command more than once. Set it
	// only for reads, and for commands whose second application the state recognises.
	retryable bool
	done      func(outcome) // called exactly once, by the owner of the queue

	sequence    uint64
	submittedAt time.Duration
	index       uint64 // index of the proposed entry
	term        uint64 // term of the proposed entry
}

// outcome is the result of a request. If err is nil, a command was committed and applied, and a read may access the
// state now.
type outcome struct {
	err       error
	unchanged bool // the command had been applied before, or changed nothing
}

// requestQueue tracks the requests in progress: those waiting for a leader, for their entry to be applied, or for a
// quorum to confirm the leadership. It is a state machine without I/O. Its owner also owns the consensus, calls tick,
// and reports applied entries and read states.
type requestQueue struct {
	consensus *raft.Node
	minVoters func() int // minimum number of voters for an acknowledgement

	queued           []*request          // to be dispatched again at the next tick
	proposed         map[uint64]*request // by entry index
	reads            map[uint64]*request // by sequence, which is the read token
	sequence         uint64
	leaderObservedAt time.Duration // time of the last observed contact with a leader
	nextDeadline     time.Duration // lower bound of all deadlines; 0 if unset
}

func newRequestQueue(consensus *raft.Node, minVoters func() int, now time.Duration) *requestQueue {
	return &requestQueue{consensus: consensus, minVoters: minVoters, proposed: map[uint64]*request{}, reads: map[uint64]*request{}, leaderObservedAt: now}
}

// len returns the number of requests in progress.
func (q *requestQueue) len() int { return len(q.queued) + len(q.proposed) + len(q.reads) }

// submit starts a request. Its done function is called at its deadline at the latest.
func (q *requestQueue) submit(now time.Duration, req *request) {
	q.sequence++
	req.sequence, req.submittedAt = q.sequence, now
	switch {
	case now >= req.deadline:
		req.done(outcome{err: errQueueTimeout})
		return
	case q.len() >= maxRequests:
		req.done(outcome{err: errOverloaded})
		return
	}
	if q.nextDeadline == 0 || req.deadline < q.nextDeadline {
		q.nextDeadline = req.deadline
	}
	q.observeLeader(now)
	q.dispatch(now, req)
}

// dispatch proposes a request. If that fails, it queues or fails the request.
func (q *requestQueue) dispatch(now time.Duration, req *request) {
	err := q.propose(now, req)
	var notLeader *notLeaderError
	switch {
	case err == nil:
	case req.retryable && !errors.As(err, &notLeader) && now-q.leaderObservedAt < leaderlessTimeout:
		q.queued = append(q.queued, req)
	default:
		req.done(outcome{err: err})
	}
}

// propose passes a request to the consensus. It returns an error if this member doesn't lead, the quorum has too few
// voters, or the consensus rejects the command.
func (q *requestQueue) propose(now time.Duration, req *request) error {
	if !q.consensus.IsLeader() {
		if leader := q.leaderContactedSince(req.submittedAt); leader != nil {
			return &notLeaderError{leader}
		}
		return errNoLeader
	}
	if req.command == nil {
		q.reads[req.sequence] = req
		q.consensus.ReadIndex(now, req.sequence)
		return nil
	}
	if raft.Voters(q.consensus.Peers()) < q.minVoters() {
		return errTooFewVoters
	}
	index, term, err := q.consensus.Propose(now, req.command)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotProposed, err)
	}
	req.index, req.term = index, term
	q.proposed[index] = req
	return nil
}

// leaderContactedSince returns the leader if a message from it was received at that time or later, otherwise nil. A
// request is redirected only if the leader's last message is newer than the request. Otherwise the leader may have
// crashed; if its machine lost power, the redirected operator would wait a second for its call to time out.
func (q *requestQueue) leaderContactedSince(at time.Duration) *wire.Peer {
	id := q.consensus.LeaderContactedSince(at)
	i := slices.IndexFunc(q.consensus.Peers(), func(p *wire.Peer) bool { return p.Id == id })
	if id == 0 || i < 0 {
		return nil
	}
	return q.consensus.Peers()[i]
}

// observeLeader updates leaderObservedAt after a newer contact with a leader.
func (q *requestQueue) observeLeader(now time.Duration) {
	if q.consensus.LeaderContactedSince(q.leaderObservedAt+1) != 0 {
		q.leaderObservedAt = now
	}
}

// tick handles a loss of leadership and passed deadlines, and dispatches the queued requests again.
func (q *requestQueue) tick(now time.Duration) {
	q.observeLeader(now)
	if q.len() == 0 {
		return
	}
	if !q.consensus.IsLeader() {
		q.handleLeadershipLoss()
	}
	if now >= q.nextDeadline {
		q.expire(now)
	}
	queued := q.queued
	q.queued = nil
	for _, req := range queued {
		q.dispatch(now, req)
	}
}

// handleLeadershipLoss requeues or fails all proposed commands and pending reads. The commands may still be committed,
// also by another leader. A retryable request is later redirected to that leader, or proposed again here.
func (q *requestQueue) handleLeadershipLoss() {
	for _, index := range slices.Sorted(maps.Keys(q.proposed)) {
		req := q.proposed[index]
		delete(q.proposed, index)
		q.requeueOrFail(req, errLeadershipLost)
	}
	for _, token := range slices.Sorted(maps.Keys(q.reads)) {
		req := q.reads[token]
		delete(q.reads, token)
		q.requeueOrFail(req, errLeadershipLost)
	}
}

// requeueOrFail queues a retryable request again, and completes any other with err.
func (q *requestQueue) requeueOrFail(req *request, err error) {
	if !req.retryable {
		req.done(outcome{err: err})
		return
	}
	q.queued = append(q.queued, req)
}

// expire fails the requests whose deadline has passed, in order of submission, and recomputes nextDeadline.
func (q *requestQueue) expire(now time.Duration) {
	var expired []*request
	q.nextDeadline = 0
	keep := func(req *request) bool {
		if now >= req.deadline {
			expired = append(expired, req)
			return false
		}
		if q.nextDeadline == 0 || req.deadline < q.nextDeadline {
			q.nextDeadline = req.deadline
		}
		return true
	}
	q.queued = slices.DeleteFunc(q.queued, func(req *request) bool { return !keep(req) })
	maps.DeleteFunc(q.proposed, func(_ uint64, req *request) bool { return !keep(req) })
	maps.DeleteFunc(q.reads, func(_ uint64, req *request) bool { return !keep(req) })
	slices.SortFunc(expired, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, req := range expired {
		req.done(outcome{err: errTimeout})
	}
}

// completeCommand completes the request that proposed an applied entry. applyErr is the error of applying it. If the
// entry has another term, it has replaced the proposed one, and the request is queued again or fails.
func (q *requestQueue) completeCommand(entry *wire.Entry, changed bool, applyErr error) {
	req := q.proposed[entry.Index]
	if req == nil {
		return
	}
	delete(q.proposed, entry.Index)
	switch {
	case req.term != entry.Term:
		q.requeueOrFail(req, errEntryReplaced)
	default:
		req.done(outcome{err: applyErr, unchanged: !changed})
	}
}

// completeRead completes the read that has the token of a ReadState. A leader rejects reads until the first entry of its term is
// committed, so a rejected retryable read is queued again.
func (q *requestQueue) completeRead(read raft.ReadState) {
	req := q.reads[read.Token]
	if req == nil {
		return
	}
	delete(q.reads, read.Token)
	if read.OK {
		req.done(outcome{})
		return
	}
	q.requeueOrFail(req, errLeadershipLost)
}

// nextTick returns the time of the next required tick; ok is false if no request is in progress.
func (q *requestQueue) nextTick() (at time.Duration, ok bool) { return q.nextDeadline, q.len() > 0 }

package server

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/wire"
)

// OperatorResult is the result of an operator's request.
type OperatorResult int

// Results of operators' requests. Stale and Invalid are final: the change was not accepted and never will be. After
// Redirected and Unavailable, the change may have been committed or may be committed later; the operator can safely
// retry the same change.
const (
	Unavailable     OperatorResult = iota // retry after a pause, possibly at another member
	Redirected                            // retry at the leader
	Accepted                              // the change was committed
	AlreadyAccepted                       // the same change was committed before
	Stale                                 // the change is based on a revision that is not the current one
	Invalid                               // the change is rejected regardless of the state
	Found                                 // a read returned a body
	NotFound                              // no configuration exists yet
)

// String returns the result's text for logs and HTTP response bodies.
func (r OperatorResult) String() string {
	switch r {
	case Unavailable:
		return "unavailable"
	case Redirected:
		return "redirected"
	case Accepted:
		return "accepted"
	case AlreadyAccepted:
		return "already accepted"
	case Stale:
		return "stale"
	case Invalid:
		return "invalid"
	case Found:
		return "found"
	case NotFound:
		return "no configuration yet"
	}
	return "unknown result"
}

// OperatorAnswer is a result with its details.
type OperatorAnswer struct {
	Result OperatorResult
	Leader *wire.Peer // set for Redirected
	Reason error      // why the request failed, or nil
	Body   []byte     // set for Found
}

// operatorRequests processes operators' requests. It is a state machine without I/O, driven by the server's loop. Each
// request gets exactly one answer, at its deadline at the latest.
type operatorRequests struct {
	requests *requestQueue
	state    func() backup.Backup // returns the applied state
}

// replacement is an operator's new configuration and the command that replaces the current one with it.
type replacement struct {
	command  *wire.Command
	change   catalog.Change
	base     uint64 // revision that it replaces
	revision uint64
}

// parseReplacement parses a configuration that is based on a revision. An error depends on the configuration alone, so
// any member may reject it. Checks against the state happen when the entry is applied, since this member may be behind.
func parseReplacement(current catalog.Current, base uint64, body []byte) (replacement, error) {
	config, err := current.Parse(body)
	if err != nil {
		return replacement{}, err
	}
	return replacement{current.Command(base, config, body), catalog.ChangeOf(config, body), base, config.Revision}, nil
}

// replace proposes a configuration. If this member's state already contains it as an accepted change, replace answers
// AlreadyAccepted instead. An accepted change stays accepted, so this is correct even if the member is behind or doesn't
// lead. A leader does not propose a configuration that replaces an earlier revision than the state's: only one change can
// have replaced that revision, and the state contains it. Rejected configurations thus take no space in the log.
func (a *operatorRequests) replace(now, deadline time.Duration, r replacement, done func(OperatorAnswer)) {
	if a.state().State.Accepted(r.change) {
		done(OperatorAnswer{Result: AlreadyAccepted})
		return
	}
	if state := a.state().State; r.base < state.Revision() && a.requests.consensus.IsLeader() {
		done(replaceAnswer(outcome{err: state.CheckChange(r.change, r.base)}))
		return
	}
	data, err := proto.Marshal(r.command)
	if err != nil {
		done(redirectOrUnavailable(err))
		return
	}
	a.requests.submit(now, &request{command: data, deadline: deadline, retryable: true, done: func(o outcome) { done(replaceAnswer(o)) }})
}

// replaceAnswer converts the outcome of a change to the operator's answer.
func replaceAnswer(o outcome) OperatorAnswer {
	switch {
	case o.err == nil && o.unchanged:
		return OperatorAnswer{Result: AlreadyAccepted}
	case o.err == nil:
		return OperatorAnswer{Result: Accepted}
	case errors.Is(o.err, catalog.ErrStale):
		return OperatorAnswer{Result: Stale, Reason: o.err}
	case errors.Is(o.err, catalog.ErrInvalid):
		return OperatorAnswer{Result: Invalid, Reason: o.err}
	}
	return redirectOrUnavailable(o.err)
}

// read answers with the body of the current configuration.
func (a *operatorRequests) read(now, deadline time.Duration, done func(OperatorAnswer)) {
	a.linearizableRead(now, deadline, done, func(b backup.Backup) OperatorAnswer {
		body := b.State.Body()
		if body == nil {
			return OperatorAnswer{Result: NotFound}
		}
		return OperatorAnswer{Result: Found, Body: body}
	})
}

// backup answers with the replicated state in the format of package backup.
func (a *operatorRequests) backup(now, deadline time.Duration, done func(OperatorAnswer)) {
	a.linearizableRead(now, deadline, done, func(b backup.Backup) OperatorAnswer {
		data, err := b.Encode()
		if err != nil {
			return redirectOrUnavailable(err)
		}
		return OperatorAnswer{Result: Found, Body: data}
	})
}

// linearizableRead answers with read's result once everything acknowledged before the request is applied.
func (a *operatorRequests) linearizableRead(now, deadline time.Duration, done func(OperatorAnswer), read func(backup.Backup) OperatorAnswer) {
	a.requests.submit(now, &request{deadline: deadline, retryable: true, done: func(o outcome) {
		if o.err != nil {
			done(redirectOrUnavailable(o.err))
			return
		}
		done(read(a.state()))
	}})
}

// redirectOrUnavailable returns the answer to a request that failed with err: Redirected if another member leads,
// otherwise Unavailable.
func redirectOrUnavailable(err error) OperatorAnswer {
	var notLeader *notLeaderError
	if errors.As(err, &notLeader) && notLeader.leader.GetControlAddress() != "" {
		return OperatorAnswer{Result: Redirected, Leader: notLeader.leader, Reason: err}
	}
	return OperatorAnswer{Result: Unavailable, Reason: err}
}

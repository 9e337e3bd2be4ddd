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

// The results. Stale and Invalid are final: the change was not accepted and never will be. Redirected and Unavailable
// promise nothing: the change may have been committed, or may yet be, and can be requested again unchanged.
const (
	Unavailable     OperatorResult = iota // another member may do better, after a pause
	Redirected                            // to the leader
	Accepted                              // the change was committed
	AlreadyAccepted                       // the very same change was committed before
	Stale                                 // the change builds on another revision than the current one
	Invalid                               // the change can't be accepted, whatever the state
	Found                                 // a read, with its body
	NotFound                              // there is no configuration yet
)

// String names a result, for logs.
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
	Leader *wire.Peer // of Redirected
	Reason error      // of a change that was not accepted
	Body   []byte     // of Found
}

// operatorRequests decides on the operators' requests. It is a pure state machine, driven by the loop. Each request gets
// one answer, at its deadline at the latest.
type operatorRequests struct {
	requests *requestQueue
	state    func() backup.Backup // what is applied
}

// replacement is a configuration that an operator sends, with the command that puts it in force.
type replacement struct {
	command  *wire.Command
	change   catalog.Change
	revision uint64
}

// parseReplacement parses a configuration that builds on a base revision. An error is about the configuration alone: any
// member may reject it for that, as all would. What depends on the state is decided when the entry is applied, since this
// member may be behind.
func parseReplacement(current catalog.Current, base uint64, body []byte) (replacement, error) {
	config, err := current.Parse(body)
	if err != nil {
		return replacement{}, err
	}
	return replacement{current.Command(base, config, body), catalog.ChangeOf(config, body), config.Revision}, nil
}

// replace proposes a configuration, unless this member knows that it was accepted before: that stays true, whoever leads
// and however far behind this member is.
func (a *operatorRequests) replace(now, deadline time.Duration, r replacement, done func(OperatorAnswer)) {
	if a.state().State.Accepted(r.change) {
		done(OperatorAnswer{Result: AlreadyAccepted})
		return
	}
	data, err := proto.Marshal(r.command)
	if err != nil {
		done(unanswered(err))
		return
	}
	a.requests.submit(now, &request{command: data, deadline: deadline, retryable: true, done: func(o outcome) { done(replaceAnswer(o)) }})
}

// replaceAnswer is the answer to a change with an outcome.
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
	return unanswered(o.err)
}

// read answers with the configuration in force.
func (a *operatorRequests) read(now, deadline time.Duration, done func(OperatorAnswer)) {
	a.view(now, deadline, done, func(b backup.Backup) OperatorAnswer {
		body := b.State.Body()
		if body == nil {
			return OperatorAnswer{Result: NotFound}
		}
		return OperatorAnswer{Result: Found, Body: body}
	})
}

// backup answers with the replicated state, in the format of package backup.
func (a *operatorRequests) backup(now, deadline time.Duration, done func(OperatorAnswer)) {
	a.view(now, deadline, done, func(b backup.Backup) OperatorAnswer {
		data, err := b.Encode()
		if err != nil {
			return unanswered(err)
		}
		return OperatorAnswer{Result: Found, Body: data}
	})
}

// view answers with what read returns of the state, once all that was acknowledged before is applied.
func (a *operatorRequests) view(now, deadline time.Duration, done func(OperatorAnswer), read func(backup.Backup) OperatorAnswer) {
	a.requests.submit(now, &request{deadline: deadline, retryable: true, done: func(o outcome) {
		if o.err != nil {
			done(unanswered(o.err))
			return
		}
		done(read(a.state()))
	}})
}

// unanswered is the answer to a request whose outcome is not known.
func unanswered(err error) OperatorAnswer {
	var notLeader *notLeaderError
	if errors.As(err, &notLeader) && notLeader.leader.GetControlAddress() != "" {
		return OperatorAnswer{Result: Redirected, Leader: notLeader.leader, Reason: err}
	}
	return OperatorAnswer{Result: Unavailable, Reason: err}
}

package server

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/transport/wire"
)

// Result is what an operator is told.
type Result int

// The results. Stale and Invalid are final: the change was not accepted and never will be. Redirected and Unavailable
// promise nothing: what was asked for may have been done, or may yet be, and can be asked for again unchanged.
const (
	Unavailable     Result = iota // another member may do better, after a pause
	Redirected                    // to the leader
	Accepted                      // the change was committed
	AlreadyAccepted               // the very same change was committed before
	Stale                         // the change builds on another revision than the current one
	Invalid                       // the change can't be accepted, whatever the state
	Found                         // a read, with its body
	NotFound                      // there is no configuration yet
)

// String names a result, for logs.
func (r Result) String() string {
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

// Answer is a result with what belongs to it.
type Answer struct {
	Result Result
	Leader *wire.Peer // Redirected: whom to ask
	Reason error      // of a change that was not accepted
	Body   []byte     // Found
}

// operatorAPI decides on the operator's requests: pure, driven by the loop. Each request gets one answer, at its deadline
// at the latest.
type operatorAPI struct {
	requests *requestQueue
	state    func() backup.Backup // what is applied
}

// replacement is a configuration that an operator wants in force.
type replacement struct {
	command  *wire.Command
	change   catalog.Change
	revision uint64
}

// parseReplacement reads a configuration that builds on a revision. An error says what is wrong with it alone: any member
// may refuse it for that, as all would. Whatever depends on the state is the log's to judge, as this member may be behind.
func parseReplacement(current catalog.Current, base uint64, body []byte) (replacement, error) {
	config, err := current.Parse(body)
	if err != nil {
		return replacement{}, err
	}
	return replacement{current.Command(base, config, body), catalog.ChangeOf(config, body), config.Revision}, nil
}

// replace puts a configuration into the log, unless this member knows that it was accepted before: that is true for good,
// whoever leads and however far behind this member is.
func (a *operatorAPI) replace(now, deadline time.Duration, r replacement, done func(Answer)) {
	if a.state().State.Accepted(r.change) {
		done(Answer{Result: AlreadyAccepted})
		return
	}
	data, err := proto.Marshal(r.command)
	if err != nil {
		done(unanswered(err))
		return
	}
	a.requests.submit(now, &request{command: data, deadline: deadline, patient: true, done: func(o outcome) { done(replaceAnswer(o)) }})
}

// replaceAnswer is the answer to a change.
func replaceAnswer(o outcome) Answer {
	switch {
	case o.err == nil && o.unchanged:
		return Answer{Result: AlreadyAccepted}
	case o.err == nil:
		return Answer{Result: Accepted}
	case errors.Is(o.err, catalog.ErrStale):
		return Answer{Result: Stale, Reason: o.err}
	case errors.Is(o.err, catalog.ErrInvalid):
		return Answer{Result: Invalid, Reason: o.err}
	}
	return unanswered(o.err)
}

// read returns the configuration in force.
func (a *operatorAPI) read(now, deadline time.Duration, done func(Answer)) {
	a.view(now, deadline, done, func(b backup.Backup) Answer {
		body := b.State.Body()
		if body == nil {
			return Answer{Result: NotFound}
		}
		return Answer{Result: Found, Body: body}
	})
}

// backup returns all that was acknowledged, as the file that package backup reads.
func (a *operatorAPI) backup(now, deadline time.Duration, done func(Answer)) {
	a.view(now, deadline, done, func(b backup.Backup) Answer {
		data, err := b.Encode()
		if err != nil {
			return unanswered(err)
		}
		return Answer{Result: Found, Body: data}
	})
}

// view looks at the state once all that was acknowledged before is in it.
func (a *operatorAPI) view(now, deadline time.Duration, done func(Answer), look func(backup.Backup) Answer) {
	a.requests.submit(now, &request{deadline: deadline, patient: true, done: func(o outcome) {
		if o.err != nil {
			done(unanswered(o.err))
			return
		}
		done(look(a.state()))
	}})
}

// unanswered is the answer to a request of which nothing is known for sure.
func unanswered(err error) Answer {
	var elsewhere *notLeaderError
	if errors.As(err, &elsewhere) && elsewhere.leader.GetControlAddress() != "" {
		return Answer{Result: Redirected, Leader: elsewhere.leader, Reason: err}
	}
	return Answer{Result: Unavailable, Reason: err}
}

package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"ivydeck/internal/config/meshconfig"
)

// retryAfter is the pause in seconds that an operator is asked for where another member may do better.
const retryAfter = "0.1"

// The paths of the operator's requests.
const (
	replacePath = "/config/replace"
	readPath    = "/config/read"
	backupPath  = "/backup"
)

// maxReplacing is how many changes are read and judged at a time. Operators have up to eight under way, and those that
// were given up may still be here; each may hold some times meshconfig.MaxBytes.
const maxReplacing = 12

// replace takes a whole configuration.
func (n *Node) replace(w http.ResponseWriter, r *http.Request) {
	select {
	case n.replacing <- struct{}{}:
		defer func() { <-n.replacing }()
	case <-time.After(answerWithin):
		reply(w, http.StatusServiceUnavailable, errTooMany.Error())
		return
	case <-r.Context().Done():
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, meshconfig.MaxBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		reply(w, http.StatusRequestEntityTooLarge, "the configuration is too large")
		return
	case errors.Is(err, os.ErrDeadlineExceeded): // slow is not invalid
		reply(w, http.StatusRequestTimeout, "the configuration did not come in time")
		return
	case err != nil:
		reply(w, http.StatusBadRequest, "the configuration did not come whole")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, "Base-Revision is no number")
		return
	}
	replacement, err := parseReplacement(*n.current.Load(), base, body) // here, as it takes long for the loop
	if err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	began := n.now()
	answer := n.answer(r.Context(), func(deadline time.Duration, done func(Answer)) {
		n.operatorAPI.replace(n.now(), deadline, replacement, done)
	})
	n.log.Info("operator.replace", "base", base, "revision", replacement.revision, "result", answer.Result.String(), "reason", answer.Reason,
		"took", n.now()-began)
	n.write(w, replacePath, answer)
}

// readConfig returns the newest configuration as it was sent.
func (n *Node) readConfig(w http.ResponseWriter, r *http.Request) {
	answer := n.answer(r.Context(), func(deadline time.Duration, done func(Answer)) { n.operatorAPI.read(n.now(), deadline, done) })
	w.Header().Set("Content-Type", "application/msgpack")
	n.write(w, readPath, answer)
}

// backup returns all that was acknowledged.
func (n *Node) backup(w http.ResponseWriter, r *http.Request) {
	answer := n.answer(r.Context(), func(deadline time.Duration, done func(Answer)) { n.operatorAPI.backup(n.now(), deadline, done) })
	w.Header().Set("Content-Type", "application/octet-stream")
	n.write(w, backupPath, answer)
}

// answer asks the loop, and waits no longer than an operator does: a disk may hold the loop up.
func (n *Node) answer(ctx context.Context, ask func(deadline time.Duration, done func(Answer))) Answer {
	answers := make(chan Answer, 1)
	deadline := n.now() + answerWithin
	late := time.NewTimer(answerWithin)
	defer late.Stop()
	if !n.doUntil(ctx, late.C, func() { ask(deadline, func(a Answer) { answers <- a }) }) {
		return Answer{Result: Unavailable, Reason: errLateRequest}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return Answer{Result: Unavailable, Reason: ctx.Err()}
	case <-n.ctx.Done():
		return Answer{Result: Unavailable, Reason: n.ctx.Err()}
	case <-late.C:
		return Answer{Result: Unavailable, Reason: errTimeout}
	}
}

// statusOf is the HTTP status of each result.
var statusOf = map[Result]int{
	Unavailable:     http.StatusServiceUnavailable,
	Redirected:      http.StatusTemporaryRedirect,
	Accepted:        http.StatusOK,
	AlreadyAccepted: http.StatusOK,
	Stale:           http.StatusPreconditionFailed,
	Invalid:         http.StatusBadRequest,
	Found:           http.StatusOK,
	NotFound:        http.StatusNotFound,
}

// write puts an answer on the wire. path is what was asked for, which is the same at the leader.
func (n *Node) write(w http.ResponseWriter, path string, a Answer) {
	switch a.Result {
	case Found:
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
		return
	case Redirected:
		scheme := "http://"
		if n.set.Load().SecureOperator {
			scheme = "https://"
		}
		w.Header().Set("Location", scheme+a.Leader.ControlAddress+path)
	}
	text := a.Result.String()
	if a.Reason != nil {
		text = a.Reason.Error()
	}
	reply(w, statusOf[a.Result], text)
}

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

// retryAfter is the Retry-After, in seconds, where another member may do better.
const retryAfter = "0.1"

// The paths of the operators' requests, see routes.
const (
	replacePath = "/config/replace"
	readPath    = "/config/read"
	backupPath  = "/backup"
)

// maxReplacing is how many changes are read and parsed at a time, each of which may take some times meshconfig.MaxBytes.
// Operators have up to eight in flight, and some that they have cancelled may still be here.
const maxReplacing = 12

// serveReplace replaces the configuration by the body's, on top of the revision in Base-Revision.
func (srv *Server) serveReplace(w http.ResponseWriter, r *http.Request) {
	select {
	case srv.replaceSlots <- struct{}{}:
		defer func() { <-srv.replaceSlots }()
	case <-time.After(operatorTimeout):
		reply(w, http.StatusServiceUnavailable, errOverloaded.Error())
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
		reply(w, http.StatusBadRequest, "the configuration is incomplete")
		return
	}
	base, err := strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, "Base-Revision is no number")
		return
	}
	replacement, err := parseReplacement(*srv.config.Load(), base, body) // not in the loop, which it would block
	if err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	began := srv.now()
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) {
		srv.operator.replace(srv.now(), deadline, replacement, done)
	})
	srv.log.Info("operator.config_replace", "base_revision", base, "revision", replacement.revision, "result", answer.Result.String(), "reason", answer.Reason,
		"duration_ms", (srv.now() - began).Milliseconds())
	srv.writeAnswer(w, replacePath, answer)
}

// serveRead returns the newest configuration as it was sent.
func (srv *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) { srv.operator.read(srv.now(), deadline, done) })
	w.Header().Set("Content-Type", "application/msgpack")
	srv.writeAnswer(w, readPath, answer)
}

// serveBackup returns the replicated state, for package backup.
func (srv *Server) serveBackup(w http.ResponseWriter, r *http.Request) {
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) {
		srv.operator.backup(srv.now(), deadline, done)
	})
	w.Header().Set("Content-Type", "application/octet-stream")
	srv.writeAnswer(w, backupPath, answer)
}

// awaitAnswer runs a request in the loop, and waits no longer than an operator does: a disk may block the loop.
func (srv *Server) awaitAnswer(ctx context.Context, begin func(deadline time.Duration, done func(OperatorAnswer))) OperatorAnswer {
	answers := make(chan OperatorAnswer, 1)
	deadline := srv.now() + operatorTimeout
	timeout := time.NewTimer(operatorTimeout)
	defer timeout.Stop()
	if !srv.runInLoopUntil(ctx, timeout.C, func() { begin(deadline, func(a OperatorAnswer) { answers <- a }) }) {
		return OperatorAnswer{Result: Unavailable, Reason: errQueueTimeout}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return OperatorAnswer{Result: Unavailable, Reason: ctx.Err()}
	case <-srv.ctx.Done():
		return OperatorAnswer{Result: Unavailable, Reason: srv.ctx.Err()}
	case <-timeout.C:
		return OperatorAnswer{Result: Unavailable, Reason: errTimeout}
	}
}

// statusOf is the HTTP status of each result.
var statusOf = map[OperatorResult]int{
	Unavailable:     http.StatusServiceUnavailable,
	Redirected:      http.StatusTemporaryRedirect,
	Accepted:        http.StatusOK,
	AlreadyAccepted: http.StatusOK,
	Stale:           http.StatusPreconditionFailed,
	Invalid:         http.StatusBadRequest,
	Found:           http.StatusOK,
	NotFound:        http.StatusNotFound,
}

// writeAnswer writes an answer as HTTP. path is the request's, which is the same at the leader.
func (srv *Server) writeAnswer(w http.ResponseWriter, path string, a OperatorAnswer) {
	switch a.Result {
	case Found:
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
		return
	case Redirected:
		scheme := "http://"
		if srv.settings.Load().SecureOperator {
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

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

// retryAfter is the value of the Retry-After header, in seconds.
const retryAfter = "0.1"

// Paths of operators' requests, used by routes and in redirects.
const (
	replacePath = "/config/replace"
	readPath    = "/config/read"
	backupPath  = "/backup"
)

// maxConcurrentReplaces bounds the configurations read and parsed at once, each of which can use several times
// meshconfig.MaxBytes of memory. Operators have up to eight calls in flight, and cancelled calls may still hold a slot.
const maxConcurrentReplaces = 12

// serveReplace replaces the configuration by that in the body, based on the revision in the Base-Revision header.
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
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		reply(w, http.StatusRequestEntityTooLarge, "the configuration is too large")
		return
	case errors.Is(err, os.ErrDeadlineExceeded): // a slow upload may be retried, so it must not return 400
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
	replacement, err := parseReplacement(*srv.config.Load(), base, body) // outside the loop, as parsing would block it
	if err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	start := srv.now()
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) {
		srv.operator.replace(srv.now(), deadline, replacement, done)
	})
	srv.log.Info("operator.config_replace", "base_revision", base, "revision", replacement.revision, "result", answer.Result.String(), "reason", answer.Reason,
		"duration_ms", (srv.now() - start).Milliseconds())
	srv.writeAnswer(w, replacePath, answer)
}

// serveRead returns the body of the current configuration as the operator sent it.
func (srv *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) { srv.operator.read(srv.now(), deadline, done) })
	w.Header().Set("Content-Type", "application/msgpack")
	srv.writeAnswer(w, readPath, answer)
}

// serveBackup returns the replicated state in the format of package backup.
func (srv *Server) serveBackup(w http.ResponseWriter, r *http.Request) {
	answer := srv.awaitAnswer(r.Context(), func(deadline time.Duration, done func(OperatorAnswer)) {
		srv.operator.backup(srv.now(), deadline, done)
	})
	w.Header().Set("Content-Type", "application/octet-stream")
	srv.writeAnswer(w, backupPath, answer)
}

// awaitAnswer calls submit in the loop and waits for the answer. It answers Unavailable after operatorTimeout, for
// example while the disk blocks the loop.
func (srv *Server) awaitAnswer(ctx context.Context, submit func(deadline time.Duration, done func(OperatorAnswer))) OperatorAnswer {
	answers := make(chan OperatorAnswer, 1)
	deadline := srv.now() + operatorTimeout
	timeout := time.NewTimer(operatorTimeout)
	defer timeout.Stop()
	if !srv.runInLoopUntil(ctx, timeout.C, func() { submit(deadline, func(a OperatorAnswer) { answers <- a }) }) {
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

// httpStatus maps results to HTTP status codes.
var httpStatus = map[OperatorResult]int{
	Unavailable:     http.StatusServiceUnavailable,
	Redirected:      http.StatusTemporaryRedirect,
	Accepted:        http.StatusOK,
	AlreadyAccepted: http.StatusOK,
	Stale:           http.StatusPreconditionFailed,
	Invalid:         http.StatusBadRequest,
	Found:           http.StatusOK,
	NotFound:        http.StatusNotFound,
}

// writeAnswer writes an answer as an HTTP response. path is the path of the request; a redirect points to the same path
// on the leader.
func (srv *Server) writeAnswer(w http.ResponseWriter, path string, answer OperatorAnswer) {
	switch answer.Result {
	case Found:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.Write(answer.Body)
		return
	case Redirected:
		scheme := "http://"
		if srv.settings.Load().SecureOperator {
			scheme = "https://"
		}
		w.Header().Set("Location", scheme+answer.Leader.ControlAddress+path)
	}
	text := answer.Result.String()
	if answer.Reason != nil {
		text = answer.Reason.Error()
	}
	reply(w, httpStatus[answer.Result], text)
}

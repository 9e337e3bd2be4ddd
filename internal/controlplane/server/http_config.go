package server

import (
	"context"
	"errors"
	"net/http"
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

// serveReplace replaces the configuration by that in the body, based on the revision in the Base-Revision header.
func (srv *Server) serveReplace(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > meshconfig.MaxBytes {
		discardUpload(w, r)
		reply(w, errUploadTooLarge.status, errUploadTooLarge.text)
		return
	}
	release, err := srv.uploads.acquire(r.Context(), r.ContentLength)
	if err != nil {
		reply(w, http.StatusServiceUnavailable, errOverloaded.Error())
		return
	}
	defer release()
	replacement, base, err := srv.readReplacement(w, r)
	var rejected *uploadError
	switch {
	case errors.As(err, &rejected):
		reply(w, rejected.status, rejected.text)
		return
	case err != nil:
		reply(w, http.StatusServiceUnavailable, errOverloaded.Error())
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

// readReplacement reads and parses a configuration and the revision that it is based on. An error is an uploadError, or that
// of a context that ended while other configurations were parsed.
func (srv *Server) readReplacement(w http.ResponseWriter, r *http.Request) (parsed replacement, base uint64, err error) {
	body, err := readUpload(w, r)
	if err != nil {
		return replacement{}, 0, err
	}
	base, err = strconv.ParseUint(r.Header.Get("Base-Revision"), 10, 64)
	if err != nil {
		return replacement{}, 0, &uploadError{http.StatusBadRequest, "Base-Revision is no number"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	if err := srv.uploads.parses.Acquire(ctx, 1); err != nil {
		return replacement{}, 0, err
	}
	defer srv.uploads.parses.Release(1)
	parsed, err = parseReplacement(*srv.config.Load(), base, body) // outside the loop, as parsing would block it
	if err != nil {
		return replacement{}, 0, &uploadError{http.StatusBadRequest, err.Error()}
	}
	return parsed, base, nil
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

package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"golang.org/x/sync/semaphore"

	"ivydeck/internal/config/meshconfig"
)

const (
	// maxConcurrentReplaces bounds the configurations that are read, parsed or proposed at once. Operators have up to eight
	// calls in flight, and cancelled calls may still hold a slot.
	maxConcurrentReplaces = 12
	// maxConcurrentParses bounds the configurations that are parsed at once, each of which may take several times
	// meshconfig.MaxBytes of memory for a moment.
	maxConcurrentParses = 1
	// maxSmallUpload is the size in bytes up to which a configuration does not count against maxUploadBytes, so that slow
	// uploads of large ones do not delay it.
	maxSmallUpload = 256 << 10
	// maxUploadBytes bounds the total size of larger configurations that are read, parsed or proposed at once.
	maxUploadBytes = 2 * meshconfig.MaxBytes
)

// uploads bounds the memory that the configurations of operators take, however many calls arrive at once.
type uploads struct {
	slots  *semaphore.Weighted // calls
	bytes  *semaphore.Weighted // bytes of large bodies
	parses *semaphore.Weighted // calls that parse
}

func newUploads() *uploads {
	return &uploads{
		slots:  semaphore.NewWeighted(maxConcurrentReplaces),
		bytes:  semaphore.NewWeighted(maxUploadBytes),
		parses: semaphore.NewWeighted(maxConcurrentParses),
	}
}

// acquire reserves a slot and memory for a body of the given size, which is negative if it is unknown. It waits up to
// operatorTimeout. The caller calls release once the body is not needed any more.
func (u *uploads) acquire(ctx context.Context, size int64) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reserved := reservation(size)
	if reserved > 0 { // small configurations do not wait behind large ones, which have no slot yet
		if err := u.bytes.Acquire(ctx, reserved); err != nil {
			return nil, err
		}
	}
	if err := u.slots.Acquire(ctx, 1); err != nil {
		u.bytes.Release(reserved)
		return nil, err
	}
	return func() {
		u.bytes.Release(reserved)
		u.slots.Release(1)
	}, nil
}

// reservation returns the number of bytes of maxUploadBytes that a body of the given size takes.
func reservation(size int64) int64 {
	switch {
	case size < 0: // the buffer grows by copies
		return 2 * meshconfig.MaxBytes
	case size <= maxSmallUpload:
		return 0
	}
	return size
}

// uploadError is the reason for which a body was not read, with the HTTP status of the answer.
type uploadError struct {
	status int
	text   string
}

func (e *uploadError) Error() string { return e.text }

var (
	errUploadTooLarge   = &uploadError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the configuration is larger than %d bytes", meshconfig.MaxBytes)}
	errUploadTimeout    = &uploadError{http.StatusRequestTimeout, "the configuration did not come in time"} // may be retried, unlike after 400
	errUploadIncomplete = &uploadError{http.StatusBadRequest, "the configuration is incomplete"}
)

// discardUpload reads a body that is too large up to meshconfig.MaxBytes, without keeping it, so that its sender gets the
// answer.
func discardUpload(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, meshconfig.MaxBytes))
}

// readUpload reads a body of at most meshconfig.MaxBytes.
func readUpload(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, meshconfig.MaxBytes)
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errUploadTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errUploadTimeout
	case err != nil:
		return nil, errUploadIncomplete
	}
	return body, nil
}

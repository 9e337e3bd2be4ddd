package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ivydeck/decide"
)

// Headers of a request as defined by the protocol.
const (
	classHeader          = "X-Lane"
	transactionHeader    = "X-Txn"
	remainingHeader      = "X-Remaining-Ms"
	retryHeader          = "X-Resent"   // "1" if the client has sent the request before
	tenantHeader         = "X-Org"      // optional
	workHeader           = "X-Estimate" // in microseconds; optional
	idempotencyKeyHeader = "Idempotency-Key"
)

// requestError describes a malformed request. Its status is never 429 or 503, after which
// clients retry.
type requestError struct {
	status int
	reason string
}

func (e *requestError) Error() string { return e.reason }

func badRequest(reason string) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: reason}
}

// parse validates a request and reads its body.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request, conn *clientConn, now time.Duration) (*pending, *requestError) {
	class, failure := f.parseClass(r)
	if failure != nil {
		return nil, failure
	}
	wait, failure := f.parseWait(r, class)
	if failure != nil {
		return nil, failure
	}
	p := &pending{
		answer:   make(chan answer, 1),
		deadline: now + wait,
		request:  decide.Request{Class: class, Tenant: -1, ClientRetry: r.Header.Get(retryHeader) == "1"},
	}
	if tenant, ok := f.tenants[r.Header.Get(tenantHeader)]; ok {
		p.request.Tenant = tenant
	}
	if p.request.Work, failure = parseWork(r); failure != nil {
		return nil, failure
	}
	p.call = &call{
		method:         r.Method,
		uri:            r.RequestURI,
		host:           r.Host,
		txn:            r.Header.Get(transactionHeader),
		idempotencyKey: r.Header.Get(idempotencyKeyHeader),
		contentType:    r.Header.Get("Content-Type"),
	}
	if !strings.HasPrefix(p.call.uri, "/") || strings.HasPrefix(p.call.uri, "//") {
		return nil, badRequest("the target is no path")
	}
	if failure = f.readBody(w, r, conn, p, now); failure != nil {
		return nil, failure
	}
	conn.carriedRequest = true
	return p, nil
}

// parseClass returns the class of a request. It checks that the required headers occur
// exactly once and that the method is allowed for the class.
func (f *frontend) parseClass(r *http.Request) (int, *requestError) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[first]
	if !ok {
		return 0, &requestError{http.StatusNotFound, "no such class of requests"}
	}
	if !r.ProtoAtLeast(1, 1) { // net/http does not report a transfer coding of HTTP/1.0
		return 0, badRequest("not HTTP/1.1")
	}
	// If a header occurs twice, a server may use the other value.
	for _, name := range []string{classHeader, transactionHeader, remainingHeader} {
		if len(r.Header[name]) != 1 {
			return 0, badRequest("not one " + name)
		}
	}
	if r.Header.Get(classHeader) != first {
		return 0, badRequest("X-Lane and the path differ")
	}
	switch effect := f.effects[class]; {
	case effect == decide.Idempotent && r.Method != http.MethodGet,
		effect != decide.Idempotent && r.Method != http.MethodPost:
		return 0, &requestError{http.StatusMethodNotAllowed, "the class does not go with the method"}
	case effect == decide.Keyed && r.Header.Get(idempotencyKeyHeader) == "":
		return 0, badRequest("the class needs an Idempotency-Key")
	}
	if r.Header.Get(transactionHeader) == "" {
		return 0, badRequest("no X-Txn")
	}
	return class, nil
}

// parseWait returns how long the client waits for the response.
func (f *frontend) parseWait(r *http.Request, class int) (time.Duration, *requestError) {
	ms, err := strconv.ParseInt(r.Header.Get(remainingHeader), 10, 64)
	if err != nil || ms < 0 || ms > maxRemaining.Milliseconds() {
		return 0, badRequest("X-Remaining-Ms is missing or odd")
	}
	wait := time.Duration(ms) * time.Millisecond
	if deadline := f.deadlines[class]; deadline > 0 {
		wait = min(wait, deadline) // no client of the class waits longer
	}
	return wait, nil
}

// parseWork returns the client's estimate of the work of a request, or zero if it is unknown.
func parseWork(r *http.Request) (time.Duration, *requestError) {
	text := r.Header.Get(workHeader)
	if text == "" {
		return 0, nil
	}
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us < 0 || us > maxRemaining.Microseconds() {
		return 0, badRequest("X-Estimate is odd")
	}
	return time.Duration(us) * time.Microsecond, nil
}

// readBody reads the body of a request and extends its deadline by the time that takes.
// The body must be complete before the client's deadline and before the connection's own
// time limit, as clients may claim any deadline.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, conn *clientConn, p *pending, now time.Duration) *requestError {
	if r.Body == http.NoBody {
		return nil
	}
	if f.effects[p.request.Class] == decide.Idempotent {
		return badRequest("the class takes no body")
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(f.clock.wall(min(p.deadline, conn.bodyDeadline(now))))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return badRequest("the body did not come")
	}
	control.SetReadDeadline(time.Time{})
	p.call.body = body
	p.deadline += f.clock.now() - now
	return nil
}

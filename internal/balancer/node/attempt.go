package node

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"ivydeck/decide"
)

// call holds the parts of a client's request that are passed on to servers.
type call struct {
	method, uri, host   string
	txn, idempotencyKey string // X-Txn and Idempotency-Key
	contentType         string // Content-Type
	body                []byte
	done                atomic.Bool // the request is answered or its client has disconnected
}

// response is a server's successful response.
type response struct {
	contentType string // Content-Type
	body        []byte
}

// attempt sends a request to a server once and waits for the response until the
// deadline. Cancelling ctx aborts the attempt.
func (u *upstream) attempt(ctx context.Context, target *peer, req *call, deadline time.Duration) (decide.Result, *response) {
	connection := u.get(target)
	if connection == nil {
		var err error
		if connection, err = u.dial(ctx, target, deadline); err != nil {
			return notDelivered(ctx), nil
		}
	}
	result, resp, reusable := u.exchange(ctx, connection, target, req, deadline)
	if reusable {
		u.put(target, connection)
	} else {
		connection.close()
	}
	return result, resp
}

// exchange sends a request on a connection and reads the response. reusable is true if
// the connection can carry another request.
func (u *upstream) exchange(ctx context.Context, connection *conn, target *peer, req *call, deadline time.Duration) (result decide.Result, resp *response, reusable bool) {
	// During the dial the server may have started to drain, or the request may have ended.
	if ctx.Err() != nil || req.done.Load() || target.closed.Load() {
		return decide.NotSent, nil, false
	}
	connection.SetDeadline(u.clock.wall(deadline))
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	remaining := deadline - u.clock.now()
	if remaining <= 0 {
		return decide.NotSent, nil, false
	}
	message, err := req.encode(target.address, remaining)
	if err != nil {
		return decide.Unconnected, nil, false
	}
	if n, _ := connection.Write(message); n < len(message) { // an incomplete request is not executed
		return notDelivered(ctx), nil, false
	}
	header, body, err := connection.read(req.method)
	if err != nil {
		return noAnswer(ctx, err), nil, false
	}
	// If stop returns false, the cancellation may still change the connection's deadline.
	reusable = !header.Close && connection.reader.Buffered() == 0 && stop()
	result = resultOf(header)
	if result == decide.Served {
		resp = &response{contentType: header.Header.Get("Content-Type"), body: body}
	}
	return result, resp, reusable
}

// notDelivered returns the result of an attempt whose request was not sent completely.
func notDelivered(ctx context.Context) decide.Result {
	if ctx.Err() != nil {
		return decide.NotSent
	}
	return decide.Unconnected
}

// noAnswer returns the result of an attempt whose request was sent completely and whose
// response could not be read.
func noAnswer(ctx context.Context, err error) decide.Result {
	switch {
	case ctx.Err() != nil:
		return decide.Cancelled
	case isTimeout(err):
		return decide.TimedOut
	}
	return decide.Broken
}

// rejectedHeader is "1" in the response of a server that rejects a request without
// executing it because it is at capacity.
const rejectedHeader = "X-Turned-Away"

// resultOf maps a complete response to the result of its attempt.
func resultOf(resp *http.Response) decide.Result {
	switch {
	case resp.StatusCode == http.StatusOK:
		return decide.Served
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(rejectedHeader) == "1":
		return decide.Full
	}
	return decide.Errored
}

// encode returns the bytes of the request for a server.
func (q *call) encode(address string, remaining time.Duration) ([]byte, error) {
	req := http.Request{
		Method: q.method,
		URL:    &url.URL{Opaque: q.uri}, // passed on byte for byte
		Host:   cmp.Or(q.host, address),
		Header: http.Header{
			"User-Agent":     {""}, // suppresses the header
			"X-Txn":          {q.txn},
			"X-Remaining-Ms": {strconv.FormatInt(max(1, remaining.Milliseconds()), 10)},
		},
		Body:          http.NoBody,
		ContentLength: int64(len(q.body)),
	}
	if q.idempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{q.idempotencyKey}
	}
	if q.contentType != "" {
		req.Header["Content-Type"] = []string{q.contentType}
	}
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	var message bytes.Buffer
	message.Grow(512 + len(q.body))
	if err := req.Write(&message); err != nil {
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	return message.Bytes(), nil
}

// read reads a complete final response. It fails as soon as a size limit is exceeded:
// otherwise a server that keeps sending would hold the attempt until its timeout and
// exhaust the memory.
func (c *conn) read(method string) (*http.Response, []byte, error) {
	c.incoming.N = maxHeaderBytes // including the headers of interim responses
	c.incoming.head = make([]byte, 0, 512)
	defer func() { c.incoming.head = nil }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK { // an interim response
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	if end := len(c.incoming.head) - c.reader.Buffered(); !framed(resp, c.incoming.head[:end]) {
		return nil, nil, errors.New("reading the response: ambiguous message length")
	}
	c.incoming.head = nil
	// The body is not closed: Close would read the rest of it, and it holds no resources.
	if resp.ContentLength > maxBodyBytes {
		return nil, nil, fmt.Errorf("the response body has %d bytes, the limit is %d", resp.ContentLength, maxBodyBytes)
	}
	c.incoming.N = math.MaxInt64 // the body is bounded by the LimitReader, chunk headers by net/http
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, nil, fmt.Errorf("the response body exceeds %d bytes", maxBodyBytes)
	}
	return resp, body, nil
}

// framed reports whether a response delimits its body in exactly one way. net/http
// ignores a Content-Length next to chunked encoding, and reads a body without either up
// to the end of the connection, which may be due to a broken connection.
func framed(resp *http.Response, head []byte) bool {
	head = bytes.ToLower(head) // the raw bytes: net/http removes these two headers from resp.Header
	if len(resp.TransferEncoding) > 0 {
		return !bytes.Contains(head, []byte("\ncontent-length:"))
	}
	return resp.ContentLength >= 0 || bytes.Contains(head, []byte("\nconnection: close\r"))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// incoming reads from a server. It limits the size of a response's header and records
// its bytes.
type incoming struct {
	io.LimitedReader
	head []byte // bytes read since the start of the response; nil once the header is parsed
}

func (r *incoming) Read(p []byte) (int, error) {
	n, err := r.LimitedReader.Read(p)
	if r.head != nil {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}

const maxBodyBytes = 64 << 10

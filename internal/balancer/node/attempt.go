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

// call is a request as its client sent it.
type call struct {
	method, uri, host string
	txn, key          string // X-Txn and Idempotency-Key
	kind              string // Content-Type
	body              []byte
	over              atomic.Bool // it has its answer, or its client has left
}

// response is the body of a server's answer.
type response struct {
	kind string // Content-Type
	body []byte
}

// attempt sends a request to a server once and waits for the answer, at most until
// the time given. Ending the context cancels the attempt.
func (u *upstream) attempt(ctx context.Context, p *peer, q *call, until time.Duration) (decide.Result, *response) {
	c := u.get(p)
	if c == nil {
		var err error
		if c, err = u.dial(ctx, p, until); err != nil {
			return notDelivered(ctx), nil
		}
	}
	result, resp, reusable := u.exchange(ctx, c, p, q, until)
	if reusable {
		u.put(p, c)
	} else {
		c.close()
	}
	return result, resp
}

// exchange sends a request on a connection and reads the answer. reusable: the
// connection can carry another request.
func (u *upstream) exchange(ctx context.Context, c *conn, p *peer, q *call, until time.Duration) (result decide.Result, resp *response, reusable bool) {
	// Dialing may have taken a while: by now the server may drain, and the request
	// may be over.
	if ctx.Err() != nil || q.over.Load() || p.closed.Load() {
		return decide.NotSent, nil, false
	}
	c.SetDeadline(u.clock.wall(until))
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	left := until - u.clock.now()
	if left <= 0 {
		return decide.NotSent, nil, false
	}
	message, err := q.encode(p.address, left)
	if err != nil {
		return decide.Unconnected, nil, false
	}
	if n, _ := c.Write(message); n < len(message) { // without its last byte the request can't run
		return notDelivered(ctx), nil, false
	}
	header, body, err := c.read(q.method)
	if err != nil {
		return noAnswer(ctx, err), nil, false
	}
	// A cancellation that has begun may still change the connection's deadline.
	reusable = !header.Close && c.reader.Buffered() == 0 && stop()
	result = resultOf(header)
	if result == decide.Served {
		resp = &response{kind: header.Header.Get("Content-Type"), body: body}
	}
	return result, resp, reusable
}

// notDelivered is the result of an attempt of which the request has not reached the
// server whole.
func notDelivered(ctx context.Context) decide.Result {
	if ctx.Err() != nil {
		return decide.NotSent
	}
	return decide.Unconnected
}

// noAnswer is the result of an attempt that was sent and of which reading the answer
// failed.
func noAnswer(ctx context.Context, err error) decide.Result {
	switch {
	case ctx.Err() != nil:
		return decide.Cancelled
	case isTimeout(err):
		return decide.TimedOut
	}
	return decide.Broken
}

// turnedAwayHeader is "1" on the answer of a server that refuses a request because
// it is full.
const turnedAwayHeader = "X-Turned-Away"

// resultOf is the result that a complete answer stands for.
func resultOf(resp *http.Response) decide.Result {
	switch {
	case resp.StatusCode == http.StatusOK:
		return decide.Served
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(turnedAwayHeader) == "1":
		return decide.Full
	}
	return decide.Errored
}

// encode returns the request as it is sent, in one piece.
func (q *call) encode(address string, left time.Duration) ([]byte, error) {
	req := http.Request{
		Method: q.method,
		URL:    &url.URL{Opaque: q.uri}, // as it came, byte for byte
		Host:   cmp.Or(q.host, address),
		Header: http.Header{
			"User-Agent":     {""}, // none
			"X-Txn":          {q.txn},
			"X-Remaining-Ms": {strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		},
		Body:          http.NoBody,
		ContentLength: int64(len(q.body)),
	}
	if q.key != "" {
		req.Header["Idempotency-Key"] = []string{q.key}
	}
	if q.kind != "" {
		req.Header["Content-Type"] = []string{q.kind}
	}
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	var message bytes.Buffer
	message.Grow(512 + len(q.body))
	if err := req.Write(&message); err != nil {
		return nil, fmt.Errorf("encoding a request: %w", err)
	}
	return message.Bytes(), nil
}

// read reads a complete answer. It fails on one that is too large as soon as that
// shows: otherwise a server that goes on sending would hold the attempt until its
// timeout, and use up the memory.
func (c *conn) read(method string) (*http.Response, []byte, error) {
	c.incoming.N = maxHeaderBytes // with the interim answers' heads
	c.incoming.head = make([]byte, 0, 512)
	defer func() { c.incoming.head = nil }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK { // an interim answer
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	if end := len(c.incoming.head) - c.reader.Buffered(); !framed(resp, c.incoming.head[:end]) {
		return nil, nil, errors.New("reading the answer: where it ends is not certain")
	}
	c.incoming.head = nil
	// The body is not closed: Close would first read it to its end, and there is
	// nothing to release.
	if resp.ContentLength > maxBodyBytes {
		return nil, nil, fmt.Errorf("the answer has %d bytes, more than %d", resp.ContentLength, maxBodyBytes)
	}
	c.incoming.N = math.MaxInt64 // the limit of the body, and net/http's for chunks, serve from here
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, nil, fmt.Errorf("the answer is larger than %d bytes", maxBodyBytes)
	}
	return resp, body, nil
}

// framed reports whether an answer states its end in exactly one way. net/http drops
// a Content-Length beside chunks, and takes the end of the connection for the end of
// the answer, which may be a broken connection as well.
func framed(resp *http.Response, head []byte) bool {
	head = bytes.ToLower(head) // as it came: net/http takes these two out
	if len(resp.TransferEncoding) > 0 {
		return !bytes.Contains(head, []byte("\ncontent-length:"))
	}
	return resp.ContentLength >= 0 || bytes.Contains(head, []byte("\nconnection: close\r"))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// incoming reads from a server: no more of an answer's header than its limit, of
// which it keeps a copy.
type incoming struct {
	io.LimitedReader
	head []byte // since the answer began; nil once it is past its head
}

func (r *incoming) Read(p []byte) (int, error) {
	n, err := r.LimitedReader.Read(p)
	if r.head != nil {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}

const maxBodyBytes = 64 << 10

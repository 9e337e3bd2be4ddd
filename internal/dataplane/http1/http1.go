// Package http1 reads and writes HTTP/1.1 messages (RFC 9112). It rejects messages that another implementation could
// interpret differently. Unlike net/http, it leaves the connection to the caller, so that pipelined requests can run
// concurrently.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Header is a header field. Its name keeps the letter case of the message.
type Header struct{ Name, Value string }

// Headers lists header fields in the order of the message.
type Headers []Header

// Get returns the value of the first field with a name, or "" if there is none.
func (h Headers) Get(name string) string {
	for i := range h {
		if SameName(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns the number of fields with a name.
func (h Headers) Count(name string) int {
	n := 0
	for i := range h {
		if SameName(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Limits holds the maximum sizes of a message, in bytes.
type Limits struct {
	Head int
	Body int64
}

// Request is the head of a request.
type Request struct {
	Method  string
	Target  string // path and query as sent
	Host    string
	Headers Headers
	Length  int64 // body length in bytes; -1 if the body is chunked
	Close   bool  // "Connection: close" is set
	Expect  bool  // the client waits for 100 Continue before it sends the body
}

// Path returns the target without its query.
func (req *Request) Path() string {
	path, _, _ := strings.Cut(req.Target, "?")
	return path
}

// Response is the head of a response.
type Response struct {
	Status  int
	Headers Headers
	Length  int64 // body length in bytes; -1 if the body is chunked
	Close   bool  // "Connection: close" is set
}

// Error explains why a message is rejected. Status is the status code of the response to its sender.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

// malformed returns an Error with status 400.
func malformed(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ReadRequest reads the head of a request. It returns io.EOF if the peer has closed the connection between requests.
func ReadRequest(r *bufio.Reader, limits Limits) (*Request, error) {
	req := new(Request)
	if err := req.Read(r, limits); err != nil {
		return nil, err
	}
	return req, nil
}

// Read is like ReadRequest, but reads into req and reuses its Headers. After an error, req is invalid.
func (req *Request) Read(r *bufio.Reader, limits Limits) error {
	h := headReader{r, limits.Head}
	line, err := h.line()
	for err == nil && len(line) == 0 && h.remaining > limits.Head-4 { // skip empty lines (RFC 9112, 2.2)
		line, err = h.line()
	}
	if err != nil {
		return err
	}
	method, rest, ok1 := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok1 || !ok2 || !isToken(method) {
		return malformed("not a request line")
	}
	if string(version) != "HTTP/1.1" {
		if string(version) == "HTTP/1.0" {
			return &Error{505, "HTTP/1.1 is spoken here"}
		}
		return malformed("not a request line")
	}
	if string(method) == "CONNECT" || len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '#') >= 0 {
		return malformed("the target is no path")
	}
	for _, b := range target {
		if b <= ' ' || b > '~' {
			return malformed("a character in the target that has to be escaped")
		}
	}
	// The next read overwrites line.
	methodEnd, targetStart, targetEnd := len(method), len(method)+1, len(method)+1+len(target)
	head, fields, err := h.fields(line[:targetEnd], req.Headers)
	if err != nil {
		return err
	}
	*req = Request{Method: head[:methodEnd], Target: head[targetStart:targetEnd], Headers: fields}
	if req.Headers.Count("Host") != 1 {
		return malformed("not exactly one Host")
	}
	req.Host = req.Headers.Get("Host")
	if strings.ContainsAny(req.Host, " \t,/@") {
		return malformed("Host is %q", req.Host)
	}
	if req.Length, _, err = bodyLength(req.Headers, limits.Body); err != nil {
		return err
	}
	req.Close = hasToken(req.Headers, "Connection", "close")
	req.Expect = req.Length != 0 && strings.EqualFold(req.Headers.Get("Expect"), "100-continue")
	return nil
}

// ReadResponse reads the head of the response to a request with the given method. It skips interim responses (1xx).
func ReadResponse(r *bufio.Reader, method string, limits Limits) (*Response, error) {
	resp := new(Response)
	if err := resp.Read(r, method, limits); err != nil {
		return nil, err
	}
	return resp, nil
}

// Read is like ReadResponse, but reads into resp and reuses its Headers. After an error, resp is invalid.
func (resp *Response) Read(r *bufio.Reader, method string, limits Limits) error {
	h := headReader{r, limits.Head}
	for {
		line, err := h.line()
		if err != nil {
			return err
		}
		// HTTP/1.1 200 OK; the reason phrase is optional.
		if len(line) < 12 || string(line[:9]) != "HTTP/1.1 " || len(line) > 12 && line[12] != ' ' {
			return malformed("not a status line")
		}
		status, err := strconv.Atoi(string(line[9:12]))
		if err != nil || status < 100 || status > 599 {
			return malformed("not a status line")
		}
		_, fields, err := h.fields(nil, resp.Headers)
		if err != nil {
			return err
		}
		if status == 101 {
			return malformed("a change of protocol that nobody asked for")
		}
		if status < 200 {
			continue
		}
		*resp = Response{Status: status, Headers: fields, Close: hasToken(fields, "Connection", "close")}
		length, present, err := bodyLength(fields, limits.Body)
		if err != nil {
			return err
		}
		switch {
		case method == "HEAD" || status == 204 || status == 304:
		case !present:
			// A body that ends with the connection can't be distinguished from a truncated one.
			return malformed("the answer does not say where it ends")
		default:
			resp.Length = length
		}
		return nil
	}
}

// SameName reports whether two field names are equal, ignoring case.
func SameName(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

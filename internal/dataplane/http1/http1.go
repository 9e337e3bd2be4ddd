// Package http1 reads and writes HTTP/1.1 messages (RFC 9112), strictly: what
// two readers could take for two different things is refused. Unlike net/http's
// server it leaves the connection to its user, so that requests sent behind each
// other can run at the same time.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Header is one field, with its name as it was sent.
type Header struct{ Name, Value string }

// Headers are fields in their order.
type Headers []Header

// Get returns the first value of a name.
func (h Headers) Get(name string) string {
	for i := range h {
		if SameName(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how many headers have a name.
func (h Headers) Count(name string) int {
	n := 0
	for i := range h {
		if SameName(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Limits bound a message, in bytes.
type Limits struct {
	Head int
	Body int64
}

// Request is a request without its body.
type Request struct {
	Method  string
	Target  string // path and query as sent
	Host    string
	Headers Headers
	Length  int64 // of the body; -1: in chunks
	Close   bool  // the connection ends behind it
	Expect  bool  // the client waits for 100 before it sends the body
}

// Path returns the target without its query.
func (req *Request) Path() string {
	path, _, _ := strings.Cut(req.Target, "?")
	return path
}

// Response is an answer without its body.
type Response struct {
	Status  int
	Headers Headers
	Length  int64 // of the body; -1: in chunks
	Close   bool
}

// Error is why a message is rejected, with the status for its sender.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func bad(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ReadRequest reads the head of a request. io.EOF means that the peer has ended
// the connection between requests.
func ReadRequest(r *bufio.Reader, limits Limits) (*Request, error) {
	req := new(Request)
	if err := req.Read(r, limits); err != nil {
		return nil, err
	}
	return req, nil
}

// Read is ReadRequest into req. After an error it holds nothing of use.
func (req *Request) Read(r *bufio.Reader, limits Limits) error {
	h := headReader{r, limits.Head}
	line, err := h.line()
	for err == nil && len(line) == 0 && h.left > limits.Head-4 { // RFC 9112, 2.2
		line, err = h.line()
	}
	if err != nil {
		return err
	}
	method, rest, ok1 := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok1 || !ok2 || !token(method) {
		return bad("not a request line")
	}
	if string(version) != "HTTP/1.1" {
		if string(version) == "HTTP/1.0" {
			return &Error{505, "HTTP/1.1 is spoken here"}
		}
		return bad("not a request line")
	}
	if string(method) == "CONNECT" || len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '#') >= 0 {
		return bad("the target is no path")
	}
	for _, b := range target {
		if b <= ' ' || b > '~' {
			return bad("a character in the target that has to be escaped")
		}
	}
	ends, begins, over := len(method), len(method)+1, len(method)+1+len(target) // the line goes with the next read
	head, fields, err := h.fields(line[:over], req.Headers)
	if err != nil {
		return err
	}
	*req = Request{Method: head[:ends], Target: head[begins:over], Headers: fields}
	if req.Headers.Count("Host") != 1 {
		return bad("not exactly one Host")
	}
	req.Host = req.Headers.Get("Host")
	if strings.ContainsAny(req.Host, " \t,/@") {
		return bad("Host is %q", req.Host)
	}
	if req.Length, _, err = framing(req.Headers, limits.Body); err != nil {
		return err
	}
	req.Close = hasToken(req.Headers, "Connection", "close")
	req.Expect = req.Length != 0 && strings.EqualFold(req.Headers.Get("Expect"), "100-continue")
	return nil
}

// ReadResponse reads the head of an answer to a request with the given method;
// interim answers are passed over.
func ReadResponse(r *bufio.Reader, method string, limits Limits) (*Response, error) {
	resp := new(Response)
	if err := resp.Read(r, method, limits); err != nil {
		return nil, err
	}
	return resp, nil
}

// Read is ReadResponse into resp. After an error it holds nothing of use.
func (resp *Response) Read(r *bufio.Reader, method string, limits Limits) error {
	h := headReader{r, limits.Head}
	for {
		line, err := h.line()
		if err != nil {
			return err
		}
		// HTTP/1.1 SSS reason
		if len(line) < 12 || string(line[:9]) != "HTTP/1.1 " || len(line) > 12 && line[12] != ' ' {
			return bad("not a status line")
		}
		status, err := strconv.Atoi(string(line[9:12]))
		if err != nil || status < 100 || status > 599 {
			return bad("not a status line")
		}
		_, fields, err := h.fields(nil, resp.Headers)
		if err != nil {
			return err
		}
		if status == 101 {
			return bad("a change of protocol that nobody asked for")
		}
		if status < 200 {
			continue
		}
		*resp = Response{Status: status, Headers: fields, Close: hasToken(fields, "Connection", "close")}
		length, present, err := framing(fields, limits.Body)
		if err != nil {
			return err
		}
		switch {
		case method == "HEAD" || status == 204 || status == 304:
		case !present:
			// It would end with the connection, and so would one that broke off.
			return bad("the answer does not say where it ends")
		default:
			resp.Length = length
		}
		return nil
	}
}

// SameName reports whether two names are of the same field.
func SameName(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

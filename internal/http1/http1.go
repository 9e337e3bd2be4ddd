// Package http1 reads and writes HTTP/1.1 messages (RFC 9112), strictly: what
// two readers could take for two different things is refused. Unlike net/http's
// server it leaves the connection to its user, so that requests sent behind each
// other can run at the same time.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
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
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how often a name is there.
func (h Headers) Count(name string) int {
	n := 0
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
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
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is an answer without its body.
type Response struct {
	Status  int
	Headers Headers
	Length  int64 // of the body; -1: in chunks
	Close   bool
}

// Error is a message that is not read, with the status that tells its sender.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func bad(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ErrTornBody says that a body ended before its end.
var ErrTornBody = errors.New("http1: the body ended early")

// headReader reads lines and counts their bytes.
type headReader struct {
	r    *bufio.Reader
	left int
}

// line returns the next line without its CRLF. It is valid until the next read.
func (h *headReader) line() ([]byte, error) {
	line, err := h.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		full := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(full) <= h.left {
			line, err = h.r.ReadSlice('\n')
			full = append(full, line...)
		}
		line = full
	}
	if len(line) > h.left || errors.Is(err, bufio.ErrBufferFull) {
		return nil, &Error{431, "the head is too large"}
	}
	h.left -= len(line)
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, bad("a line does not end in CRLF")
	}
	line = line[:len(line)-2]
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, bad("a control character in the head")
		}
	}
	return line, nil
}

func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func token(s string) bool {
	for i := 0; i < len(s); i++ {
		if !isToken(s[i]) {
			return false
		}
	}
	return s != ""
}

// fields reads header fields up to the empty line.
func (h *headReader) fields() (Headers, error) {
	fields := make(Headers, 0, 8)
	for {
		line, err := h.line()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return fields, nil
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, bad("a folded header line")
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !token(name) {
			return nil, bad("a header line without a proper name")
		}
		fields = append(fields, Header{name, strings.Trim(value, " \t")})
	}
}

// framing finds where a message's body ends. present is false where no header
// says so.
func framing(h Headers, limit int64) (length int64, present bool, err error) {
	lengths, codings := 0, 0
	for i := range h {
		switch {
		case strings.EqualFold(h[i].Name, "Content-Length"):
			lengths++
			v := h[i].Value
			if v == "" || len(v) > 18 || strings.Trim(v, "0123456789") != "" {
				return 0, false, bad("Content-Length is %q", v)
			}
			length, _ = strconv.ParseInt(v, 10, 64)
		case strings.EqualFold(h[i].Name, "Transfer-Encoding"):
			codings++
			if !strings.EqualFold(h[i].Value, "chunked") {
				return 0, false, &Error{501, fmt.Sprintf("transfer coding %q", h[i].Value)}
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return 0, false, bad("more than one length of the body")
	case codings == 1:
		return -1, true, nil
	case length > limit:
		return 0, false, &Error{413, "the body is too large"}
	}
	return length, lengths == 1, nil
}

// hasToken tells whether a list header names an option.
func hasToken(h Headers, name, option string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for rest, part := h[i].Value, ""; rest != ""; {
			part, rest, _ = strings.Cut(rest, ",")
			if strings.EqualFold(strings.Trim(part, " \t"), option) {
				return true
			}
		}
	}
	return false
}

// ReadRequest reads the head of a request. io.EOF means that the peer has ended
// the connection between requests.
func ReadRequest(r *bufio.Reader, limits Limits) (*Request, error) {
	h := headReader{r, limits.Head}
	line, err := h.line()
	for err == nil && len(line) == 0 && h.left > limits.Head-4 { // RFC 9112, 2.2
		line, err = h.line()
	}
	if err != nil {
		return nil, err
	}
	method, rest, ok1 := strings.Cut(string(line), " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !token(method) {
		return nil, bad("not a request line")
	}
	if version != "HTTP/1.1" {
		if version == "HTTP/1.0" {
			return nil, &Error{505, "HTTP/1.1 is spoken here"}
		}
		return nil, bad("not a request line")
	}
	if method == "CONNECT" || !strings.HasPrefix(target, "/") || strings.Contains(target, "#") {
		return nil, bad("the target is no path")
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] > '~' {
			return nil, bad("a character in the target that has to be escaped")
		}
	}
	req := &Request{Method: method, Target: target}
	if req.Headers, err = h.fields(); err != nil {
		return nil, err
	}
	if req.Headers.Count("Host") != 1 {
		return nil, bad("not exactly one Host")
	}
	req.Host = req.Headers.Get("Host")
	if strings.ContainsAny(req.Host, " \t,/@") {
		return nil, bad("Host is %q", req.Host)
	}
	if req.Length, _, err = framing(req.Headers, limits.Body); err != nil {
		return nil, err
	}
	req.Close = hasToken(req.Headers, "Connection", "close")
	req.Expect = req.Length != 0 && strings.EqualFold(req.Headers.Get("Expect"), "100-continue")
	return req, nil
}

// ReadResponse reads the head of an answer to a request with the given method;
// interim answers are passed over.
func ReadResponse(r *bufio.Reader, method string, limits Limits) (*Response, error) {
	h := headReader{r, limits.Head}
	for {
		line, err := h.line()
		if err != nil {
			return nil, err
		}
		// HTTP/1.1 SSS reason
		if len(line) < 12 || string(line[:9]) != "HTTP/1.1 " || len(line) > 12 && line[12] != ' ' {
			return nil, bad("not a status line")
		}
		status, err := strconv.Atoi(string(line[9:12]))
		if err != nil || status < 100 || status > 599 {
			return nil, bad("not a status line")
		}
		fields, err := h.fields()
		if err != nil {
			return nil, err
		}
		if status == 101 {
			return nil, bad("a change of protocol that nobody asked for")
		}
		if status < 200 {
			continue
		}
		resp := &Response{Status: status, Headers: fields, Close: hasToken(fields, "Connection", "close")}
		length, present, err := framing(fields, limits.Body)
		if err != nil {
			return nil, err
		}
		switch {
		case method == "HEAD" || status == 204 || status == 304:
		case !present:
			// It would end with the connection, and so would one that broke off.
			return nil, bad("the answer does not say where it ends")
		default:
			resp.Length = length
		}
		return resp, nil
	}
}

// ReadBody reads the whole body that a head announced. Trailers are dropped.
// An Error is a body that is not well formed or too large.
func ReadBody(r *bufio.Reader, length int64, limits Limits) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		if length <= 64<<10 {
			body := make([]byte, length)
			return body, torn(io.ReadFull(r, body))
		}
		// Memory is taken as bytes come, not as they are announced.
		var body bytes.Buffer
		n, err := io.CopyN(&body, r, length)
		return body.Bytes(), torn(int(n), err)
	}
	var body []byte
	for {
		h := headReader{r, 64}
		line, err := h.line()
		if err != nil {
			return nil, torn(0, err)
		}
		size, ext, _ := strings.Cut(string(line), ";")
		_ = ext // extensions mean nothing here
		if size == "" || len(size) > 15 || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
			return nil, bad("a chunk's size is %q", size)
		}
		n, err := strconv.ParseInt(size, 16, 64)
		if err != nil {
			return nil, bad("a chunk's size is %q", size)
		}
		if n == 0 {
			trailer := headReader{r, 8 << 10}
			_, err := trailer.fields()
			return body, torn(0, err)
		}
		if int64(len(body))+n > limits.Body {
			return nil, &Error{413, "the body is too large"}
		}
		at := len(body)
		for left := n; left > 0; {
			step := min(left, 64<<10)
			body = append(body, make([]byte, step)...)
			if _, err := io.ReadFull(r, body[at:at+int(step)]); err != nil {
				return nil, torn(0, err)
			}
			at, left = at+int(step), left-step
		}
		var end [2]byte
		if _, err := io.ReadFull(r, end[:]); err != nil {
			return nil, torn(0, err)
		}
		if string(end[:]) != "\r\n" {
			return nil, bad("a chunk is longer than its size")
		}
	}
}

// torn makes the end of the connection inside a body an error of its own.
func torn(_ int, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTornBody
	}
	return err
}

// hop lists the fields that concern one connection only, and those that a
// message of ours states itself.
var hop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
}

// EndToEnd returns the fields that go along with a message to the next hop,
// without those whose lower-case names are given as well.
func EndToEnd(h Headers, but ...string) Headers {
	out := make(Headers, 0, len(h))
next:
	for _, f := range h {
		name := strings.ToLower(f.Name)
		if hop[name] || hasToken(h, "Connection", name) {
			continue
		}
		for _, b := range but {
			if name == b {
				continue next
			}
		}
		out = append(out, f)
	}
	return out
}

// AppendRequest writes a request with a body of known length.
func AppendRequest(dst []byte, method, target string, h Headers, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendFields(dst, h)
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendResponse writes an answer with a body of known length. bodyless is an
// answer that may not have one.
func AppendResponse(dst []byte, status int, h Headers, body []byte, bodyless, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(status)...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, h)
	if close {
		dst = append(dst, "Connection: close\r\n"...)
	}
	if !bodyless {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	if bodyless {
		return dst
	}
	return append(dst, body...)
}

func appendFields(dst []byte, h Headers) []byte {
	for _, f := range h {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 204: "No Content", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
	413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

func reason(status int) string {
	if text, ok := reasons[status]; ok {
		return text
	}
	return "Status"
}

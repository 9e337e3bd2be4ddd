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
	"slices"
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

// Count returns how often a name is there.
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

func token(s []byte) bool {
	for _, b := range s {
		if !isToken(b) {
			return false
		}
	}
	return len(s) > 0
}

// field is where a header line's parts stand in a head.
type field struct{ name, value, end int }

// fields reads header fields up to the empty line. They are slices of one string, which is all of a head that stays:
// it begins with first. The fields take the place of those in into.
func (h *headReader) fields(first []byte, into Headers) (head string, _ Headers, _ error) {
	var text [768]byte // heads are seldom longer; a longer one takes memory of its own
	var places [24]field
	buf, at := append(text[:0], first...), places[:0]
	for {
		line, err := h.line()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", nil, err
		}
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return "", nil, bad("a folded header line")
		}
		colon := bytes.IndexByte(line, ':')
		if colon < 0 || !token(line[:colon]) {
			return "", nil, bad("a header line without a proper name")
		}
		value := bytes.Trim(line[colon+1:], " \t")
		f := field{name: len(buf)}
		buf = append(buf, line[:colon]...)
		f.value = len(buf)
		buf = append(buf, value...)
		f.end = len(buf)
		at = append(at, f)
	}
	head = string(buf)
	fields := slices.Grow(into[:0], len(at))
	for _, f := range at {
		fields = append(fields, Header{head[f.name:f.value], head[f.value:f.end]})
	}
	return head, fields, nil
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
			_, _, err := trailer.fields(nil, nil)
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
var hop = []string{
	"connection", "content-length", "transfer-encoding", "keep-alive", "expect", "te", "trailer", "upgrade",
	"proxy-connection", "proxy-authenticate", "proxy-authorization",
}

// SameName tells whether two names are of the same field.
func SameName(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// isOneOf tells whether a field's name is in a list.
func isOneOf(name string, list []string) bool {
	for _, l := range list {
		if SameName(l, name) {
			return true
		}
	}
	return false
}

// AppendEndToEnd writes the fields that go along with a message to the next hop,
// as lines of a head, without those whose names are given as well.
func AppendEndToEnd(dst []byte, h Headers, but ...string) []byte {
	options := h.Count("Connection") > 0
	for i := range h {
		if name := h[i].Name; isOneOf(name, hop) || isOneOf(name, but) || options && hasToken(h, "Connection", name) {
			continue
		}
		dst = AppendField(dst, h[i].Name, h[i].Value)
	}
	return dst
}

// AppendField writes one line of a head.
func AppendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendRequestLine writes a request's first line.
func AppendRequestLine(dst []byte, method, target string) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	return append(dst, " HTTP/1.1\r\n"...)
}

// AppendRequestBody ends a request's head, behind its fields, and writes its body.
func AppendRequestBody(dst []byte, method string, body []byte) []byte {
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		dst = appendLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// AppendResponse writes an answer with a body of known length. fields are lines of
// its head; bodyless is an answer that may not have a body.
func AppendResponse(dst []byte, status int, fields, body []byte, bodyless, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(status)...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, fields...)
	if close {
		dst = append(dst, "Connection: close\r\n"...)
	}
	if !bodyless {
		dst = appendLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	if bodyless {
		return dst
	}
	return append(dst, body...)
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

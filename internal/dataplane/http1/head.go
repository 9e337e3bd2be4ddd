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

// headReader reads the lines of a head of limited size.
type headReader struct {
	r         *bufio.Reader
	remaining int // bytes left of the limit
}

// line returns the next line without its CRLF. The slice is valid until the next read.
func (h *headReader) line() ([]byte, error) {
	line, err := h.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		full := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(full) <= h.remaining {
			line, err = h.r.ReadSlice('\n')
			full = append(full, line...)
		}
		line = full
	}
	if len(line) > h.remaining || errors.Is(err, bufio.ErrBufferFull) {
		return nil, &Error{431, "the head is too large"}
	}
	h.remaining -= len(line)
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, malformed("a line does not end in CRLF")
	}
	line = line[:len(line)-2]
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, malformed("a control character in the head")
		}
	}
	return line, nil
}

func isTokenChar(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isToken(s []byte) bool {
	for _, b := range s {
		if !isTokenChar(b) {
			return false
		}
	}
	return len(s) > 0
}

// fieldOffsets holds the offsets of a field's name and value, and of the end of the value, in the text of a head.
type fieldOffsets struct{ name, value, end int }

// fields reads header fields up to the empty line. It copies first and the fields into one string, head. The returned fields
// are substrings of head and overwrite the elements of reuse.
func (h *headReader) fields(first []byte, reuse Headers) (head string, _ Headers, _ error) {
	var textSpace [768]byte // on the stack; larger heads are moved to the heap
	var offsetSpace [24]fieldOffsets
	text, offsets := append(textSpace[:0], first...), offsetSpace[:0]
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
			return "", nil, malformed("a folded header line")
		}
		colon := bytes.IndexByte(line, ':')
		if colon < 0 || !isToken(line[:colon]) {
			return "", nil, malformed("a header line without a proper name")
		}
		value := bytes.Trim(line[colon+1:], " \t")
		f := fieldOffsets{name: len(text)}
		text = append(text, line[:colon]...)
		f.value = len(text)
		text = append(text, value...)
		f.end = len(text)
		offsets = append(offsets, f)
	}
	head = string(text)
	fields := slices.Grow(reuse[:0], len(offsets))
	for _, f := range offsets {
		fields = append(fields, Header{head[f.name:f.value], head[f.value:f.end]})
	}
	return head, fields, nil
}

// bodyLength returns the length of a message's body in bytes, or -1 if it is chunked. present is false if no field states
// the length.
func bodyLength(h Headers, limit int64) (length int64, present bool, err error) {
	lengths, codings := 0, 0
	for i := range h {
		switch {
		case strings.EqualFold(h[i].Name, "Content-Length"):
			lengths++
			v := h[i].Value
			if v == "" || len(v) > 18 || strings.Trim(v, "0123456789") != "" {
				return 0, false, malformed("Content-Length is %q", v)
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
		return 0, false, malformed("more than one length of the body")
	case codings == 1:
		return -1, true, nil
	case length > limit:
		return 0, false, &Error{413, "the body is too large"}
	}
	return length, lengths == 1, nil
}

// hasToken reports whether the comma-separated values of a field contain an option, ignoring case.
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

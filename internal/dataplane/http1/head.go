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

// hasToken reports whether a list header names an option.
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

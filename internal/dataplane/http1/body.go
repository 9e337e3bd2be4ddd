package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// ErrTruncatedBody is returned if the connection ends within a body.
var ErrTruncatedBody = errors.New("http1: the body ended early")

// ReadBody reads a body of the given length, or a chunked body if length is negative, and discards trailers. It returns an
// Error if a chunked body is malformed or too large.
func ReadBody(r *bufio.Reader, length int64, limits Limits) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		if length <= 64<<10 {
			body := make([]byte, length)
			return body, asTruncated(io.ReadFull(r, body))
		}
		// The buffer grows with the received bytes, so that a Content-Length alone can't allocate much memory.
		var body bytes.Buffer
		n, err := io.CopyN(&body, r, length)
		return body.Bytes(), asTruncated(int(n), err)
	}
	var body []byte
	for {
		h := headReader{r, 64}
		line, err := h.line()
		if err != nil {
			return nil, asTruncated(0, err)
		}
		digits, extensions, _ := strings.Cut(string(line), ";")
		_ = extensions // ignored (RFC 9112, 7.1.1)
		if digits == "" || len(digits) > 15 || strings.Trim(digits, "0123456789abcdefABCDEF") != "" {
			return nil, malformed("a chunk's size is %q", digits)
		}
		size, err := strconv.ParseInt(digits, 16, 64)
		if err != nil {
			return nil, malformed("a chunk's size is %q", digits)
		}
		if size == 0 {
			trailer := headReader{r, 8 << 10}
			_, _, err := trailer.fields(nil, nil)
			return body, asTruncated(0, err)
		}
		if int64(len(body))+size > limits.Body {
			return nil, &Error{413, "the body is too large"}
		}
		offset := len(body)
		for remaining := size; remaining > 0; {
			step := min(remaining, 64<<10)
			body = append(body, make([]byte, step)...)
			if _, err := io.ReadFull(r, body[offset:offset+int(step)]); err != nil {
				return nil, asTruncated(0, err)
			}
			offset, remaining = offset+int(step), remaining-step
		}
		var crlf [2]byte
		if _, err := io.ReadFull(r, crlf[:]); err != nil {
			return nil, asTruncated(0, err)
		}
		if string(crlf[:]) != "\r\n" {
			return nil, malformed("a chunk is longer than its size")
		}
	}
}

// asTruncated replaces io.EOF and io.ErrUnexpectedEOF by ErrTruncatedBody. It takes the results of an io function and ignores
// the count.
func asTruncated(_ int, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncatedBody
	}
	return err
}

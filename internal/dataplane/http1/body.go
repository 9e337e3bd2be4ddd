package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// ErrTornBody is the error for a truncated body.
var ErrTornBody = errors.New("http1: the body ended early")

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

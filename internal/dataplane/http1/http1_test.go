package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

var limits = Limits{Head: 1024, Body: 4096}

func read(text string) (*Request, []byte, *bufio.Reader, error) {
	r := bufio.NewReader(strings.NewReader(text))
	req, err := ReadRequest(r, limits)
	if err != nil {
		return nil, nil, r, err
	}
	body, err := ReadBody(r, req.Length, limits)
	return req, body, r, err
}

// TestAmbiguousRequests checks that requests that two implementations could interpret differently are rejected.
func TestAmbiguousRequests(t *testing.T) {
	const line, host = "GET /a/ HTTP/1.1\r\n", "Host: h\r\n"
	for name, test := range map[string]struct {
		text   string
		status int // zero if the connection ends without a response
	}{
		"both lengths":           {line + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":            {line + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"a signed length":        {line + host + "Content-Length: +3\r\n\r\nabc", 400},
		"a list of lengths":      {line + host + "Content-Length: 3, 3\r\n\r\nabc", 400},
		"another coding":         {line + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"bare LF":                {"GET /a/ HTTP/1.1\nHost: h\n\n", 400},
		"bare CR":                {line + "Host: h\rX: y\r\n\r\n", 400},
		"a folded line":          {line + host + "A: b\r\n c\r\n\r\n", 400},
		"space before the colon": {line + host + "Content-Length : 3\r\n\r\nabc", 400},
		"no colon":               {line + host + "Content-Length\r\n\r\n", 400},
		"no Host":                {line + "\r\n", 400},
		"two Hosts":              {line + host + host + "\r\n", 400},
		"a control character":    {line + host + "A: \x00\r\n\r\n", 400},
		"two spaces":             {"GET  /a/ HTTP/1.1\r\n" + host + "\r\n", 400},
		"an absolute target":     {"GET http://h/a/ HTTP/1.1\r\n" + host + "\r\n", 400},
		"HTTP/1.0":               {"GET /a/ HTTP/1.0\r\n" + host + "\r\n", 505},
		"a large head":           {line + host + "A: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431},
		"a large body":           {line + host + "Content-Length: 5000\r\n\r\n", 413},
		"large chunks":           {line + host + "Transfer-Encoding: chunked\r\n\r\nffff\r\n", 413},
		"an odd chunk size":      {line + host + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400},
		"a long chunk":           {line + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
		"an empty chunk size":    {line + host + "Transfer-Encoding: chunked\r\n\r\n;a=b\r\n", 400},
		"a truncated head":       {line + "Host:", 0},
		"a truncated body":       {line + host + "Content-Length: 9\r\n\r\nabc", 0},
	} {
		_, _, _, err := read(test.text)
		var e *Error
		switch {
		case err == nil:
			t.Errorf("%s: request accepted, want an error", name)
		case test.status == 0 && errors.As(err, &e), test.status != 0 && (!errors.As(err, &e) || e.Status != test.status):
			t.Errorf("%s: got error %v, want status %d", name, err, test.status)
		}
	}
}

func TestPipelinedRequestsAndChunks(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("POST /a?x=%41&y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3\r\nabc\r\n02;q=1\r\nde\r\n0\r\nT: x\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\nConnection: a, Close\r\n\r\n"))
	req, err := ReadRequest(r, limits)
	if err != nil || req.Target != "/a?x=%41&y" || req.Path() != "/a" {
		t.Fatalf("first request: got %+v, error %v", req, err)
	}
	if body, err := ReadBody(r, req.Length, limits); err != nil || string(body) != "abcde" {
		t.Fatalf("body of the first request: got %q, %v, want \"abcde\"", body, err)
	}
	if req, err = ReadRequest(r, limits); err != nil || req.Target != "/b" || !req.Close {
		t.Fatalf("second request: got %+v, error %v", req, err)
	}
	if _, err = ReadRequest(r, limits); !errors.Is(err, io.EOF) {
		t.Fatalf("read after the last request: got %v, want EOF", err)
	}
}

func TestResponses(t *testing.T) {
	for text, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                           true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": true,
		"HTTP/1.1 204 No Content\r\n\r\n":                                                          true,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                                false, // no length: may be truncated
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok":                                           false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":      false,
		"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n":                                              false,
		"HTTP/1.1 101 X\r\n\r\n":                                                                   false,
		"ICY 200 OK\r\nContent-Length: 0\r\n\r\n":                                                  false,
	} {
		r := bufio.NewReader(strings.NewReader(text))
		resp, err := ReadResponse(r, "GET", limits)
		if err == nil {
			_, err = ReadBody(r, resp.Length, limits)
		}
		if (err == nil) != valid {
			t.Errorf("%q: wrong result: error %v", text, err)
		}
	}
}

func TestHopByHopHeaders(t *testing.T) {
	got := string(AppendEndToEnd(nil, Headers{{"Connection", "X-A, keep-alive"}, {"X-A", "1"}, {"X-B", "2"}, {"TE", "x"}, {"Target-Instance", "i"}}, "target-instance"))
	if got != "X-B: 2\r\n" {
		t.Errorf("got %q, want only X-B", got)
	}
}

// FuzzRequest compares the parser with net/http: a request that both accept must have the same method, target and body. The
// parser may reject more.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"PUT /x?a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		req, err := ReadRequest(r, limits)
		if err != nil {
			return
		}
		body, err := ReadBody(r, req.Length, limits)
		if err != nil {
			return
		}
		std := bufio.NewReader(bytes.NewReader(data))
		want, err := http.ReadRequest(std)
		if err != nil {
			return // net/http rejects some methods and targets that this package accepts
		}
		wantBody, err := io.ReadAll(want.Body)
		if err != nil {
			return
		}
		if req.Method != want.Method || req.Target != want.RequestURI || !bytes.Equal(body, wantBody) {
			t.Errorf("parsed as %s %s %q, by net/http as %s %s %q", req.Method, req.Target, body, want.Method, want.RequestURI, wantBody)
		}
		// A rewritten request must parse to the same result.
		rewritten := AppendRequestBody(AppendEndToEnd(AppendRequestLine(nil, req.Method, req.Target), req.Headers), req.Method, body)
		if req2, body2, _, err := read(string(rewritten)); err != nil || req2.Target != req.Target || !bytes.Equal(body, body2) {
			t.Errorf("%q rewritten as %q: the results differ, or error %v", data, rewritten, err)
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	text := "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: 9c41d07be2a35f68\r\nTime-Budget: 2500\r\nContent-Length: 5\r\n\r\nhello"
	src := strings.NewReader(text)
	r := bufio.NewReader(src)
	b.ReportAllocs()
	for b.Loop() {
		src.Reset(text)
		r.Reset(src)
		req, err := ReadRequest(r, limits)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ReadBody(r, req.Length, limits); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzResponse compares the parser with net/http: a response that both accept must have the same status and body.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		resp, err := ReadResponse(r, "GET", limits)
		if err != nil {
			return
		}
		body, err := ReadBody(r, resp.Length, limits)
		if err != nil {
			return
		}
		std := bufio.NewReader(bytes.NewReader(data))
		want, err := http.ReadResponse(std, nil)
		for err == nil && want.StatusCode/100 == 1 {
			want, err = http.ReadResponse(std, nil)
		}
		if err != nil {
			return
		}
		wantBody, err := io.ReadAll(want.Body)
		if err != nil {
			return
		}
		if resp.Status != want.StatusCode || !bytes.Equal(body, wantBody) {
			t.Errorf("parsed as %d %q, by net/http as %d %q", resp.Status, body, want.StatusCode, wantBody)
		}
	})
}

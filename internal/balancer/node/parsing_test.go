package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Invalid requests must be rejected with a status after which clients do not retry, and
// must not reach a server.
func TestBadRequests(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	const head = " HTTP/1.1\r\nHost: app.svc\r\n"
	const common = "X-Txn: 1\r\nX-Remaining-Ms: 15000\r\n"
	const look, note, act = "X-Lane: look\r\n", "X-Lane: note\r\n", "X-Lane: act\r\n"
	const whole = common + look
	for name, text := range map[string]string{
		"unknown path":          "GET /nothing/1" + head + common + "X-Lane: nothing\r\n\r\n",
		"no path":               "GET /" + head + common + "\r\n",
		"asterisk":              "OPTIONS *" + head + common + "\r\n",
		"class and path differ": "GET /look/1" + head + common + act + "\r\n",
		"double slash":          "GET //look/1" + head + common + "\r\n",
		"no time":               "GET /look/1" + head + look + "X-Txn: 1\r\n\r\n",
		"negative time":         "GET /look/1" + head + look + "X-Txn: 1\r\nX-Remaining-Ms: -5\r\n\r\n",
		"huge time":             "GET /look/1" + head + look + "X-Txn: 1\r\nX-Remaining-Ms: 9223372036854775807\r\n\r\n",
		"time is no number":     "GET /look/1" + head + look + "X-Txn: 1\r\nX-Remaining-Ms: soon\r\n\r\n",
		"no id":                 "GET /look/1" + head + look + "X-Remaining-Ms: 15000\r\n\r\n",
		"negative estimate":     "GET /look/1" + head + whole + "X-Estimate: -1\r\n\r\n",
		"wrong method":          "POST /look/1" + head + whole + "Content-Length: 0\r\n\r\n",
		"unexpected body":       "GET /look/1" + head + whole + "Content-Length: 1\r\n\r\nx",
		"keyed without a key":   "POST /note/1" + head + common + note + "Content-Length: 0\r\n\r\n",
		"body too large":        "POST /act/1" + head + common + act + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
		"chunks too large":      "POST /act/1" + head + common + act + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n",
		"broken chunks":         "POST /act/1" + head + common + act + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"bad header":            "GET /look/1" + head + look + "a b: c\r\n\r\n",
		"no HTTP":               "hello\r\n\r\n",
		"headers too large":     "GET /look/1" + head + look + "X-Long: " + strings.Repeat("x", 40000) + "\r\n\r\n",
		"no class in the head":  "GET /look/1" + head + common + "\r\n",
		"two classes":           "GET /look/1" + head + whole + act + "\r\n",
		"two ids":               "GET /look/1" + head + whole + "X-Txn: 2\r\n\r\n",
		"two times":             "GET /look/1" + head + whole + "X-Remaining-Ms: 5\r\n\r\n",
		"HTTP/1.0":              "GET /look/1 HTTP/1.0\r\nHost: app.svc\r\n" + whole + "\r\n",
		"two lengths":           "POST /act/1" + head + common + act + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
	} {
		t.Run(name, func(t *testing.T) {
			c := dialRaw(t, n)
			go io.WriteString(c, text) // the node may stop reading before the end
			if resp := c.receive(t); resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == 429 {
				t.Errorf("got %s, want 4xx other than 429", resp.Status)
			}
		})
	}
	if s.requestCount() != 0 {
		t.Errorf("%d invalid requests reached the server", s.requestCount())
	}
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
		t.Errorf("a valid request afterwards got %q", body)
	}
}

// A request with both Content-Length and chunked encoding is ambiguous. Bytes of its body
// must not be interpreted as another request.
func TestRequestSmuggling(t *testing.T) {
	s := newFakeServer(t, respond("fine"))
	n := startNodeWithServers(t, s)
	const head = " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 1\r\nX-Remaining-Ms: 15000\r\n"
	for name, text := range map[string]string{
		"idempotent, wrong method": "POST /look/1" + head,
		"idempotent":               "GET /look/1" + head + "X-Lane: look\r\n",
		"not idempotent":           "POST /act/1" + head + "X-Lane: act\r\n",
		"unknown class":            "POST /nothing/1" + head,
		"the node's own path":      "POST /ready" + head,
	} {
		for order, lengths := range map[string]string{
			"length first": "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			"chunks first": "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n",
		} {
			t.Run(name+", "+order, func(t *testing.T) {
				body := "0\r\n\r\n" + rawRequest
				c := dialRaw(t, n)
				c.send(t, text+fmt.Sprintf(lengths, len(body))+body)
				if resp := c.receive(t); resp.StatusCode < 400 || resp.StatusCode > 499 || !resp.Close {
					t.Errorf("got %s, close %v; want 4xx and a close", resp.Status, resp.Close)
				}
				if rest, _ := io.ReadAll(c.reader); len(rest) > 0 {
					t.Errorf("a request inside the body got a response: %q", rest)
				}
			})
		}
	}
	if s.requestCount() != 0 {
		t.Errorf("%d requests reached the server", s.requestCount())
	}
}

// TestListInstancesAreBounded guards against a list whose instances of three bytes each take the node over its memory.
func TestListInstancesAreBounded(t *testing.T) {
	empty := strings.Repeat("{},", maxInstances)
	if _, err := parseList([]byte(`{"generation":1,"instances":[` + empty + `{}]}`)); err == nil || !strings.Contains(err.Error(), "more than 100000 instances") {
		t.Errorf("error %v, want one that names the bound", err)
	}
}

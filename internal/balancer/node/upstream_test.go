package node

import (
	"fmt"
	"strings"
	"testing"
)

// A response over the size limits must fail the attempt at once, not at its timeout, even
// if the server keeps sending.
func TestResponseOverSizeLimit(t *testing.T) {
	const maxBytes = 256 << 10 // upper bound on the bytes read before the failure
	for name, c := range map[string]struct{ start, more string }{
		"head":          {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppppppppppp\r\n"},
		"line":          {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppp"},
		"interims":      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "pppppppppppppppp"},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\npppp\r\n"},
		"up to a close": {"HTTP/1.1 200 OK\r\n\r\n", "pppppppppppppppp"},
	} {
		t.Run(name, func(t *testing.T) {
			node, server := pipeConn(t)
			taken := make(chan int)
			go func() {
				n, err := fmt.Fprint(server, c.start)
				for err == nil && n < 4*maxBytes {
					var more int
					more, err = fmt.Fprint(server, strings.Repeat(c.more, 64))
					n += more
				}
				server.Close()
				taken <- n
			}()
			_, _, err := node.read("GET")
			node.Conn.Close()
			if n := <-taken; err == nil || isTimeout(err) || n > maxBytes {
				t.Errorf("read %d bytes, error %v; want an error other than a timeout", n, err)
			}
		})
	}
}

// Responses of the maximum size must be read completely, and so must the next one.
func TestResponseOfMaximumSize(t *testing.T) {
	node, server := pipeConn(t)
	pad := "X-Pad: " + strings.Repeat("p", maxHeaderBytes-200) + "\r\n"
	body := strings.Repeat("b", maxBodyBytes)
	go func() {
		for range 3 {
			fmt.Fprintf(server, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s",
				pad, len(body), body)
			fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				len(body), body)
		}
	}()
	for i := range 6 {
		if _, got, err := node.read("GET"); err != nil || string(got) != body {
			t.Fatalf("response %d: got %d bytes, %v", i, len(got), err)
		}
	}
}

// A response with an ambiguous length must be rejected: part of it could be used as the
// whole, or the following bytes as another response.
func TestUncertainAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string // the body; empty if the response must be rejected
	}{
		"length":                           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine"},
		"chunks":                           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", "fine"},
		"Content-Length in a chunked body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n\nContent-Length: 4\r\n0\r\n\r\n", "\nContent-Length: 4"},
		"up to an announced close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine", "fine"},
		"up to an unannounced close":       {"HTTP/1.1 200 OK\r\n\r\nfi", ""},
		"length and chunks":                {"HTTP/1.1 200 OK\r\ncontent-length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", ""},
		"chunks and length":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n", ""},
		"two lengths":                      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nfine", ""},
		"short":                            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine", ""},
		"invalid chunk size":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfine\r\n0\r\n\r\n", ""},
		"after an interim response":        {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			node, server := pipeConn(t)
			go func() {
				fmt.Fprint(server, c.text)
				server.Close()
			}()
			_, body, err := node.read("GET")
			if string(body) != c.want || (err == nil) != (c.want != "") {
				t.Errorf("read %q, %v; want %q", body, err, c.want)
			}
		})
	}
}

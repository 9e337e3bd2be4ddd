package node

import (
	"fmt"
	"strings"
	"testing"
)

// An answer that is too large must end the attempt as soon as that shows: a
// server that goes on sending would else keep it to its time-out.
func TestEndlessAnswers(t *testing.T) {
	const most = 256 << 10 // bytes that may be taken before it must show
	for name, c := range map[string]struct{ start, more string }{
		"head":     {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppppppppppp\r\n"},
		"line":     {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppp"},
		"interims": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"length":   {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "pppppppppppppppp"},
		"chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\npppp\r\n"},
		"to close": {"HTTP/1.1 200 OK\r\n\r\n", "pppppppppppppppp"},
	} {
		t.Run(name, func(t *testing.T) {
			node, server := pipeConn(t)
			taken := make(chan int)
			go func() {
				n, err := fmt.Fprint(server, c.start)
				for err == nil && n < 4*most {
					var more int
					more, err = fmt.Fprint(server, strings.Repeat(c.more, 64))
					n += more
				}
				server.Close()
				taken <- n
			}()
			_, _, err := node.read("GET")
			node.Conn.Close()
			if n := <-taken; err == nil || isTimeout(err) || n > most {
				t.Errorf("after %d bytes: %v", n, err)
			}
		})
	}
}

// What is no larger than it may be is read whole, and the next answer after it.
func TestLargestAnswers(t *testing.T) {
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
			t.Fatalf("answer %d: %d bytes, %v", i, len(got), err)
		}
	}
}

// An answer of which it is not certain where it ends is a broken one: a part of
// it could be served for the whole, or what follows it for another answer.
func TestUncertainAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string // the body; none: the answer is broken
	}{
		"length":                  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine"},
		"chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", "fine"},
		"chunks, said in a body":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n\nContent-Length: 4\r\n0\r\n\r\n", "\nContent-Length: 4"},
		"to a close it announces": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine", "fine"},
		"to an end":               {"HTTP/1.1 200 OK\r\n\r\nfi", ""},
		"length and chunks":       {"HTTP/1.1 200 OK\r\ncontent-length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", ""},
		"chunks and length":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n", ""},
		"two lengths":             {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nfine", ""},
		"short":                   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine", ""},
		"no chunk":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfine\r\n0\r\n\r\n", ""},
		"after an interim one":    {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine"},
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

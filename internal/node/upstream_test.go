package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/decide"
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
	pad := "X-Pad: " + strings.Repeat("p", mostHeader-200) + "\r\n"
	body := strings.Repeat("b", mostBody)
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

// Where connections break when they are used again, a request that must not run
// twice must not go out on one: it could not be sent again. A new connection is
// no more expensive for any other request than it was.
func TestNoRiskForUnsafe(t *testing.T) {
	var breaking atomic.Bool
	s := newServer(t, nil)
	answered := map[string]bool{} // by the client's end of a connection
	var mu sync.Mutex
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		again := answered[r.RemoteAddr]
		answered[r.RemoteAddr] = true
		mu.Unlock()
		if again && breaking.Load() {
			cut(w, r)
			return
		}
		io.WriteString(w, "fine")
	})
	u := withServers(t, s).upstream
	p := &peer{id: "s0", address: s.addr()}
	send := func(once bool) decide.Result {
		q := &call{method: "POST", uri: "/act/1", host: "app.svc", txn: "1", once: once}
		result, _ := u.attempt(t.Context(), p, q, u.clock.now()+patience)
		return result
	}
	for range 10 {
		if got := send(true); got != decide.Served {
			t.Fatalf("attempt: %v", got)
		}
	}
	if came, _ := s.connections(); came != 1 {
		t.Errorf("%d connections while none broke", came)
	}
	// Whatever the span of the idle times here: each is found to break.
	breaking.Store(true)
	for i := range u.reuse[1:] {
		for range 4 {
			u.booked(1+i, true)
		}
	}
	for i := range 5 {
		if got := send(true); got != decide.Served {
			t.Errorf("unsafe attempt %d on a connection that breaks: %v", i, got)
		}
	}
	if got := send(false); got != decide.Broken {
		t.Errorf("safe attempt: %v, want one that goes on using connections again", got)
	}
}

// What is held against idle times must need more than one break, be measured
// against new connections, and fade.
func TestReuseFades(t *testing.T) {
	u := newUpstream(newClock(), newSockets(1024), &decide.Settings{})
	at := span(300 * time.Millisecond)
	if at == span(time.Millisecond) || span(-1) != 1 || span(time.Hour) != reuseSpans-1 {
		t.Errorf("spans %d, %d, %d", at, span(time.Millisecond), span(time.Hour))
	}
	for range 20 {
		u.booked(at, false)
		u.booked(at-3, false)
	}
	u.booked(at, true)
	if u.risky(at, u.reuse[at].at) {
		t.Error("one break is enough")
	}
	u.booked(at, true)
	u.booked(at, true)
	now := u.reuse[at].at
	if !u.risky(at, now) || !u.risky(at-1, now) {
		t.Error("three breaks say nothing of their span, or of one that is little used")
	}
	if u.risky(at+1, now) || u.risky(at-3, now) {
		t.Error("they count against longer idle times, or against one that proves to be safe")
	}
	if u.risky(at, now+time.Minute) {
		t.Error("they still count after a minute")
	}
	for range 3 {
		u.booked(0, true)
	}
	if u.risky(at, now) {
		t.Error("new connections break as often")
	}
}

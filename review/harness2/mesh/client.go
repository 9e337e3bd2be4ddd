package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// NewID returns an Attempt-Id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request returns the bytes of a request.
func Request(method, path, id string, budgetMs int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\n", method, path, id, budgetMs)
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// Answer is what a client has received.
type Answer struct {
	Status int // 0 if the connection ended or the time was over before a whole answer
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

// Do sends a request on a new connection and waits for the whole answer.
func (m *Mesh) Do(n int, method, path, id string, budgetMs int, body []byte) Answer {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", m.Address(n, Outbound), time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	a := Exchange(conn, Request(method, path, id, budgetMs, body), method, start.Add(time.Duration(budgetMs+500)*time.Millisecond))
	a.Took = time.Since(start)
	return a
}

// Exchange writes a request and reads one answer.
func Exchange(conn net.Conn, request []byte, method string, deadline time.Time) Answer {
	conn.SetDeadline(deadline)
	go conn.Write(request)
	return ReadAnswer(bufio.NewReader(conn), method)
}

// ReadAnswer reads one answer.
func ReadAnswer(r *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
}

package proxy

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

var (
	cutBytes = flag.Int("cuts", 420, "number of bytes per direction after each of which the connection between two nodes is cut")
	scripted = flag.Int("scripted", 3, "number of requests in a script of server behaviours")
)

// followUpInterval is the number of cuts between two follow-up requests.
const followUpInterval = 30

// behaviour is how a server responds to one request.
type behaviour int

const (
	ownResponse           behaviour = iota // complete, in one write
	byteByByte                             // one byte at a time
	interimBefore                          // preceded by interim responses (1xx)
	otherBefore                            // preceded by a Not-Executed response to another request
	otherAfter                             // followed by a response to another request
	doubled                                // the response is sent twice
	cutInHead                              // the connection is closed within the head
	cutInBody                              // the connection is closed within the body
	noResponse                             // the connection is closed without a response
	ownNotExecuted                         // a Not-Executed response
	otherNotExecuted                       // a Not-Executed response to another request, then the connection is closed
	otherNotExecutedClose                  // the same with "Connection: close"
	chunkedTrailer                         // chunked, with a trailer that names another request
	behaviours                             // number of behaviours
)

// scriptedServer is a server that responds to its requests, over all connections, by a script with one behaviour per request.
type scriptedServer struct {
	mu     sync.Mutex
	script []behaviour
	runs   map[string]int // by Attempt-Id
	next   int
}

// step returns the behaviour for the next request and counts its run.
func (s *scriptedServer) step(id string) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.script[min(s.next, len(s.script)-1)]
	s.next++
	if next != ownNotExecuted {
		s.runs[id]++
	}
	return next
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !s.respond(conn, req.Header.Get("Attempt-Id")) {
			return
		}
	}
}

// respond writes the response that the script specifies. It returns false if the connection is to be closed.
func (s *scriptedServer) respond(w io.Writer, id string) bool {
	own := sealedResponse(id, id)
	other := sealedResponse("other", "other")
	notExecuted := "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
	next := s.step(id)
	switch next {
	case ownResponse:
		io.WriteString(w, own)
	case byteByByte:
		for i := range own {
			io.WriteString(w, own[i:i+1])
		}
	case interimBefore:
		io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nAttempt-Id: other\r\n\r\n"+own)
	case otherBefore:
		io.WriteString(w, fmt.Sprintf(notExecuted, "other")+own)
	case otherAfter:
		io.WriteString(w, own)
		io.WriteString(w, other)
	case doubled:
		io.WriteString(w, own)
		io.WriteString(w, own)
	case cutInHead:
		io.WriteString(w, own[:30])
	case cutInBody:
		io.WriteString(w, own[:len(own)-1])
	case ownNotExecuted:
		fmt.Fprintf(w, notExecuted, id)
	case otherNotExecuted:
		fmt.Fprintf(w, notExecuted, "other")
	case otherNotExecutedClose:
		io.WriteString(w, "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: other\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	case chunkedTrailer:
		head := "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		fmt.Fprintf(w, "%s%x\r\n%s\r\n0\r\nAttempt-Id: other\r\nNot-Executed: 1\r\n\r\n", head, len(id), id)
	}
	return next != cutInHead && next != cutInBody && next != noResponse && next != otherNotExecuted && next != otherNotExecutedClose
}

// sealedResponse returns a complete response to the request with an id.
func sealedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// matches reports whether an outcome matches the behaviour of the server.
func (b behaviour) matches(id string, response *wire.ForwardResponse) bool {
	switch b {
	case cutInHead, cutInBody, noResponse, otherNotExecuted, otherNotExecutedClose:
		return response.Result == wire.ForwardResponse_BROKEN
	case ownNotExecuted:
		return response.Result == wire.ForwardResponse_NOT_RUN
	}
	return response.Result == wire.ForwardResponse_ANSWERED && string(response.Body) == id
}

// TestServerAnswersReachTheirRequests checks for all scripts of the given length that a request receives its own response or
// none, and counts as not run only if a response to it says so.
func TestServerAnswersReachTheirRequests(t *testing.T) {
	server := &scriptedServer{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	scripts := 1
	for range *scripted {
		scripts *= int(behaviours)
	}
	for number := range scripts {
		var script []behaviour
		for remaining := number; len(script) < *scripted; remaining /= int(behaviours) {
			script = append(script, behaviour(remaining)%behaviours)
		}
		server.mu.Lock()
		server.script, server.next, server.runs = script, 0, map[string]int{}
		server.mu.Unlock()
		inbound := NewInbound(time.Hour, time.Hour, slog.New(slog.DiscardHandler))
		inbound.Heartbeat(Heartbeat{ID: "i", Service: "s", Address: ln.Addr().String(), Slots: 1}, time.Now())
		for i, step := range script {
			id := fmt.Sprintf("n%d-%d", number, i)
			request := &wire.ForwardRequest{Member: "i", Service: "s", Method: "POST", Target: "/", Attempt: id, NonIdempotent: true, IgnoreEjection: true, TimeLeftMs: 20000}
			response, err := inbound.Forward(context.Background(), request)
			// A response left over from the previous request may break this one's connection, but never falsify its outcome.
			broken := err == nil && i > 0 && response.Result == wire.ForwardResponse_BROKEN
			if err != nil || !step.matches(id, response) && !broken {
				t.Fatalf("script %v, request %d: got %v %q, error %v", script, i, response.Result, response.Body, err)
			}
		}
		server.mu.Lock()
		for id, runs := range server.runs {
			if runs > 1 {
				t.Errorf("script %v: %s ran %d times", script, id, runs)
			}
		}
		server.mu.Unlock()
		inbound.Deregister("i")
	}
}

// cuttingProxy relays connections between two nodes. It resets both ends of one connection after a number of bytes in one
// direction. Later connections go to the process that replaces the server's sidecar.
type cuttingProxy struct {
	listener  net.Listener
	target    string       // address of the sidecar
	successor string       // address of the process that replaces it
	limitNext atomic.Bool  // the next connection goes to target, with the limits below
	forward   atomic.Int64 // bytes to relay to the sidecar; unlimited if negative
	backward  atomic.Int64 // bytes to relay from the sidecar; unlimited if negative
}

func newCuttingProxy(t *testing.T, target, successor string) *cuttingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttingProxy{listener: ln, target: target, successor: successor}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *cuttingProxy) serve(client net.Conn) {
	target, forward, backward := c.target, c.forward.Load(), c.backward.Load()
	if !c.limitNext.CompareAndSwap(true, false) {
		target, forward, backward = c.successor, -1, -1
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	reset := sync.OnceFunc(func() {
		for _, conn := range []net.Conn{client, server} {
			conn.(*net.TCPConn).SetLinger(0) // close with a reset
			conn.Close()
		}
	})
	relay := func(to, from net.Conn, limit int64) {
		if limit < 0 {
			io.Copy(to, from)
		} else {
			io.CopyN(to, from, limit)
		}
		reset()
	}
	go relay(server, client, forward)
	go relay(client, server, backward)
}

// TestAtMostOneRunAfterConnectionReset resets the connection between two nodes after each byte, and replaces the server's node.
// No request may run twice or at a replacement, and no response may deny a run or belong to another request.
func TestAtMostOneRunAfterConnectionReset(t *testing.T) {
	h, successor := newHarness(t, nil), newHarness(t, nil)
	servers := successor.inbound.Servers()
	for _, server := range servers {
		successor.inbound.Deregister(server.ID)
	}
	successor.inbound.Sweep(time.Now().Add(time.Hour)) // drops the ended incarnations
	for _, server := range servers {
		server.ID += "-new"
		successor.inbound.Heartbeat(server, time.Now())
	}
	cluster := *h.outbound.cluster()
	serverAddress := func(cluster *ClusterState) string {
		server, _ := cluster.Servers.Get("i-1")
		return server.Address
	}
	relay := newCuttingProxy(t, serverAddress(&cluster), serverAddress(successor.outbound.cluster()))
	edit := cluster.Servers.Edit()
	for _, id := range []string{"i-1", "i-2"} {
		edit.Set(id, &wire.Server{Member: id, Service: "s", Address: relay.listener.Addr().String(), Zone: "z", ProtocolVersion: localserver.ProtocolFields})
	}
	cluster.Servers = edit.Map()
	statuses := map[int]int{}
	for _, direction := range []*atomic.Int64{&relay.forward, &relay.backward} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			relay.forward.Store(-1)
			relay.backward.Store(-1)
			for at := range int64(*cutBytes) {
				direction.Store(at)
				relay.limitNext.Store(true)
				id := fmt.Sprintf("cut%d-%t-%s", at, direction == &relay.backward, path[1:5])
				out := newEntryNode(t, &cluster)
				status, body := h.send(t, out, path, id, 150)
				statuses[status]++
				runs := h.arrivalCount(id)
				switch {
				case runs > 1:
					t.Errorf("%s ran %d times", id, runs)
				case (status == 503 || status == 429 || status == 408 || status == 421) && runs > 0:
					t.Errorf("%s: got status %d, but the request has run", id, status)
				case status == 200 && (runs != 1 || body != "POST "+path+" p"):
					t.Errorf("%s: got %d %q after %d runs", id, status, body, runs)
				}
				if at%followUpInterval == 0 { // with the same list of servers, now that another process has the address
					h.send(t, out, path, id+"-after", 40)
				}
				if successor.arrivalCount(id)+successor.arrivalCount(id+"-after") > 0 {
					t.Fatalf("%s reached a server other than its target", id)
				}
			}
		}
	}
	t.Log("final responses by status:", statuses)
	if statuses[200] == 0 || statuses[502] == 0 {
		t.Errorf("the cuts did not produce both 200 and 502 responses: %v", statuses)
	}
}

// newEntryNode returns an Outbound with its own connections to other nodes.
func newEntryNode(t *testing.T, cluster *ClusterState) *Outbound {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	outbound := &Outbound{Node: "n", Zone: "z", Caller: func() string { return "own" }, RetryRatio: 1, RetryWindow: time.Second, Pool: rpc.NewPool(ctx, rpc.PoolOptions{}), Log: slog.New(slog.DiscardHandler)}
	outbound.Start(1)
	outbound.Update(cluster)
	return outbound
}

// send sends a request to an Outbound, and waits until the Inbound has no more requests in flight.
func (h *harness) send(t *testing.T, outbound *Outbound, path, id string, budgetMs int) (status int, body string) {
	t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\nContent-Length: 1\r\n\r\n", path, id, budgetMs)
	call := &Call{Body: []byte("p"), Arrived: time.Now()}
	if err := call.Request.Read(bufio.NewReader(strings.NewReader(head)), http1.Limits{Head: 4096, Body: 10}); err != nil {
		t.Fatal(err)
	}
	response := outbound.Handle(context.Background(), call)
	for h.inbound.Busy() > 0 {
		time.Sleep(time.Millisecond)
	}
	return response.Status, string(response.Body)
}

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
	cutBytes = flag.Int("cuts", 420, "bytes of each direction behind which the way between two nodes is cut")
	scripted = flag.Int("scripted", 3, "requests in a script of a server's behaviours")
)

// afterEvery is how often a second request follows a cut.
const afterEvery = 30

// A behaviour is what a server does with one request on a connection.
type behaviour int

const (
	ownAnswer      behaviour = iota // whole, at once
	inPieces                        // one byte at a time
	interimBefore                   // 1xx answers in front of it
	surplusBefore                   // an answer to another request in front of it, which promises that it has not run
	surplusAfter                    // another one behind it
	doubled                         // the same answer twice
	cutInHead                       // the connection ends inside the head
	cutInBody                       // the same inside the body
	silentEnd                       // it ends without an answer
	ownPromise                      // the server says that it has not run the request
	otherPromise                    // it says so of another request, and ends
	otherCloses                     // the same, and says that it closes the connection
	chunkedTrailer                  // in chunks, with a trailer that names another request
	behaviours
)

// scriptedServer follows a script, one behaviour a request, over all of its connections.
type scriptedServer struct {
	mu     sync.Mutex
	script []behaviour
	runs   map[string]int
	next   int
}

// step returns what to do with a request, and books its run.
func (s *scriptedServer) step(id string) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	do := s.script[min(s.next, len(s.script)-1)]
	s.next++
	if do != ownPromise {
		s.runs[id]++
	}
	return do
}

func (s *scriptedServer) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !s.answer(nc, req.Header.Get("Attempt-Id")) {
			return
		}
	}
}

// answer writes what the script says, and tells whether the connection goes on.
func (s *scriptedServer) answer(w io.Writer, id string) bool {
	own := sealed(id, id)
	other := sealed("other", "other")
	promise := "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
	do := s.step(id)
	switch do {
	case ownAnswer:
		io.WriteString(w, own)
	case inPieces:
		for i := range own {
			io.WriteString(w, own[i:i+1])
		}
	case interimBefore:
		io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nAttempt-Id: other\r\n\r\n"+own)
	case surplusBefore:
		io.WriteString(w, fmt.Sprintf(promise, "other")+own)
	case surplusAfter:
		io.WriteString(w, own)
		io.WriteString(w, other)
	case doubled:
		io.WriteString(w, own)
		io.WriteString(w, own)
	case cutInHead:
		io.WriteString(w, own[:30])
	case cutInBody:
		io.WriteString(w, own[:len(own)-1])
	case ownPromise:
		fmt.Fprintf(w, promise, id)
	case otherPromise:
		fmt.Fprintf(w, promise, "other")
	case otherCloses:
		io.WriteString(w, "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nAttempt-Id: other\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	case chunkedTrailer:
		head := "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		fmt.Fprintf(w, "%s%x\r\n%s\r\n0\r\nAttempt-Id: other\r\nNot-Executed: 1\r\n\r\n", head, len(id), id)
	}
	return do != cutInHead && do != cutInBody && do != silentEnd && do != otherPromise && do != otherCloses
}

// sealed is a server's answer to the request with an id.
func sealed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// wants reports whether an outcome is true of what the server did.
func (do behaviour) wants(id string, out *wire.ForwardResponse) bool {
	switch do {
	case cutInHead, cutInBody, silentEnd, otherPromise, otherCloses:
		return out.Result == wire.ForwardResponse_BROKEN
	case ownPromise:
		return out.Result == wire.ForwardResponse_NOT_RUN
	}
	return out.Result == wire.ForwardResponse_ANSWERED && string(out.Body) == id
}

// TestServerAnswersReachTheirRequests plays all scripts of so many behaviours on the connections to one server, by the
// real pool and codec. A surplus answer may arrive at any moment: before its connection is put back, while it rests, or
// after the next request has been written. A request must get its own answer or none, and be told unrun only where the
// server said so of it.
func TestServerAnswersReachTheirRequests(t *testing.T) {
	server := &scriptedServer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go server.serve(nc)
		}
	}()
	scripts := 1
	for range *scripted {
		scripts *= int(behaviours)
	}
	for n := range scripts {
		var script []behaviour
		for rest := n; len(script) < *scripted; rest /= int(behaviours) {
			script = append(script, behaviour(rest)%behaviours)
		}
		server.mu.Lock()
		server.script, server.next, server.runs = script, 0, map[string]int{}
		server.mu.Unlock()
		in := NewInbound(time.Hour, time.Hour, slog.New(slog.DiscardHandler))
		in.Heartbeat(Heartbeat{ID: "i", Service: "s", Address: l.Addr().String(), Slots: 1}, time.Now())
		for i, do := range script {
			id := fmt.Sprintf("n%d-%d", n, i)
			q := &wire.ForwardRequest{Member: "i", Service: "s", Method: "POST", Target: "/", Attempt: id, NonIdempotent: true, IgnoreEjection: true, TimeLeftMs: 20000}
			out, err := in.Forward(context.Background(), q)
			// A surplus answer left behind by the request before may end a request's connection, never its truth.
			broken := err == nil && i > 0 && out.Result == wire.ForwardResponse_BROKEN
			if err != nil || !do.wants(id, out) && !broken {
				t.Fatalf("script %v, request %d: %v %q, %v", script, i, out.Result, out.Body, err)
			}
		}
		server.mu.Lock()
		for id, runs := range server.runs {
			if runs > 1 {
				t.Errorf("script %v: %s ran %d times", script, id, runs)
			}
		}
		server.mu.Unlock()
		in.Deregister("i")
	}
}

// A cutter stands between two nodes. Of its first connection it passes so many bytes in one direction, then ends both
// ways. Later ones reach the process that has taken the place of the node beside the server by then.
type cutter struct {
	l       net.Listener
	target  string
	later   string
	first   atomic.Bool
	forward atomic.Int64 // bytes to pass to the node beside the server; negative: no end
	back    atomic.Int64 // the same of the other direction
}

func newCutter(t *testing.T, target, later string) *cutter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{l: l, target: target, later: later}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(nc)
		}
	}()
	return c
}

func (c *cutter) serve(near net.Conn) {
	target, forward, back := c.target, c.forward.Load(), c.back.Load()
	if !c.first.CompareAndSwap(true, false) {
		target, forward, back = c.later, -1, -1
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		near.Close()
		return
	}
	end := sync.OnceFunc(func() {
		for _, nc := range []net.Conn{near, far} {
			nc.(*net.TCPConn).SetLinger(0) // a reset
			nc.Close()
		}
	})
	pass := func(to, from net.Conn, limit int64) {
		if limit < 0 {
			io.Copy(to, from)
		} else {
			io.CopyN(to, from, limit)
		}
		end()
	}
	go pass(far, near, forward)
	go pass(near, far, back)
}

// TestOneRunWhereverTheWayBetweenNodesEnds resets the connection between the two nodes behind each byte of a request
// and of its answer; what is at the address from then on is another process with other servers of the same service. A
// request that may run once runs at most once, a promise that it has not run is true, an answer is its own, and nothing
// that was meant for a server reaches the one that has taken its place.
func TestOneRunWhereverTheWayBetweenNodesEnds(t *testing.T) {
	b, successor := newHarness(t, nil), newHarness(t, nil)
	servers := successor.in.Servers()
	for _, server := range servers {
		successor.in.Deregister(server.ID)
	}
	successor.in.Sweep(time.Now().Add(time.Hour)) // it has never heard of them
	for _, server := range servers {
		server.ID += "-new"
		successor.in.Heartbeat(server, time.Now())
	}
	cluster := *b.out.cluster()
	address := func(w *ClusterState) string {
		server, _ := w.Servers.Get("i-1")
		return server.Address
	}
	cut := newCutter(t, address(&cluster), address(successor.out.cluster()))
	edit := cluster.Servers.Edit()
	for _, id := range []string{"i-1", "i-2"} {
		edit.Set(id, &wire.Server{Member: id, Service: "s", Address: cut.l.Addr().String(), Zone: "z", ProtocolVersion: localserver.ProtocolFields})
	}
	cluster.Servers = edit.Map()
	statuses := map[int]int{}
	for _, direction := range []*atomic.Int64{&cut.forward, &cut.back} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			cut.forward.Store(-1)
			cut.back.Store(-1)
			for at := range int64(*cutBytes) {
				direction.Store(at)
				cut.first.Store(true)
				id := fmt.Sprintf("cut%d-%t-%s", at, direction == &cut.back, path[1:5])
				out := newEntryNode(t, &cluster)
				status, body := b.send(t, out, path, id, 150)
				statuses[status]++
				runs := b.servers(id)
				switch {
				case runs > 1:
					t.Errorf("%s ran %d times", id, runs)
				case (status == 503 || status == 429 || status == 408 || status == 421) && runs > 0:
					t.Errorf("%s: %d, and it has run", id, status)
				case status == 200 && (runs != 1 || body != "POST "+path+" p"):
					t.Errorf("%s: %d %q after %d runs", id, status, body, runs)
				}
				if at%afterEvery == 0 { // by the same list, now that the address is another's
					b.send(t, out, path, id+"-after", 40)
				}
				if successor.servers(id)+successor.servers(id+"-after") > 0 {
					t.Fatalf("%s reached a server that it was not meant for", id)
				}
			}
		}
	}
	t.Log("final answers by status:", statuses)
	if statuses[200] == 0 || statuses[502] == 0 {
		t.Errorf("the cuts did not reach all parts of the way: %v", statuses)
	}
}

// newEntryNode returns the side of a node at which requests begin, with connections of its own.
func newEntryNode(t *testing.T, cluster *ClusterState) *Outbound {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	out := &Outbound{Node: "n", Zone: "z", Backend: "own", Ratio: 1, Window: time.Second, Pool: rpc.NewPool(ctx, rpc.PoolOptions{}), Log: slog.New(slog.DiscardHandler)}
	out.Start(1)
	out.Update(cluster)
	return out
}

// send gives a node one request, and waits until the node beside the server is done with it.
func (b *bed) send(t *testing.T, out *Outbound, path, id string, budgetMs int) (status int, body string) {
	t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\nContent-Length: 1\r\n\r\n", path, id, budgetMs)
	call := &Call{Body: []byte("p"), Arrived: time.Now()}
	if err := call.Request.Read(bufio.NewReader(strings.NewReader(head)), http1.Limits{Head: 4096, Body: 10}); err != nil {
		t.Fatal(err)
	}
	a := out.Handle(context.Background(), call)
	for b.in.Busy() > 0 {
		time.Sleep(time.Millisecond) // until what was under way has come to its end
	}
	return a.Status, string(a.Body)
}

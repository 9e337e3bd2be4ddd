package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ServerOptions describe a stand-in server.
type ServerOptions struct {
	Service string
	Machine int
	Slots   int           // 12 by default
	Work    time.Duration // time of a run
	Quiet   bool          // runs are not recorded
	// Run, if set, replaces the work and the answer. It returns false to close the connection.
	Run func(s *Server, conn net.Conn, request *http.Request, body []byte) bool
}

// Server is a stand-in server: it sends heartbeats to the node on its machine, and runs requests.
type Server struct {
	ServerOptions
	ID      string
	mesh    *Mesh
	ln      net.Listener
	stop    chan struct{}
	once    sync.Once
	seq     atomic.Int64
	status  atomic.Value
	working atomic.Int64
	Runs    atomic.Int64

	mu     sync.Mutex
	ran    map[string]int // runs by Attempt-Id
	conns  map[net.Conn]bool
	closed bool
}

// StartServer starts a server and its heartbeats.
func (m *Mesh) StartServer(o ServerOptions) *Server {
	if o.Slots == 0 {
		o.Slots = 12
	}
	s := &Server{ServerOptions: o, ID: fmt.Sprintf("i-%08x", rand.Uint32()), mesh: m, stop: make(chan struct{}), ran: map[string]int{}, conns: map[net.Conn]bool{}}
	s.status.Store("in_service")
	var err error
	if s.ln, err = net.Listen("tcp", m.Address(o.Machine, App)); err != nil {
		Unable("server: %v", err)
	}
	m.Record.Logf("server %s of %s started on machine %d", s.ID, o.Service, o.Machine)
	go s.accept()
	go s.beat()
	m.mu.Lock()
	m.servers = append(m.servers, s)
	m.mu.Unlock()
	return s
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			conn.Close()
		}
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			defer func() {
				conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			s.serve(conn)
		}()
	}
}

func (s *Server) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.handle(conn, req, body) {
			return
		}
	}
}

func (s *Server) handle(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Attempt-Id")
	if target := req.Header.Get("Target-Instance"); target != "" && target != s.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	if s.working.Add(1) > int64(s.Slots) {
		s.working.Add(-1)
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer s.working.Add(-1)
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.Runs.Add(1)
	if !s.Quiet {
		s.mesh.Record.Logf("server %s (%s) runs %s: %s %s, %d bytes, Caller-Service %s", s.ID, s.Service, id, req.Method, req.URL, len(body), req.Header.Get("Caller-Service"))
	}
	if s.Run != nil {
		return s.Run(s, conn, req, body)
	}
	time.Sleep(s.Work)
	return s.Answer(conn, id, 200, "done "+id)
}

// Answer writes a complete answer.
func (s *Server) Answer(conn net.Conn, id string, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, s.ID, len(body), body)
	return err == nil
}

// Ran returns how often the server has run a request.
func (s *Server) Ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// SetStatus changes the status of the later heartbeats.
func (s *Server) SetStatus(status string) { s.status.Store(status) }

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Beat sends one heartbeat and returns the status, or 0.
func (s *Server) Beat() int {
	body := Encode(Map{"backend": s.Service, "address": s.mesh.Address(s.Machine, App), "zone": s.mesh.zone(s.Machine), "revision": "v1", "slots": s.Slots,
		"status": s.status.Load().(string), "warmup_left_ms": 0, "call_seq": int(s.seq.Add(1))})
	return s.call("heartbeat", body)
}

// Deregister sends the call at the end of a server.
func (s *Server) Deregister() int { return s.call("deregister", nil) }

func (s *Server) call(action string, body []byte) int {
	resp, err := beatClient.Post("http://"+s.mesh.Address(s.Machine, Control)+"/members/"+s.ID+"/"+action, "application/msgpack", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

func (s *Server) beat() {
	pause := time.Duration(0)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
		}
		if pause = 300 * time.Millisecond; s.Beat() == 200 {
			pause = time.Duration(s.mesh.HeartbeatMs) * time.Millisecond
		}
	}
}

// Close ends the server without a word, as a crash does.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.stop)
		s.ln.Close()
		s.mu.Lock()
		s.closed = true
		for conn := range s.conns {
			if tc, ok := conn.(*net.TCPConn); ok {
				tc.SetLinger(0)
			}
			conn.Close()
		}
		s.mu.Unlock()
	})
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	at      time.Duration
	attempt string
}

// appServer is a stand-in application server on a sidecar machine. It follows PROTOCOL.md: it answers 421 if Target-Instance
// names another server, echoes Attempt-Id, adds Server-Seal, and sends heartbeats to the node on its machine.
type appServer struct {
	mesh    *mesh
	machine int
	id      string
	service string
	work    time.Duration

	http     *http.Server
	seq      atomic.Int64
	beating  atomic.Bool
	stop     chan struct{}
	mu       sync.Mutex
	arrivals []arrival
}

// startServer starts a server with its heartbeats.
func (m *mesh) startServer(machine int, id, service string, work time.Duration) (*appServer, error) {
	s := &appServer{mesh: m, machine: machine, id: id, service: service, work: work, stop: make(chan struct{})}
	listener, err := net.Listen("tcp", m.address(machine, appPort))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(listener)
	s.beating.Store(true)
	m.logf("server %s of %s starts on machine %d", id, service, machine)
	go s.beatLoop()
	return s, nil
}

func (s *appServer) beatLoop() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		if s.beating.Load() {
			s.beat(s.nextSeq())
		}
		select {
		case <-tick.C:
		case <-s.stop:
			return
		}
	}
}

// nextSeq returns the next call_seq.
func (s *appServer) nextSeq() int { return int(s.seq.Add(1)) }

// beat sends one heartbeat, in service, with a call_seq.
func (s *appServer) beat(seq int) {
	body := pack(nil, object{
		{"backend", s.service}, {"address", s.mesh.address(s.machine, appPort)}, {"zone", "bilbao-sala"}, {"revision", "v1"}, {"slots", 12},
		{"status", "in_service"}, {"warmup_left_ms", 0}, {"call_seq", seq},
	})
	status, _, _, err := send("POST", s.url("heartbeat"), map[string]string{"Content-Type": "application/msgpack"}, body, time.Second)
	s.mesh.logf("server %s: heartbeat %d (in_service): status %d, error %v", s.id, seq, status, err)
}

func (s *appServer) url(call string) string {
	return "http://" + s.mesh.address(s.machine, controlPort) + "/members/" + s.id + "/" + call
}

// deregister stops the heartbeats and deregisters the server. It returns when the acknowledgement has come.
func (s *appServer) deregister() (time.Duration, error) {
	s.beating.Store(false)
	status, _, _, err := send("POST", s.url("deregister"), nil, nil, time.Second)
	at := s.mesh.elapsed()
	s.mesh.logf("server %s: deregister: status %d, error %v", s.id, status, err)
	if err != nil || status/100 != 2 {
		return 0, fmt.Errorf("%w: deregister was not acknowledged", errCannotRun)
	}
	return at, nil
}

// end ends the server.
func (s *appServer) end() {
	close(s.stop)
	s.http.Close()
	s.mesh.logf("server %s ends", s.id)
}

// serve handles the requests that reach the server.
func (s *appServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(200)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		s.mesh.logf("server %s: request %s for %s gets 421", s.id, attempt, target)
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := s.mesh.elapsed()
	s.mesh.logArrival("server %s: request %s arrives", s.id, attempt)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at, attempt})
	s.mu.Unlock()
	n, _ := io.Copy(io.Discard, r.Body)
	time.Sleep(s.work)
	body := []byte(fmt.Sprintf("%s %d bytes\n", s.id, n))
	w.Header().Set("Server-Seal", "seal."+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// arrivalsAfter returns the arrivals after a time.
func (s *appServer) arrivalsAfter(at time.Duration) (list []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at > at {
			list = append(list, a)
		}
	}
	return list
}

// Package standin runs stand-in application servers next to real nodes. They send heartbeats as an application server
// does, and serve requests with a given handler.
package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Options configures a stand-in server.
type Options struct {
	ID, Service, Zone string
	Address           string // host:port at which it listens
	Control           string // host:port at which its node receives heartbeats
	Slots             int
	Heartbeat         time.Duration
	Handler           http.Handler // the server does not listen if nil
}

// Server is a running stand-in server.
type Server struct {
	options    Options
	httpServer *http.Server // nil if Options.Handler is nil
	client     http.Client
	stop       func()

	mu       sync.Mutex
	draining bool
	sequence int
}

// heartbeat is the msgpack body of a heartbeat request.
type heartbeat struct {
	Service  string `msgpack:"backend"`
	Address  string `msgpack:"address"`
	Zone     string `msgpack:"zone"`
	Slots    int    `msgpack:"slots"`
	Status   string `msgpack:"status"`
	Sequence int    `msgpack:"call_seq"`
}

// Start starts a server, which runs until Stop.
func Start(options Options) (*Server, error) {
	s := &Server{options: options, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if options.Handler != nil {
		listener, err := net.Listen("tcp", options.Address)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("standin: listen: %w", err)
		}
		s.httpServer = &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: options.Handler}
		running.Go(func() { s.httpServer.Serve(listener) })
	}
	running.Go(func() { s.heartbeatLoop(ctx) })
	s.stop = sync.OnceFunc(func() {
		cancel()
		if s.httpServer != nil {
			s.httpServer.Close()
		}
		running.Wait()
		s.client.CloseIdleConnections()
	})
	return s, nil
}

// Stop stops the server without notice to its node, and waits until its goroutines end.
func (s *Server) Stop() { s.stop() }

// heartbeatLoop sends a heartbeat in each interval until ctx is done.
func (s *Server) heartbeatLoop(ctx context.Context) {
	tick := time.NewTicker(s.options.Heartbeat)
	defer tick.Stop()
	for {
		s.sendHeartbeat(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat. It ignores errors, as the next heartbeat follows.
func (s *Server) sendHeartbeat(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	message := heartbeat{Service: s.options.Service, Address: s.options.Address, Zone: s.options.Zone, Slots: s.options.Slots,
		Status: "in_service", Sequence: s.sequence}
	if s.draining {
		message.Status = "draining"
	}
	s.mu.Unlock()
	body, err := msgpack.Marshal(&message)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Heartbeat)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.options.Control+"/members/"+s.options.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/msgpack")
	if resp, err := s.client.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Drain sets the status to draining, so that the mesh sends no new requests, and sends it to the node.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.sendHeartbeat(context.Background())
}

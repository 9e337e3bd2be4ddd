// Package standin has application servers that stand in for real ones, beside real nodes: they heartbeat as a server
// does, and answer by a handler.
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

// Options describe a server.
type Options struct {
	ID, Service, Zone string
	Address           string // where it listens
	Control           string // where its node takes heartbeats, host:port
	Slots             int
	Heartbeat         time.Duration
	Handler           http.Handler // nil: it listens to nobody
}

// Server is a stand-in that runs.
type Server struct {
	options Options
	web     *http.Server // nil: none
	client  http.Client
	stop    func()

	mu       sync.Mutex
	draining bool
	sequence int
}

// heartbeat is what a server says of itself.
type heartbeat struct {
	Service  string `msgpack:"backend"`
	Address  string `msgpack:"address"`
	Zone     string `msgpack:"zone"`
	Slots    int    `msgpack:"slots"`
	Status   string `msgpack:"status"`
	Sequence int    `msgpack:"call_seq"`
}

// Start runs a server until Stop.
func Start(o Options) (*Server, error) {
	s := &Server{options: o, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if o.Handler != nil {
		l, err := net.Listen("tcp", o.Address)
		if err != nil {
			cancel()
			return nil, fmt.Errorf("a stand-in server: %w", err)
		}
		s.web = &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: o.Handler}
		running.Go(func() { s.web.Serve(l) })
	}
	running.Go(func() { s.heartbeats(ctx) })
	s.stop = sync.OnceFunc(func() {
		cancel()
		if s.web != nil {
			s.web.Close()
		}
		running.Wait()
		s.client.CloseIdleConnections()
	})
	return s, nil
}

// Stop ends the server without a word to its node.
func (s *Server) Stop() { s.stop() }

// heartbeats tells the node again and again that the server is there.
func (s *Server) heartbeats(ctx context.Context) {
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

// sendHeartbeat sends one heartbeat, without a retry.
func (s *Server) sendHeartbeat(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	beat := heartbeat{Service: s.options.Service, Address: s.options.Address, Zone: s.options.Zone, Slots: s.options.Slots,
		Status: "in_service", Sequence: s.sequence}
	if s.draining {
		beat.Status = "draining"
	}
	s.mu.Unlock()
	body, err := msgpack.Marshal(&beat)
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

// Drain marks the server: it wants no new requests.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.sendHeartbeat(context.Background())
}

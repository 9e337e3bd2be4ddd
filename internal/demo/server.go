package demo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	slots     = 16
	workMs    = 10
	beatEvery = 500 * time.Millisecond
)

// server is a model of an application server: it beats, and answers after some work.
type server struct {
	id, address, control string
	web                  *http.Server
	stop                 func()

	mu       sync.Mutex
	draining bool
	seq      int
}

// newServer starts a server at an address; control is where its node takes beats.
func newServer(id, address, control string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	s := &server{id: id, address: address, control: control}
	places := make(chan struct{}, slots)
	s.web = &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		places <- struct{}{}
		defer func() { <-places }()
		time.Sleep(time.Duration(rand.ExpFloat64()*workMs*1000) * time.Microsecond) // the work
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", id)
		w.Header().Set("Served-By", id)
		fmt.Fprintf(w, "%s by %s\n", r.URL.Path, id)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.web.Serve(l) })
	running.Go(func() {
		tick := time.NewTicker(beatEvery)
		defer tick.Stop()
		for {
			s.beat(ctx)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	s.stop = sync.OnceFunc(func() {
		cancel()
		s.web.Close()
		running.Wait()
	})
	return s, nil
}

// beat tells the node that the server is there. A beat that is lost is followed by
// the next.
func (s *server) beat(ctx context.Context) {
	s.mu.Lock()
	s.seq++
	status := "in_service"
	if s.draining {
		status = "draining"
	}
	body, err := msgpack.Marshal(map[string]any{"backend": "shop", "address": s.address, "zone": "a", "slots": slots, "status": status, "call_seq": s.seq})
	s.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", s.control+"/members/"+s.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/msgpack")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// drain marks the server: it wants no new requests.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat(context.Background())
}

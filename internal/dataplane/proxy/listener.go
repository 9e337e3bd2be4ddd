// Package proxy carries requests: Outbound takes them from the clients of this
// machine and finds a server for each, Inbound stands beside a server and is
// the only one that speaks to it.
package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/pkg/workerpool"
)

const (
	maxPending    = 64 // requests on one connection that have no answer yet
	maxClients    = 3000
	writeTimeout  = 10 * time.Second       // for a client to read its answer
	lingerTimeout = 180 * time.Millisecond // for the client to take its last answer
	bodyTimeout   = 30 * time.Second       // for a whole body
	bodyBuffered  = 64 << 10               // bodies up to this are not counted against the node's memory
)

// Call is a request that has been read whole.
type Call struct {
	http1.Request
	Body    []byte
	Arrived time.Time // of its last byte
	Remote  net.Addr
}

// Answer is a final answer.
type Answer struct {
	Status      int
	Fields      []byte // lines of its head
	Body        []byte
	Close       bool
	NotExecuted bool // it has Retry-After
	Own         bool // it is the mesh's own, and its body says why
}

// Bounds are what a client may do; they may change with the configuration.
type Bounds struct {
	http1.Limits
	HeadWait time.Duration // for a whole head, from its first byte
	Idle     time.Duration // between requests
}

// Listener accepts clients' connections. Requests on one connection run at the
// same time, and their answers go back in order.
type Listener struct {
	Handle func(ctx context.Context, c *Call) *Answer
	Bounds func() Bounds
	Memory int64 // bytes that bodies may hold together
	Log    *slog.Logger

	shuttingDown atomic.Bool
	mu           sync.Mutex
	stopped      bool
	cut          bool
	clients      map[*client]bool
	open         atomic.Int64     // connections
	pending      atomic.Int64     // requests
	workers      *workerpool.Pool // runs them; made by Serve
	held         atomic.Int64
}

// BeginShutdown makes every connection end with the next answer that has nothing behind it.
func (f *Listener) BeginShutdown() { f.shuttingDown.Store(true) }

// Stop reads nothing more: connections without a request are closed at once, so
// that clients turn elsewhere with what they send, and the others with their last
// answer.
func (f *Listener) Stop() {
	f.shuttingDown.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for c := range f.clients {
		c.mu.Lock()
		c.closing = c.closing || c.pending == 0
		c.stopReads()
		c.mu.Unlock()
	}
}

// CloseAll calls all requests off, so that each has its answer while there is time for
// one: those that are through would else wait for good behind one that is not.
func (f *Listener) CloseAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for c := range f.clients {
		c.callOff()
	}
}

// addClient adds a connection, unless the listener has been stopped.
func (f *Listener) addClient(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	if f.cut {
		c.callOff()
	}
	if f.clients == nil {
		f.clients = map[*client]bool{}
	}
	f.clients[c] = true
	return true
}

func (f *Listener) removeClient(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.clients, c)
}

// Pending is the number of requests without an answer.
func (f *Listener) Pending() int64 { return f.pending.Load() }

// Open is the number of connections.
func (f *Listener) Open() int64 { return f.open.Load() }

// Serve accepts until the context ends, and then waits for its connections.
func (f *Listener) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	f.workers = workerpool.New(ctx)
	var conns sync.WaitGroup
	defer func() {
		conns.Wait()
		cancel()
		f.workers.Wait()
	}()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			f.Log.Warn("listener.accept_failed", "err", err)
			select { // out of descriptors, most likely
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		if f.open.Load() >= maxClients {
			nc.Close() // unread, so that its requests go elsewhere
			continue
		}
		f.open.Add(1)
		conns.Go(func() {
			defer f.open.Add(-1)
			f.serve(ctx, nc)
		})
	}
}

func (f *Listener) release(body []byte) {
	if len(body) > bodyBuffered {
		f.held.Add(-int64(len(body)))
	}
}

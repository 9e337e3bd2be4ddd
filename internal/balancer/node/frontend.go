package node

import (
	linked "container/list"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ivydeck/decide"
)

const (
	maxHeaderBytes        = 16 << 10
	requestReadTimeout    = 2500 * time.Millisecond // for a complete request: the protocol allows an idle peer 3 s
	maxRemaining          = 10 * time.Minute        // a request that claims more is malformed
	writeGrace            = time.Second             // after its deadline a client that does not read is cut off
	defaultWriteTimeout   = 10 * time.Second        // the same where no deadline is known
	minIdleBeforeEviction = 2 * time.Second         // a connection with no request open may be closed then
)

// frontend is the HTTP server that clients send their requests to. It hands each
// request to the loop and waits for the answer.
type frontend struct {
	clock        clock
	loop         *loop
	sockets      *sockets
	settings     *decide.Settings
	classes      map[string]int
	tenants      map[string]int
	effects      []decide.Effect
	deadlines    []time.Duration // by class; 0: not known
	server       *http.Server
	draining     atomic.Bool  // the shutdown has begun
	lastAccepted atomic.Int64 // when the last connection came, on the clock

	mu   sync.Mutex
	idle linked.List // of *clientConn with no request open, the longest idle first
}

func newFrontend(c *Config, clock clock, loop *loop, sockets *sockets, log *slog.Logger) *frontend {
	f := &frontend{
		clock:    clock,
		loop:     loop,
		sockets:  sockets,
		settings: &c.Settings,
		classes:  map[string]int{},
		tenants:  map[string]int{},
	}
	for i, name := range c.Classes {
		f.classes[name] = i
		f.effects = append(f.effects, c.Settings.Classes[i].Effect)
		f.deadlines = append(f.deadlines, c.Settings.Classes[i].Deadline)
	}
	for i, name := range c.Tenants {
		f.tenants[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: requestReadTimeout,
		IdleTimeout:       5 * time.Minute,     // clients keep their connections
		WriteTimeout:      defaultWriteTimeout, // counted anew with each request
		MaxHeaderBytes:    maxHeaderBytes,
		// OPTIONS * is for the servers to answer.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: f.connState,
	}
	return f
}

// connKey finds a request's connection in its context.
type connKey struct{}

// connState keeps the list of connections without an open request. The server
// calls a new one active once it has read a request's head.
func (f *frontend) connState(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.element != nil {
		f.idle.Remove(c.element)
		c.element = nil
	}
	if state == http.StateNew || state == http.StateIdle {
		c.idleSince = f.clock.now()
		c.element = f.idle.PushBack(c)
	}
}

// evictIdle closes the client's connection that has been without a request for
// longest, to make room for another: anyone may connect, and idle connections must
// not keep out those with requests. It reports whether there was one to close.
func (f *frontend) evictIdle(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.idle.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*clientConn)
	if now-c.idleSince < minIdleBeforeEviction {
		return false
	}
	f.idle.Remove(oldest)
	c.element = nil
	c.evicted.Store(true) // a request that crosses the close is left alone
	c.Close()
	return true
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock.now()
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	if conn.evicted.Load() {
		panic(http.ErrAbortHandler) // its client sends it again
	}
	saturated := conn.overBudget && f.sockets.overBudget()
	if saturated {
		w.Header().Set("Connection", "close")
	}
	if r.Body != http.NoBody {
		// net/http reads the body to its end also after an answer that did not need
		// it, and without a deadline would wait for it forever.
		http.NewResponseController(w).SetReadDeadline(f.clock.wall(conn.bodyDeadline(now)))
	}
	if len(r.TransferEncoding) > 0 {
		// Request smuggling: net/http drops a Content-Length beside a transfer coding,
		// so a server may see another end of this request. The protocol has lengths
		// only, and what follows on the connection could be part of this body.
		w.Header().Set("Connection", "close")
		reply(w, http.StatusLengthRequired, "the body needs a Content-Length alone")
		return
	}
	if r.URL.Path == "/ready" {
		f.serveReady(w)
		return
	}
	p, failure := f.parse(w, r, conn, now)
	if failure != nil {
		// The sender of a malformed request may hold the connection and send no more.
		w.Header().Set("Connection", "close")
		reply(w, failure.status, failure.reason)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(f.clock.wall(p.deadline + writeGrace))
	if saturated {
		f.writeAnswer(w, refuseSaturated(f.settings))
		return
	}
	f.exchange(w, r, p)
}

// serveReady answers a readiness check. It closes the connection: those of checks,
// if kept, would take up the budget of clients' connections.
func (f *frontend) serveReady(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.loop.ready.Load() && !f.draining.Load() {
		reply(w, http.StatusOK, "ready")
	} else {
		reply(w, http.StatusServiceUnavailable, "not ready")
	}
}

// exchange hands a request to the loop and writes its answer, unless the client
// leaves first.
func (f *frontend) exchange(w http.ResponseWriter, r *http.Request, p *pending) {
	f.loop.post(requestArrived{p})
	select {
	case a := <-p.answer:
		f.closeIfDraining(w)
		f.writeAnswer(w, a)
	case <-r.Context().Done():
		f.loop.post(clientGone{p})
		// A client that only closed its sending side can still read. Returning would
		// send it 200 with an empty body, which no server answered.
		panic(http.ErrAbortHandler)
	case <-f.loop.ctx.Done(): // the node has ended, and has answered what it could
		reply(w, http.StatusBadGateway, "the node is ending")
	}
}

// closeIfDraining closes the connection with the answer once the node drains. It
// is called at the time of the answer: the request may have come before.
func (f *frontend) closeIfDraining(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// writeAnswer writes the answer of a server, or the refusal or failure.
func (f *frontend) writeAnswer(w http.ResponseWriter, a answer) {
	switch a.ending {
	case served:
		if a.response.kind != "" {
			w.Header().Set("Content-Type", a.response.kind)
		} else {
			w.Header()["Content-Type"] = nil // or net/http would guess one
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.response.body)))
		w.Write(a.response.body)
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		reply(w, http.StatusTooManyRequests, "refused")
	case failed:
		reply(w, http.StatusBadGateway, "failed")
	case overdue:
		reply(w, http.StatusGatewayTimeout, "no answer in time")
	}
}

// reply writes a short text of the node's own.
func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

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
	requestReadTimeout    = 2500 * time.Millisecond // less than the 3 s that the protocol allows an unfinished request
	maxRemaining          = 10 * time.Minute        // upper bound on X-Remaining-Ms and X-Estimate
	writeGrace            = time.Second             // time after a request's deadline to write the response
	defaultWriteTimeout   = 10 * time.Second        // write timeout if the deadline is unknown
	minIdleBeforeEviction = 2 * time.Second         // minimum idle time before a client's connection is evicted
)

// frontend is the HTTP server for clients. It passes each request to the loop and waits
// for the answer.
type frontend struct {
	clock        clock
	loop         *loop
	sockets      *sockets
	settings     *decide.Settings
	classes      map[string]int
	tenants      map[string]int
	effects      []decide.Effect
	deadlines    []time.Duration // by class; zero if unknown
	server       *http.Server
	draining     atomic.Bool  // the node is shutting down
	lastAccepted atomic.Int64 // clock time of the last accepted connection, in nanoseconds

	mu   sync.Mutex
	idle linked.List // of *clientConn without an open request, longest idle first
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
		IdleTimeout:       5 * time.Minute,     // clients reuse their connections
		WriteTimeout:      defaultWriteTimeout, // restarts with each request
		MaxHeaderBytes:    maxHeaderBytes,
		// OPTIONS * goes through ServeHTTP, which rejects it.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: f.connState,
	}
	return f
}

// connKey is the context key of a request's *clientConn.
type connKey struct{}

// connState updates the list of connections without an open request. net/http reports a
// new connection as active once it has read a request's header.
func (f *frontend) connState(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.idleElement != nil {
		f.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if state == http.StateNew || state == http.StateIdle {
		c.idleSince = f.clock.now()
		c.idleElement = f.idle.PushBack(c)
	}
}

// evictIdle closes the client connection that has been idle longest, and reports whether
// it closed one. Otherwise idle connections, which anyone may open, could use up the
// socket budget and block clients with requests.
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
	c.idleElement = nil
	c.evicted.Store(true) // makes ServeHTTP abort a request that arrives concurrently
	c.Close()
	return true
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock.now()
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	if conn.evicted.Load() {
		panic(http.ErrAbortHandler) // the client retries on another connection
	}
	saturated := conn.overBudget && f.sockets.overBudget()
	if saturated {
		w.Header().Set("Connection", "close")
	}
	if r.Body != http.NoBody {
		// net/http reads the rest of the body after the response, possibly forever if there
		// is no deadline.
		http.NewResponseController(w).SetReadDeadline(f.clock.wall(conn.bodyDeadline(now)))
	}
	if len(r.TransferEncoding) > 0 {
		// Prevents request smuggling: net/http ignores a Content-Length next to a transfer
		// encoding, so that client and node may disagree about the end of the request. The
		// protocol allows only Content-Length. The connection is closed because the bytes
		// that follow could be part of this body.
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
		// The sender of a malformed request may leave the connection open without using it.
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

// serveReady responds to a readiness check. It closes the connection, so that checks do
// not use up the socket budget.
func (f *frontend) serveReady(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.loop.ready.Load() && !f.draining.Load() {
		reply(w, http.StatusOK, "ready")
	} else {
		reply(w, http.StatusServiceUnavailable, "not ready")
	}
}

// exchange passes a request to the loop and writes the answer, unless the client
// disconnects first.
func (f *frontend) exchange(w http.ResponseWriter, r *http.Request, p *pending) {
	f.loop.post(requestArrived{p})
	select {
	case a := <-p.answer:
		f.closeIfDraining(w)
		f.writeAnswer(w, a)
	case <-r.Context().Done():
		f.loop.post(clientGone{p})
		// A client that closed only its sending side can still read. Returning would send
		// it status 200 with an empty body, although no server responded.
		panic(http.ErrAbortHandler)
	case <-f.loop.ctx.Done(): // the loop has ended
		reply(w, http.StatusBadGateway, "the node is ending")
	}
}

// closeIfDraining closes the connection after the response if the node is draining. It is
// called when the answer is known, as draining may have started after the request.
func (f *frontend) closeIfDraining(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// writeAnswer writes the response for a final answer.
func (f *frontend) writeAnswer(w http.ResponseWriter, a answer) {
	switch a.answerKind {
	case served:
		if a.response.contentType != "" {
			w.Header().Set("Content-Type", a.response.contentType)
		} else {
			w.Header()["Content-Type"] = nil // prevents content sniffing by net/http
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

// reply writes a plain-text response generated by the node.
func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

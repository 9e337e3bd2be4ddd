package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/pkg/workerpool"
	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/wire"
)

const (
	dialTimeout        = 800 * time.Millisecond // no attempt to dial starts after this time; also the timeout of a TLS handshake
	dialAttemptTimeout = 250 * time.Millisecond // per attempt; the kernel retransmits a lost SYN only after a second
	dialRetryPause     = 150 * time.Millisecond // minimum time between a failed dial and the next one
	maxConns           = 1024                   // accepted connections per server
	closeGrace         = time.Second
)

// Handler serves a stream. Its first Recv returns the request, and it sends the responses with Send. The caller receives a
// returned error as a PeerError.
type Handler func(s *Stream) error

// ServerOptions configure a Server.
type ServerOptions struct {
	Log *slog.Logger // required
	// Identity enables TLS and authenticates callers. If it is nil, connections are plain TCP.
	Identity *identity.Source
	// Rejected counts failed handshakes and unauthorized calls. It may be nil.
	Rejected *atomic.Int64
}

// Server accepts connections and runs the handlers of their streams.
type Server struct {
	options        ServerOptions
	handlers       map[string]method
	activeHandlers sync.WaitGroup
	workers        *workerpool.Pool // runs the handlers; created by Serve
	watch          watcher
}

// NewServer returns a server without methods; see Handle.
func NewServer(options ServerOptions) *Server {
	if options.Rejected == nil {
		options.Rejected = new(atomic.Int64)
	}
	return &Server{options: options, handlers: map[string]method{}}
}

// method is a handler with the roles that are authorized to call it.
type method struct {
	run   Handler
	roles []identity.Role
}

// Handle registers a method. It must be called before Serve. If the server has an identity, only callers with one of the
// roles are authorized; the default is quorum members and nodes.
func (s *Server) Handle(name string, h Handler, roles ...identity.Role) {
	if len(roles) == 0 {
		roles = []identity.Role{identity.QuorumMember, identity.Node}
	}
	s.handlers[name] = method{h, roles}
}

// Caller returns the authenticated caller of a stream. ctx is the stream's context or derived from it. It reports false if
// the connection is not authenticated.
func Caller(ctx context.Context) (name identity.Name, ok bool) {
	if s, isStream := ctx.Value(callerKey{}).(*Stream); isStream && s.conn.peer.Role != "" {
		return s.conn.peer, true
	}
	return identity.Name{}, false
}

// Unary returns a Handler that receives one request, calls f and sends its response. Req and Resp are message structs.
func Unary[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](f func(ctx context.Context, req PReq) (PResp, error)) Handler {
	return func(s *Stream) error {
		req := PReq(new(Req))
		if err := s.Recv(req); err != nil {
			return err
		}
		resp, err := f(s.Context(), req)
		if err != nil {
			return err
		}
		return s.send(resp, "", 0, true)
	}
}

// serve authorizes the caller of a stream and runs the handler.
func (s *Server) serve(st *Stream, name string) {
	defer s.activeHandlers.Done()
	defer st.finish(context.Canceled)
	var err error
	m, known := s.handlers[name]
	switch peer := st.conn.peer; {
	case !known:
		err = fmt.Errorf("no method %q", name)
	case s.options.Identity != nil && !slices.Contains(m.roles, peer.Role):
		s.options.Rejected.Add(1)
		s.options.Log.Warn("rpc.rejected", "peer", peer.String(), "from", st.conn.nc.RemoteAddr().String(), "method", name)
		err = fmt.Errorf("%s may not call %s", peer, name)
	default:
		err = m.run(st)
	}
	st.conn.drop(st)
	if err != nil && st.conn.ctx.Err() == nil {
		st.conn.write(&wire.Frame{Stream: st.id, Fin: true, Error: err.Error()})
	}
	st.end(nil)
}

// Serve accepts connections until ctx is done, and then waits for the handlers.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	s.workers = workerpool.New(ctx)
	var conns sync.WaitGroup
	defer func() {
		cancel()
		conns.Wait()
		s.workers.Wait()
	}()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, maxConns)
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if isTimeout(err) {
				continue
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accepting connections: %w", err)
			}
			s.options.Log.Warn("rpc.accept_failed", "err", err)
			select { // the usual cause is a lack of file descriptors
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			nc.Close()
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			s.accept(ctx, nc)
		})
	}
}

// accept performs the TLS handshake, if the server has an identity, and serves the connection until it fails.
func (s *Server) accept(ctx context.Context, nc net.Conn) {
	if s.options.Identity != nil {
		secure := tls.Server(nc, s.options.Identity.Server())
		if err := handshake(ctx, secure); err != nil {
			s.options.Rejected.Add(1)
			s.options.Log.Warn("rpc.rejected", "from", nc.RemoteAddr().String(), "err", err)
			nc.Close()
			return
		}
		nc = secure
	}
	c := newConn(ctx, nc, s)
	s.watch.add(c)
	defer context.AfterFunc(c.ctx, func() { nc.Close() })()
	c.fail(c.read())
}

// handshake performs the TLS handshake with a timeout of dialTimeout.
func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.HandshakeContext(ctx)
}

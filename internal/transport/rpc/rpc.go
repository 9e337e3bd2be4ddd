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
	dialTimeout        = 800 * time.Millisecond
	dialAttemptTimeout = 250 * time.Millisecond // of one attempt: the kernel repeats a lost SYN after a second only
	dialRetryPause     = 150 * time.Millisecond // after a failed attempt
	maxConns           = 1024                   // accepted at a time
	closeGrace         = time.Second
)

// Handler answers a stream. Its first Recv returns the caller's message; what it sends goes to the caller. An error that it
// returns is a PeerError at the caller.
type Handler func(s *Stream) error

// ServerOptions configure a Server.
type ServerOptions struct {
	Log *slog.Logger // required
	// Identity secures the connections and authenticates callers; nil: connections are not secured.
	Identity *identity.Source
	// Rejected counts connections and calls without a proper identity; nil: they are not counted.
	Rejected *atomic.Int64
}

// Server accepts connections of other processes.
type Server struct {
	options  ServerOptions
	handlers map[string]method
	running  sync.WaitGroup
	workers  *workerpool.Pool // runs the handlers; made by Serve
	watch    watcher
}

// NewServer returns a server without methods.
func NewServer(options ServerOptions) *Server {
	if options.Rejected == nil {
		options.Rejected = new(atomic.Int64)
	}
	return &Server{options: options, handlers: map[string]method{}}
}

// method is a handler, with the roles that may call it.
type method struct {
	run   Handler
	roles []identity.Role
}

// Handle registers a method, before Serve. With identities, only callers of the roles may call it; without roles, quorum
// members and nodes may.
func (s *Server) Handle(name string, h Handler, roles ...identity.Role) {
	if len(roles) == 0 {
		roles = []identity.Role{identity.QuorumMember, identity.Node}
	}
	s.handlers[name] = method{h, roles}
}

// Caller returns the authenticated caller of a handler's stream, by the stream's context or one derived from it; ok is false
// without identities.
func Caller(ctx context.Context) (name identity.Name, ok bool) {
	if s, is := ctx.Value(callerKey{}).(*Stream); is && s.c.peer.Role != "" {
		return s.c.peer, true
	}
	return identity.Name{}, false
}

// Unary makes a handler of a function from one message to another. The types are pointers to message structs.
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

// serve runs the handler of a stream.
func (s *Server) serve(st *Stream, name string) {
	defer s.running.Done()
	defer st.finish(context.Canceled)
	var err error
	m, known := s.handlers[name]
	switch peer := st.c.peer; {
	case !known:
		err = fmt.Errorf("no method %q", name)
	case s.options.Identity != nil && !slices.Contains(m.roles, peer.Role):
		s.options.Rejected.Add(1)
		s.options.Log.Warn("rpc.rejected", "peer", peer.String(), "from", st.c.nc.RemoteAddr().String(), "method", name)
		err = fmt.Errorf("%s may not call %s", peer, name)
	default:
		err = m.run(st)
	}
	st.c.drop(st)
	if err != nil && st.c.ctx.Err() == nil {
		st.c.write(&wire.Frame{Stream: st.id, Fin: true, Error: err.Error()})
	}
	st.end(nil)
}

// Serve accepts connections until ctx ends, and then waits for the handlers.
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
				return fmt.Errorf("accepting nodes: %w", err)
			}
			s.options.Log.Warn("rpc.accept_failed", "err", err)
			select { // out of descriptors, most likely
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

// accept serves a connection until it ends.
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

// handshake makes the TLS handshake, within dialTimeout.
func handshake(ctx context.Context, c *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.HandshakeContext(ctx)
}

package rpc

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"ivydeck/internal/transport/identity"
	"ivydeck/internal/transport/wire"
)

// TestIdentities: who is not trusted never reaches a handler, and who is reaches those of its role. A call that was
// refused has surely not been taken.
func TestIdentities(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	source := func(a *identity.Authority, role identity.Role, bundle string) *identity.Source {
		f, err := a.Issue(identity.Name{Role: role, Name: "x"}, time.Hour, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		if bundle != "" {
			f.Bundle = bundle
		}
		s, err := identity.Open(f, log)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	var authorities [2]*identity.Authority
	for i := range authorities {
		var err error
		if authorities[i], err = identity.NewAuthority(t.TempDir(), 2*time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	ours, other := authorities[0], authorities[1]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(ServerOptions{Log: log, Identity: source(ours, identity.QuorumMember, "")})
	var reached atomic.Int32
	echo := Unary(func(ctx context.Context, p *wire.ForwardRequest) (*wire.ForwardResponse, error) {
		reached.Add(1)
		ctx, cancel := context.WithTimeout(ctx, time.Minute) // as handlers make of theirs
		defer cancel()
		caller, ok := Caller(ctx)
		if !ok {
			return nil, errors.New("the caller is not known")
		}
		return &wire.ForwardResponse{Reason: string(caller.Role)}, nil
	})
	server.Handle("all", echo)
	server.Handle("core", echo, identity.QuorumMember)
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(ctx, l) }()
	defer func() { cancel(); <-ended }()
	for _, c := range []struct {
		what, method string
		who          *identity.Source
		taken        bool
	}{
		{"a node", "all", source(ours, identity.Node, ""), true},
		{"a quorum member", "core", source(ours, identity.QuorumMember, ""), true},
		{"a node for what quorum members may", "core", source(ours, identity.Node, ""), false},
		{"an operator", "all", source(ours, identity.Operator, ""), false},
		{"a stranger that trusts us", "all", source(other, identity.QuorumMember, ours.Bundle()), false},
		{"one that does not trust us", "all", source(ours, identity.Node, other.Bundle()), false},
		{"one without an identity", "all", nil, false},
	} {
		pool := NewPool(ctx, PoolOptions{Identity: c.who})
		before, refused := reached.Load(), server.options.Rejected.Load()
		until := time.Now().Add(10 * time.Second)
		out := new(wire.ForwardResponse)
		peer, err := pool.Live(ctx, until, l.Addr().String())
		if err == nil {
			err = peer.Call(ctx, until, c.method, &wire.ForwardRequest{}, out)
		}
		if c.taken != (err == nil) || c.taken != (reached.Load() > before) {
			t.Errorf("%s: %v, reached %v", c.what, err, reached.Load() > before)
		}
		if err != nil && c.who != nil && !errors.Is(err, ErrNotSent) && !IsPeerError(err) {
			t.Errorf("%s: %v leaves open whether the call was taken", c.what, err)
		}
		if c.taken && out.Reason == "" {
			t.Errorf("%s: the handler does not know its caller", c.what)
		}
		counted := !c.taken && c.what != "one that does not trust us"
		for counted && server.options.Rejected.Load() == refused && time.Now().Before(until) {
			runtime.Gosched() // the caller has its error before the server has counted it
		}
		if counted && server.options.Rejected.Load() == refused {
			t.Errorf("%s: not counted", c.what)
		}
	}
}

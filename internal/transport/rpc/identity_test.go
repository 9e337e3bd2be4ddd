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

// TestIdentities checks that untrusted callers reach no handler, and that trusted callers reach only the methods of their
// role. A rejected call fails with ErrNotSent or a PeerError.
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
	trusted, other := authorities[0], authorities[1]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(ServerOptions{Log: log, Identity: source(trusted, identity.QuorumMember, "")})
	var handled atomic.Int32
	echo := Unary(func(ctx context.Context, p *wire.ForwardRequest) (*wire.ForwardResponse, error) {
		handled.Add(1)
		ctx, cancel := context.WithTimeout(ctx, time.Minute) // Caller must also accept a derived context
		defer cancel()
		caller, ok := Caller(ctx)
		if !ok {
			return nil, errors.New("the caller is unknown")
		}
		return &wire.ForwardResponse{Reason: string(caller.Role)}, nil
	})
	server.Handle("all", echo)
	server.Handle("core", echo, identity.QuorumMember)
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(ctx, l) }()
	defer func() { cancel(); <-ended }()
	for _, c := range []struct {
		name, method string
		identity     *identity.Source
		allowed      bool
	}{
		{"a node", "all", source(trusted, identity.Node, ""), true},
		{"a quorum member", "core", source(trusted, identity.QuorumMember, ""), true},
		{"a node calling a method of quorum members", "core", source(trusted, identity.Node, ""), false},
		{"an operator", "all", source(trusted, identity.Operator, ""), false},
		{"an untrusted client that trusts the server", "all", source(other, identity.QuorumMember, trusted.Bundle()), false},
		{"a client that does not trust the server", "all", source(trusted, identity.Node, other.Bundle()), false},
		{"a client without an identity", "all", nil, false},
	} {
		pool := NewPool(ctx, PoolOptions{Identity: c.identity})
		before, rejected := handled.Load(), server.options.Rejected.Load()
		deadline := time.Now().Add(10 * time.Second)
		out := new(wire.ForwardResponse)
		peer, err := pool.Live(ctx, deadline, l.Addr().String())
		if err == nil {
			err = peer.Call(ctx, deadline, c.method, &wire.ForwardRequest{}, out)
		}
		if c.allowed != (err == nil) || c.allowed != (handled.Load() > before) {
			t.Errorf("%s: call error %v, handled: %v", c.name, err, handled.Load() > before)
		}
		if err != nil && c.identity != nil && !errors.Is(err, ErrNotSent) && !IsPeerError(err) {
			t.Errorf("%s: error %v does not guarantee that the call was not executed", c.name, err)
		}
		if c.allowed && out.Reason == "" {
			t.Errorf("%s: the handler could not identify its caller", c.name)
		}
		counted := !c.allowed && c.name != "a client that does not trust the server"
		for counted && server.options.Rejected.Load() == rejected && time.Now().Before(deadline) {
			runtime.Gosched() // the client may fail before the server counts the rejection
		}
		if counted && server.options.Rejected.Load() == rejected {
			t.Errorf("%s: the rejection was not counted", c.name)
		}
	}
}

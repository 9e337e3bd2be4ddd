package server

import (
	"context"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestCallsEndWithServer checks that calls waiting for the loop return when the server stops. A call that doesn't
// return keeps the process from exiting.
func TestCallsEndWithServer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{events: make(chan func(), 64), ctx: ctx} // no loop consumes the events
	srv.membership = &membershipDriver{server: srv, joinQueue: make(chan string)}
	for name, call := range map[string]func(){
		"awaitLeave":           func() { srv.membership.awaitLeave(ctx) },
		"currentLeader":        func() { srv.currentLeader(ctx) },
		"currentStatus":        func() { srv.currentStatus(ctx) },
		"applyCommand":         func() { srv.applyCommand(ctx, nil) },
		"askVoters":            func() { srv.askVoters(ctx, &wire.DepartureRequest{}) },
		"recordDepartures":     func() { srv.recordDepartures(context.Background(), &wire.DepartureRequest{}) },
		"readState":            func() { srv.readState(ctx, func() {}) },
		"handleJoin":           func() { srv.membership.handleJoin(ctx, &wire.JoinRequest{Peer: &wire.Peer{Id: 1, Address: "a"}}) },
		"membershipDriver.run": func() { srv.membership.run(ctx); srv.workers.Wait() },
	} {
		done := make(chan struct{})
		go func() { defer close(done); call() }()
		defer func() {
			select {
			case <-done:
			case <-time.After(20 * time.Second):
				t.Errorf("%s did not return within 20 s", name)
			}
		}()
	}
	for len(srv.events) < 4 { // wait until four calls are queued
		time.Sleep(time.Millisecond)
	}
	cancel()
}

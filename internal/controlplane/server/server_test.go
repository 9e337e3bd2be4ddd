package server

import (
	"context"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestCallsEndWithServer: a call that waits for the loop returns when the server ends without having run it. One that
// did not kept the process from ending, until the platform killed it.
func TestCallsEndWithServer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Server{events: make(chan func(), 64), ctx: ctx} // nobody reads the events
	n.membership = &membershipDriver{server: n, joinQueue: make(chan string)}
	for name, ask := range map[string]func(){
		"leaving": func() { n.membership.awaitLeave(ctx) },
		"leader":  func() { n.currentLeader(ctx) },
		"status":  func() { n.currentStatus(ctx) },
		"change":  func() { n.applyCommand(ctx, nil) },
		"read":    func() { n.readState(ctx, func() {}) },
		"join":    func() { n.membership.handleJoin(ctx, &wire.JoinRequest{Peer: &wire.Peer{Id: 1, Address: "a"}}) },
		"asking":  func() { n.membership.run(ctx); n.workers.Wait() },
	} {
		done := make(chan struct{})
		go func() { defer close(done); ask() }()
		defer func() {
			select {
			case <-done:
			case <-time.After(20 * time.Second):
				t.Errorf("%s waits for good", name)
			}
		}()
	}
	for len(n.events) < 4 { // the questions are there
		time.Sleep(time.Millisecond)
	}
	cancel()
}

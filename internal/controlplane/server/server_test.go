package server

import (
	"context"
	"testing"
	"time"

	"ivydeck/internal/transport/wire"
)

// TestQuestionsEndWithTheProcess: whoever has asked the loop something is let go when the loop ends without having read
// it. One that was not kept the process from ending, until the platform killed it.
func TestQuestionsEndWithTheProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{events: make(chan func(), 64), ctx: ctx} // nobody reads the events
	n.members = &membershipManager{node: n, asks: make(chan string)}
	for name, ask := range map[string]func(){
		"leaving": func() { n.members.awaitLeft(ctx) },
		"leader":  func() { n.ask(ctx) },
		"status":  func() { n.state(ctx) },
		"change":  func() { n.change(ctx, nil) },
		"read":    func() { n.read(ctx, func() {}) },
		"join":    func() { n.members.join(ctx, &wire.JoinRequest{Peer: &wire.Peer{Id: 1, Address: "a"}}) },
		"asking":  func() { n.members.run(ctx); n.workers.Wait() },
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

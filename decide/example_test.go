package decide_test

import (
	"fmt"
	"time"

	"ivydeck/decide"
)

// A node has one Balancer, passes it each event with the current time, and executes the returned actions.
func Example() {
	settings := decide.Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * time.Millisecond,
		Classes: []decide.Class{{
			LatencyTarget: 300 * time.Millisecond, Deadline: time.Second, Value: 1, Effect: decide.Idempotent,
		}},
	}
	now := time.Duration(0) // the node's own monotonic clock
	b := decide.New(settings, 1, now)
	b.Members(now, decide.Members{Change: decide.ListFull, Servers: []decide.Server{
		{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"},
	}}, nil)

	request := decide.Request{ID: 7, Tenant: -1, TTL: time.Second}
	for _, a := range b.Request(now, request, nil) {
		if a.Kind != decide.Send {
			continue
		}
		fmt.Println("send request", a.Request)
		now += 20 * time.Millisecond // the connection attempt fails
		outcome := decide.Outcome{Request: 7, Server: a.Server, Result: decide.Unconnected, Elapsed: 20 * time.Millisecond}
		for _, retry := range b.Outcome(now, outcome, nil) {
			if retry.Kind == decide.Send {
				fmt.Println("send again to another server:", retry.Server != a.Server)
			}
		}
	}
	// Output:
	// send request 7
	// send again to another server: true
}

package lab

import (
	"fmt"
	"math"
	"time"

	"ivydeck/internal/dataplane/router"
)

// request is a request of a client, or a call of a server. It may take several
// attempts.
type request struct {
	s        *sim
	route    *Route
	begun    time.Duration
	executed int
}

// attempt is one sending of a request by its client.
type attempt struct {
	id       string
	request  *request
	deadline time.Duration // the client gives up
	runs     int
	refused  bool
}

// executed counts a run at a server, and checks that the attempt may run.
func (t *attempt) executed() {
	t.runs++
	t.request.executed++
	if t.refused {
		t.request.s.violation("%s ran after a promise that it never would", t.id)
	}
	if t.request.route.NonIdempotent && t.request.executed > 1 {
		t.request.s.violation("%s, which must not run twice, ran %d times", t.id, t.request.executed)
	}
}

// answered takes the response, and checks what it promises.
func (t *attempt) answered(f router.Response) {
	if f.Status == 429 || f.Status == 503 || f.Status == 408 || f.Status == 421 {
		t.refused = true
		if t.runs > 0 {
			t.request.s.violation("%s was promised not to have run, and had", t.id)
		}
		if f.RetryAfter <= 0 {
			t.request.s.violation("%s was refused and not told when to come back", t.id)
		}
	}
}

// generateRequests sends new requests of a route, as a Poisson process.
func (s *sim) generateRequests(i int) {
	r := &s.scenario.Routes[i]
	if r.Rate <= 0 {
		return
	}
	rate := r.Rate * s.burst[i]
	wait := sec(-math.Log(1-s.rng.Float64()) / rate)
	s.after(min(wait, time.Second), func() {
		if wait <= time.Second { // otherwise there is none in this second
			q := &request{s: s, route: r, begun: s.now}
			s.measurements.requestStarted(s.now, r)
			s.sendRequest(q, 1)
		}
		s.generateRequests(i)
	})
}

// sendRequest makes the n-th attempt of a request at a random node.
func (s *sim) sendRequest(q *request, n int) {
	at := s.rng.IntN(len(s.nodes))
	for range 4 { // clients look for a node that is ready
		if s.nodes[at].up && s.nodes[at].ready {
			break
		}
		at = s.rng.IntN(len(s.nodes))
	}
	nd := s.nodes[at]
	until := q.begun + ms(q.route.TimeoutMs)
	s.attempts++
	t := &attempt{id: fmt.Sprintf("c%d", s.attempts), request: q, deadline: until}
	over := false
	finish := func(f router.Response) {
		if over {
			return
		}
		over = true
		t.answered(f)
		if t.refused && n < s.scenario.Clients.MaxAttempts && s.now+f.RetryAfter < until {
			s.measurements.refusalRetried(q.route)
			s.after(f.RetryAfter, func() { s.sendRequest(q, n+1) })
			return
		}
		s.measurements.requestEnded(s.now, q, f)
	}
	if !nd.up {
		finish(router.Response{Status: 502, Reason: "no node"})
		return
	}
	s.at(until, func() { finish(router.Response{Status: 504, Reason: "the client has given up"}) })
	nd.handle(t, finish)
}

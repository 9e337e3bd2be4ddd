package lab

import (
	"fmt"
	"math"
	"time"

	"ivydeck/internal/dataplane/router"
)

// request is a client's request, or a server's call of another service. It may be sent
// in several attempts.
type request struct {
	sim       *sim
	route     *Route
	startedAt time.Duration
	runs      int
}

// attempt is one transmission of a request by its client.
type attempt struct {
	id       string
	request  *request
	deadline time.Duration // when the client stops waiting
	runs     int
	refused  bool // a response stated that the attempt did not run
}

// recordRun counts a run at a server, and records a violation if the attempt must not run.
func (t *attempt) recordRun() {
	t.runs++
	t.request.runs++
	if t.refused {
		t.request.sim.recordViolation("%s ran after a response stated that it would not", t.id)
	}
	if t.request.route.NonIdempotent && t.request.runs > 1 {
		t.request.sim.recordViolation("the non-idempotent request of %s ran %d times", t.id, t.request.runs)
	}
}

// recordResponse records a violation if the response refuses an attempt that has run, or if
// it refuses the attempt without a retry delay.
func (t *attempt) recordResponse(response router.Response) {
	if response.Status == 429 || response.Status == 503 || response.Status == 408 || response.Status == 421 {
		t.refused = true
		if t.runs > 0 {
			t.request.sim.recordViolation("%s ran, but its response states that it did not", t.id)
		}
		if response.RetryAfter <= 0 {
			t.request.sim.recordViolation("%s was refused without a retry delay", t.id)
		}
	}
}

// generateRequests sends requests of the i-th route as a Poisson process.
func (s *sim) generateRequests(i int) {
	route := &s.scenario.Routes[i]
	if route.Rate <= 0 {
		return
	}
	rate := route.Rate * s.rateFactors[i]
	wait := sec(-math.Log(1-s.rng.Float64()) / rate)
	s.after(min(wait, time.Second), func() {
		if wait <= time.Second { // a longer wait is drawn again after a second, at the rate of that time
			req := &request{sim: s, route: route, startedAt: s.now}
			s.measurements.requestStarted(s.now, route)
			s.sendRequest(req, 1)
		}
		s.generateRequests(i)
	})
}

// sendRequest sends the n-th attempt of a request to a random node, preferably a ready one.
func (s *sim) sendRequest(req *request, n int) {
	index := s.rng.IntN(len(s.nodes))
	for range 4 { // prefer a ready node
		if s.nodes[index].up && s.nodes[index].ready {
			break
		}
		index = s.rng.IntN(len(s.nodes))
	}
	target := s.nodes[index]
	deadline := req.startedAt + ms(req.route.TimeoutMs)
	s.attempts++
	current := &attempt{id: fmt.Sprintf("c%d", s.attempts), request: req, deadline: deadline}
	finished := false
	finish := func(response router.Response) {
		if finished {
			return
		}
		finished = true
		current.recordResponse(response)
		if current.refused && n < s.scenario.Clients.MaxAttempts && s.now+response.RetryAfter < deadline {
			s.measurements.refusalRetried(req.route)
			s.after(response.RetryAfter, func() { s.sendRequest(req, n+1) })
			return
		}
		s.measurements.requestEnded(s.now, req, response)
	}
	if !target.up {
		finish(router.Response{Status: 502, Reason: "node is down"})
		return
	}
	s.at(deadline, func() { finish(router.Response{Status: 504, Reason: "client deadline exceeded"}) })
	target.handle(current, finish)
}

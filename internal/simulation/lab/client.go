package lab

import (
	"errors"
	"fmt"
	"math"
	"time"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/dataplane/router"
)

// request is what a client wants; it may take several tries.
type request struct {
	s        *sim
	route    *Route
	begun    time.Duration
	executed int
}

// try is one request on the wire.
type try struct {
	id       string
	req      *request
	until    time.Duration // the client waits no longer
	ran      int
	promised bool
}

// executed books a run at a server, and checks that it may be.
func (t *try) executed() {
	t.ran++
	t.req.executed++
	if t.promised {
		t.req.s.broken("%s ran after a promise that it never would", t.id)
	}
	if t.req.route.Once && t.req.executed > 1 {
		t.req.s.broken("%s, which must not run twice, ran %d times", t.id, t.req.executed)
	}
}

// answered books the final answer, and checks what it promises.
func (t *try) answered(f router.Response) {
	if f.Status == 429 || f.Status == 503 || f.Status == 408 || f.Status == 421 {
		t.promised = true
		if t.ran > 0 {
			t.req.s.broken("%s was promised not to have run, and had", t.id)
		}
		if f.RetryAfter <= 0 {
			t.req.s.broken("%s was refused and not told when to come back", t.id)
		}
	}
}

// clients lets new requests of a route begin.
func (s *sim) clients(i int) {
	r := &s.w.Routes[i]
	if r.Rate <= 0 {
		return
	}
	rate := r.Rate * s.burst[i]
	wait := sec(-math.Log(1-s.rng.Float64()) / rate)
	s.after(min(wait, time.Second), func() {
		if wait <= time.Second { // else none in this second
			q := &request{s: s, route: r, begun: s.now}
			s.m.asked(s.now, r)
			s.ask(q, 1)
		}
		s.clients(i)
	})
}

// ask makes one try of a request at some node.
func (s *sim) ask(q *request, n int) {
	at := s.rng.IntN(len(s.nodes))
	for range 4 { // clients look for a node that is ready, or takes connections at least
		if s.nodes[at].up && s.nodes[at].ready {
			break
		}
		at = s.rng.IntN(len(s.nodes))
	}
	nd := s.nodes[at]
	until := q.begun + ms(q.route.TimeoutMs)
	s.tries++
	t := &try{id: fmt.Sprintf("c%d", s.tries), req: q, until: until}
	over := false
	finish := func(f router.Response) {
		if over {
			return
		}
		over = true
		t.answered(f)
		if t.promised && n < s.w.Clients.Tries && s.now+f.RetryAfter < until {
			s.m.refused(q.route)
			s.after(f.RetryAfter, func() { s.ask(q, n+1) })
			return
		}
		s.m.done(s.now, q, f)
	}
	if !nd.up {
		finish(router.Response{Status: 502, Reason: "no node"})
		return
	}
	s.at(until, func() { finish(router.Response{Status: 504, Reason: "the client has given up"}) })
	nd.handle(t, finish)
}

// operate sends configurations. What was acknowledged has to be there ever after.
func (s *sim) operate() {
	every := sec(s.w.Operator.EveryS)
	again := func(d time.Duration) { s.after(d, s.operate) }
	body, err := s.w.config(s.base + 1)
	s.must(err)
	base := s.base
	asked := s.now
	s.atLeader(nil, len(body), func(c *core, answer func(error)) {
		current := c.catalog.Current()
		config, err := current.Parse(body)
		s.must(err)
		c.propose(current.Command(base, config, body), answer)
	}, func(err error) {
		switch {
		case err == nil:
			s.acked, s.base = max(s.acked, base+1), base+1
			s.m.acks = append(s.m.acks, s.now-asked)
			if every > 0 {
				again(every)
			}
		case errors.Is(err, catalog.ErrStale):
			s.reread(again)
		default:
			again(300 * time.Millisecond)
		}
	})
}

// reread learns the revision in force.
func (s *sim) reread(again func(time.Duration)) {
	s.atLeader(nil, rpcBytes, func(c *core, answer func(error)) {
		acked := s.acked // before the question
		c.read(func(ok bool) {
			if !ok {
				answer(errLost)
				return
			}
			if rev := c.catalog.Revision(); rev < acked {
				s.broken("%s reads revision %d, and %d was acknowledged", c.name, rev, acked)
			} else {
				s.base = rev
			}
			answer(nil)
		})
	}, func(error) { again(100 * time.Millisecond) })
}

// atLeader runs f in the leader's loop, wherever that is; from nil: from outside.
func (s *sim) atLeader(from *machine, size int, f func(c *core, answer func(error)), done func(error)) {
	if from == nil {
		from = &s.outside
	}
	first := s.rng.IntN(len(s.cores))
	var ask func(i int, c *core)
	ask = func(i int, c *core) {
		if i > 2*len(s.cores) {
			done(errLost)
			return
		}
		next := func() { ask(i+1, s.cores[(first+i+1)%len(s.cores)]) }
		s.call(from, &c.machine, size, answerWithin, func(answer func(int, func())) {
			c.do(func() {
				if !c.raft.IsLeader() {
					to := c.leader()
					answer(rpcBytes, func() {
						if to == nil || to == c {
							next()
						} else {
							ask(i+1, to)
						}
					})
					return
				}
				f(c, func(err error) { answer(rpcBytes, func() { done(err) }) })
			})
		}, func(sent bool) {
			if sent {
				done(errLost) // it may still be taken
			} else {
				next()
			}
		})
	}
	ask(0, s.cores[first])
}

package lab

import (
	"fmt"
	"math"
	"time"

	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/dataplane/router"
	"ivydeck/internal/transport/wire"
)

// server is an application server beside a node.
type server struct {
	s       *sim
	kind    *Service
	node    *node
	id      string // of its incarnation
	up      bool
	drains  bool
	drainAt time.Duration // when its mark was acknowledged
	acked   bool
	speed   float64       // its work takes so many times as long, ...
	slow    float64       // ... and in trouble so many times that
	cold    time.Duration // until then it is slow from its start
	grey    Trouble       // fails part of its runs; without a kind it does not
	hung    time.Duration // until then nothing moves
	seq     uint64
	runs    []*runOf
}

// runOf is a request at a server.
type runOf struct {
	over bool
	end  func(status int32, fate wire.ForwardResponse_Result)
}

func (r *runOf) finish(status int32, fate wire.ForwardResponse_Result) {
	if !r.over {
		r.over = true
		r.end(status, fate)
	}
}

func (v *server) start() {
	v.s.lives++
	v.id = fmt.Sprintf("i-%d", v.s.lives)
	v.up, v.drains, v.acked, v.slow, v.hung, v.seq = true, false, false, max(1, v.slow), 0, 0
	v.cold = v.s.now + sec(v.kind.ColdS)
	id := v.id
	v.s.after(time.Duration(v.s.rng.Int64N(int64(100*time.Millisecond))), func() { v.beat(id) })
}

// stop ends the process: what it works on has no answer.
func (v *server) stop() {
	v.up = false
	v.orphan()
}

func (v *server) orphan() {
	runs := v.runs
	v.runs = nil
	for _, r := range runs {
		v.s.after(time.Millisecond, func() { r.finish(0, wire.ForwardResponse_BROKEN) })
	}
}

func (v *server) beat(id string) {
	if !v.up || v.id != id {
		return
	}
	v.word()
	v.s.after(ms(v.s.w.BeatMs), func() { v.beat(id) })
}

// word is one beat. The node answers it at once, where it runs.
func (v *server) word() {
	if !v.node.up || v.hung > v.s.now {
		return
	}
	v.seq++
	h := v.node.admission.Heartbeat(v.s.now, localserver.Heartbeat{
		ID: v.id, Service: v.kind.Name, Address: v.node.name, Zone: v.node.zone, Slots: v.kind.Slots, Draining: v.drains, Seq: v.seq,
		WarmupLeft: max(0, v.cold-v.s.now),
	})
	v.node.deliver(h.Verdicts)
	if h.OK && v.drains && !v.acked {
		v.acked, v.drainAt = true, v.s.now
	}
	if (h.New || h.Drains) && !v.node.proposes {
		v.node.register()
	}
}

// draining statuses the server, and ends it once nobody can have business with it; a new
// incarnation follows after back.
func (v *server) drain(back time.Duration) {
	v.drains = true
	v.word()
	id := v.id
	v.s.after(2*ms(v.s.w.DrainMs), func() {
		if v.id == id && v.up {
			v.stop()
			v.node.admission.Deregister(id)
			v.s.at(back, func() { v.s.startServer(v) })
		}
	})
}

const (
	fastFail = 5 * time.Millisecond // a grey server fails fast, so that it looks idle
	greySlow = 5
)

// ill reports whether a request from a zone meets a grey server's bad side.
func (v *server) ill(zone string) bool {
	return v.grey.Kind != "" && (v.grey.From == "" || v.grey.From == zone) && v.s.rng.Float64() < v.grey.Factor
}

// run takes a request in, and calls end with what became of it.
func (v *server) run(t *try, ask localserver.Request, until time.Duration, tries int, end func(int32, wire.ForwardResponse_Result)) {
	s := v.s
	begun := s.now
	r := &runOf{end: func(status int32, fate wire.ForwardResponse_Result) {
		s.m.busy(s.now, v.kind.Name, s.now-begun)
		end(status, fate)
	}}
	if v.acked && s.now > v.drainAt+ms(s.w.DrainMs) {
		s.broken("%s was sent a request %v after the acknowledgement of its draining status", v.id, s.now-v.drainAt)
	}
	if tries > 0 {
		s.m.repeated(s.now, v.kind.Name)
	}
	if s.rng.Float64() < v.kind.Balk {
		s.after(time.Millisecond, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	if v.grey.How == "shed" && v.ill(ask.Call.Zone) {
		s.after(fastFail, func() { r.finish(503, wire.ForwardResponse_NOT_RUN) })
		return
	}
	t.executed()
	keep := v.runs[:0]
	for _, old := range v.runs {
		if !old.over {
			keep = append(keep, old)
		}
	}
	v.runs = append(keep, r)
	s.at(until, func() { r.finish(0, wire.ForwardResponse_DEADLINE_EXCEEDED) })
	work := ms(v.kind.WorkMs * v.speed * v.slow * min(8, -math.Log(1-s.rng.Float64())))
	if v.kind.Tail > 0 && s.rng.Float64() < v.kind.Tail {
		work = time.Duration(float64(work) * v.kind.TailX)
	}
	if s.now < v.cold {
		work = time.Duration(float64(work) * max(1, v.kind.ColdX))
	}
	work += max(0, v.hung-s.now)
	if v.kind.Errors > 0 && s.rng.Float64() < v.kind.Errors {
		s.after(work, func() { r.finish(500, wire.ForwardResponse_ANSWERED) })
		return
	}
	if v.ill(ask.Call.Zone) {
		switch v.grey.How {
		case "error":
			s.after(fastFail, func() { r.finish(500, wire.ForwardResponse_ANSWERED) })
			return
		case "reset":
			s.after(fastFail, func() { r.finish(0, wire.ForwardResponse_BROKEN) })
			return
		case "hang": // until its time is up
			return
		case "slow":
			work *= greySlow
		}
	}
	var calls []string
	for _, c := range t.req.route.Calls {
		for range s.some(c.Times) {
			calls = append(calls, c.Route)
		}
	}
	part := work / time.Duration(len(calls)+1)
	lost := s.rng.Float64() < v.kind.Broken
	var next func(i int)
	next = func(i int) {
		if r.over {
			return
		}
		if i == len(calls) {
			if lost {
				r.finish(0, wire.ForwardResponse_BROKEN)
				return
			}
			r.finish(200, wire.ForwardResponse_ANSWERED)
			return
		}
		inner := &try{id: fmt.Sprintf("%s.%d", t.id, i), until: until, req: &request{s: s, route: s.route(calls[i])}}
		v.node.handle(inner, func(f router.Response) {
			inner.answered(f)
			s.after(part, func() {
				if f.Status != 200 {
					r.finish(500, wire.ForwardResponse_ANSWERED)
					return
				}
				next(i + 1)
			})
		})
	}
	s.after(part, func() { next(0) })
}

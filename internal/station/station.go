// Package station decides for the node that stands beside a server, and is the
// only one that speaks to it: which lives of servers there are, when one has
// drained or hangs, who has a slot, who waits, and who is turned away before the
// server has seen a byte.
//
// Station is a pure state machine: it takes the time and an event, and returns
// what the driver has to do. Times are durations since a moment of the driver's
// choice. It is not for use by several goroutines.
package station

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ivydeck/internal/health"
	"ivydeck/internal/wire"
)

const (
	queuePart    = 0.5             // requests that wait, by slots, at most: a longer queue keeps no slot busier ...
	queueLeast   = 2               // ... but so many may
	beatsMissed  = 3               // after which a server is taken for gone
	forgetAfter  = 2 * time.Minute // lives that ended are remembered for as long
	mostLives    = 64              // remembered at a time
	mostCalled   = 16              // services that are told apart in the calls of one run
	defaultSlots = 8
)

// Beat is what a server says of itself.
type Beat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Warm                       time.Duration // for so much longer it is slow from its start
	Seq                        uint64
}

// Ask is a request for a server here.
type Ask struct {
	Member, Service, Attempt string
	Priority                 uint32 // 0 is the highest
	Repeat                   bool   // an earlier try of it may have run
	Wait                     bool   // it may wait for a slot
	health.Call
}

// Verdict is the answer to a request that waited: it may go, or is turned away.
type Verdict[T comparable] struct {
	Ticket T
	Go     bool
}

// Place is what a request gets on its arrival.
type Place int

// The places. A request that is turned away has not reached the server.
const (
	Slot  Place = iota // it goes to the server at once
	Queue              // a Verdict on its ticket follows
	Full               // no room
	Hangs              // the server does not answer
	Sick               // it fails too many
	Gone               // that life of the server takes nothing any more
)

// Called counts the calls that a run made to a service.
type Called struct {
	Service string
	Times   uint32
}

// Station is the state beside the servers of one machine. T names a request to
// its driver.
type Station[T comparable] struct {
	drain, heartbeat time.Duration
	lives            map[string]*life[T]
	runs             map[string]*run // by the Attempt-Ids at servers here
	spare            []*run          // that have ended, for those to come
}

// life is one life of a server.
type life[T comparable] struct {
	Beat
	beatAt    time.Duration
	heard     bool // it has spoken for itself to this process
	drained   bool
	drainedAt time.Duration // when its drain mark was first acknowledged
	gone      bool
	silent    bool // it is gone for its silence alone, which its next beat ends

	inflight int
	queue    []waiter[T]   // in the order in which they are to be served
	answered time.Duration // when it last answered anything
	health   *health.Server
}

type waiter[T comparable] struct {
	ticket   T
	priority uint32
}

// run is a request that a server here works on.
type run struct {
	repeat bool
	called []Called
	failed bool // a call that it made
}

// New returns a Station without servers. After drain from the acknowledgement of
// a drain mark nothing may arrive; servers speak every heartbeat.
func New[T comparable](drain, heartbeat time.Duration) *Station[T] {
	return &Station[T]{drain: drain, heartbeat: heartbeat, lives: map[string]*life[T]{}, runs: map[string]*run{}}
}

// Heard is what a beat meant.
type Heard[T comparable] struct {
	OK       bool     // false: the life has ended, or the beat came late
	New      bool     // a life that was not known
	Back     bool     // a life that was taken for gone, for its silence
	Drains   bool     // its drain mark is new
	Ended    []string // lives that this one has ended, having their address
	Verdicts []Verdict[T]
}

// Beat takes a server's word.
func (s *Station[T]) Beat(now time.Duration, b Beat) (h Heard[T]) {
	m := s.lives[b.ID]
	if m == nil {
		if len(s.lives) >= mostLives {
			return h
		}
		h.New = true
		m = &life[T]{answered: now, health: health.New(now)}
		s.lives[b.ID] = m
		// A new life at the same address has ended the one before.
		for _, id := range s.ids() {
			old := s.lives[id]
			if id == b.ID || old.Address != b.Address {
				continue
			}
			old.silent = false
			if !old.gone {
				h.Ended = append(h.Ended, id)
				h.Verdicts = append(h.Verdicts, old.end()...)
			}
		}
	} else if b.Seq < m.Seq || m.gone && !m.silent {
		h.OK = !m.gone
		return h
	} else if m.silent { // it was held up, and is the life that it was
		h.Back = true
		m.gone, m.silent, m.answered, m.health = false, false, now, health.New(now)
	}
	if b.Slots <= 0 {
		b.Slots = defaultSlots
	}
	b.Draining = b.Draining || m.Draining // it never comes back from that
	m.Beat, m.beatAt = b, now
	m.health.Warm(now, b.Warm)
	if b.Draining && !m.drained {
		m.drained, m.drainedAt, h.Drains = true, now, true
		if !m.heard {
			// The mark may have been acknowledged by an earlier life of this process, nobody knows when: its time
			// counts as over.
			m.drainedAt = now - s.drain
		}
	}
	m.heard, h.OK = true, true
	return h
}

// Adopt takes over a server that the list has for this machine, until it speaks
// for itself: a process that starts anew need not wait for the next beat. What it
// is sent names the life that is meant, so that another at its address turns it away.
func (s *Station[T]) Adopt(now time.Duration, b Beat) bool {
	if len(s.lives) > 0 || b.Slots <= 0 {
		return false
	}
	s.lives[b.ID] = &life[T]{Beat: b, beatAt: now, answered: now, health: health.New(now)}
	return true
}

// Deregister takes a server's last word.
func (s *Station[T]) Deregister(id string) (ended bool, v []Verdict[T]) {
	m := s.lives[id]
	if m == nil {
		return false, nil
	}
	m.silent = false
	if m.gone {
		return false, nil
	}
	return true, m.end()
}

// end takes a life out of service.
func (m *life[T]) end() (v []Verdict[T]) {
	m.gone = true
	return m.clear()
}

// clear turns all away that wait.
func (m *life[T]) clear() (v []Verdict[T]) {
	for _, w := range m.queue {
		v = append(v, Verdict[T]{w.ticket, false})
	}
	m.queue = nil
	return v
}

// ids are the lives in one order, so that runs repeat.
func (s *Station[T]) ids() []string {
	list := make([]string, 0, len(s.lives))
	for id := range s.lives {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Sweep takes servers that have been silent for long for gone, and forgets lives
// that ended. It returns the ids of those that it ended.
func (s *Station[T]) Sweep(now time.Duration) (silent []string, v []Verdict[T]) {
	for _, id := range s.ids() {
		m := s.lives[id]
		silence := now - m.beatAt
		if m.gone && silence > forgetAfter {
			delete(s.lives, id)
		}
		if !m.gone && silence > beatsMissed*s.heartbeat+time.Second && now-m.answered > s.heartbeat {
			silent = append(silent, id)
			v = append(v, m.end()...)
			m.silent = true
		}
	}
	return silent, v
}

// Servers returns the servers of this machine as they should be registered.
func (s *Station[T]) Servers() []Beat {
	var list []Beat
	for _, m := range s.lives {
		if !m.gone {
			list = append(list, m.Beat)
		}
	}
	slices.SortFunc(list, func(a, b Beat) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Busy is the number of requests that servers here hold, or that wait for them.
func (s *Station[T]) Busy() int {
	n := 0
	for _, m := range s.lives {
		n += m.inflight + len(m.queue)
	}
	return n
}

// Load is the number of requests at one server, and of those that wait for it.
func (s *Station[T]) Load(id string) (inflight, waiting int) {
	if m := s.lives[id]; m != nil {
		return m.inflight, len(m.queue)
	}
	return 0, 0
}

// Sick tells for the callers of which zones a server is out for its failures; see health.
func (s *Station[T]) Sick(id string) []string {
	if m := s.lives[id]; m != nil {
		return m.health.Out()
	}
	return nil
}

// Server returns what is known of a life; ok is false where it has ended.
func (s *Station[T]) Server(id string) (b Beat, ok bool) {
	if m := s.lives[id]; m != nil && !m.gone {
		return m.Beat, true
	}
	return b, false
}

// Graph tells whether a request with this Attempt-Id is a call that a run on this
// machine makes, and whether that run is a repeat; the call is booked for the
// run. Servers give their calls ids that begin with the id of the run; whoever
// can name a run that is in flight here has been admitted with it. One who makes
// up an id is a new entry.
func (s *Station[T]) Graph(attempt, service string) (inner, repeat bool) {
	r := s.caller(attempt)
	if r == nil {
		return false, false
	}
	at := slices.IndexFunc(r.called, func(c Called) bool { return c.Service == service })
	if at < 0 && len(r.called) < mostCalled {
		at = len(r.called)
		r.called = append(r.called, Called{Service: service})
	}
	if at >= 0 {
		r.called[at].Times++
	}
	return true, r.repeat
}

// caller is the run here whose call has this Attempt-Id; nil: there is none.
func (s *Station[T]) caller(attempt string) *run {
	for i := len(attempt) - 1; i > 0; i-- {
		c := attempt[i]
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			continue
		}
		if r := s.runs[attempt[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// Arrive gives a request its place; why says what was against it. A higher
// request may take the place of the last in the queue, which is turned away.
func (s *Station[T]) Arrive(now time.Duration, q Ask, ticket T) (place Place, why string, v []Verdict[T]) {
	m := s.lives[q.Member]
	if place, why = s.against(now, m, q); why != "" {
		return place, why, nil
	}
	if m.inflight < m.Slots && len(m.queue) == 0 {
		m.inflight++
		s.Run(now, q)
		return Slot, "", nil
	}
	if !q.Wait { // another server may have a slot, and a further hop is shorter than any wait
		return Full, "no slot", nil
	}
	if len(m.queue) >= max(queueLeast, int(queuePart*float64(m.Slots))) {
		last := m.queue[len(m.queue)-1]
		if last.priority <= q.Priority {
			return Full, "no room", nil
		}
		m.queue = m.queue[:len(m.queue)-1]
		v = append(v, Verdict[T]{last.ticket, false})
	}
	at, _ := slices.BinarySearchFunc(m.queue, q.Priority, func(w waiter[T], p uint32) int {
		return cmp.Or(cmp.Compare(w.priority, p), -1)
	})
	m.queue = slices.Insert(m.queue, at, waiter[T]{ticket, q.Priority})
	return Queue, "", v
}

// against tells why a life may not be sent a request; no why: it may.
func (s *Station[T]) against(now time.Duration, m *life[T], q Ask) (Place, string) {
	switch {
	case m == nil || m.gone:
		return Gone, "no such server here"
	case m.Service != q.Service:
		return Gone, "it serves " + m.Service
	case m.drained && now-m.drainedAt > s.drain/2:
		// Its last requests stay well within the bound, which runs from the
		// acknowledgement to the arrival.
		return Gone, "it is draining"
	}
	switch m.health.Judge(now, q.Call) {
	case health.Hangs:
		return Hangs, "it does not answer"
	case health.Sick:
		return Sick, "it fails too many"
	}
	return Slot, ""
}

// Run books a request that waited and now goes to its server.
func (s *Station[T]) Run(now time.Duration, q Ask) {
	r := new(run)
	if n := len(s.spare); n > 0 {
		r, s.spare = s.spare[n-1], s.spare[:n-1]
	}
	*r = run{repeat: q.Repeat}
	s.runs[q.Attempt] = r
	if m := s.lives[q.Member]; m != nil {
		m.health.Begin(now, q.Attempt, q.Call)
	}
}

// CallFailed notes that a call of a run here has failed: what the run comes to is not its server's fault then.
func (s *Station[T]) CallFailed(attempt string) {
	if r := s.caller(attempt); r != nil {
		r.failed = true
	}
}

// Leave takes a request out of the queue. It reports false where it is no longer
// in it: its Verdict has been given.
func (s *Station[T]) Leave(member string, ticket T) bool {
	m := s.lives[member]
	if m == nil {
		return false
	}
	at := slices.IndexFunc(m.queue, func(w waiter[T]) bool { return w.ticket == ticket })
	if at < 0 {
		return false
	}
	m.queue = slices.Delete(m.queue, at, at+1)
	return true
}

// Release gives back a slot that was given to a request that has left meanwhile.
func (s *Station[T]) Release(now time.Duration, member string) []Verdict[T] {
	if m := s.lives[member]; m != nil {
		return s.next(now, m)
	}
	return nil
}

// EndOf says what an outcome shows of the server. Its own 504 says that the time was up, which may be its callers' or
// its calls' doing; runs that take far too long are counted while they last.
func EndOf(out *wire.Outcome) health.End {
	switch out.Fate {
	case wire.Outcome_ANSWERED:
		if out.Status == 504 {
			return health.Void
		}
		if out.Status >= 500 {
			return health.Erred
		}
		return health.Served
	case wire.Outcome_UNRUN: // it has turned away what it had a slot for
		if out.Gone {
			return health.Void
		}
		return health.Erred
	case wire.Outcome_LATE:
		return health.Late
	}
	return health.Broken
}

// Finished is what the end of a run means.
type Finished[T comparable] struct {
	Called    []Called // by the run
	Waiting   bool     // the server has no slot left
	Pace      float64  // time that a request takes there, in the usual time of its like
	Fill      float64  // requests that it has and that wait for it, by its slots
	Out, Back bool     // its server was taken out for its failures, for some callers at least, or has come back
	Verdicts  []Verdict[T]
}

// Finish books the end of a run, and gives its slot to the next.
func (s *Station[T]) Finish(now time.Duration, member, attempt string, how health.End) (f Finished[T]) {
	if r := s.runs[attempt]; r != nil {
		f.Called = r.called
		if r.failed && how == health.Erred {
			how = health.Void
		}
		delete(s.runs, attempt)
		s.spare = append(s.spare, r)
	}
	m := s.lives[member]
	if m == nil {
		return f
	}
	if how == health.Served || how == health.Erred {
		m.answered = now
	}
	f.Out, f.Back = m.health.End(now, attempt, how)
	f.Verdicts = s.next(now, m)
	if f.Out || m.health.Hangs(now) { // those who wait are better served elsewhere
		f.Verdicts = append(f.Verdicts, m.clear()...)
	}
	f.Waiting = len(m.queue) > 0 || m.inflight >= m.Slots
	f.Pace, f.Fill = m.health.Pace(), float64(m.inflight+len(m.queue))/float64(m.Slots)
	return f
}

// next gives a slot that has become free to the first in the queue.
func (s *Station[T]) next(now time.Duration, m *life[T]) (v []Verdict[T]) {
	m.inflight--
	for len(m.queue) > 0 && m.inflight < m.Slots {
		w := m.queue[0]
		m.queue = m.queue[1:]
		pass := !m.gone && !(m.drained && now-m.drainedAt > s.drain*3/4)
		if pass {
			m.inflight++
		}
		v = append(v, Verdict[T]{w.ticket, pass})
	}
	return v
}

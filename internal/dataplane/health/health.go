// Package health judges a server by what becomes of the requests that it is given: whether it may have the next
// one, and how slow it is. It believes no health answer, which may be false either way, and sends no probes, which
// would take a slot: requests tell more.
//
// A Server is kept by the node that stands beside it, which sees all of its callers, so that what one request has
// shown holds for all of them at once. It is a pure state machine: it takes the time and an event. Times are durations
// since a moment of the driver's choice. It is not for use by several goroutines.
package health

import (
	"math"
	"slices"
	"time"
)

const (
	memory     = 2 * time.Second // after which what was seen counts for a third
	confidence = 1.64            // one-sided 95 %: how sure a share of failures has to be ...
	limit      = 0.1             // ... before one over this ejects a server
	minBad     = 1.5             // failures, fading, below which none is ejected: two of late, never one
	rowBad     = 3               // failures in a row that eject one, whatever was before

	holdFirst = 800 * time.Millisecond // ejected for so long at first, doubled each time it is ejected again ...
	holdMost  = 6 * time.Second
	calmFor   = 20 * time.Second        // ... until it has been healthy for so long
	probeGap  = 120 * time.Millisecond  // between probes of one that is ejected
	probesDue = 4                       // good ones in a row that bring it back
	onceAfter = 1500 * time.Millisecond // a request that may run once is a probe only where no other has come for so long

	stallAfter = 700 * time.Millisecond // without any answer, with several under way, a server hangs
	stallCalls = 3
	stallProbe = 500 * time.Millisecond

	overdueX   = 6 // usual times after which a request that still runs counts as failed
	overdueMin = 600 * time.Millisecond
	lateX      = 3    // usual times that a server must have had for what is late to be its doing
	paceGain   = 0.05 // of the newest run; the first count for more
	relearn    = 3    // runs that its pace counts for, once it is warm
	paceLeast  = 0.4
	paceMost   = 4
	maxZones   = 16
	maxRunning = 4096
)

// Call is a request for a server.
type Call struct {
	Zone   string        // where its graph has begun: some ills are met from one zone alone
	Usual  time.Duration // the usual time of its like at all servers, as its entry sees it; 0: not known
	Once   bool          // it may run once only
	Insist bool          // its entry knows of no better server
}

// Verdict says whether a server may have a request.
type Verdict int

// The verdicts.
const (
	Healthy   Verdict = iota
	Unhealthy         // it fails too many
	Hangs             // it answers nothing
)

// End is how a request came out.
type End int

// The ends.
const (
	Served End = iota // with an answer that is no failure
	Erred             // with the server's own failure, or turned away although it had room
	Broken            // without a whole answer, or with one that was no answer of its own
	Late              // with the end of its time
	Void              // called off, or full: it says nothing of the server
)

// Server is what is known of one incarnation of a server.
type Server struct {
	all      record
	zones    map[string]*record
	running  map[string]*run
	spare    []*run // that have ended, for those to come
	pace     float64
	paced    int           // runs that it is of
	warm     time.Duration // until then it is slow from its start
	answered time.Duration // when it last answered anything
	many     time.Duration // since when several are under way
	probedAt time.Duration // of one that hangs
	looked   time.Duration // when overdue ones were last looked for
}

// run is a request at the server.
type run struct {
	Call
	began   time.Duration
	overdue bool      // it has been counted
	probes  []*record // for which it is one
}

// record is what was seen of a server by some callers.
type record struct {
	bad, total float64 // fading
	row        int     // failures since one that was none
	at         time.Duration
	ejected    bool
	until      time.Duration // no probe before
	probedAt   time.Duration // of the last
	probing    int           // probes under way
	good       int           // probes in a row
	outs       int
	backAt     time.Duration
}

// New returns a server of which nothing is known.
func New(now time.Duration) *Server {
	return &Server{
		zones: map[string]*record{}, running: map[string]*run{}, pace: 1, answered: now, probedAt: now - stallProbe,
	}
}

// Warm says how much longer the server is slow from its start. What its pace was until then says little of later.
func (s *Server) Warm(now, left time.Duration) {
	if left > 0 {
		s.warm = now + left
	} else if s.warm > 0 {
		s.warm, s.paced = 0, min(s.paced, relearn)
	}
}

// Pace is how long the server takes for a request, in the time that others take for its like.
func (s *Server) Pace() float64 { return s.pace }

// Everywhere stands for all zones in what Ejected returns.
const Everywhere = "*"

// Ejected tells for the callers of which zones the server is ejected, in order.
func (s *Server) Ejected() (zones []string) {
	if s.all.ejected {
		return []string{Everywhere}
	}
	for name, r := range s.zones {
		if r.ejected {
			zones = append(zones, name)
		}
	}
	slices.Sort(zones)
	return zones
}

// Judge says whether the server may have a request. A Healthy one that is given to it is told with Begin.
func (s *Server) Judge(now time.Duration, c Call) Verdict {
	s.overdue(now)
	if s.Hangs(now) {
		if now-s.probedAt < stallProbe {
			return Hangs
		}
		s.probedAt = now
		return Healthy
	}
	if c.Insist {
		return Healthy
	}
	zone := s.zones[c.Zone]
	if !s.all.takes(now, c) || !zone.takes(now, c) {
		return Unhealthy
	}
	s.all.probedAt = now
	if zone != nil {
		zone.probedAt = now
	}
	return Healthy
}

// Hangs reports whether the server has stopped answering.
func (s *Server) Hangs(now time.Duration) bool {
	return len(s.running) >= stallCalls && now-max(s.answered, s.many) > stallAfter
}

// Begin notes a request that is given to the server, by its id.
func (s *Server) Begin(now time.Duration, id string, c Call) {
	if len(s.running) >= maxRunning {
		return
	}
	if twin := s.running[id]; twin != nil { // two clients have given their requests one id: only one of them is watched
		twin.tried()
	}
	r := s.fresh()
	r.Call, r.began, r.overdue = c, now, false
	for _, rec := range []*record{&s.all, s.zones[c.Zone]} {
		if rec != nil && rec.ejected && now >= rec.until {
			rec.probing++
			r.probes = append(r.probes, rec)
		}
	}
	s.running[id] = r
	if len(s.running) == stallCalls {
		s.many = now
	}
}

// End takes the end of a request. It reports whether the server was ejected by it, or has come back.
func (s *Server) End(now time.Duration, id string, how End) (ejected, restored bool) {
	r := s.running[id]
	delete(s.running, id)
	if how == Served || how == Erred {
		s.answered = now
	}
	if r == nil {
		return false, false
	}
	defer func() { s.spare = append(s.spare, r) }()
	r.tried()
	// One that came with little time left would have been late anywhere.
	if how == Late && r.Usual > 0 && now-r.began < lateX*r.Usual {
		how = Void
	}
	if r.overdue || how == Void {
		return false, false
	}
	if how == Served && r.Usual > 0 {
		ratio := min(paceMost, float64(now-r.began)/float64(r.Usual))
		s.paced++
		s.pace = max(paceLeast, s.pace+(ratio-s.pace)*max(paceGain, 1/float64(s.paced+1)))
	}
	return s.note(now, r, how == Served)
}

// tried ends a probe.
func (r *run) tried() {
	for _, rec := range r.probes {
		rec.probing--
	}
	r.probes = r.probes[:0]
}

// fresh returns room for a request. What is kept is no more than what has run at once.
func (s *Server) fresh() *run {
	n := len(s.spare)
	if n == 0 {
		return new(run)
	}
	r := s.spare[n-1]
	s.spare = s.spare[:n-1]
	return r
}

// note books what one request has shown: for the callers of its zone, and for all unless it is that zone's affair.
func (s *Server) note(now time.Duration, r *run, good bool) (ejected, restored bool) {
	if !s.all.ejected {
		z := s.zones[r.Zone]
		if z == nil && len(s.zones) < maxZones {
			z = &record{}
			s.zones[r.Zone] = z
		}
		if z != nil {
			if ejected, restored = z.note(now, r.began, good); z.ejected || restored {
				return ejected, restored
			}
		}
	}
	ejected, restored = s.all.note(now, r.began, good)
	if ejected {
		clear(s.zones) // it is everybody's
	}
	return ejected, restored
}

// overdue counts requests that run for too long as failed, before their end: one that hangs ends with its caller's
// patience, and until then the server would go on being sent others.
func (s *Server) overdue(now time.Duration) {
	if now-s.looked < overdueMin/8 {
		return
	}
	s.looked = now
	for _, r := range s.running {
		if !r.overdue && r.Usual > 0 && now-r.began > max(overdueMin, overdueX*r.Usual) {
			r.overdue = true
			r.tried()
			s.note(now, r, false)
		}
	}
}

// takes reports whether a request may go; of those to a server that is ejected, a few are probes.
func (r *record) takes(now time.Duration, c Call) bool {
	if r == nil || !r.ejected {
		return true
	}
	return r.probing == 0 && now >= r.until && now-r.probedAt >= probeGap && !(c.Once && now-max(r.until, r.probedAt) < onceAfter)
}

// note books one end.
func (r *record) note(now, began time.Duration, good bool) (ejected, restored bool) {
	fade := math.Exp(-float64(now-r.at) / float64(memory))
	r.bad, r.total, r.at = r.bad*fade, r.total*fade+1, now
	r.row++
	if good {
		r.row = 0
	} else {
		r.bad++
	}
	if !r.ejected {
		if now-r.backAt > calmFor {
			r.outs = 0
		}
		if !good && (r.row >= rowBad || r.bad > minBad && low(r.bad, r.total) > limit) {
			r.leave(now)
			return true, false
		}
		return false, false
	}
	switch {
	case began < r.until: // given to it before
	case !good:
		r.leave(now)
	default:
		if r.good++; r.good >= probesDue {
			r.ejected, r.backAt, r.bad, r.total, r.row = false, now, 0, 0, 0
			return false, true
		}
	}
	return false, false
}

// leave ejects the server for the callers of this record, each time for longer.
func (r *record) leave(now time.Duration) {
	r.ejected, r.good = true, 0
	r.until = now + min(holdMost, holdFirst<<min(r.outs, 4))
	r.outs++
}

// low is the lower end of Wilson's interval for a share.
func low(bad, total float64) float64 {
	const z = confidence
	p := bad / total
	return (p + z*z/(2*total) - z*math.Sqrt(p*(1-p)/total+z*z/(4*total*total))) / (1 + z*z/total)
}

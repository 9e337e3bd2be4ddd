package decide

import "time"

// Detection of idle connections that are dead: a middlebox may drop them after an unknown time. What
// becomes of sends is counted by the idle time of their connection; from the idle time on after which more
// are lost than answered, connections are closed rather than used.
const (
	minIdleTime       = 100 * time.Millisecond // connections idle for less are never suspected
	idleTimeBuckets   = 8                      // of idle times, each double the one before
	idleOutcomeWindow = 10 * time.Second       // over which outcomes by idle time fade
	// that prove connections dead, if they outnumber the answered
	minLostSends         = 2
	connectFailureWindow = 32 // attempts over which the failures to connect are averaged
)

// idleConnections is the state of the detection.
type idleConnections struct {
	idleOutcomes       [idleTimeBuckets]idleOutcome
	deadIdleBucket     int     // connections are dead from this bucket on; idleTimeBuckets: none are
	connectFailureRate float64 // share of the attempts that found no connection
}

// idleOutcome counts what became of sends on connections of one bucket of idle times.
type idleOutcome struct{ lost, answered float64 }

// fadeIdleOutcomes is called once a latencyPeriod.
func (d *idleConnections) fadeIdleOutcomes() {
	for i := range d.idleOutcomes {
		d.idleOutcomes[i].lost *= 1 - float64(latencyPeriod)/float64(idleOutcomeWindow)
		d.idleOutcomes[i].answered *= 1 - float64(latencyPeriod)/float64(idleOutcomeWindow)
	}
}

// takeConnection takes the connection for a send, and returns the bucket of its idle time. Connections that
// were idle for as long as those that proved dead are closed first: a new one costs a handshake, a dead one
// the request. Sends to all servers count together, so that a single server that hangs proves nothing.
func (b *Balancer) takeConnection(s *server) (bucket int) {
	if len(s.idle) == 0 {
		return noIdleBucket
	}
	idleTime := b.now - s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	if b.settings.ConnIdle > 0 && idleTime >= b.settings.ConnIdle {
		s.idle = s.idle[:0] // closed by the server, and so are those that were idle for longer
		return noIdleBucket
	}
	bucket = noIdleBucket
	for d := minIdleTime; idleTime >= d && bucket < idleTimeBuckets-1; d *= 2 {
		bucket++
	}
	if bucket >= b.deadIdleBucket {
		s.idle = s.idle[:0]
		b.emit(Action{Kind: CloseIdle, Server: s.ID})
		return noIdleBucket
	}
	return bucket
}

// recordConnection takes what the end of an attempt says of its connection.
func (b *Balancer) recordConnection(a *attempt) {
	b.connectFailureRate *= 1 - 1.0/connectFailureWindow
	if a.result == Unconnected {
		b.connectFailureRate += 1.0 / connectFailureWindow
	}
	switch {
	case a.result == Served || a.result == Errored || a.result == Full:
		a.server.idle = append(a.server.idle, b.now)
		b.recordIdleOutcome(a, false)
	case a.result == Broken || a.result == TimedOut && !a.late:
		b.recordIdleOutcome(a, true)
	}
}

// recordIdleOutcome counts whether a send on an idle connection was lost, and finds the shortest idle time
// after which connections are dead.
func (d *idleConnections) recordIdleOutcome(a *attempt, lost bool) {
	if a.idleBucket != noIdleBucket && lost {
		d.idleOutcomes[a.idleBucket].lost++
	} else if a.idleBucket != noIdleBucket {
		d.idleOutcomes[a.idleBucket].answered++
	}
	var sum idleOutcome // of this bucket and those of longer idle times
	d.deadIdleBucket = idleTimeBuckets
	for i := idleTimeBuckets - 1; i >= 0; i-- {
		o := d.idleOutcomes[i]
		sum.lost, sum.answered = sum.lost+o.lost, sum.answered+o.answered
		if sum.lost >= minLostSends && sum.lost > sum.answered && o.lost > o.answered {
			d.deadIdleBucket = i
		}
	}
}

package decide

import "time"

// Detection of dead idle connections: a middlebox may drop idle connections after an unknown time. Lost and
// answered sends are counted by the idle time of their connection. If more sends are lost than answered from
// some idle time on, connections that were idle for that long are closed instead of reused.
const (
	minIdleTime       = 100 * time.Millisecond // connections idle for less are never considered dead
	idleTimeBuckets   = 8                      // buckets of idle times, each twice as long as the one before
	idleOutcomeWindow = 10 * time.Second       // time constant of the decay of the counters
	// minimum number of lost sends for connections to be considered dead
	minLostSends         = 2
	connectFailureWindow = 32 // attempts over which the connection failures are averaged
)

// idleConnections is the state of the detection of dead idle connections.
type idleConnections struct {
	idleOutcomes       [idleTimeBuckets]idleOutcome
	deadIdleBucket     int     // first bucket of dead connections, or idleTimeBuckets if there is none
	connectFailureRate float64 // share of the attempts that could not connect
}

// idleOutcome counts the sends on idle connections of one bucket; the counters decay.
type idleOutcome struct{ lost, answered float64 }

// decayIdleOutcomes must be called once every latencyPeriod.
func (d *idleConnections) decayIdleOutcomes() {
	for i := range d.idleOutcomes {
		d.idleOutcomes[i].lost *= 1 - float64(latencyPeriod)/float64(idleOutcomeWindow)
		d.idleOutcomes[i].answered *= 1 - float64(latencyPeriod)/float64(idleOutcomeWindow)
	}
}

// takeConnection chooses the connection for a send and returns the bucket of its idle time, or noIdleBucket
// if the connection is new or was idle for less than minIdleTime. If the connection was idle for as long as
// dead ones, all idle connections of the server are closed: a handshake costs less than a lost request. The
// counters cover all servers, so that one hung server does not mark connections as dead.
func (b *Balancer) takeConnection(s *server) (bucket int) {
	if len(s.idle) == 0 {
		return noIdleBucket
	}
	idleTime := b.now - s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	if b.settings.ConnIdle > 0 && idleTime >= b.settings.ConnIdle {
		s.idle = s.idle[:0] // already closed after ConnIdle, like those that were idle for longer
		return noIdleBucket
	}
	bucket = noIdleBucket
	for lower := minIdleTime; idleTime >= lower && bucket < idleTimeBuckets-1; lower *= 2 {
		bucket++
	}
	if bucket >= b.deadIdleBucket {
		s.idle = s.idle[:0]
		b.emit(Action{Kind: CloseIdle, Server: s.ID})
		return noIdleBucket
	}
	return bucket
}

// recordConnection records whether an attempt could connect, and whether its connection can be reused.
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

// recordIdleOutcome counts a lost or answered send on an idle connection, and updates deadIdleBucket.
func (d *idleConnections) recordIdleOutcome(a *attempt, lost bool) {
	if a.idleBucket != noIdleBucket && lost {
		d.idleOutcomes[a.idleBucket].lost++
	} else if a.idleBucket != noIdleBucket {
		d.idleOutcomes[a.idleBucket].answered++
	}
	var sum idleOutcome // over bucket i and those of longer idle times
	d.deadIdleBucket = idleTimeBuckets
	for i := idleTimeBuckets - 1; i >= 0; i-- {
		o := d.idleOutcomes[i]
		sum.lost, sum.answered = sum.lost+o.lost, sum.answered+o.answered
		if sum.lost >= minLostSends && sum.lost > sum.answered && o.lost > o.answered {
			d.deadIdleBucket = i
		}
	}
}

package lab

import (
	"time"
)

// machine is one machine on the network, and the process on it.
type machine struct {
	name, zone     string
	isQuorumMember bool
	incarnation    uint64 // of the process; a later one is higher
	up             bool   // the process runs
	powered        bool
	partitioned    bool           // no message passes
	sendUntil      time.Duration  // the line out is taken until then
	calls          []*pendingCall // of others, under way here
	sentBytes      int64          // sent
	crossZoneBytes int64          // of them, to other zones
}

// network carries messages between machines.
type network struct {
	*engine
	Net
	partitions map[[2]string]bool // zones between which nothing passes
}

// reaches reports whether messages pass.
func (n *network) reaches(a, b *machine) bool {
	return a == b || !a.partitioned && !b.partitioned && !n.partitions[[2]string{a.zone, b.zone}]
}

// delay is how long a message takes.
func (n *network) delay(from, to *machine, size int) time.Duration {
	if from == to {
		return 20 * time.Microsecond
	}
	from.sentBytes += int64(size)
	d := ms(n.LinkMs + n.rng.Float64()*n.JitterMs)
	if from.zone != to.zone {
		from.crossZoneBytes += int64(size)
		d += ms(n.ZoneMs)
	}
	for n.Loss > 0 && n.rng.Float64() < n.Loss { // sent again by the transport
		d += 200 * time.Millisecond
	}
	if n.MBps > 0 {
		from.sendUntil = max(from.sendUntil, n.now) + time.Duration(float64(size)/n.MBps*1000)
		d += from.sendUntil - n.now
	}
	return d
}

// post sends a message; it is lost where nothing passes, or where the process that
// it is for has ended.
func (n *network) post(from, to *machine, size int, f func()) {
	n.stream(from, to, size, new(time.Duration), f)
}

// stream is post for messages that keep their order; last is when the one before
// arrives.
func (n *network) stream(from, to *machine, size int, last *time.Duration, f func()) {
	if !from.up || !n.reaches(from, to) || !to.up {
		return
	}
	incarnation := to.incarnation
	*last = max(*last, n.now+n.delay(from, to, size))
	n.at(*last, func() {
		if to.up && to.incarnation == incarnation && n.reaches(from, to) {
			f()
		}
	})
}

// pendingCall is a call under way.
type pendingCall struct {
	over bool
	fail func(sent bool)
}

func (p *pendingCall) end(sent bool) {
	if !p.over {
		p.over = true
		p.fail(sent)
	}
}

const (
	unreachableTimeout = 300 * time.Millisecond // for a sign of life from a silent machine
	powerLossTimeout   = 1800 * time.Millisecond
	rpcBytes           = 40 // of a frame around a message
)

// call sends a question to another machine. serve takes it there, and may answer;
// fail tells that no answer came: sent is false where the question was surely not
// delivered. The caller's own end ends the call without a word.
func (n *network) call(from, to *machine, size int, wait time.Duration, serve func(answer func(size int, take func())), fail func(sent bool)) {
	incarnation := from.incarnation
	p := &pendingCall{fail: func(sent bool) {
		if from.up && from.incarnation == incarnation {
			fail(sent)
		}
	}}
	switch {
	case !n.reaches(from, to) || !to.powered:
		n.after(min(wait, unreachableTimeout), func() { p.end(false) })
		return
	case !to.up: // refused
		n.after(2*n.delay(from, to, rpcBytes), func() { p.end(false) })
		return
	}
	to.calls = append(to.calls, p)
	n.after(wait, func() { p.end(true) })
	n.post(from, to, size+rpcBytes, func() {
		serve(func(size int, take func()) {
			n.post(to, from, size+rpcBytes, func() {
				if !p.over && from.incarnation == incarnation {
					p.over = true
					take()
				}
			})
		})
	})
	if len(to.calls) > 64 { // those that are over
		keep := to.calls[:0]
		for _, c := range to.calls {
			if !c.over {
				keep = append(keep, c)
			}
		}
		clear(to.calls[len(keep):])
		to.calls = keep
	}
}

// stop ends a machine's process. Callers see at once that it has gone, unless the
// machine is silent.
func (n *network) stop(m *machine, power bool) {
	m.up, m.powered = false, !power
	wait := ms(n.LinkMs)
	if power {
		wait = powerLossTimeout
	}
	calls := m.calls
	m.calls = nil
	n.after(wait, func() {
		for _, c := range calls {
			c.end(true)
		}
	})
}

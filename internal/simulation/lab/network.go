package lab

import (
	"slices"
	"time"
)

// machine is a machine on the network, and the process that runs on it.
type machine struct {
	name, zone     string
	isQuorumMember bool
	incarnation    uint64 // of the process; a later one is higher
	up             bool   // the process runs
	powered        bool
	partitioned    bool           // no message gets through
	sendUntil      time.Duration  // when its outgoing link is free again
	calls          []*pendingCall // by others, in progress here
	sentBytes      int64
	crossZoneBytes int64 // of sentBytes, to other zones
}

// network delivers messages between machines, and fails to during partitions.
type network struct {
	*engine
	Net
	partitions map[[2]string]bool // pairs of zones between which no message gets through
}

// reaches reports whether messages get from a to b.
func (n *network) reaches(a, b *machine) bool {
	return a == b || !a.partitioned && !b.partitioned && !n.partitions[[2]string{a.zone, b.zone}]
}

// delay is how long a message of a size takes.
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
	for n.Loss > 0 && n.rng.Float64() < n.Loss { // a retransmission
		d += 200 * time.Millisecond
	}
	if n.MBps > 0 {
		from.sendUntil = max(from.sendUntil, n.now) + time.Duration(float64(size)/n.MBps*1000)
		d += from.sendUntil - n.now
	}
	return d
}

// post sends a message and calls f when it arrives. It is lost if it does not get
// through, or if the process that it was sent to has ended.
func (n *network) post(from, to *machine, size int, f func()) {
	n.stream(from, to, size, new(time.Duration), f)
}

// stream is post for messages of one connection, which keep their order; last is when
// the previous one arrives.
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

// pendingCall is a call in progress.
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
	unreachableTimeout = 300 * time.Millisecond // of calls to a machine that is not reached
	powerLossTimeout   = 1800 * time.Millisecond
	maxKeptCalls       = 64 // calls of a machine at which finished ones are dropped
	rpcBytes           = 40 // size of the frame around a message
)

// call sends a request to another machine. serve handles it there, and may answer.
// fail is called if no answer came within wait; sent is false if the request was
// certainly not delivered. Neither is called once the caller's process has ended.
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
	case !to.up: // connection refused
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
	if len(to.calls) > maxKeptCalls {
		to.calls = slices.DeleteFunc(to.calls, func(c *pendingCall) bool { return c.over })
	}
}

// stop ends a machine's process. Its callers see the broken connections at once, or
// after powerLossTimeout if the machine has no power.
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

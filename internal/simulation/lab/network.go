package lab

import (
	"slices"
	"time"
)

// machine is a host on the network and the process that runs on it.
type machine struct {
	name, zone     string
	isQuorumMember bool
	incarnation    uint64 // incarnation of the process; increases with each start
	up             bool   // the process is running
	powered        bool
	partitioned    bool           // all its messages are dropped
	sendUntil      time.Duration  // when the outgoing link has sent all queued bytes
	pendingCalls   []*pendingCall // incoming calls; those that ended are removed in batches
	sentBytes      int64
	crossZoneBytes int64 // part of sentBytes that goes to other zones
}

// network delivers messages between machines, and drops those between partitioned ones.
type network struct {
	*engine
	Net
	partitions map[[2]string]bool // partitioned pairs of sending and receiving zone
}

// reaches reports whether no partition separates a and b.
func (n *network) reaches(a, b *machine) bool {
	return a == b || !a.partitioned && !b.partitioned && !n.partitions[[2]string{a.zone, b.zone}]
}

// delay returns the transmission time of a message. It counts the bytes sent and advances
// the sender's link.
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

// send sends a message and calls f when it arrives. The message is dropped if a partition
// separates the machines, or if the receiving process stops before it arrives.
func (n *network) send(from, to *machine, size int, f func()) {
	n.stream(from, to, size, new(time.Duration), f)
}

// stream is like send for the messages of one connection, which arrive in order. last holds
// the arrival time of the connection's previous message.
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

// pendingCall is a call that has no response yet.
type pendingCall struct {
	ended bool
	fail  func(sent bool)
}

func (p *pendingCall) end(sent bool) {
	if !p.ended {
		p.ended = true
		p.fail(sent)
	}
}

const (
	unreachableTimeout = 300 * time.Millisecond  // timeout of calls to a partitioned machine or one without power
	powerLossTimeout   = 1800 * time.Millisecond // time until callers notice that a machine lost power
	maxKeptCalls       = 64                      // length of machine.pendingCalls above which ended calls are removed
	rpcBytes           = 40                      // framing overhead of a message, in bytes
)

// call sends a request to another machine. serve handles the request there; it may call
// answer, which calls receive at the caller when the response arrives. fail is called if no
// response arrives within wait; sent is false if the request was certainly not delivered.
// Neither receive nor fail is called after the caller's process has stopped.
func (n *network) call(from, to *machine, size int, wait time.Duration, serve func(answer func(size int, receive func())), fail func(sent bool)) {
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
	case !to.up: // the connection is refused
		n.after(2*n.delay(from, to, rpcBytes), func() { p.end(false) })
		return
	}
	to.pendingCalls = append(to.pendingCalls, p)
	n.after(wait, func() { p.end(true) })
	n.send(from, to, size+rpcBytes, func() {
		serve(func(responseSize int, receive func()) {
			n.send(to, from, responseSize+rpcBytes, func() {
				if !p.ended && from.incarnation == incarnation {
					p.ended = true
					receive()
				}
			})
		})
	})
	if len(to.pendingCalls) > maxKeptCalls {
		to.pendingCalls = slices.DeleteFunc(to.pendingCalls, func(c *pendingCall) bool { return c.ended })
	}
}

// stop stops a machine's process. Its callers notice the broken connections after a link
// delay, or after powerLossTimeout if powerOff is set.
func (n *network) stop(m *machine, powerOff bool) {
	m.up, m.powered = false, !powerOff
	noticeDelay := ms(n.LinkMs)
	if powerOff {
		noticeDelay = powerLossTimeout
	}
	calls := m.pendingCalls
	m.pendingCalls = nil
	n.after(noticeDelay, func() {
		for _, c := range calls {
			c.end(true)
		}
	})
}

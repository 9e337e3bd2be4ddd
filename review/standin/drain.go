package main

import (
	"time"
)

// The traffic of the drain cases.
const (
	serverWork      = 100 * time.Millisecond
	requestInterval = 10 * time.Millisecond
	settleTime      = 4 * time.Second        // calm time before the trouble
	serveOn         = 6 * time.Second        // time for which a leaving server serves on after the drain time
	restartAfter    = 500 * time.Millisecond // time from a kill to the next start
	lateness        = 1500 * time.Millisecond

	leavingMachine = 4 // machine of the server that leaves
)

// drainCase is a running drain case: clients on the other machines send requests to a service, of which a server leaves.
type drainCase struct {
	mesh    *mesh
	client  *client
	leaving *appServer
	stop    chan struct{}
	done    chan struct{}

	acknowledged time.Duration // time of the acknowledgement of the deregistration
	lastTrouble  time.Duration
}

// startDrain starts the mesh and the traffic.
func startDrain(m *mesh) (*drainCase, error) {
	servers, err := startMesh(m, serverWork)
	if err != nil {
		return nil, err
	}
	d := &drainCase{mesh: m, client: newClient(m), leaving: servers[leavingMachine], stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		d.client.traffic([]int{5, 6}, "GET", readPath, requestInterval, d.stop)
		close(d.done)
	}()
	time.Sleep(settleTime)
	return d, nil
}

// deregister sends the server's deregistration, which is its first notice that it leaves.
func (d *drainCase) deregister() (err error) {
	d.acknowledged, err = d.leaving.deregister()
	d.lastTrouble = d.acknowledged
	return err
}

// restart starts the programs of machines whose processes were killed.
func (d *drainCase) restart(machines ...int) error {
	time.Sleep(restartAfter)
	for _, n := range machines {
		if err := d.mesh.start(n); err != nil {
			return err
		}
	}
	d.lastTrouble = d.mesh.elapsed()
	return nil
}

// finish lets the leaving server serve on, ends it, and reports whether the rule was broken: a request that was sent and
// arrived later than contact after the last trouble reached the server later than drainTime after the acknowledgement.
func (d *drainCase) finish() (broken bool) {
	time.Sleep(d.acknowledged + drainTime + serveOn - d.mesh.elapsed())
	close(d.stop)
	<-d.done
	d.leaving.end()
	inTouch := d.lastTrouble + contact
	counted, all := 0, 0
	for _, a := range d.leaving.arrivalsAfter(d.acknowledged + drainTime) {
		all++
		if d.client.sentAt(a.attempt) > inTouch && a.at > inTouch {
			counted++
		}
	}
	d.client.summarize()
	d.mesh.logf("server %s: %d requests arrived later than %v after the acknowledgement of its deregistration, %d of them by machines in touch (sent later than %v after the last trouble)",
		d.leaving.id, all, drainTime, counted, contact)
	return counted > 0
}

// lostDeregistration deregisters a server while the quorum has no leader, and kills the node that has acknowledged it.
func lostDeregistration(m *mesh, trouble bool) (broken bool, err error) {
	d, err := startDrain(m)
	if err != nil {
		return false, err
	}
	leader, err := m.leader()
	if err != nil {
		return false, err
	}
	m.logf("the leader is %s", m.name(leader))
	if trouble {
		m.kill(leader)
	}
	if err := d.deregister(); err != nil {
		return false, err
	}
	if trouble {
		m.kill(leavingMachine)
		if err := d.restart(leader, leavingMachine); err != nil {
			return false, err
		}
	}
	return d.finish(), nil
}

// lateHeartbeat deregisters a server, kills and restarts its node, and lets a heartbeat come that the server sent before its
// deregistration.
func lateHeartbeat(m *mesh, trouble bool) (broken bool, err error) {
	d, err := startDrain(m)
	if err != nil {
		return false, err
	}
	late := d.leaving.nextSeq()
	m.logf("server %s: heartbeat %d is sent, and is late", d.leaving.id, late)
	if err := d.deregister(); err != nil {
		return false, err
	}
	time.Sleep(restartAfter)
	if trouble {
		m.kill(leavingMachine)
		if err := d.restart(leavingMachine); err != nil {
			return false, err
		}
	}
	time.Sleep(d.acknowledged + lateness - m.elapsed())
	m.logf("server %s: heartbeat %d comes, %v late", d.leaving.id, late, lateness)
	d.leaving.beat(late)
	return d.finish(), nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the memory case. A body is an eighth of max_body_bytes.
const (
	largeBody         = 8 << 20 // bytes
	smallBody         = 8 << 10 // bytes, for TROUBLE=0
	clientsPerMachine = 16
	uploadTime        = 12 * time.Second // duration of the traffic
	thinkTime         = 100 * time.Millisecond
	failurePause      = 500 * time.Millisecond // pause of a client after a connection without an answer
	restartDelay      = 300 * time.Millisecond // of the platform

	// The rule's bounds.
	maxEnds    = 3                // ends of a machine's process
	endsWindow = 10 * time.Second // within this time
	maxLosers  = 2                // machines: a tenth of those in use, two at least
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// residentMB returns the resident memory of a process in MB, or 0 if it has ended.
func residentMB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// platform is a stand-in for the platform: it kills a process that goes over its memory limit and starts it again, and asks
// each node for its readiness once a second.
type platform struct {
	mesh     *mesh
	machines []int
	out      map[int]*atomic.Bool // machines whose clients receive no new work

	ends  map[int][]time.Duration // times at which a machine's process went over its limit
	peaks map[int]int             // largest resident memory in MB
}

func newPlatform(m *mesh, machines []int) *platform {
	p := &platform{mesh: m, machines: machines, out: map[int]*atomic.Bool{}, ends: map[int][]time.Duration{}, peaks: map[int]int{}}
	for _, n := range machines {
		p.out[n] = new(atomic.Bool)
	}
	return p
}

// watchReadiness takes a machine out after two misses, until it answers 200 again.
func (p *platform) watchReadiness(machine int, stop <-chan struct{}) {
	misses := 0
	for {
		if p.mesh.ready(machine) {
			misses = 0
		} else {
			misses++
		}
		p.out[machine].Store(misses >= 2)
		select {
		case <-time.After(time.Second):
		case <-stop:
			return
		}
	}
}

// watchMemory enforces the memory limit until stop is closed.
func (p *platform) watchMemory(stop <-chan struct{}) error {
	restartAt := map[int]time.Duration{}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-stop:
			return nil
		}
		for _, n := range p.machines {
			if at, waiting := restartAt[n]; waiting {
				if p.mesh.elapsed() >= at {
					delete(restartAt, n)
					if err := p.mesh.start(n); err != nil {
						return err
					}
				}
				continue
			}
			mb := residentMB(p.mesh.process(n).cmd.Process.Pid)
			p.peaks[n] = max(p.peaks[n], mb)
			if mb > memoryMB {
				p.mesh.logf("platform: %s holds %d MB, over its memory_mb of %d", p.mesh.name(n), mb, memoryMB)
				p.mesh.kill(n)
				p.ends[n] = append(p.ends[n], p.mesh.elapsed())
				restartAt[n] = p.mesh.elapsed() + restartDelay
			}
		}
	}
}

// endedTooOften reports whether a machine's process ended maxEnds times within endsWindow.
func (p *platform) endedTooOften(machine int) bool {
	ends := p.ends[machine]
	for i := maxEnds - 1; i < len(ends); i++ {
		if ends[i]-ends[i-maxEnds+1] <= endsWindow {
			return true
		}
	}
	return false
}

// largeBodies sends requests whose bodies are well below max_body_bytes, and watches the memory of the nodes.
func largeBodies(m *mesh, trouble bool) (broken bool, err error) {
	if _, err = startMesh(m, 20*time.Millisecond); err != nil {
		return false, err
	}
	size := int64(largeBody)
	if !trouble {
		size = smallBody
	}
	p, c, stop := newPlatform(m, []int{4, 5, 6}), newClient(m), make(chan struct{})
	var running sync.WaitGroup
	for _, n := range p.machines {
		running.Go(func() { p.watchReadiness(n, stop) })
		for range clientsPerMachine {
			running.Go(func() { c.upload(p, n, size, stop) })
		}
	}
	time.AfterFunc(uploadTime, func() { close(stop) })
	err = p.watchMemory(stop)
	running.Wait()
	losers := 0
	for _, n := range p.machines {
		m.logf("%s: at most %d MB; it went over memory_mb %d times", m.name(n), p.peaks[n], len(p.ends[n]))
		if p.endedTooOften(n) {
			losers++
		}
	}
	m.logf("%d machines went over memory_mb %d times within %v", losers, maxEnds, endsWindow)
	c.summarize()
	return losers >= maxLosers, err
}

// upload sends one request after another until stop is closed.
func (c *client) upload(p *platform, machine int, size int64, stop <-chan struct{}) {
	for {
		pause := thinkTime
		if p.out[machine].Load() {
			pause = failurePause
		} else if _, status := c.send(machine, "PUT", orderPath, io.LimitReader(zeros{}, size), size, 10*time.Second); status == 0 {
			pause = failurePause
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return
		}
	}
}

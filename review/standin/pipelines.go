package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The traffic of the pipeline case.
const (
	pipelineClients = 8                    // per machine
	pipelineDepth   = 150                  // requests that a client sends before it has read an answer
	pipelineTime    = 12 * time.Second     // duration of the pipelining
	leaveAfter      = 2 * time.Millisecond // time after which a client leaves
	ordinaryTime    = 10 * time.Second     // duration of the ordinary traffic after it
	ordinaryPause   = 100 * time.Millisecond
	graceTime       = 6 * time.Second // bounds.grace_s
)

// pipelines counts what clients that pipeline have seen.
type pipelines struct {
	connections, sent, served, otherwise atomic.Int64
}

// send opens a connection and sends pipelineDepth idempotent requests. If leave is set, it closes the connection after
// leaveAfter. Otherwise it reads all answers.
func (p *pipelines) send(c *client, machine int, leave bool) error {
	conn, err := net.DialTimeout("tcp", c.mesh.address(machine, outboundPort), time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	p.connections.Add(1)
	var batch []byte
	for range pipelineDepth {
		batch = fmt.Appendf(batch, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: 1500\r\n\r\n", readPath, routeHost, c.newID())
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(batch); err != nil {
		return err
	}
	p.sent.Add(pipelineDepth)
	if leave {
		time.Sleep(leaveAfter)
		return nil
	}
	r := bufio.NewReader(conn)
	for range pipelineDepth {
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		switch {
		case err != nil:
			return err
		case resp.StatusCode == http.StatusOK:
			p.served.Add(1)
		default:
			p.otherwise.Add(1)
		}
	}
	return nil
}

// run sends pipelines from all machines for pipelineTime.
func (p *pipelines) run(c *client, machines []int, leave bool) {
	var running sync.WaitGroup
	end := time.Now().Add(pipelineTime)
	for _, n := range machines {
		for range pipelineClients {
			running.Go(func() {
				for time.Now().Before(end) {
					if p.send(c, n, leave) != nil {
						time.Sleep(failurePause)
					}
				}
			})
		}
	}
	running.Wait()
	sent, served, otherwise := p.sent.Load(), p.served.Load(), p.otherwise.Load()
	c.mesh.logf("pipelining clients (leaving: %t): %d connections, %d requests sent, %d answered with 200, %d with another status, %d without an answer that was read",
		leave, p.connections.Load(), sent, served, otherwise, sent-served-otherwise)
}

// abandonedPipelines lets clients pipeline requests and leave before the answers. Then it sends ordinary requests in a calm
// time, and stops the nodes with SIGTERM.
func abandonedPipelines(m *mesh, trouble bool) (broken bool, err error) {
	if _, err = startMesh(m, serverWork); err != nil {
		return false, err
	}
	machines := []int{4, 5, 6}
	c, p := newClient(m), new(pipelines)
	p.run(c, machines, trouble)
	time.Sleep(contact)
	m.logf("the clients that pipeline have ended %v ago; ordinary clients come", contact)
	var running sync.WaitGroup
	end := time.Now().Add(ordinaryTime)
	for _, n := range machines {
		running.Go(func() {
			for time.Now().Before(end) {
				c.send(n, "GET", readPath, nil, 0, 1500*time.Millisecond)
				time.Sleep(ordinaryPause)
			}
		})
	}
	running.Wait()
	for _, n := range machines {
		m.logf("platform: /ready of %s answers 200: %t", m.name(n), m.ready(n))
	}
	c.summarize()
	served := c.count(http.StatusOK) + int(p.served.Load())
	m.logf("%d requests were served in all", served)
	m.logf("%d of %d processes have not ended %v after SIGTERM", m.stopNodes(machines), len(machines), graceTime)
	return served == 0, nil
}

// stopNodes sends SIGTERM to the processes of machines, and returns how many have not ended after graceTime.
func (m *mesh) stopNodes(machines []int) (left int) {
	for _, n := range machines {
		m.logf("SIGTERM to %s", m.name(n))
		m.process(n).cmd.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(graceTime)
	for _, n := range machines {
		select {
		case <-m.process(n).done:
		default:
			m.logf("%s is still there", m.name(n))
			left++
		}
	}
	return left
}

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests to the outbound address of a sidecar machine.
type client struct {
	mesh   *mesh
	http   *http.Client
	nextID atomic.Int64

	mu   sync.Mutex
	sent map[string]sentRequest // by Attempt-Id
}

// sentRequest is a request as its client saw it.
type sentRequest struct {
	at     time.Duration
	status int // 0 if the connection ended without an answer
}

func newClient(m *mesh) *client {
	return &client{mesh: m, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, sent: map[string]sentRequest{}}
}

// newID returns a new Attempt-Id.
func (c *client) newID() string {
	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(c.nextID.Add(1)))
}

// send sends one request with a new Attempt-Id and waits for the answer.
func (c *client) send(machine int, method, path string, body io.Reader, length int64, budget time.Duration) (attempt string, status int) {
	attempt = c.newID()
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.mesh.address(machine, outboundPort)+path, body)
	if err != nil {
		return attempt, 0
	}
	req.Host = routeHost
	req.ContentLength = length
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Time-Budget", fmt.Sprint(budget.Milliseconds()))
	c.mu.Lock()
	c.sent[attempt] = sentRequest{at: c.mesh.elapsed()}
	c.mu.Unlock()
	c.mesh.logf("client on machine %d: %s %s, request %s is sent", machine, method, path, attempt)
	text := ""
	resp, err := c.http.Do(req)
	if err == nil {
		var answer []byte
		if answer, err = io.ReadAll(io.LimitReader(resp.Body, 1<<10)); err == nil {
			status, text = resp.StatusCode, string(answer)
		}
		resp.Body.Close()
	}
	c.mu.Lock()
	r := c.sent[attempt]
	r.status = status
	c.sent[attempt] = r
	c.mu.Unlock()
	if err != nil {
		text = err.Error()
	}
	c.mesh.logf("client on machine %d: request %s: status %d, %q", machine, attempt, status, text)
	return attempt, status
}

// traffic sends a request to each of the machines in turn, at an interval, until stop is closed.
func (c *client) traffic(machines []int, method, path string, interval time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		running.Go(func() { c.send(machines[i%len(machines)], method, path, nil, 0, 2*time.Second) })
	}
}

// sentAt returns the time at which a request was sent.
func (c *client) sentAt(attempt string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[attempt].at
}

// count returns the number of requests with a status.
func (c *client) count(status int) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.sent {
		if r.status == status {
			n++
		}
	}
	return n
}

// summarize records how many requests got each status.
func (c *client) summarize() {
	c.mu.Lock()
	counts := map[int]int{}
	for _, r := range c.sent {
		counts[r.status]++
	}
	c.mu.Unlock()
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		c.mesh.logf("clients: %d requests with status %d", counts[status], status)
	}
	c.mesh.logf("(status 0: the connection ended without an answer)")
}

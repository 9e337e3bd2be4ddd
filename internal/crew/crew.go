// Package crew runs short jobs on goroutines that stay for the next one. A goroutine begins with a small stack, and
// one that carries a request copies it twice until it is large enough: a sixth of the request's processor time.
package crew

import (
	"context"
	"sync"
	"sync/atomic"
)

// mostIdle is how many goroutines wait for a job: what a node has under way at a time in calm.
const mostIdle = 8

// Crew runs jobs.
type Crew struct {
	ctx     context.Context
	jobs    chan func()
	idle    atomic.Int32
	workers sync.WaitGroup
}

// New returns a crew whose idle goroutines end with the context.
func New(ctx context.Context) *Crew { return &Crew{ctx: ctx, jobs: make(chan func())} }

// Go runs a job at once, on an idle goroutine or a new one.
func (c *Crew) Go(job func()) {
	select {
	case c.jobs <- job:
	default:
		c.workers.Go(func() { c.work(job) })
	}
}

func (c *Crew) work(job func()) {
	for {
		job()
		job = nil // what it holds is free while this waits
		if c.idle.Add(1) > mostIdle {
			c.idle.Add(-1)
			return
		}
		select {
		case job = <-c.jobs:
			c.idle.Add(-1)
		case <-c.ctx.Done():
			return
		}
	}
}

// Wait returns once all jobs are done and the context has ended.
func (c *Crew) Wait() { c.workers.Wait() }

// Package workerpool runs short jobs on goroutines that stay for the next one. A goroutine begins with a small stack, and
// one that carries a request copies it twice until it is large enough: a sixth of the request's processor time.
package workerpool

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxIdle is how many goroutines wait for a job: what a node has under way at a time in calm.
const maxIdle = 8

// Pool runs jobs.
type Pool struct {
	ctx     context.Context
	jobs    chan func()
	idle    atomic.Int32
	workers sync.WaitGroup
}

// New returns a pool whose idle goroutines end with the context.
func New(ctx context.Context) *Pool { return &Pool{ctx: ctx, jobs: make(chan func())} }

// Go runs a job at once, on an idle goroutine or a new one.
func (c *Pool) Go(job func()) {
	select {
	case c.jobs <- job:
	default:
		c.workers.Go(func() { c.work(job) })
	}
}

func (c *Pool) work(job func()) {
	for {
		job()
		job = nil // what it holds is free while this waits
		if c.idle.Add(1) > maxIdle {
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
func (c *Pool) Wait() { c.workers.Wait() }

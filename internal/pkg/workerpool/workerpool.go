// Package workerpool runs short jobs on reused goroutines. A new goroutine starts with a small stack, which the runtime grows
// by copying while it handles a request. Reuse avoids this cost.
package workerpool

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxIdle is the maximum number of idle goroutines.
const maxIdle = 8

// Pool runs jobs on reused goroutines. It is safe for concurrent use.
type Pool struct {
	ctx     context.Context
	jobs    chan func()
	idle    atomic.Int32
	workers sync.WaitGroup
}

// New returns a pool. Its idle goroutines exit when ctx is done.
func New(ctx context.Context) *Pool { return &Pool{ctx: ctx, jobs: make(chan func())} }

// Go starts a job without waiting for other jobs, on an idle goroutine or a new one.
func (p *Pool) Go(job func()) {
	select {
	case p.jobs <- job:
	default:
		p.workers.Go(func() { p.work(job) })
	}
}

// work runs a job and then further ones, until ctx is done or maxIdle other goroutines are idle.
func (p *Pool) work(job func()) {
	for {
		job()
		job = nil // release the memory of the job while idle
		if p.idle.Add(1) > maxIdle {
			p.idle.Add(-1)
			return
		}
		select {
		case job = <-p.jobs:
			p.idle.Add(-1)
		case <-p.ctx.Done():
			return
		}
	}
}

// Wait waits until ctx is done and all jobs have returned.
func (p *Pool) Wait() { p.workers.Wait() }

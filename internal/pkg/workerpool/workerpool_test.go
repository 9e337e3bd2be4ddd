package workerpool

import (
	"context"
	"runtime"
	"sync"
	"testing"
)

// TestGo checks that jobs run concurrently regardless of their number, and that all goroutines exit when the context is done.
func TestGo(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	pool := New(ctx)
	for range 3 {
		var running, done sync.WaitGroup
		release := make(chan struct{})
		for range 5 * maxIdle {
			running.Add(1)
			done.Add(1)
			pool.Go(func() {
				defer done.Done()
				running.Done()
				<-release
			})
		}
		running.Wait() // all jobs run at the same time
		close(release)
		done.Wait()
		for pool.idle.Load() != maxIdle {
			runtime.Gosched()
		}
	}
	cancel()
	pool.Wait()
	for runtime.NumGoroutine() > before {
		runtime.Gosched()
	}
}

// BenchmarkGo compares the pool with new goroutines for a job that needs a large stack.
func BenchmarkGo(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool := New(ctx)
	done := make(chan byte)
	var deep func(n int) byte
	deep = func(n int) byte {
		var frame [512]byte
		if n > 0 {
			frame[n] = deep(n - 1)
		}
		return frame[n/2]
	}
	job := func() { done <- deep(12) }
	b.Run("pool", func(b *testing.B) {
		for b.Loop() {
			pool.Go(job)
			<-done
		}
	})
	b.Run("go", func(b *testing.B) {
		for b.Loop() {
			go job()
			<-done
		}
	})
}

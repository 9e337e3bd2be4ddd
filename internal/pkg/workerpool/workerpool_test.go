package workerpool

import (
	"context"
	"runtime"
	"sync"
	"testing"
)

// TestGo: jobs never wait for each other, however many there are, and all goroutines end with the context.
func TestGo(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	c := New(ctx)
	for range 3 {
		var running, done sync.WaitGroup
		gate := make(chan struct{})
		for range 5 * maxIdle {
			running.Add(1)
			done.Add(1)
			c.Go(func() {
				defer done.Done()
				running.Done()
				<-gate
			})
		}
		running.Wait() // each has begun while none has ended
		close(gate)
		done.Wait()
		for c.idle.Load() != maxIdle {
			runtime.Gosched()
		}
	}
	cancel()
	c.Wait()
	for runtime.NumGoroutine() > before {
		runtime.Gosched()
	}
}

// BenchmarkGo runs a job with a deep stack.
func BenchmarkGo(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := New(ctx)
	done := make(chan byte)
	var deep func(n int) byte
	deep = func(n int) byte {
		var room [512]byte
		if n > 0 {
			room[n] = deep(n - 1)
		}
		return room[n/2]
	}
	job := func() { done <- deep(12) }
	b.Run("pool", func(b *testing.B) {
		for b.Loop() {
			c.Go(job)
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

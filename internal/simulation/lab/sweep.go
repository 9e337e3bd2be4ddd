package lab

import (
	"runtime"
	"sync"
)

// Job is one run of a sweep. Varied is copied to its Result.
type Job struct {
	Scenario *Scenario
	Seed     uint64
	Varied   string
}

// Sweep runs jobs on all cores and returns their results in the order of the jobs. It calls
// done after each job, from one goroutine at a time.
func Sweep(jobs []Job, done func()) []*Result {
	results := make([]*Result, len(jobs))
	next := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range min(len(jobs), runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				r := Run(jobs[i].Scenario, jobs[i].Seed)
				r.Varied = jobs[i].Varied
				mu.Lock()
				results[i] = r
				done()
				mu.Unlock()
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Job is one run of a study.
type Job struct {
	Scenario *Scenario
	Seed     uint64
	Varied   string
}

// Sweep runs jobs on all cores and returns their results in order. done is called
// after each, by one goroutine at a time.
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

// Mean is a mean with the half width of its 95 % interval, by Student's t.
type Mean struct {
	N          int
	Mean, Half float64
}

func (m Mean) String() string { return fmt.Sprintf("%.4f ± %.4f", m.Mean, m.Half) }

// Average returns the mean of a sample. One value has no interval.
func Average(x []float64) Mean {
	if len(x) < 2 {
		return Mean{len(x), stat.Mean(x, nil), math.NaN()}
	}
	mean, dev := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return Mean{len(x), mean, t * dev / math.Sqrt(float64(len(x)))}
}

// Figures are what studies compare.
var Figures = []struct {
	Name string
	Of   func(r *Result) float64
}{
	{"worth", func(r *Result) float64 { return r.Total.Worth }},
	{"refused", func(r *Result) float64 { return part(r.Total.Refused, r.Total.Asked) }},
	{"failed", func(r *Result) float64 { return part(r.Total.Failed, r.Total.Asked) }},
	{"repeats/request", func(r *Result) float64 { return part(r.Repeats, r.Total.Asked) }},
	{"budget used", func(r *Result) float64 { return r.Budget }},
	{"update lag p99 ms", func(r *Result) float64 { return r.LagP99Ms }},
	{"update lag max ms", func(r *Result) float64 { return r.LagMaxMs }},
	{"without leader s", func(r *Result) float64 { return r.LeaderlessS }},
	{"probe bytes/node/s", func(r *Result) float64 { return r.ProbeBytesS }},
	{"feed bytes/node/s", func(r *Result) float64 { return r.FeedBytesS }},
	{"busiest bytes/s", func(r *Result) float64 { return r.BusiestBps }},
}

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Compare returns, for each figure, the mean of both and of their differences,
// paired by seed.
func Compare(a, b []*Result) (lines []string, err error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d plays against %d can't be paired", len(a), len(b))
	}
	lines = append(lines, fmt.Sprintf("%-20s %12s %12s   %s", "", "A", "B", "B - A, 95 %"))
	for _, f := range Figures {
		var x, y, d []float64
		for i := range a {
			if a[i].Seed != b[i].Seed {
				return nil, fmt.Errorf("seed %d against seed %d can't be paired", a[i].Seed, b[i].Seed)
			}
			x, y = append(x, f.Of(a[i])), append(y, f.Of(b[i]))
			d = append(d, y[i]-x[i])
		}
		diff := Average(d)
		mark := ""
		if math.Abs(diff.Mean) > diff.Half {
			mark = "  differs"
		}
		lines = append(lines, fmt.Sprintf("%-20s %12.4f %12.4f   %s%s", f.Name, stat.Mean(x, nil), stat.Mean(y, nil), diff, mark))
	}
	return lines, nil
}

// Save writes results into a folder, a file each.
func Save(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for _, r := range results {
		data, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		varied := strings.NewReplacer("/", "_", "=", "-").Replace(r.Varied)
		name := strings.Trim(fmt.Sprintf("%s_%s_%d.json", r.Scenario, varied, r.Seed), "_")
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	return nil
}

// Read returns the results in a folder, by scenario, what was varied, and seed.
func Read(dir string) ([]*Result, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("lab: no results in %s", dir)
	}
	var list []*Result
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		r := new(Result)
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("lab: %s: %w", name, err)
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b *Result) int {
		if c := strings.Compare(a.Scenario+" "+a.Varied, b.Scenario+" "+b.Varied); c != 0 {
			return c
		}
		return int(a.Seed) - int(b.Seed)
	})
	return list, nil
}

// Shrink looks for a shorter scenario that still goes wrong: without some of the
// troubles and routes, and ending soon after the fault. fails runs a scenario and says
// at which second it broke, if it did.
func Shrink(w *Scenario, fails func(*Scenario) (atS float64, broken bool)) *Scenario {
	best := *w
	if at, ok := fails(&best); ok {
		if shorter := best; at+1 < best.Seconds {
			shorter.Seconds = at + 1
			if _, ok := fails(&shorter); ok {
				best = shorter
			}
		}
	}
	for smaller := true; smaller; {
		smaller = false
		for i := range best.Troubles {
			c := best
			c.Troubles = slices.Delete(slices.Clone(best.Troubles), i, i+1)
			if _, ok := fails(&c); ok {
				best, smaller = c, true
				break
			}
		}
		for i := range best.Routes {
			if best.Routes[i].Rate == 0 || smaller {
				continue
			}
			c := best
			c.Routes = slices.Clone(best.Routes)
			c.Routes[i].Rate = 0
			if _, ok := fails(&c); ok {
				best, smaller = c, true
			}
		}
	}
	return &best
}

package lab

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Mean is a mean with the half width of its 95 % interval, by Student's t.
type Mean struct {
	N               int
	Mean, HalfWidth float64
}

func (m Mean) String() string { return fmt.Sprintf("%.4f ± %.4f", m.Mean, m.HalfWidth) }

// Average returns the mean of a sample. One value has no interval.
func Average(x []float64) Mean {
	if len(x) < 2 {
		return Mean{len(x), stat.Mean(x, nil), math.NaN()}
	}
	mean, dev := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return Mean{len(x), mean, t * dev / math.Sqrt(float64(len(x)))}
}

// Metrics are what studies compare.
var Metrics = []struct {
	Name string
	Of   func(r *Result) float64
}{
	{"worth", func(r *Result) float64 { return r.Total.Value }},
	{"refused", func(r *Result) float64 { return fraction(r.Total.Refused, r.Total.Requests) }},
	{"failed", func(r *Result) float64 { return fraction(r.Total.Failed, r.Total.Requests) }},
	{"repeats/request", func(r *Result) float64 { return fraction(r.Retries, r.Total.Requests) }},
	{"budget used", func(r *Result) float64 { return r.RetryBudget }},
	{"update lag p99 ms", func(r *Result) float64 { return r.LagP99Ms }},
	{"update lag max ms", func(r *Result) float64 { return r.LagMaxMs }},
	{"without leader s", func(r *Result) float64 { return r.LeaderlessS }},
	{"probe bytes/node/s", func(r *Result) float64 { return r.ProbeBytesS }},
	{"feed bytes/node/s", func(r *Result) float64 { return r.FeedBytesS }},
	{"busiest bytes/s", func(r *Result) float64 { return r.BusiestBps }},
}

func fraction(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Compare returns, for each figure, the mean of both and of their differences,
// paired by seed.
func Compare(a, b []*Result) (lines []string, err error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("%d plays against %d can't be paired", len(a), len(b))
	}
	lines = append(lines, fmt.Sprintf("%-20s %12s %12s   %s", "", "A", "B", "B - A, 95 %"))
	for _, f := range Metrics {
		var x, y, d []float64
		for i := range a {
			if a[i].Seed != b[i].Seed {
				return nil, fmt.Errorf("seed %d against seed %d can't be paired", a[i].Seed, b[i].Seed)
			}
			x, y = append(x, f.Of(a[i])), append(y, f.Of(b[i]))
			d = append(d, y[i]-x[i])
		}
		diff := Average(d)
		note := ""
		if math.Abs(diff.Mean) > diff.HalfWidth {
			note = "  differs"
		}
		lines = append(lines, fmt.Sprintf("%-20s %12.4f %12.4f   %s%s", f.Name, stat.Mean(x, nil), stat.Mean(y, nil), diff, note))
	}
	return lines, nil
}

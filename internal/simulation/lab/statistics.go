package lab

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Mean is a mean with the half width of its 95 % confidence interval, by Student's t.
type Mean struct {
	N               int
	Mean, HalfWidth float64
}

func (m Mean) String() string { return fmt.Sprintf("%.4f ± %.4f", m.Mean, m.HalfWidth) }

// Average returns the mean of a sample. HalfWidth is NaN for fewer than two values.
func Average(sample []float64) Mean {
	if len(sample) < 2 {
		return Mean{len(sample), stat.Mean(sample, nil), math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(sample, nil)
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(sample) - 1)}.Quantile(0.975)
	return Mean{len(sample), mean, quantile * deviation / math.Sqrt(float64(len(sample)))}
}

// Metrics are the values of a result that Compare and Report show.
var Metrics = []struct {
	Name  string
	Value func(r *Result) float64
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

func fraction(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// Compare returns a table with the means of a and b for each metric, and the mean of the
// differences, paired by seed. The seeds of a and b must be the same, in the same order.
func Compare(a, b []*Result) (lines []string, err error) {
	if len(a) != len(b) || len(a) == 0 {
		return nil, fmt.Errorf("lab: cannot pair %d results with %d", len(a), len(b))
	}
	lines = append(lines, fmt.Sprintf("%-20s %12s %12s   %s", "", "A", "B", "B - A, 95 %"))
	for _, metric := range Metrics {
		var valuesA, valuesB, differences []float64
		for i := range a {
			if a[i].Seed != b[i].Seed {
				return nil, fmt.Errorf("lab: cannot pair a result of seed %d with one of seed %d", a[i].Seed, b[i].Seed)
			}
			valuesA, valuesB = append(valuesA, metric.Value(a[i])), append(valuesB, metric.Value(b[i]))
			differences = append(differences, valuesB[i]-valuesA[i])
		}
		diff := Average(differences)
		note := ""
		if math.Abs(diff.Mean) > diff.HalfWidth {
			note = "  differs"
		}
		lines = append(lines, fmt.Sprintf("%-20s %12.4f %12.4f   %s%s", metric.Name, stat.Mean(valuesA, nil), stat.Mean(valuesB, nil), diff, note))
	}
	return lines, nil
}

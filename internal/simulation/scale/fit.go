package scale

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const confidence = 0.95 // confidence level of all intervals

// Target is the mesh size to which fits are extrapolated, and the budget per node at this size.
type Target struct {
	Nodes          int
	BytesPerSecond float64 // traffic in each direction
	Processor      float64 // processor time, in percent of a core
	ResidentMB     float64
	ChangeMs       float64 // maximum time until all nodes have a change, in milliseconds
}

// DefaultTarget is the target of docs/CAPACITY.md.
var DefaultTarget = Target{Nodes: 28_000, BytesPerSecond: 13_000, Processor: 2.9, ResidentMB: 32, ChangeMs: 4000}

// Line is a least-squares fit of a line, with the sums that its intervals need.
type Line struct {
	Intercept, Slope float64
	points           int
	meanX, sumXX     float64 // mean of x, and sum of the squared deviations from it
	residual         float64 // residual standard error; zero for two points
}

// linearFit fits a line by least squares; ok is false for fewer than two distinct values of x.
func linearFit(x, y []float64) (l Line, ok bool) {
	l.points = len(x)
	if l.points < 2 {
		return l, false
	}
	l.meanX = stat.Mean(x, nil)
	for _, v := range x {
		l.sumXX += (v - l.meanX) * (v - l.meanX)
	}
	if l.sumXX == 0 {
		return l, false
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	if l.points > 2 {
		sum := 0.0
		for i := range x {
			d := y[i] - l.Intercept - l.Slope*x[i]
			sum += d * d
		}
		l.residual = math.Sqrt(sum / float64(l.points-2))
	}
	return l, true
}

// halfWidth returns the half width of the confidence interval for a standard error. It is infinite for two points.
func (l Line) halfWidth(deviation float64) float64 {
	if l.points <= 2 {
		return math.Inf(1)
	}
	return deviation * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(l.points - 2)}.Quantile(0.5+confidence/2)
}

// SlopeError returns the half width of the slope's confidence interval.
func (l Line) SlopeError() float64 { return l.halfWidth(l.residual / math.Sqrt(l.sumXX)) }

// At returns the line's value at x and the half width of the prediction interval there.
func (l Line) At(x float64) (y, halfWidth float64) {
	varianceFactor := 1 + 1/float64(l.points) + (x-l.meanX)*(x-l.meanX)/l.sumXX
	return l.Intercept + l.Slope*x, l.halfWidth(l.residual * math.Sqrt(varianceFactor))
}

// Series is one measure at several sizes.
type Series struct {
	Event, Role, Measure string
	Nodes, Values        []float64
	Budget               float64 // zero if there is none
	PerMethod            bool    // the measure covers a single RPC method
}

// power fits y = c * n^slope; ok is false if a value is not positive or linearFit fails.
func (s *Series) power() (Line, bool) {
	var x, y []float64
	for i, v := range s.Values {
		if v <= 0 {
			return Line{}, false
		}
		x, y = append(x, math.Log(s.Nodes[i])), append(y, math.Log(v))
	}
	return linearFit(x, y)
}

// measure is one figure of a role's usage, and its budget.
type measure struct {
	name   string
	value  func(u NodeUsage) float64
	budget func(t Target) float64
}

func noBudget(Target) float64 { return 0 }

var measures = []measure{
	{"bytes out/s", func(u NodeUsage) float64 { return u.BytesOut }, func(t Target) float64 { return t.BytesPerSecond }},
	{"bytes in/s", func(u NodeUsage) float64 { return u.BytesIn }, func(t Target) float64 { return t.BytesPerSecond }},
	{"messages out/s", func(u NodeUsage) float64 { return u.MessagesOut }, noBudget},
	{"processor, %", func(u NodeUsage) float64 { return u.Processor }, func(t Target) float64 { return t.Processor }},
	{"resident, MB", func(u NodeUsage) float64 { return u.ResidentMB }, func(t Target) float64 { return t.ResidentMB }},
	{"sockets", func(u NodeUsage) float64 { return u.Sockets }, noBudget},
	{"goroutines", func(u NodeUsage) float64 { return u.Goroutines }, noBudget},
}

// stateMeasures are the measures of a StateReport, under the event stateEvent.
var stateMeasures = []struct {
	role, name string
	value      func(s StateSize) float64
}{
	{"node", "heap of the configuration, MB", func(s StateSize) float64 { return s.ConfigHeapMB }},
	{"node", "heap of the servers, MB", func(s StateSize) float64 { return s.ServersHeapMB }},
	{"node", "heap of the members, MB", func(s StateSize) float64 { return s.MembersHeapMB }},
	{"node", "a server's change, µs", func(s StateSize) float64 { return s.ServerMicros }},
	{"node", "a route's change, µs", func(s StateSize) float64 { return s.RouteMicros }},
	{"node", "a member's change, µs", func(s StateSize) float64 { return s.MemberMicros }},
	{"node", "first feed, bytes", func(s StateSize) float64 { return float64(s.StateBytes) }},
	{"quorum", "heap of the replicated state, MB", func(s StateSize) float64 { return s.SourceHeapMB }},
	{"quorum", "answer with a whole view, bytes", func(s StateSize) float64 { return float64(s.MembersBytes) }},
	{"quorum", "answer with a whole view, ms", func(s StateSize) float64 { return s.AnswerMs }},
}

const stateEvent = "state"

// Names of the measures of an event's timings, and their role.
const (
	convergedMeasure = "all agree, s"
	updatesMeasure   = "all have the updates, s"
	ackMeasure       = "acknowledged p50, ms"
	p50Measure       = "known p50, ms"
	p99Measure       = "known p99, ms"
	maxMeasure       = "known by the last, ms"
	allNodes         = "all"
)

// SeriesOf groups the figures of reports by event, role and measure, each in order of the mesh size.
func SeriesOf(reports []*Report, t Target) []*Series {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(a, b *Report) int { return cmp.Compare(a.Nodes, b.Nodes) })
	index := map[[3]string]*Series{}
	var all []*Series
	add := func(event, role, name string, nodes int, value, budget float64) *Series {
		key := [3]string{event, role, name}
		s := index[key]
		if s == nil {
			s = &Series{Event: event, Role: role, Measure: name, Budget: budget}
			index[key] = s
			all = append(all, s)
		}
		s.Nodes, s.Values = append(s.Nodes, float64(nodes)), append(s.Values, value)
		return s
	}
	for _, r := range reports {
		for _, size := range r.Sizes {
			for _, m := range stateMeasures {
				add(stateEvent, m.role, m.name, size.Nodes, m.value(size), 0)
			}
		}
		for _, e := range r.Events {
			if e.NotRun != "" {
				continue
			}
			for role, u := range e.Roles {
				for _, m := range measures {
					budget := 0.0
					if role == string(realRole) || role == string(hollowRole) {
						budget = m.budget(t)
					}
					add(e.Name, role, m.name, r.Nodes, m.value(u), budget)
				}
				for method, rate := range u.Methods {
					add(e.Name, role, method+" bytes out/s", r.Nodes, rate.BytesOut, 0).PerMethod = true
					add(e.Name, role, method+" messages out/s", r.Nodes, rate.MessagesOut, 0).PerMethod = true
				}
			}
			if e.ConvergedS != nil {
				add(e.Name, allNodes, convergedMeasure, r.Nodes, *e.ConvergedS, 0)
			}
			if e.UpdatesS != nil {
				add(e.Name, allNodes, updatesMeasure, r.Nodes, *e.UpdatesS, 0)
			}
			if s := e.Propagation; s != nil && s.Changes > 0 {
				add(e.Name, allNodes, ackMeasure, r.Nodes, s.AckP50Ms, 0)
				add(e.Name, allNodes, p50Measure, r.Nodes, s.P50Ms, 0)
				add(e.Name, allNodes, p99Measure, r.Nodes, s.P99Ms, 0)
				add(e.Name, allNodes, maxMeasure, r.Nodes, s.MaxMs, t.ChangeMs)
			}
		}
	}
	order := EventNames()
	slices.SortStableFunc(all, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Event), slices.Index(order, b.Event)), strings.Compare(a.Role, b.Role), strings.Compare(a.Measure, b.Measure))
	})
	return all
}

// WriteTable writes a Markdown table of the series, with their fits and the values extrapolated to the target.
func WriteTable(w io.Writer, all []*Series, t Target) {
	fmt.Fprintf(w, "| event | role | measure | nodes: value | power | linear | at %d by power | by line | budget | verdict |\n", t.Nodes)
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range all {
		fmt.Fprintln(w, s.row(t))
	}
}

// row returns the table row of a series.
func (s *Series) row(t Target) string {
	var values []string
	for i, v := range s.Values {
		values = append(values, fmt.Sprintf("%.0f: %s", s.Nodes[i], formatNumber(v)))
	}
	power, linear, atPower, atLinear := "-", "-", "-", "-"
	low, high := math.Inf(1), math.Inf(-1) // range of the extrapolated values of both models, without their intervals
	if l, ok := s.power(); ok {
		y, halfWidth := l.At(math.Log(float64(t.Nodes)))
		power, atPower = plusMinus(l.Slope, l.SlopeError()), fmt.Sprintf("%s (%s to %s)", formatNumber(math.Exp(y)), formatNumber(math.Exp(y-halfWidth)), formatNumber(math.Exp(y+halfWidth)))
		low, high = min(low, math.Exp(y)), max(high, math.Exp(y))
	}
	if l, ok := linearFit(s.Nodes, s.Values); ok {
		y, halfWidth := l.At(float64(t.Nodes))
		linear, atLinear = fmt.Sprintf("%s + %s per node", formatNumber(l.Intercept), plusMinus(l.Slope, l.SlopeError())), plusMinus(y, halfWidth)
		low, high = min(low, y), max(high, y)
	}
	budget, verdict := "", ""
	if s.Budget > 0 {
		budget, verdict = formatNumber(s.Budget), compareWithBudget(low, high, s.Budget)
	}
	return "| " + strings.Join([]string{s.Event, s.Role, s.Measure, strings.Join(values, ", "), power, linear, atPower, atLinear, budget, verdict}, " | ") + " |"
}

// compareWithBudget compares the range of the fitted values with a budget. The range is empty (low > high) without a fit.
func compareWithBudget(low, high, budget float64) string {
	switch {
	case low > high:
		return "single mesh size"
	case high <= budget:
		return fmt.Sprintf("fits, by a factor of %s", formatNumber(budget/high))
	case low > budget:
		return fmt.Sprintf("does not fit, by a factor of %s", formatNumber(low/budget))
	}
	return "open: the models differ"
}

func plusMinus(x, halfWidth float64) string {
	if math.IsInf(halfWidth, 0) || math.IsNaN(halfWidth) {
		return formatNumber(x)
	}
	return fmt.Sprintf("%s ± %s", formatNumber(x), formatNumber(halfWidth))
}

// formatNumber rounds a number for the table.
func formatNumber(x float64) string {
	switch abs := math.Abs(x); {
	case math.IsInf(x, 0):
		return "∞"
	case abs >= 100:
		return fmt.Sprintf("%.0f", x)
	case abs >= 10:
		return fmt.Sprintf("%.1f", x)
	case abs >= 0.1 || x == 0:
		return fmt.Sprintf("%.2f", x)
	}
	return fmt.Sprintf("%.2g", x)
}

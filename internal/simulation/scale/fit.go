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

const confidence = 0.95

// Target is the size that fits are extrapolated to, and the budget of a node there.
type Target struct {
	Nodes      int
	BytesS     float64 // bytes a second
	Processor  float64 // % of a core
	ResidentMB float64
	ChangeMs   float64 // until a change is known everywhere
}

// UsersTarget is the target of docs/CAPACITY.md.
var UsersTarget = Target{Nodes: 28_000, BytesS: 13_000, Processor: 2.9, ResidentMB: 32, ChangeMs: 4000}

// Line is a least-squares fit of points by a line, with the sums for its intervals.
type Line struct {
	Intercept, Slope float64
	points           int
	meanX, sumXX     float64 // of x: its mean, and the sum of the squares around it
	residual         float64 // standard error of a point
}

// linearFit fits a line; ok is false for fewer than two distinct x.
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

// half returns the half width of the interval of a standard error; infinite with two points.
func (l Line) half(deviation float64) float64 {
	if l.points <= 2 {
		return math.Inf(1)
	}
	return deviation * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(l.points - 2)}.Quantile(0.5+confidence/2)
}

// SlopeError is the half width of the slope's interval.
func (l Line) SlopeError() float64 { return l.half(l.residual / math.Sqrt(l.sumXX)) }

// At returns the line's value, and the half width of the prediction interval there.
func (l Line) At(x float64) (y, half float64) {
	spread := 1 + 1/float64(l.points) + (x-l.meanX)*(x-l.meanX)/l.sumXX
	return l.Intercept + l.Slope*x, l.half(l.residual * math.Sqrt(spread))
}

// Series is one measure at several sizes.
type Series struct {
	Event, Role, Measure string
	Nodes, Values        []float64
	Budget               float64 // 0: none
	Method               bool    // it is of one method alone
}

// power fits y = c * n^slope; ok is false where a value is not above 0.
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

// measure is a measure of a node of a role.
type measure struct {
	name   string
	of     func(u Use) float64
	budget func(t Target) float64
}

func noBudget(Target) float64 { return 0 }

var measures = []measure{
	{"bytes out/s", func(u Use) float64 { return u.BytesOut }, func(t Target) float64 { return t.BytesS }},
	{"bytes in/s", func(u Use) float64 { return u.BytesIn }, func(t Target) float64 { return t.BytesS }},
	{"messages out/s", func(u Use) float64 { return u.MessagesOut }, noBudget},
	{"processor, %", func(u Use) float64 { return u.Processor }, func(t Target) float64 { return t.Processor }},
	{"resident, MB", func(u Use) float64 { return u.ResidentMB }, func(t Target) float64 { return t.ResidentMB }},
	{"sockets", func(u Use) float64 { return u.Sockets }, noBudget},
	{"goroutines", func(u Use) float64 { return u.Goroutines }, noBudget},
}

// stateMeasures are the measures of StateReport, listed as those of an event.
var stateMeasures = []struct {
	role, name string
	of         func(s StateSize) float64
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

// Times of an event.
const (
	agreeMeasure   = "all agree, s"
	updatesMeasure = "all have the updates, s"
	ackMeasure     = "acknowledged p50, ms"
	p50Measure     = "known p50, ms"
	p99Measure     = "known p99, ms"
	maxMeasure     = "known by the last, ms"
	allNodes       = "all"
)

// SeriesOf groups the measures of reports by event, role and measure.
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
				add(stateEvent, m.role, m.name, size.Nodes, m.of(size), 0)
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
					add(e.Name, role, m.name, r.Nodes, m.of(u), budget)
				}
				for method, rate := range u.Methods {
					add(e.Name, role, method+" bytes out/s", r.Nodes, rate.BytesOut, 0).Method = true
					add(e.Name, role, method+" messages out/s", r.Nodes, rate.MessagesOut, 0).Method = true
				}
			}
			if e.AgreeS != nil {
				add(e.Name, allNodes, agreeMeasure, r.Nodes, *e.AgreeS, 0)
			}
			if e.UpdatesS != nil {
				add(e.Name, allNodes, updatesMeasure, r.Nodes, *e.UpdatesS, 0)
			}
			if s := e.Spread; s != nil && s.Changes > 0 {
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

// WriteTable prints series as a table, each with its fits and their values at the target.
func WriteTable(w io.Writer, all []*Series, t Target) {
	fmt.Fprintf(w, "| event | role | measure | nodes: value | power | linear | at %d by the power | by the line | budget | verdict |\n", t.Nodes)
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range all {
		fmt.Fprintln(w, s.row(t))
	}
}

// row is a line of the table.
func (s *Series) row(t Target) string {
	var values []string
	for i, v := range s.Values {
		values = append(values, fmt.Sprintf("%.0f: %s", s.Nodes[i], short(v)))
	}
	power, linear, atPower, atLinear := "-", "-", "-", "-"
	low, high := math.Inf(1), math.Inf(-1) // of the two models, without their intervals
	if l, ok := s.power(); ok {
		y, half := l.At(math.Log(float64(t.Nodes)))
		power, atPower = plusMinus(l.Slope, l.SlopeError()), fmt.Sprintf("%s (%s to %s)", short(math.Exp(y)), short(math.Exp(y-half)), short(math.Exp(y+half)))
		low, high = min(low, math.Exp(y)), max(high, math.Exp(y))
	}
	if l, ok := linearFit(s.Nodes, s.Values); ok {
		y, half := l.At(float64(t.Nodes))
		linear, atLinear = fmt.Sprintf("%s + %s a node", short(l.Intercept), plusMinus(l.Slope, l.SlopeError())), plusMinus(y, half)
		low, high = min(low, y), max(high, y)
	}
	budget, verdict := "", ""
	if s.Budget > 0 {
		budget, verdict = short(s.Budget), judge(low, high, s.Budget)
	}
	return "| " + strings.Join([]string{s.Event, s.Role, s.Measure, strings.Join(values, ", "), power, linear, atPower, atLinear, budget, verdict}, " | ") + " |"
}

// judge states whether the fitted values are within a budget.
func judge(low, high, budget float64) string {
	switch {
	case low > high:
		return "one size"
	case high <= budget:
		return fmt.Sprintf("fits, by a factor of %s", short(budget/high))
	case low > budget:
		return fmt.Sprintf("does not fit, by a factor of %s", short(low/budget))
	}
	return "open: the models differ"
}

func plusMinus(x, half float64) string {
	if math.IsInf(half, 0) || math.IsNaN(half) {
		return short(x)
	}
	return fmt.Sprintf("%s ± %s", short(x), short(half))
}

// short formats a number with three digits.
func short(x float64) string {
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

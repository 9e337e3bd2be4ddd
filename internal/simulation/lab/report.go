package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// group holds the runs of one scenario with one setting, and the data that the page shows.
type group struct {
	Name       string
	Results    []*Result
	Metrics    []string // mean and interval of each metric, in the order of the package variable Metrics
	Plots      []template.HTML
	Routes     []routeRow
	Violations []string
}

type routeRow struct {
	Name                  string
	Value, Refused        float64
	P50, P90, P99, P999Ms float64
}

// groupResults puts adjacent results of one scenario and setting into a group.
func groupResults(results []*Result) []*group {
	var list []*group
	for _, r := range results {
		name := strings.TrimSpace(r.Scenario + " " + r.Varied)
		if len(list) == 0 || list[len(list)-1].Name != name {
			list = append(list, &group{Name: name})
		}
		last := list[len(list)-1]
		last.Results = append(last.Results, r)
		for _, f := range r.Violations {
			last.Violations = append(last.Violations, fmt.Sprintf("seed %d, %s", r.Seed, f))
		}
	}
	return list
}

// series returns the mean of a value over the runs of a group for each second.
func (g *group) series(value func(s *Second) float64) plotter.XYs {
	longest := 0
	for _, r := range g.Results {
		longest = max(longest, len(r.Seconds))
	}
	points := make(plotter.XYs, longest)
	for i := range points {
		sum, n := 0.0, 0
		for _, r := range g.Results {
			if i < len(r.Seconds) {
				sum += value(&r.Seconds[i])
				n++
			}
		}
		points[i].X, points[i].Y = float64(i), sum/float64(max(1, n))
	}
	return points
}

func renderSVG(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return template.HTML(text[strings.Index(text, "<svg"):]), nil // trusted, as the plot library generates it
}

// drawLines draws series in one plot. They are pairs of a name and its points.
func drawLines(title, unit string, series ...any) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLines(p, series...); err != nil {
		return "", err
	}
	return renderSVG(p, 9*vg.Inch/2, 2.2*vg.Inch)
}

// draw computes the group's tables and plots.
func (g *group) draw() error {
	for _, metric := range Metrics {
		var x []float64
		for _, r := range g.Results {
			x = append(x, metric.Value(r))
		}
		g.Metrics = append(g.Metrics, Average(x).String())
	}
	if err := g.drawPlots(); err != nil {
		return err
	}
	g.Routes = g.routeRows()
	return nil
}

// drawPlots draws the values that are measured for each second.
func (g *group) drawPlots() error {
	for _, figure := range []struct {
		title, unit string
		series      []any // pairs of a name and its points
	}{
		{"Value of the requests of a second", "", []any{"value", g.series(func(s *Second) float64 { return s.Value })}},
		{"Refused after the last attempt, by priority", "1/s", g.refusedSeries()},
		{"Latency, 99th percentile", "ms", []any{"p99", g.series(func(s *Second) float64 { return s.P99Ms })}},
		{"Slots in use, by service", "", g.busySeries()},
		{"Share of the retry budget used", "", []any{"used", g.series(func(s *Second) float64 { return s.RetryBudget })}},
		{"Maximum update lag", "ms", []any{"lag", g.series(func(s *Second) float64 { return s.LagMs })}},
		{"Without a leader", "share of the second", []any{"leaderless", g.series(func(s *Second) float64 { return s.Leaderless })}},
	} {
		if len(figure.series) == 0 {
			continue
		}
		html, err := drawLines(figure.title, figure.unit, figure.series...)
		if err != nil {
			return fmt.Errorf("lab: draw plot: %w", err)
		}
		g.Plots = append(g.Plots, html)
	}
	return nil
}

// refusedSeries returns a series for each priority: the requests whose last attempt was
// refused.
func (g *group) refusedSeries() (series []any) {
	priorities := 0
	for _, r := range g.Results {
		for _, s := range r.Seconds {
			priorities = max(priorities, len(s.ByPriority))
		}
	}
	for p := range priorities {
		series = append(series, fmt.Sprintf("priority %d", p), g.series(func(s *Second) float64 {
			if p < len(s.ByPriority) {
				return float64(s.ByPriority[p])
			}
			return 0
		}))
	}
	return series
}

// busySeries returns a series for each service: the slots in use.
func (g *group) busySeries() (series []any) {
	seconds := g.Results[0].Seconds
	if len(seconds) == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(seconds[len(seconds)-1].Busy)) {
		series = append(series, name, g.series(func(s *Second) float64 { return s.Busy[name] }))
	}
	return series
}

// routeRows returns the table of routes, with means over the runs.
func (g *group) routeRows() []routeRow {
	names := map[string]bool{}
	for _, r := range g.Results {
		for name := range r.Routes {
			names[name] = true
		}
	}
	var rows []routeRow
	for _, name := range slices.Sorted(maps.Keys(names)) {
		row := routeRow{Name: name}
		runs := float64(len(g.Results))
		for _, r := range g.Results {
			route := r.Routes[name]
			row.Value += route.Value / runs
			row.Refused += fraction(route.Refused, route.Requests) / runs
			row.P50 += route.P50Ms / runs
			row.P90 += route.P90Ms / runs
			row.P99 += route.P99Ms / runs
			row.P999Ms += route.P999Ms / runs
		}
		rows = append(rows, row)
	}
	return rows
}

var page = template.Must(template.New("").Parse(`<!doctype html><meta charset="utf-8"><title>meshlab</title>
<style>body{font:14px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#b00}svg{margin:.3em}</style>
<h1>meshlab</h1>
<table><tr><th>scenario<th>runs{{range .Names}}<th>{{.}}{{end}}<th>violations</tr>
{{range .Groups}}<tr><td>{{.Name}}<td>{{len .Results}}{{range .Metrics}}<td>{{.}}{{end}}<td{{if .Violations}} class="bad"{{end}}>{{len .Violations}}</tr>
{{end}}</table><p>Means with their 95 % intervals, by Student's t over the seeds.</p>
{{range .Groups}}<h2>{{.Name}}</h2>{{range .Violations}}<p class="bad">{{.}}</p>{{end}}
<table><tr><th>route<th>value<th>refused<th>p50 ms<th>p90<th>p99<th>p99.9</tr>
{{range .Routes}}<tr><td>{{.Name}}<td>{{printf "%.3f" .Value}}<td>{{printf "%.3f" .Refused}}<td>{{printf "%.1f" .P50}}<td>{{printf "%.1f" .P90}}<td>{{printf "%.1f" .P99}}<td>{{printf "%.1f" .P999Ms}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}{{end}}
`))

// Report writes an HTML page about results, which must be in the order that Read returns.
func Report(w io.Writer, results []*Result) error {
	list := groupResults(results)
	for _, g := range list {
		if err := g.draw(); err != nil {
			return err
		}
	}
	var names []string
	for _, f := range Metrics {
		names = append(names, f.Name)
	}
	if err := page.Execute(w, map[string]any{"Groups": list, "Names": names}); err != nil {
		return fmt.Errorf("lab: write report: %w", err)
	}
	return nil
}

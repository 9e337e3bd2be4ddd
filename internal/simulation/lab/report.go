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

// group is the runs of one scenario with one setting.
type group struct {
	Name    string
	Results []*Result
	Figures []string // mean and interval of each of Figures
	Plots   []template.HTML
	Routes  []routeLine
	Faults  []string
}

type routeLine struct {
	Name                  string
	Worth, Refused        float64
	P50, P90, P99, P999Ms float64
}

func groups(results []*Result) []*group {
	var list []*group
	for _, r := range results {
		name := strings.TrimSpace(r.Scenario + " " + r.Varied)
		if len(list) == 0 || list[len(list)-1].Name != name {
			list = append(list, &group{Name: name})
		}
		g := list[len(list)-1]
		g.Results = append(g.Results, r)
		for _, f := range r.Faults {
			g.Faults = append(g.Faults, fmt.Sprintf("seed %d, %s", r.Seed, f))
		}
	}
	return list
}

// mean of a value over the runs of a group, second by second.
func (g *group) series(of func(s *Second) float64) plotter.XYs {
	longest := 0
	for _, r := range g.Results {
		longest = max(longest, len(r.Seconds))
	}
	pts := make(plotter.XYs, longest)
	for i := range pts {
		sum, n := 0.0, 0
		for _, r := range g.Results {
			if i < len(r.Seconds) {
				sum += of(&r.Seconds[i])
				n++
			}
		}
		pts[i].X, pts[i].Y = float64(i), sum/float64(max(1, n))
	}
	return pts
}

func svg(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return template.HTML(text[strings.Index(text, "<svg"):]), nil // the library's own drawing, no text of others
}

// lines draws series under one another in one plot.
func lines(title, unit string, series ...any) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLines(p, series...); err != nil {
		return "", err
	}
	return svg(p, 9*vg.Inch/2, 2.2*vg.Inch)
}

// draw makes a group's plots and tables.
func (g *group) draw() error {
	for _, f := range Figures {
		var x []float64
		for _, r := range g.Results {
			x = append(x, f.Of(r))
		}
		g.Figures = append(g.Figures, Average(x).String())
	}
	priorities := 0
	for _, r := range g.Results {
		for _, s := range r.Seconds {
			priorities = max(priorities, len(s.ByPriority))
		}
	}
	var refused []any
	for p := range priorities {
		refused = append(refused, fmt.Sprintf("priority %d", p), g.series(func(s *Second) float64 {
			if p < len(s.ByPriority) {
				return float64(s.ByPriority[p])
			}
			return 0
		}))
	}
	var busy []any
	if len(g.Results[0].Seconds) > 0 {
		for _, name := range slices.Sorted(maps.Keys(g.Results[0].Seconds[len(g.Results[0].Seconds)-1].Busy)) {
			busy = append(busy, name, g.series(func(s *Second) float64 { return s.Busy[name] }))
		}
	}
	for _, d := range []struct {
		title, unit string
		series      []any
	}{
		{"Worth of the requests of a second", "", []any{"worth", g.series(func(s *Second) float64 { return s.Worth })}},
		{"Refused in the end, by priority", "1/s", refused},
		{"Latency, 99th percentile", "ms", []any{"p99", g.series(func(s *Second) float64 { return s.P99Ms })}},
		{"Slots taken, by service", "", busy},
		{"Part of the retry budget used", "", []any{"used", g.series(func(s *Second) float64 { return s.Budget })}},
		{"Updates: the slowest of a second", "ms", []any{"lag", g.series(func(s *Second) float64 { return s.LagMs })}},
		{"Without a leader", "part of the second", []any{"leaderless", g.series(func(s *Second) float64 { return s.Leaderless })}},
	} {
		if len(d.series) == 0 {
			continue
		}
		h, err := lines(d.title, d.unit, d.series...)
		if err != nil {
			return fmt.Errorf("lab: plotting: %w", err)
		}
		g.Plots = append(g.Plots, h)
	}
	names := map[string]bool{}
	for _, r := range g.Results {
		for name := range r.Routes {
			names[name] = true
		}
	}
	for name := range names {
		l := routeLine{Name: name}
		n := float64(len(g.Results))
		for _, r := range g.Results {
			x := r.Routes[name]
			l.Worth += x.Worth / n
			l.Refused += part(x.Refused, x.Asked) / n
			l.P50, l.P90, l.P99, l.P999Ms = l.P50+x.P50Ms/n, l.P90+x.P90Ms/n, l.P99+x.P99Ms/n, l.P999Ms+x.P999Ms/n
		}
		g.Routes = append(g.Routes, l)
	}
	slices.SortFunc(g.Routes, func(a, b routeLine) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

var page = template.Must(template.New("").Parse(`<!doctype html><meta charset="utf-8"><title>meshlab</title>
<style>body{font:14px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#b00}svg{margin:.3em}</style>
<h1>meshlab</h1>
<table><tr><th>world<th>plays{{range .Names}}<th>{{.}}{{end}}<th>broken</tr>
{{range .Groups}}<tr><td>{{.Name}}<td>{{len .Results}}{{range .Figures}}<td>{{.}}{{end}}<td{{if .Faults}} class="bad"{{end}}>{{len .Faults}}</tr>
{{end}}</table><p>Means with their 95 % intervals, by Student's t over the seeds.</p>
{{range .Groups}}<h2>{{.Name}}</h2>{{range .Faults}}<p class="bad">{{.}}</p>{{end}}
<table><tr><th>route<th>worth<th>refused<th>p50 ms<th>p90<th>p99<th>p99.9</tr>
{{range .Routes}}<tr><td>{{.Name}}<td>{{printf "%.3f" .Worth}}<td>{{printf "%.3f" .Refused}}<td>{{printf "%.1f" .P50}}<td>{{printf "%.1f" .P90}}<td>{{printf "%.1f" .P99}}<td>{{printf "%.1f" .P999Ms}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}{{end}}
`))

// Report writes a page about results, as Read orders them.
func Report(w io.Writer, results []*Result) error {
	list := groups(results)
	for _, g := range list {
		if err := g.draw(); err != nil {
			return err
		}
	}
	var names []string
	for _, f := range Figures {
		names = append(names, f.Name)
	}
	if err := page.Execute(w, map[string]any{"Groups": list, "Names": names}); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

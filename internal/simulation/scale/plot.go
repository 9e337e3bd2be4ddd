package scale

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	plotPoints = 200
)

// plot draws, for each event with changes, the share of the nodes that had a change over time.
func (r *Report) plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes: changes of one route of %d", r.Nodes, r.Routes)
	p.X.Label.Text, p.Y.Label.Text = "ms after the operator's call", "part of the nodes that know of it"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	lines := 0
	for _, e := range r.Events {
		if e.Spread == nil || len(e.Spread.durations) == 0 {
			continue
		}
		curve, err := plotter.NewLine(e.Spread.points())
		if err != nil {
			return fmt.Errorf("the plot: %w", err)
		}
		curve.Color = plotutil.Color(lines)
		lines++
		p.Add(curve)
		p.Legend.Add(e.Name, curve)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("the plot: %w", err)
	}
	return nil
}

// points are the distribution function of sorted durations.
func (s *Spread) points() plotter.XYs {
	points := make(plotter.XYs, 0, plotPoints+1)
	for i := range plotPoints + 1 {
		q := float64(i) / plotPoints
		points = append(points, plotter.XY{X: quantile(s.durations, q), Y: q})
	}
	return points
}

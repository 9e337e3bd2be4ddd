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

// plot draws, for each event with changes, the share of the nodes that have received a change over time.
func (r *Report) plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes: change of one of %d routes", r.Nodes, r.Routes)
	p.X.Label.Text, p.Y.Label.Text = "ms after the operator's call", "share of the nodes that have received it"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	lines := 0
	for _, e := range r.Events {
		if e.Propagation == nil || len(e.Propagation.durations) == 0 {
			continue
		}
		curve, err := plotter.NewLine(e.Propagation.points())
		if err != nil {
			return fmt.Errorf("drawing the plot: %w", err)
		}
		curve.Color = plotutil.Color(lines)
		lines++
		p.Add(curve)
		p.Legend.Add(e.Name, curve)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}

// points returns the cumulative distribution of the durations, which must be sorted.
func (s *Propagation) points() plotter.XYs {
	points := make(plotter.XYs, 0, plotPoints+1)
	for i := range plotPoints + 1 {
		q := float64(i) / plotPoints
		points = append(points, plotter.XY{X: quantile(s.durations, q), Y: q})
	}
	return points
}

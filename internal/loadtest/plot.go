package loadtest

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth              = 20 * vg.Centimeter
	plotHeight             = 10 * vg.Centimeter
	smoothingWindowSeconds = 5
)

// Plot writes a PNG file with the attainment over time, one line per report. Values are moving averages over
// smoothingWindowSeconds.
func Plot(path string, reports []Report) error {
	p := plot.New()
	p.Title.Text = "Calls answered in time"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "fraction of calls, 5 s average"
	p.Y.Min = 0
	p.Y.Max = 1
	for i, r := range reports {
		line, err := plotter.NewLine(plotPoints(r))
		if err != nil {
			return errors.Wrapf(err, "series of %q", r.Policy)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %q", path)
}

func plotPoints(r Report) plotter.XYs {
	var points plotter.XYs
	for i := range r.Series {
		calls, inTime := 0, 0
		for j := max(0, i-smoothingWindowSeconds+1); j <= i; j++ {
			calls += r.Series[j].Calls
			inTime += r.Series[j].InTime
		}
		points = append(points, plotter.XY{X: float64(i), Y: ratio(inTime, calls)})
	}
	return points
}

package experimenter

import (
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot writes an SVG plot of the distribution of response times, as ratios
// to the ideal, with one line per policy.
func WritePlot(w io.Writer, result Result) (err error) {
	defer func() { err = errors.Wrapf(err, "plotting scenario %s", result.Scenario.Name) }()
	p := plot.New()
	p.Title.Text = result.Scenario.Name
	p.X.Label.Text = "response time over the ideal (log scale)"
	p.Y.Label.Text = "jobs answered, %"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i, run := range result.Runs {
		line, err := plotter.NewLine(curvePoints(run))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(run.Policy), line)
	}
	if p.X.Min >= p.X.Max {
		p.X.Max = p.X.Min * 2 // a log scale needs a range
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = writer.WriteTo(w)
	return err
}

// minPlottedRatio replaces smaller ratios, since a log scale has no 0.
const minPlottedRatio = 0.1

func curvePoints(run Run) plotter.XYs {
	points := make(plotter.XYs, 0, len(run.Report.Curve))
	for _, point := range run.Report.Curve {
		points = append(points, plotter.XY{X: max(point.Ratio, minPlottedRatio), Y: point.Percent})
	}
	return points
}

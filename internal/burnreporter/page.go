package burnreporter

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"window":  shortDuration,
	"percent": func(share float64) float64 { return 100 * share },
}).Parse(pageText))

// page is the template's data.
type page struct {
	Report  Report
	Windows any
	Rows    []pageRow
}

type pageRow struct {
	Row  Row
	Plot template.HTML // an SVG element made by plotBurn
}

// WriteHTML writes a report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) (err error) {
	defer func() { err = errors.Wrap(err, "writing the burn page") }()
	p := page{Report: r, Windows: Windows}
	for _, row := range r.Rows {
		svg, err := plotBurn(row)
		if err != nil {
			return err
		}
		p.Rows = append(p.Rows, pageRow{Row: row, Plot: svg})
	}
	return pageTemplate.Execute(w, p)
}

// plotBurn returns a plot of the burn rate over time, with a dashed line at 1,
// which uses up the error budget exactly.
func plotBurn(row Row) (svg template.HTML, err error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Y.Min = 0
	points := make(plotter.XYs, len(row.Points))
	for i, point := range row.Points {
		points[i] = plotter.XY{X: float64(point.At.Unix()), Y: point.BurnRate}
	}
	line, err := plotter.NewLine(points)
	if err != nil && len(points) > 0 {
		return "", err
	}
	if len(points) > 0 {
		p.Add(line)
	}
	exactBurn := plotter.NewFunction(func(float64) float64 { return 1 })
	exactBurn.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
	p.Add(exactBurn)
	p.Y.Max = max(p.Y.Max, 1.1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.HTML(svgElement(out.Bytes())), nil
}

// svgElement returns the svg element of an SVG file.
func svgElement(file []byte) string {
	if i := bytes.Index(file, []byte("<svg")); i >= 0 {
		return string(file[i:])
	}
	return ""
}

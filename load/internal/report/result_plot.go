package report

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// colours are the colours of the lines, in the order in which they are used.
var colours = []color.Color{
	color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.RGBA{R: 120, G: 120, A: 255},
}

// Plot draws the ratio of the response to that of the central queue against the
// offered load. Each placement has one colour, with a solid line for the median
// and a dashed one for the 99th percentile.
func (r Result) Plot(path string) error {
	if len(r.measuredCells()) == 0 {
		return &Error{Op: "plot", Kind: KindPlot, Err: eris.New("no cell was measured")}
	}
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "offered load, %"
	p.Y.Label.Text = "response / clairvoyant central queue"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for n, placement := range r.placements() {
		if err := r.addLines(p, placement, colours[n%len(colours)]); err != nil {
			return &Error{Op: "plot", Kind: KindPlot, Err: err}
		}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &Error{Op: "plot", Kind: KindFile, Err: eris.Wrap(err, "cannot write the plot")}
	}
	return nil
}

func (r Result) addLines(p *plot.Plot, placement string, colour color.Color) error {
	var medians, tails plotter.XYs
	for _, c := range r.measuredCells() {
		if c.Placement != placement {
			continue
		}
		u := c.Urgency(allUrgencies)
		medians = append(medians, plotter.XY{X: c.OfferedLoad * percent, Y: ratio(u.Response.P50, u.Central.P50)})
		tails = append(tails, plotter.XY{X: c.OfferedLoad * percent, Y: ratio(u.Response.P99, u.Central.P99)})
	}
	if err := addLine(p, placement+" p50", medians, colour, nil); err != nil {
		return err
	}
	return addLine(p, placement+" p99", tails, colour, []vg.Length{vg.Points(4), vg.Points(3)})
}

func addLine(p *plot.Plot, name string, points plotter.XYs, colour color.Color, dashes []vg.Length) error {
	if len(points) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, dots.Color, line.Dashes = colour, colour, dashes
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}

// measuredCells returns the cells with response times.
func (r Result) measuredCells() []Cell {
	var all []Cell
	for _, c := range r.Cells {
		if c.Urgency(allUrgencies).Jobs > 0 {
			all = append(all, c)
		}
	}
	return all
}

func (r Result) placements() []string {
	var all []string
	seen := map[string]bool{}
	for _, c := range r.Cells {
		if !seen[c.Placement] {
			seen[c.Placement] = true
			all = append(all, c.Placement)
		}
	}
	return all
}

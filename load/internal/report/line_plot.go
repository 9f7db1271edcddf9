package report

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Lines is a plot of several measures over the same axis.
type Lines struct {
	Title string
	X, Y  string
	Lines []Line
}

// Line is one measure.
type Line struct {
	Name   string
	Points []Point
}

// Point is one value of a measure.
type Point struct{ X, Y float64 }

// Plot writes the plot in the format that the file's extension names, with one
// colour for each line.
func (l Lines) Plot(path string) error {
	p := plot.New()
	p.Title.Text = l.Title
	p.X.Label.Text = l.X
	p.Y.Label.Text = l.Y
	p.Legend.Top = true
	for n, line := range l.Lines {
		if err := addLine(p, line.Name, line.points(), colours[n%len(colours)], nil); err != nil {
			return &Error{Op: "plot", Kind: KindPlot, Err: err}
		}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &Error{Op: "plot", Kind: KindFile, Err: eris.Wrap(err, "cannot write the plot")}
	}
	return nil
}

func (l Line) points() plotter.XYs {
	points := make(plotter.XYs, len(l.Points))
	for i, point := range l.Points {
		points[i] = plotter.XY{X: point.X, Y: point.Y}
	}
	return points
}

package worth

import (
	"skylarklane.example/load/internal/report"
)

// Plot draws the share of the worth that was lost, and the shares of requests
// that were late, refused and failed, over the time windows of the day.
func (d Day) Plot(path string) error {
	return report.Lines{
		Title: d.Name,
		X:     "second of the day",
		Y:     "share of what was owed",
		Lines: []report.Line{
			d.line("worth lost", Group.Lost),
			d.line("late", func(g Group) float64 { return share(g.Late, g.Owed()) }),
			d.line("refused", func(g Group) float64 { return share(g.Refused, g.Owed()) }),
			d.line("failed", func(g Group) float64 { return share(g.Failed, g.Owed()) }),
		},
	}.Plot(path)
}

// line returns one measure over the time windows of the day.
func (d Day) line(name string, measure func(Group) float64) report.Line {
	line := report.Line{Name: name}
	for _, g := range d.Seconds {
		if start, ok := g.Start(); ok {
			line.Points = append(line.Points, report.Point{X: start, Y: measure(g)})
		}
	}
	return line
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

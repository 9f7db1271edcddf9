package bench

import (
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/load/internal/judge"
	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
)

func TestRowsWithoutMeasurementsAreMissed(t *testing.T) {
	rows := Rows(Parts{Recovery: recovery.Result{Kills: []recovery.Kill{{Victim: recovery.Entry}}}})
	is.New(t).Equal(len(Missed(rows)), len(rows))
}

func TestCellRows(t *testing.T) {
	good := report.Cell{Jobs: 10, Tasks: 100, Urgencies: []report.Urgency{{
		Name: "all", Jobs: 10, Response: report.Percentiles{P50: 105, P99: 200}, Central: report.Percentiles{P50: 100, P99: 180},
	}}}
	tests := []struct {
		name   string
		change func(*report.Cell)
		missed int
	}{
		{"all met", func(*report.Cell) {}, 0},
		{"slow median", func(c *report.Cell) { c.Urgencies[0].Response.P50 = 130 }, 1},
		{"a doubled task", func(c *report.Cell) { c.Verdict = judge.Verdict{Doubled: 1} }, 1},
		{"too many messages", func(c *report.Cell) {
			c.Requests = []report.Count{{Name: "Ledger.Hold", Value: 500}}
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := good
			c.Urgencies = append([]report.Urgency(nil), good.Urgencies...)
			test.change(&c)
			is.New(t).Equal(len(Missed(cellRows(c))), test.missed)
		})
	}
}

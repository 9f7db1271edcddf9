// Package bench compares measurements with the targets of the system and
// reports which targets are missed.
package bench

import (
	"fmt"
	"io"

	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// Targets that the measurements are compared with, and units.
const (
	medianTarget            = 1.12
	medianLaterTarget       = 1.05
	p99Target               = 1.5
	messagesPerTaskTarget   = 2.2
	wastedShareTarget       = 0.01
	delayMedianTargetMillis = 2
	delayP99TargetMillis    = 10
	startRateTarget         = 10_000
	startCostRatioTarget    = 1.25
	memoryTarget            = 32 << 20
	recoveryTargetSeconds   = 5
	inForceTargetMillis     = 17_000
	percent                 = 100
	megabyte                = 1 << 20
)

// Row is one target with the value measured for it.
type Row struct {
	Measure  string `json:"measure"`
	Target   string `json:"target"`
	Measured string `json:"measured"`
	Met      bool   `json:"met"`
}

// Result is the table of all targets.
type Result struct {
	Origin report.Origin `json:"origin"`
	Rows   []Row         `json:"rows"`
	Delay  slope.Delay   `json:"delay"`
}

// Parts are the measurements that the rows are built from.
type Parts struct {
	Placement report.Result
	Slopes    slope.Result
	Delay     slope.Delay
	Recovery  recovery.Result
	Rollout   rollout.Result
}

// Rows compares each measurement with its targets.
func Rows(p Parts) []Row {
	var rows []Row
	for _, c := range p.Placement.Cells {
		rows = append(rows, cellRows(c)...)
	}
	rows = append(rows, delayRow(p.Delay), startRateRow(p.Slopes), startCostRow(p.Slopes))
	rows = append(rows, memoryRows(p)...)
	for _, k := range p.Recovery.Kills {
		rows = append(rows, recoveryRow(k))
	}
	return append(rows, rolloutRow(p.Rollout))
}

// Missed returns the rows whose targets were not met.
func Missed(rows []Row) []Row {
	var missed []Row
	for _, r := range rows {
		if !r.Met {
			missed = append(missed, r)
		}
	}
	return missed
}

// Markdown writes the table.
func (r Result) Markdown(w io.Writer) {
	r.Origin.Markdown(w)
	fmt.Fprintln(w, "| measure | target | measured | |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", row.Measure, row.Target, row.Measured, formatMet(row.Met))
	}
	fmt.Fprintf(w, "\n%d of %d targets missed.\n\n", len(Missed(r.Rows)), len(r.Rows))
}

func formatMet(met bool) string {
	if met {
		return "met"
	}
	return "**missed**"
}

// Experiment is the file that defines the cells in which response times and
// messages are measured.
const Experiment = "experiments/bench.yaml"

// Package experiment runs the cells of an experiment one after the other. Each
// cell gets a newly started system.
package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/report"
)

const (
	defaultPlacement = "tokens"
	maxWorkers       = 60
	maxEntries       = 8
	maxCellMillis    = 300_000
)

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	KindFile Kind = iota + 1
	KindInvalid
	KindRun
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Runner runs experiments with the programs in one folder.
type Runner struct {
	bin      string
	progress io.Writer
}

// New returns a runner that takes the programs from bin and writes progress
// lines to progress.
func New(bin string, progress io.Writer) *Runner {
	return &Runner{bin: bin, progress: progress}
}

// Load reads and checks an experiment file.
func Load(path string) (*wire.Experiment, error) {
	experiment := &wire.Experiment{}
	if err := settings.Load(path, experiment); err != nil {
		return nil, &Error{Op: "load experiment", Kind: KindFile, Err: err}
	}
	if err := validate(experiment); err != nil {
		return nil, &Error{Op: "load experiment", Kind: KindInvalid, Err: eris.Wrap(err, path)}
	}
	if len(experiment.GetPlacements()) == 0 {
		experiment.Placements = []string{defaultPlacement}
	}
	if experiment.GetTimeScale() == 0 {
		experiment.TimeScale = 1
	}
	return experiment, nil
}

// Run runs every cell with every placement and returns the result. A cell that
// fails is reported as failed, and the next one is run.
func (r *Runner) Run(ctx context.Context, experiment *wire.Experiment, origin report.Origin) report.Result {
	result := report.Result{
		Name: experiment.GetName(), TimeScale: experiment.GetTimeScale(), Workers: len(experiment.GetWorkers()),
	}
	total := len(experiment.GetCells()) * len(experiment.GetPlacements())
	for _, cell := range experiment.GetCells() {
		for _, placement := range experiment.GetPlacements() {
			if ctx.Err() != nil {
				break
			}
			r.logProgress("cell %d of %d: %s, %s", len(result.Cells)+1, total, cell.GetName(), placement)
			result.Cells = append(result.Cells, r.runCell(ctx, experiment, cell, placement))
		}
	}
	result.Origin = origin.WithEnd()
	return result
}

func (r *Runner) logProgress(format string, args ...any) {
	fmt.Fprintf(r.progress, time.Now().Format(time.TimeOnly)+" "+format+"\n", args...)
}

func validate(experiment *wire.Experiment) error {
	switch {
	case experiment.GetName() == "":
		return eris.New("the experiment has no name")
	case len(experiment.GetWorkers()) == 0 || len(experiment.GetWorkers()) > maxWorkers:
		return eris.Errorf("the experiment must have 1 to %d workers", maxWorkers)
	case experiment.GetEntries() == 0 || experiment.GetEntries() > maxEntries:
		return eris.Errorf("the experiment must have 1 to %d entries", maxEntries)
	case len(experiment.GetServices()) != 1:
		return eris.New("the experiment must have exactly one service")
	case len(experiment.GetRequests()) == 0:
		return eris.New("the experiment has no requests")
	}
	for _, cell := range experiment.GetCells() {
		if cell.GetLoad() <= 0 || cell.GetDurationMillis() <= 0 || cell.GetDurationMillis() > maxCellMillis {
			return eris.Errorf("cell %q: the load must be above 0 and the duration above 0 and up to %d ms", cell.GetName(), maxCellMillis)
		}
	}
	return nil
}

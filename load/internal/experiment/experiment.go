// Package experiment runs the cells of an experiment one after the other, each
// on a system of its own.
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

// Runner runs experiments with the programs of one folder.
type Runner struct {
	bin      string
	progress io.Writer
}

// New returns a runner that writes progress lines.
func New(bin string, progress io.Writer) *Runner {
	return &Runner{bin: bin, progress: progress}
}

// Load reads and checks an experiment file.
func Load(path string) (*wire.Experiment, error) {
	experiment := &wire.Experiment{}
	if err := settings.Load(path, experiment); err != nil {
		return nil, &Error{Op: "load experiment", Kind: KindFile, Err: err}
	}
	if err := check(experiment); err != nil {
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

// Run runs every cell on every placement and returns the result. A cell that
// fails is reported as such and does not end the sitting.
func (n *Runner) Run(ctx context.Context, experiment *wire.Experiment, origin report.Origin) report.Result {
	result := report.Result{
		Name: experiment.GetName(), TimeScale: experiment.GetTimeScale(), Workers: len(experiment.GetWorkers()),
	}
	total := len(experiment.GetCells()) * len(experiment.GetPlacements())
	for _, one := range experiment.GetCells() {
		for _, placement := range experiment.GetPlacements() {
			if ctx.Err() != nil {
				break
			}
			n.say("cell %d of %d: %s, %s", len(result.Cells)+1, total, one.GetName(), placement)
			result.Cells = append(result.Cells, n.runCell(ctx, experiment, one, placement))
		}
	}
	result.Origin = origin.WithEnd()
	return result
}

func (n *Runner) say(format string, args ...any) {
	fmt.Fprintf(n.progress, time.Now().Format(time.TimeOnly)+" "+format+"\n", args...)
}

func check(experiment *wire.Experiment) error {
	switch {
	case experiment.GetName() == "":
		return eris.New("give it a name")
	case len(experiment.GetWorkers()) == 0 || len(experiment.GetWorkers()) > maxWorkers:
		return eris.Errorf("give 1 to %d workers", maxWorkers)
	case experiment.GetEntries() == 0 || experiment.GetEntries() > maxEntries:
		return eris.Errorf("give 1 to %d entries", maxEntries)
	case len(experiment.GetServices()) != 1:
		return eris.New("give one service")
	case len(experiment.GetRequests()) == 0:
		return eris.New("give the kinds of request of the mix")
	}
	for _, cell := range experiment.GetCells() {
		if cell.GetLoad() <= 0 || cell.GetDurationMillis() <= 0 || cell.GetDurationMillis() > maxCellMillis {
			return eris.Errorf("cell %q: give a load above 0 and a duration up to %d ms", cell.GetName(), maxCellMillis)
		}
	}
	return nil
}

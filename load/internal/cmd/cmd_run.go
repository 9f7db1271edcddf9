package cmd

import (
	"fmt"
	"path/filepath"
	"strings"

	"skylarklane.example/load/internal/experiment"
	"skylarklane.example/load/internal/report"
)

// cmdRun is `load run experiments/quick.yaml`.
type cmdRun struct {
	folders
	Experiments []string `arg:"" help:"Experiment files (YAML)." type:"existingfile"`
	Placements  []string `help:"Placements instead of the experiment's own: tokens, twoChoices, random."`
}

// Run runs the experiments one after the other.
func (c *cmdRun) Run(e *environment) error {
	if err := c.createOut("run"); err != nil {
		return err
	}
	for _, path := range c.Experiments {
		result, err := c.runExperiment(e, path)
		if err != nil {
			return err
		}
		if err := c.writeResult(e, path, result); err != nil {
			return err
		}
	}
	return nil
}

func (c *cmdRun) runExperiment(e *environment, path string) (report.Result, error) {
	spec, err := experiment.Load(path)
	if err != nil {
		return report.Result{}, &Error{Op: "run", Kind: KindUsage, Err: err}
	}
	if len(c.Placements) > 0 {
		spec.Placements = c.Placements
	}
	return experiment.New(c.Bin, e.err).Run(e.ctx, spec, report.NewOrigin("experiment", e.args)), nil
}

func (c *cmdRun) writeResult(e *environment, path string, result report.Result) error {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := c.save(name, result); err != nil {
		return err
	}
	result.Markdown(e.out)
	if err := result.Plot(filepath.Join(c.Out, name+".svg")); err != nil {
		fmt.Fprintf(e.err, "plot not written: %v\n", err)
	}
	return nil
}

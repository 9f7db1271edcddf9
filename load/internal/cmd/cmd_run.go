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
	places
	Experiments []string `arg:"" help:"Experiment files (YAML)." type:"existingfile"`
	Placements  []string `help:"Placements instead of the experiment's own: tokens, twoChoices, random."`
}

// Run runs the experiments one after the other.
func (c *cmdRun) Run(e *env) error {
	if err := c.make("run"); err != nil {
		return err
	}
	for _, path := range c.Experiments {
		result, err := c.run(e, path)
		if err != nil {
			return err
		}
		if err := c.write(e, path, result); err != nil {
			return err
		}
	}
	return nil
}

func (c *cmdRun) run(e *env, path string) (report.Result, error) {
	x, err := experiment.Load(path)
	if err != nil {
		return report.Result{}, &Error{Op: "run", Kind: KindUsage, Err: err}
	}
	if len(c.Placements) > 0 {
		x.Placements = c.Placements
	}
	return experiment.New(c.Bin, e.err).Run(e.ctx, x, report.NewOrigin("experiment", e.args)), nil
}

func (c *cmdRun) write(e *env, path string, result report.Result) error {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := c.save(name, result); err != nil {
		return err
	}
	result.Markdown(e.out)
	if err := result.Plot(filepath.Join(c.Out, name+".svg")); err != nil {
		fmt.Fprintf(e.err, "no plot: %v\n", err)
	}
	return nil
}

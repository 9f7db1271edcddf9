package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/experiment"
	"skylarklane.example/load/internal/report"
)

// cmdRun is `load run experiments/quick.yaml`.
type cmdRun struct {
	Experiments []string `arg:"" help:"Experiment files (YAML)." type:"existingfile"`
	Bin         string   `help:"Folder of the programs; make build fills it." default:"bin"`
	Out         string   `help:"Folder of the results." default:"out"`
	Placements  []string `help:"Placements instead of the experiment's own: tokens, twoChoices, random."`
}

// Run runs the experiments one after the other.
func (c *cmdRun) Run(e *env) error {
	for _, path := range c.Experiments {
		result, err := c.run(e, path)
		if err != nil {
			return err
		}
		if err := c.save(e, path, result); err != nil {
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
	return experiment.New(c.Bin, e.err).Run(e.ctx, x, report.NewOrigin(e.args)), nil
}

func (c *cmdRun) save(e *env, path string, result report.Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return &Error{Op: "run", Kind: KindUsage, Err: eris.Wrap(err, "cannot make the folder of the results")}
	}
	base := filepath.Join(c.Out, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	if err := report.Save(base+".json", result); err != nil {
		return err
	}
	result.Markdown(e.out)
	if err := result.Plot(base + ".svg"); err != nil {
		fmt.Fprintf(e.err, "no plot: %v\n", err)
	}
	return nil
}

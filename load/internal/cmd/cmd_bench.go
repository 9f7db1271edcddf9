package cmd

import (
	"fmt"
	"path/filepath"
	"time"

	"skylarklane.example/load/internal/bench"
	"skylarklane.example/load/internal/experiment"
	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// cmdBench is `load bench`.
type cmdBench struct {
	folders
	Experiment string        `help:"Experiment for response and messages." default:"experiments/bench.yaml" type:"existingfile"`
	Agents     []int         `help:"Numbers of agents for the cost of a start." default:"11,50,300"`
	Window     time.Duration `help:"Length of each phase of the slopes." default:"4s"`
	Keys       int           `help:"Jobs for the memory of an agent." default:"20000"`
	Changes    int           `help:"Configuration changes." default:"2200"`
	DelayJobs  int           `help:"Jobs for the unloaded delay." default:"1000"`
}

// Run takes all measurements, writes the result of each and prints the table of
// targets.
func (c *cmdBench) Run(e *environment) error {
	if err := c.createOut("bench"); err != nil {
		return err
	}
	origin := report.NewOrigin("bench", e.args)
	parts, err := c.parts(e)
	if err != nil {
		return err
	}
	result := bench.Result{Origin: origin.WithEnd(), Rows: bench.Rows(parts), Delay: parts.Delay}
	result.Markdown(e.out)
	for _, row := range bench.Missed(result.Rows) {
		fmt.Fprintf(e.out, "missed: %s: %s instead of %s\n", row.Measure, row.Measured, row.Target)
	}
	return report.Save(filepath.Join(c.Out, "bench.json"), result)
}

func (c *cmdBench) parts(e *environment) (bench.Parts, error) {
	var p bench.Parts
	spec, err := experiment.Load(c.Experiment)
	if err != nil {
		return p, &Error{Op: "bench", Kind: KindUsage, Err: err}
	}
	p.Placement = experiment.New(c.Bin, e.err).Run(e.ctx, spec, report.NewOrigin("experiment", e.args))
	if err := c.save("bench-placement", p.Placement); err != nil {
		return p, err
	}
	runner := slope.New(c.Bin, c.Window, e.err)
	p.Delay = runner.Delay(e.ctx, c.DelayJobs)
	p.Slopes = slope.Result{Origin: report.NewOrigin("slopes", e.args)}
	p.Slopes.Points = runner.Run(e.ctx, slope.Sizes(c.Agents, nil, defaultControls))
	p.Slopes.Keys = append(p.Slopes.Keys, runner.Keys(e.ctx, c.Keys))
	p.Slopes.Origin = p.Slopes.Origin.WithEnd()
	if err := c.save("bench-slopes", p.Slopes); err != nil {
		return p, err
	}
	p.Recovery = recovery.New(c.Bin, e.err).Run(e.ctx, victims(), report.NewOrigin("recovery", e.args))
	if err := c.save("bench-recovery", p.Recovery); err != nil {
		return p, err
	}
	p.Rollout = rollout.New(c.Bin, e.err).Run(e.ctx, benchRolloutOptions(c.Changes), report.NewOrigin("rollout", e.args))
	return p, c.save("bench-rollout", p.Rollout)
}

package cmd

import (
	"time"

	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/slope"
)

// cmdSlopes is `load slopes --agents 11,50,150,300`.
type cmdSlopes struct {
	folders
	Agents   []int         `help:"Numbers of agents, up to 400 each." default:"11,50,150,300"`
	Entries  []int         `help:"Further numbers of entries, at the second number of agents." default:"2,4"`
	Controls int           `help:"Control hosts." default:"3"`
	Window   time.Duration `help:"Length of each phase." default:"8s"`
	Keys     int           `help:"Jobs for the memory of a ledger record, 0 for none." default:"20000"`
}

// Run measures all sizes, writes slopes.json and prints its tables.
func (c *cmdSlopes) Run(e *environment) error {
	if err := c.createOut("slopes"); err != nil {
		return err
	}
	origin := report.NewOrigin("slopes", e.args)
	runner := slope.New(c.Bin, c.Window, e.err)
	result := slope.Result{Points: runner.Run(e.ctx, slope.Sizes(c.Agents, c.Entries, c.Controls))}
	if c.Keys > 0 {
		result.Keys = append(result.Keys, runner.Keys(e.ctx, c.Keys))
	}
	result.Origin = origin.WithEnd()
	result.Markdown(e.out)
	return c.save("slopes", result)
}

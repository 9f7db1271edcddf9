package cmd

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/slope"
)

// cmdSlopes is `load slopes --agents 11,50,150,300`.
type cmdSlopes struct {
	Agents   []int         `help:"Numbers of agents, up to 400 each." default:"11,50,150,300"`
	Entries  []int         `help:"Further numbers of entries, at the second number of agents." default:"2,4"`
	Controls int           `help:"Control hosts." default:"3"`
	Window   time.Duration `help:"Length of each phase." default:"8s"`
	Keys     int           `help:"Jobs for the memory of a ledger record, 0 for none." default:"20000"`
	Bin      string        `help:"Folder of the programs; make build fills it." default:"bin"`
	Out      string        `help:"Folder of the result." default:"out"`
}

// Run measures all sizes and writes slopes.json and its tables.
func (c *cmdSlopes) Run(e *env) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return &Error{Op: "slopes", Kind: KindUsage, Err: eris.Wrap(err, "cannot make the folder of the results")}
	}
	origin := report.NewOrigin(e.args)
	runner := slope.New(c.Bin, c.Window, e.err)
	result := slope.Result{Points: runner.Run(e.ctx, c.sizes())}
	if c.Keys > 0 {
		result.Keys = append(result.Keys, runner.Keys(e.ctx, c.Keys))
	}
	result.Origin = origin.WithEnd()
	result.Markdown(e.out)
	return report.Save(filepath.Join(c.Out, "slopes.json"), result)
}

func (c *cmdSlopes) sizes() []slope.Size {
	var sizes []slope.Size
	for _, n := range c.Agents {
		sizes = append(sizes, slope.Size{Agents: min(n, maxHosted), Entries: 1, Controls: c.Controls})
	}
	if len(sizes) == 0 {
		return nil
	}
	for _, n := range c.Entries {
		sizes = append(sizes, slope.Size{Agents: sizes[min(1, len(sizes)-1)].Agents, Entries: n, Controls: c.Controls})
	}
	return sizes
}

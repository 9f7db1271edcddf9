package cmd

import (
	"path/filepath"

	"skylarklane.example/load/internal/worth"
)

// cmdWorth is `load worth quiet-1.json`.
type cmdWorth struct {
	Reports []string `arg:"" help:"Reports of days that the users' bench has written (--report)." type:"existingfile"`
	Plots   string   `help:"Folder for a plot (SVG) of each day; none where empty." default:"" type:"path"`
}

// Run prints the tables of each day and writes its plot.
func (c *cmdWorth) Run(e *environment) error {
	for _, path := range c.Reports {
		day, err := worth.Load(path)
		if err != nil {
			return err
		}
		day.Markdown(e.out)
		if c.Plots == "" {
			continue
		}
		if err := day.Plot(filepath.Join(c.Plots, day.Name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

package cmd

import (
	"fmt"

	"skylarklane.example/load/internal/report"
)

// cmdReport is `load report docs/measurements/*.json`.
type cmdReport struct {
	Files []string `arg:"" help:"Results of load run (JSON)." type:"existingfile"`
}

// Run writes the tables of each result.
func (c *cmdReport) Run(e *env) error {
	for _, file := range c.Files {
		if err := renderFile(e, file); err != nil {
			return err
		}
		fmt.Fprintln(e.out)
	}
	return nil
}

func renderFile(e *env, file string) error {
	var result report.Result
	if err := report.Load(file, &result); err != nil {
		return err
	}
	result.Markdown(e.out)
	return nil
}

package cmd

import (
	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
)

// cmdRecovery is `load recovery`.
type cmdRecovery struct {
	folders
	Victims []string `help:"What to kill: entry, agent, control leader."`
}

// Run kills the victims one at a time, writes recovery.json and prints its table.
func (c *cmdRecovery) Run(e *environment) error {
	if err := c.createOut("recovery"); err != nil {
		return err
	}
	if len(c.Victims) == 0 {
		c.Victims = victims()
	}
	result := recovery.New(c.Bin, e.err).Run(e.ctx, c.Victims, report.NewOrigin("recovery", e.args))
	result.Markdown(e.out)
	return c.save("recovery", result)
}

func victims() []string {
	return []string{recovery.Entry, recovery.Agent, recovery.ControlLeader}
}

package cmd

import (
	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
)

// cmdRecovery is `load recovery`.
type cmdRecovery struct {
	places
	Victims []string `help:"What to kill: entry, agent, control leader."`
}

// Run kills each victim and writes recovery.json and its table.
func (c *cmdRecovery) Run(e *env) error {
	if err := c.make("recovery"); err != nil {
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

package cmd

import (
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
)

const (
	rolloutRestarts = 12
	rolloutServices = 12
	rolloutTeams    = 310
	defaultControls = 3
)

// cmdRollout is `load rollout --changes 2200`.
type cmdRollout struct {
	folders
	Changes  int `help:"Configuration changes." default:"2200"`
	Restarts int `help:"Processes killed and started again meanwhile." default:"12"`
	Services int `help:"Services in each change, three kinds each." default:"12"`
	Teams    int `help:"Teams in each change." default:"310"`
	Controls int `help:"Control hosts." default:"3"`
}

// Run publishes the changes, writes rollout.json and prints its table.
func (c *cmdRollout) Run(e *environment) error {
	if err := c.createOut("rollout"); err != nil {
		return err
	}
	options := rollout.Options{Changes: c.Changes, Restarts: c.Restarts, Services: c.Services, Teams: c.Teams, Controls: c.Controls}
	result := rollout.New(c.Bin, e.err).Run(e.ctx, options, report.NewOrigin("rollout", e.args))
	result.Markdown(e.out)
	return c.save("rollout", result)
}

// benchRolloutOptions returns the options of the rollout that bench measures.
func benchRolloutOptions(changes int) rollout.Options {
	return rollout.Options{
		Changes: changes, Restarts: rolloutRestarts, Services: rolloutServices, Teams: rolloutTeams, Controls: defaultControls,
	}
}

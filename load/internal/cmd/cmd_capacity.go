package cmd

import (
	"skylarklane.example/load/internal/capacity"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// cmdCapacity is `load capacity --slopes out/slopes.json --rollout out/rollout.json`.
type cmdCapacity struct {
	Slopes      string  `help:"Result of load slopes." default:"out/slopes.json" type:"existingfile"`
	Rollout     string  `help:"Result of load rollout; left out where empty." default:""`
	Workers     float64 `help:"Workers." default:"1100"`
	Starts      float64 `help:"Task starts a second." default:"32000"`
	TasksPerJob float64 `help:"Mean tasks of a job." default:"12"`
	Entries     float64 `help:"Entries." default:"8"`
	Retention   float64 `help:"Seconds for which finished keys are kept." default:"600"`
}

// Run prints what each role needs at the planned size.
func (c *cmdCapacity) Run(e *environment) error {
	var slopes slope.Result
	if err := report.Load(c.Slopes, &slopes); err != nil {
		return err
	}
	var changes rollout.Result
	if c.Rollout != "" {
		if err := report.Load(c.Rollout, &changes); err != nil {
			return err
		}
	}
	plan := capacity.Planned()
	plan.Workers, plan.StartsPerSecond, plan.TasksPerJob = c.Workers, c.Starts, c.TasksPerJob
	plan.Entries, plan.Retention = c.Entries, c.Retention
	capacity.New(plan, slopes, changes).Markdown(e.out)
	return nil
}

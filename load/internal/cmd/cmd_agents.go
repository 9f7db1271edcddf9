package cmd

import (
	"skylarklane.example/lib/process"
	"skylarklane.example/load/internal/fleet"
)

// cmdAgents is `load agents 50 127.0.0.1:7000`.
type cmdAgents struct {
	N       int      `arg:"" help:"Number of agents (1 to 400)."`
	Control []string `arg:"" help:"Addresses of the control hosts, IP:port."`
	Slots   int      `help:"Slots of each stand-in." default:"8"`
	Service string   `help:"Service of the stand-ins." default:"sizing"`
}

// Run runs the agents until a signal ends the process.
func (c *cmdAgents) Run(e *environment) error {
	fleet.RunAgents(e.ctx, min(c.N, maxAgents), c.Slots, c.Service, c.Control, process.NewLogger(e.err, "agents", true))
	return nil
}

// maxAgents limits the agents in one process.
const maxAgents = 400

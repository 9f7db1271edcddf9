// Package cmd holds the commands of the load tool.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"skylarklane.example/lib/process"
)

// commands is the command line of the program.
type commands struct {
	Run      cmdRun      `cmd:"" help:"Run experiments and write the results as JSON, tables and plots."`
	Slopes   cmdSlopes   `cmd:"" help:"Measure processor time, memory and messages of each role against the number of agents and entries."`
	Rollout  cmdRollout  `cmd:"" help:"Publish many changes while processes restart, and time when each is in force."`
	Recovery cmdRecovery `cmd:"" help:"Kill one process at a time, and time until new work is answered."`
	Bench    cmdBench    `cmd:"" help:"Measure every target and print it beside what was measured."`
	Capacity cmdCapacity `cmd:"" help:"Work out from slopes what each role needs at a planned size."`
	Pages    cmdPages    `cmd:"" help:"Render the marked tables of pages anew from results."`
	Report   cmdReport   `cmd:"" help:"Render results as Markdown tables."`
	Worth    cmdWorth    `cmd:"" help:"Tell from reports of the users' bench where the worth of each day went."`
	Agents   cmdAgents   `cmd:"" hidden:"" help:"Run many agents with stand-ins in this process."`
}

// environment is what Main passes to the command.
type environment struct {
	ctx  context.Context
	args []string
	out  io.Writer
	err  io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, err io.Writer) int {
	var c commands
	parser, failure := kong.New(&c, kong.Name("load"),
		kong.Description("Runs the system from bin/ on loopback with stand-in backend servers, and measures it."),
		kong.Writers(out, err))
	if failure != nil {
		fmt.Fprintf(err, "load: %v\n", failure)
		return process.ExitFailed
	}
	parsed, failure := parser.Parse(args)
	if failure != nil {
		fmt.Fprintf(err, "load: %v\n", failure)
		return process.ExitUsage
	}
	ctx, cancel := process.SignalContext()
	defer cancel()
	if failure := parsed.Run(&environment{ctx: ctx, args: args, out: out, err: err}); failure != nil {
		fmt.Fprintf(err, "load: %v\n", failure)
		return process.ExitFailed
	}
	return process.ExitOK
}

// Package cmd holds the commands of the skylarklane program, one file each.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kong"

	"skylarklane.example/lib/process"
)

// commands are what the program can do.
type commands struct {
	Try     cmdTry     `cmd:"" help:"Run all roles in one process and submit a job of 20 tasks."`
	Publish cmdPublish `cmd:"" help:"Put the service files below a folder into force."`
	Status  cmdStatus  `cmd:"" help:"Show the state of the system."`
	Version cmdVersion `cmd:"" help:"Print the version."`
}

// env is what every command gets.
type env struct {
	ctx     context.Context
	out     io.Writer
	err     io.Writer
	client  *http.Client
	version string
}

// Main runs the command line and returns the exit code.
func Main(args []string, version string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("skylarklane"),
		kong.Description("Dispatches short tasks to backend servers and answers for each of them."),
		kong.Writers(out, errOut),
	)
	if err != nil {
		fmt.Fprintf(errOut, "skylarklane: %v\n", err)
		return process.ExitFailed
	}
	call, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "skylarklane: %v\n", err)
		return process.ExitUsage
	}
	ctx, cancel := process.SignalContext()
	defer cancel()
	e := &env{ctx: ctx, out: out, err: errOut, client: process.NewClient(), version: strings.TrimSpace(version)}
	return exitCode(errOut, call.Run(e))
}

// exitCode prints err and returns the code that stands for it.
func exitCode(w io.Writer, err error) int {
	if err == nil {
		return process.ExitOK
	}
	fmt.Fprintf(w, "skylarklane: %v\n", err)
	var e *Error
	if errors.As(err, &e) {
		return e.Kind.exitCode()
	}
	return process.ExitFailed
}

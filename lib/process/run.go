package process

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/alecthomas/kong"
)

// Exit codes of every program.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
)

// flags are the command-line arguments of a daemon.
type flags struct {
	Settings string `arg:"" help:"Settings file (YAML)." type:"existingfile"`
	LogJSON  bool   `help:"Write log lines as JSON." name:"log-json"`
}

// Daemon runs the named part until a signal ends it and returns the exit code.
// The part reads its settings file and serves until the signals' context ends.
func Daemon(part, help string, args []string, w io.Writer, serve func(signals *Signals, settings string, log *slog.Logger) error) int {
	signals := CatchSignals()
	var f flags
	parser, err := kong.New(&f, kong.Name(part), kong.Description(help), kong.Writers(w, w))
	if err != nil {
		fmt.Fprintf(w, "%s: %v\n", part, err)
		return ExitFailed
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(w, "%s: %v\n", part, err)
		return ExitUsage
	}
	log := OpenLog(w, part, f.LogJSON)
	signals.Start(log.Logger())
	return log.Stop(serve(signals, f.Settings, log.Logger()))
}

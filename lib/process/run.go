package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/alecthomas/kong"

	"skylarklane.example/lib/event"
)

// Exit codes of every program.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
)

// logCloseTimeout bounds how long the end of a process waits for its log's
// reader.
const logCloseTimeout = time.Second

// flags are the command line of a daemon.
type flags struct {
	Settings string `arg:"" help:"Settings file (YAML)." type:"existingfile"`
	LogJSON  bool   `help:"Write log lines as JSON." name:"log-json"`
}

// Daemon runs the named part until a signal ends it and returns the exit code.
// The part reads its settings file and serves until ctx ends.
func Daemon(part, help string, args []string, w io.Writer, serve func(ctx context.Context, settings string, log *slog.Logger) error) int {
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
	ctx, cancel := SignalContext()
	defer cancel()
	log := OpenLog(w, part, f.LogJSON)
	err = serve(ctx, f.Settings, log.Logger())
	logStopped(ctx, log, err)
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}

// logStopped writes the last line of a process.
func logStopped(ctx context.Context, log *Log, err error) {
	ctx = context.WithoutCancel(ctx)
	if err != nil {
		event.Failed.Log(ctx, log.Logger(), slog.String("error", err.Error()))
	} else {
		event.Stopped.Log(ctx, log.Logger())
	}
	log.Close(logCloseTimeout)
}

package process

import (
	"context"
	"os/signal"
	"syscall"
)

// SignalContext returns a context for a command-line tool that is cancelled on
// SIGTERM or SIGINT. Daemons use CatchSignals.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
